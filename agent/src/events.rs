//! Structured events about single requests and connections, for following one through a failure: what was
//! admitted with which deadline, every attempt with its outcome, and the reason of each refusal, failure and
//! close.
//!
//! They are `tracing` events at level DEBUG, written only where `deploy/events.toml` enables them. Without a
//! subscriber of that level each event costs one comparison.

use crate::upstream::body::AnswerError;
use crate::upstream::pool::ServerEndpoint;
use hyper::header::HeaderValue;
use ryelead::{AnswerCloseReason, AnswerLength, Outcome, Reason, RequestId, ServerId};
use std::time::Duration;
use tokio::time::Instant;

/// The target of the events.
const TARGET: &str = "dilljunction::request";

/// Whether a subscriber reads the events.
fn is_enabled() -> bool {
    tracing::enabled!(target: TARGET, tracing::Level::DEBUG)
}

/// Milliseconds from now to an instant, negative if it has passed.
fn milliseconds_until(instant: Instant) -> i64 {
    let now = Instant::now();
    let ahead = instant.saturating_duration_since(now).as_millis() as i64;
    ahead - now.saturating_duration_since(instant).as_millis() as i64
}

/// A request was admitted; `deadline` is the instant by which it must be answered.
pub fn request_taken(request: RequestId, call_id: &HeaderValue, class: usize, deadline: Instant) {
    if is_enabled() {
        let (call, deadline_ms) = (call_id.to_str().unwrap_or_default(), milliseconds_until(deadline));
        tracing::debug!(target: TARGET, request = request.0, call, class, deadline_ms, "taken");
    }
}

/// A request was not admitted, for the given reason.
pub fn request_denied(call_id: &HeaderValue, reason: &str) {
    if is_enabled() {
        let call = call_id.to_str().unwrap_or_default();
        tracing::debug!(target: TARGET, call, reason, "denied");
    }
}

/// A client's request was rejected before it was admitted, for the given reason.
pub fn request_rejected(connection: u64, status: u16, reason: &str) {
    tracing::debug!(target: TARGET, connection, status, reason, "rejected");
}

/// An attempt was ordered, and will be waited for until `until`. `endpoint` is where it goes, if anywhere.
pub fn attempt_ordered(
    request: RequestId,
    attempt: u32,
    server: ServerId,
    endpoint: Option<ServerEndpoint>,
    until: Instant,
) {
    if is_enabled() {
        let until_ms = milliseconds_until(until);
        let address = endpoint.map(|endpoint| tracing::field::display(endpoint.address));
        let generation = endpoint.map(|endpoint| endpoint.generation);
        let server = server.0;
        tracing::debug!(target: TARGET, request = request.0, attempt, server, address, generation, until_ms, "attempt");
    }
}

/// The first byte of an attempt is about to be written.
pub fn attempt_begun(request: RequestId, attempt: u32) {
    tracing::debug!(target: TARGET, request = request.0, attempt, "attempt begins");
}

/// An attempt was not permitted to begin, for the given reason.
pub fn attempt_denied(request: RequestId, attempt: u32, reason: &str) {
    tracing::debug!(target: TARGET, request = request.0, attempt, reason, "attempt denied");
}

/// An attempt has ended; `error` says why there is no answer, if the connection or the answer was at fault.
pub fn attempt_ended(
    request: RequestId,
    attempt: u32,
    outcome: Outcome,
    error: Option<AnswerError>,
    elapsed: Duration,
) {
    if is_enabled() {
        let (elapsed_ms, error) = (elapsed.as_millis() as u64, error.map(AnswerError::name));
        tracing::debug!(target: TARGET, request = request.0, attempt, ?outcome, error, elapsed_ms, "attempt ended");
    }
}

/// Part of an answer has arrived, and the rest has not.
pub fn answer_begun(request: RequestId, attempt: u32) {
    tracing::debug!(target: TARGET, request = request.0, attempt, "answer begins");
}

/// Nothing more of an answer that has begun has arrived for some time; its attempt goes on.
pub fn answer_stalled(request: RequestId, attempt: u32) {
    tracing::debug!(target: TARGET, request = request.0, attempt, "answer stalls");
}

/// More of an answer has arrived; not told of every piece.
pub fn answer_progressed(request: RequestId, attempt: u32) {
    tracing::debug!(target: TARGET, request = request.0, attempt, "answer goes on");
}

/// The length of a sound answer that is still arriving is known, as far as it will be.
pub fn answer_length(request: RequestId, attempt: u32, length: AnswerLength) {
    tracing::debug!(target: TARGET, request = request.0, attempt, ?length, "answer length");
}

/// The time of a request is over while an answer to it may be arriving; `forwarded` tells whether one is forwarded.
pub fn answer_due(request: RequestId, forwarded: bool) {
    tracing::debug!(target: TARGET, request = request.0, forwarded, "answer due");
}

/// The connection of a sound answer that was under way is closed for this reason.
pub fn answer_closed(request: RequestId, attempt: u32, reason: Option<AnswerCloseReason>) {
    let reason = reason.map_or("none", AnswerCloseReason::name);
    tracing::debug!(target: TARGET, request = request.0, attempt, reason, "answer closed");
}

/// An answer is forwarded while it arrives, and no other attempt can answer any more.
pub fn answer_forwarded(request: RequestId, attempt: u32) {
    tracing::debug!(target: TARGET, request = request.0, attempt, "answer is streamed");
}

/// Bytes have arrived behind the end of an answer; `sample` holds the first of them.
pub fn surplus_received(server: ServerId, kind: &str, bytes: u64, sample: &[u8]) {
    if is_enabled() {
        let (server, sample) = (server.0, sample.escape_ascii().to_string());
        tracing::debug!(target: TARGET, server, kind, bytes, sample, "surplus");
    }
}

/// An attempt was cancelled.
pub fn attempt_cancelled(request: RequestId, attempt: u32) {
    tracing::debug!(target: TARGET, request = request.0, attempt, "attempt cancelled");
}

/// The decision module gave up a request: it refused it (`refused`) or failed it.
pub fn request_given_up(request: RequestId, refused: bool, reason: Reason) {
    tracing::debug!(target: TARGET, request = request.0, refused, reason = reason.name(), "given up");
}

/// A client received its final answer.
pub fn request_answered(request: RequestId, status: u16) {
    tracing::debug!(target: TARGET, request = request.0, status, "answered");
}

/// No client waits for the answer of a request any more, although none was sent.
pub fn request_abandoned(request: RequestId) {
    tracing::debug!(target: TARGET, request = request.0, "abandoned");
}

/// A client connection is being closed; `owes_answer` tells whether the kernel lacks a part of an answer.
pub fn connection_closed(connection: u64, reason: &str, at_once: bool, owes_answer: bool) {
    tracing::debug!(target: TARGET, connection, reason, at_once, owes_answer, "connection ends");
}

/// The process has entered a phase; `answers_by` is the instant by which all admitted requests must be
/// answered.
pub fn phase_entered(phase: &str, was: &str, answers_by: Option<Instant>) {
    if is_enabled() {
        let answers_by_ms = answers_by.map(milliseconds_until);
        tracing::debug!(target: TARGET, phase, was, answers_by_ms, "phase");
    }
}
