//! Calls of the admin API for changes of the configuration.

use super::{json, text};
use crate::admin_client::configuration::PublishRequest;
use crate::peers::configuration::Refusal;
use crate::peers::Peers;
use bytes::Bytes;
use dilljunction_cluster::configuration::{PublishError, VALUE_MAX};
use http_body_util::Full;
use hyper::{Response, StatusCode};

/// Maximum size of a request in bytes: a value in which each byte is escaped in JSON, and the fields around
/// it.
pub const REQUEST_MAX: usize = 8 * VALUE_MAX;

/// Answers a request to read the status.
pub fn show(peers: &Peers) -> Response<Full<Bytes>> {
    match peers.describe_configuration().map(serde_json::to_value) {
        Some(Ok(status)) => json(&status),
        Some(Err(e)) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        None => text(StatusCode::NOT_FOUND, "this agent takes no changes: [configuration] is off"),
    }
}

/// Answers a request to publish. `body` is `None` if it was larger than [`REQUEST_MAX`] or did not arrive.
pub fn publish(peers: &Peers, body: Option<Bytes>) -> Response<Full<Bytes>> {
    let Some(body) = body else {
        return text(StatusCode::PAYLOAD_TOO_LARGE, "the request is too large, or did not come whole");
    };
    let request: PublishRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(e) => return text(StatusCode::BAD_REQUEST, format!("not a change of configuration: {e}")),
    };
    match peers.publish(&request) {
        None => text(StatusCode::NOT_FOUND, "this agent takes no changes: [configuration] is off"),
        Some(Err(refusal)) => text(status_of(&refusal), refusal.to_string()),
        Some(Ok(published)) => match serde_json::to_value(published) {
            Ok(published) => json(&published),
            Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        },
    }
}

fn status_of(refusal: &Refusal) -> StatusCode {
    match refusal {
        Refusal::NotTheWriter { .. } => StatusCode::CONFLICT,
        Refusal::Key(_) | Refusal::Value(_) | Refusal::Publish(PublishError::OutOfBounds(_)) => {
            StatusCode::BAD_REQUEST
        }
        Refusal::Publish(PublishError::NotYetSynchronized { .. }) => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::Publish(_) => StatusCode::CONFLICT,
    }
}
