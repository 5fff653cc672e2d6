//! The simulator's protocol: the types of its input and output lines, which are JSON.

use ryelead_settings::SettingsFile;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// A line of input: the events of some of the instances up to the time of the clock.
#[derive(Debug, Deserialize)]
pub struct Batch<'a> {
    #[serde(rename = "tMs")]
    pub clock_ms: f64,
    pub round: u64,
    #[serde(borrow)]
    pub parts: Vec<Part<'a>>,
}

/// The events of one instance.
#[derive(Debug, Deserialize)]
pub struct Part<'a> {
    pub who: u32,
    #[serde(borrow)]
    pub inbox: Vec<Incoming<'a>>,
}

/// An event in the simulator's encoding.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Incoming<'a> {
    /// Starts an instance; `salt` seeds its random numbers.
    Attach { salt: u64, params: Box<SettingsFile> },
    /// Ends an instance.
    Retire {},
    /// Sets the entries of the catalogue `ref`, which later list events refer to.
    #[serde(rename_all = "camelCase")]
    Catalog {
        r#ref: u32,
        #[serde(borrow)]
        members_list: Vec<Entry<'a>>,
    },
    /// A list event, with the catalogue that it refers to.
    Registry {
        form: Form,
        #[serde(rename = "rev")]
        _rev: i64,
        #[serde(default)]
        r#ref: Option<u32>,
    },
    /// A request of class `cls` for tenant `party`, with the key `affinity`. Bit 0 of `opts` says that
    /// `estimate_ms`, an estimate of its work, is valid; bit 1 that the client retries.
    #[serde(rename_all = "camelCase")]
    Request {
        #[serde(borrow)]
        ticket: Cow<'a, str>,
        #[serde(default)]
        party: Option<usize>,
        cls: usize,
        #[serde(borrow, default)]
        affinity: Option<Cow<'a, str>>,
        #[serde(default)]
        estimate_ms: Option<f64>,
        #[serde(default)]
        opts: Option<u64>,
        expires_in_ms: f64,
    },
    /// The answer to an attempt has begun.
    FirstByte {
        #[serde(borrow)]
        ticket: Cow<'a, str>,
        attempt: u32,
    },
    /// An attempt has ended. `finished` says that the request has its final answer; `gauge` is the server's
    /// load report.
    #[serde(rename_all = "camelCase")]
    Done {
        #[serde(borrow)]
        ticket: Cow<'a, str>,
        finished: bool,
        time_taken_ms: f64,
        ending: Ending,
        attempt: u32,
        #[serde(default)]
        gauge: Option<Vec<f64>>,
    },
    /// The client has disconnected.
    Aborted {
        #[serde(borrow)]
        ticket: Cow<'a, str>,
    },
    /// The timer `key_back` has expired.
    #[serde(rename_all = "camelCase")]
    Elapsed { key_back: u64 },
    /// The result of a health probe; `gauge` is the server's load report.
    #[serde(rename_all = "camelCase")]
    Probed {
        #[serde(borrow)]
        backend: Cow<'a, str>,
        ending: Ending,
        time_taken_ms: f64,
        #[serde(default)]
        gauge: Option<Vec<f64>>,
    },
    /// A message from another instance, as hexadecimal digits.
    #[serde(rename_all = "camelCase")]
    Mail {
        src_peer: u32,
        #[serde(borrow)]
        raw: Cow<'a, str>,
    },
}

/// What the catalogue of a list event holds: changes only, the complete list, or the list saved before a
/// restart. `Error` says that the list could not be fetched, and has no catalogue.
#[derive(Debug, Clone, Copy, Deserialize)]
pub enum Form {
    Partial,
    Complete,
    Persisted,
    Error,
}

/// An entry of the server list.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Entry<'a> {
    #[serde(borrow)]
    pub backend: Cow<'a, str>,
    /// The zone.
    #[serde(default)]
    pub campus: u32,
    /// The kind of machine.
    #[serde(default)]
    pub class_of_host: u32,
    /// The cell.
    #[serde(default)]
    pub cluster: u32,
    pub status: EntryStatus,
    /// The weight.
    #[serde(default)]
    pub units: Option<f64>,
    #[serde(default)]
    pub last_start_ms: Option<f64>,
}

/// The status of a server in the server list.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EntryStatus {
    Serving,
    Draining,
    Deleted,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ending {
    Done,
    Err,
    Busy,
    Etimedout,
    Econnrefused,
    Econnreset,
    Ecanceled,
    Skipped,
}

/// A line of output.
#[derive(Debug, Serialize)]
pub struct Reply {
    pub round: u64,
    pub parts: Vec<ReplyPart>,
}

/// The actions of one instance.
#[derive(Debug, Serialize)]
pub struct ReplyPart {
    pub who: u32,
    pub outbox: Vec<Outgoing>,
}

/// An action in the simulator's encoding.
#[derive(Debug, PartialEq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE", rename_all_fields = "camelCase")]
pub enum Outgoing {
    /// Send an attempt, which times out at `until_ms`.
    Route { ticket: String, backend: String, until_ms: f64 },
    /// Stop waiting for an attempt.
    Abandon { ticket: String, attempt: u32 },
    /// Final answer: refused, with the time after which the client may retry.
    OverloadReply { ticket: String, not_before_for_ms: Option<f64> },
    /// Final answer: failed.
    Abort { ticket: String },
    /// Set a timer; [`Incoming::Elapsed`] returns its `key_back`.
    Timer { at_ms: f64, key_back: u64 },
    /// Send a health probe.
    HealthCheck { backend: String },
    /// Close the idle connections to a server.
    CloseIdle { backend: String },
    /// Send a message, as hexadecimal digits, to the instance `to`, or to all if it is -1.
    Announce { to: i64, raw: String },
    /// Open or close the subscription to the server list.
    Follow { active: bool },
    /// Fetch the complete server list once.
    Pull {},
    /// Write a log line.
    NoteDown { what: String },
    /// Report a fault of the balancer or of this program.
    Bug { what: String },
}
