//! What the lab asks of an agent at its operators' address: to publish a change, and what it has in force.

use crate::fleet::process::answer;
use crate::publishing::judge::{InForce, Published, Status};
use serde_json::json;
use std::net::SocketAddr;

/// The agent that publishes.
pub const WRITER: usize = 0;
/// The service that all agents follow.
pub const KEY: &str = "booking";
const PATH: &str = "/fleet/configuration";

/// Why a request to publish was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{status}: {reason}")]
pub struct Refusal {
    /// The status of the answer; 0 if none came.
    pub status: u16,
    /// Its words.
    pub reason: String,
}

/// The text of a fleet file that switches changes of configuration on.
pub fn fleet_file() -> String {
    format!("[fleet]\njson = true\n[configuration]\nwriter = {WRITER}\nservice = \"{KEY}\"\n")
}

/// Asks an agent to publish a value for a service; nobody is asked without an address.
pub async fn publish(admin: Option<SocketAddr>, key: &str, value: &str) -> Result<Published, Refusal> {
    let silent = || Refusal { status: 0, reason: "the agent does not answer".into() };
    let body = json!({"key": key, "why": "the lab", "value": value}).to_string();
    let answered = answer(admin.ok_or_else(silent)?, "POST", PATH, &body).await;
    let (status, body) = answered.ok_or_else(silent)?;
    let reason = String::from_utf8_lossy(&body).into_owned();
    if status != 200 {
        return Err(Refusal { status, reason });
    }
    serde_json::from_slice(&body).map_err(|_| Refusal { status, reason })
}

/// What an agent says of its configuration, if it answers.
pub async fn status(admin: SocketAddr) -> Option<Status> {
    let (code, body) = answer(admin, "GET", PATH, "").await?;
    serde_json::from_slice(&body).ok().filter(|_| code == 200)
}

/// What a status has in force of the one key.
pub fn in_force(status: &Status) -> Option<&InForce> {
    status.entries.iter().find(|entry| entry.key == KEY)?.in_force.as_ref()
}
