//! Client of the admin API for the command line, and the tables that it prints.

pub mod configuration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of a call. An agent answers admin calls within 1 s whatever its load; after this it is down or
/// stopped.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer, in bytes: 4,096 members of about 120 bytes fit several times.
const ANSWER_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Makes a GET call to an agent's admin listener. Returns the body, or one line that says what failed.
pub async fn get(admin: SocketAddr, path: &str) -> Result<Bytes, String> {
    exchange(admin, Method::GET, path, Bytes::new()).await
}

/// Makes a POST call to an agent's admin listener.
pub async fn post(admin: SocketAddr, path: &str, body: Bytes) -> Result<Bytes, String> {
    exchange(admin, Method::POST, path, body).await
}

async fn exchange(admin: SocketAddr, method: Method, path: &str, body: Bytes) -> Result<Bytes, String> {
    let answer = timeout(ANSWER_TIMEOUT, call(admin, method, path, body)).await;
    answer
        .unwrap_or_else(|_| Err(format!("no answer within {ANSWER_TIMEOUT:?}")))
        .map_err(|e| format!("{admin}: {e}"))
}

async fn call(admin: SocketAddr, method: Method, path: &str, body: Bytes) -> Result<Bytes, String> {
    let stream = TcpStream::connect(admin).await.map_err(|e| format!("cannot connect: {e}"))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| format!("not an agent's admin listener: {e}"))?;
    let request =
        Request::builder().method(method).uri(path).header(HOST, admin.to_string()).body(Full::new(body));
    let request = request.map_err(|e| e.to_string())?;
    let answer = async {
        let answer = sender.send_request(request).await.map_err(|e| e.to_string())?;
        let status = answer.status();
        let body =
            Limited::new(answer.into_body(), ANSWER_BYTES_MAX).collect().await.map_err(|e| e.to_string())?;
        Ok::<_, String>((status, body.to_bytes()))
    };
    let (answer, _) = tokio::join!(answer, connection);
    match answer? {
        (StatusCode::OK, body) => Ok(body),
        (status, body) => Err(format!("{}: {}", status.as_u16(), String::from_utf8_lossy(&body).trim())),
    }
}

/// An agent's membership view as the admin API returns it; times in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct FleetView {
    /// The agent that was asked.
    #[serde(rename = "self")]
    pub me: Me,
    /// Equal for two agents exactly if they know the same members in the same generations, and the same ones
    /// as dead.
    pub digest: String,
    /// Whether the view has converged: the agent takes it for that of the whole fleet.
    pub sure: bool,
    /// All members ever known, by number.
    pub members: Vec<Member>,
}

/// The identity of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Me {
    /// Its number.
    pub number: u16,
    /// Its name.
    pub name: String,
    /// Its generation.
    pub life: u64,
}

/// An entry of a view.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Member {
    /// Its number.
    pub number: u16,
    /// Its name.
    pub name: String,
    /// Its generation.
    pub life: u64,
    /// `alive`, `suspect` or `gone`.
    pub state: String,
    /// How long it has been in this state.
    pub since_ms: u64,
}

impl FleetView {
    /// Parses the answer of `GET /fleet`.
    pub fn parse(text: &[u8]) -> Result<FleetView, String> {
        serde_json::from_slice(text).map_err(|e| format!("not a fleet view: {e}"))
    }

    /// Formats the view as a table.
    pub fn table(&self) -> String {
        let present = self.members.iter().filter(|m| m.state != "gone").count();
        let mut text = format!(
            "{} of {} there, seen by {} ({}), digest {}, {}\n",
            present,
            self.members.len(),
            self.me.number,
            self.me.name,
            self.digest,
            if self.sure { "sure" } else { "NOT sure: this agent may be the one that is cut off" }
        );
        let _ = writeln!(text, "{:>6}  {:24}  {:>16}  {:8}  for", "number", "name", "life", "state");
        for m in &self.members {
            let seconds = m.since_ms as f64 / 1000.0;
            let _ = writeln!(
                text,
                "{:>6}  {:24}  {:>16}  {:8}  {seconds:.1} s",
                m.number, m.name, m.life, m.state
            );
        }
        text
    }
}
