//! What the command line asks a running agent at its operators' address, and how it shows the answers.

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

/// An agent answers operators within 1 s whatever its load; past this it is down or stopped.
const ANSWER_WAIT: Duration = Duration::from_secs(3);
/// The largest answer: 4,096 members at some 120 bytes fit several times.
const ANSWER_MOST: usize = 4 * 1024 * 1024;

/// Asks the agent whose operators' address this is; its answer's body, or one line that says what is wrong.
pub async fn ask(admin: SocketAddr, path: &str) -> Result<Bytes, String> {
    exchange(admin, Method::GET, path, Bytes::new()).await
}

/// Sends something to the agent whose operators' address this is.
pub async fn post(admin: SocketAddr, path: &str, body: Bytes) -> Result<Bytes, String> {
    exchange(admin, Method::POST, path, body).await
}

async fn exchange(admin: SocketAddr, method: Method, path: &str, body: Bytes) -> Result<Bytes, String> {
    let asked = timeout(ANSWER_WAIT, call(admin, method, path, body)).await;
    asked
        .unwrap_or_else(|_| Err(format!("no answer within {ANSWER_WAIT:?}")))
        .map_err(|e| format!("{admin}: {e}"))
}

async fn call(admin: SocketAddr, method: Method, path: &str, body: Bytes) -> Result<Bytes, String> {
    let stream = TcpStream::connect(admin).await.map_err(|e| format!("cannot connect: {e}"))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| format!("not an agent's operators' address: {e}"))?;
    let request =
        Request::builder().method(method).uri(path).header(HOST, admin.to_string()).body(Full::new(body));
    let request = request.map_err(|e| e.to_string())?;
    let answer = async {
        let answer = sender.send_request(request).await.map_err(|e| e.to_string())?;
        let status = answer.status();
        let body =
            Limited::new(answer.into_body(), ANSWER_MOST).collect().await.map_err(|e| e.to_string())?;
        Ok::<_, String>((status, body.to_bytes()))
    };
    let (answer, _) = tokio::join!(answer, connection);
    match answer? {
        (StatusCode::OK, body) => Ok(body),
        (status, body) => Err(format!("{}: {}", status.as_u16(), String::from_utf8_lossy(&body).trim())),
    }
}

/// An agent's view of its fleet, as it tells operators; times in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct FleetView {
    /// The agent that was asked.
    #[serde(rename = "self")]
    pub me: Me,
    /// Equal for two agents exactly if they hold the same members in the same lives, and the same of them gone.
    pub digest: String,
    /// Whether the agent takes its view for that of the fleet.
    pub sure: bool,
    /// All that were ever heard of, by number.
    pub members: Vec<Member>,
}

/// Who an agent is.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Me {
    /// Its number.
    pub number: u16,
    /// Its name.
    pub name: String,
    /// Which of its lives.
    pub life: u64,
}

/// A line of a view.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Member {
    /// Its number.
    pub number: u16,
    /// Its name.
    pub name: String,
    /// Which of its lives.
    pub life: u64,
    /// `alive`, `suspect` or `gone`.
    pub state: String,
    /// For how long it has been so.
    pub since_ms: u64,
}

impl FleetView {
    /// Reads what `GET /fleet` answers.
    pub fn parse(text: &[u8]) -> Result<FleetView, String> {
        serde_json::from_slice(text).map_err(|e| format!("not a view of a fleet: {e}"))
    }

    /// For people.
    pub fn table(&self) -> String {
        let there = self.members.iter().filter(|m| m.state != "gone").count();
        let mut text = format!(
            "{} of {} there, seen by {} ({}), digest {}, {}\n",
            there,
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
