//! The simulator's words: what its lines hold, and nothing of what to do about them.

use ryelead_settings::SettingsFile;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// One line of input: what has happened to some of the instances by the time of the clock.
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

/// An event as it stands on the wire.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Incoming<'a> {
    Attach {
        salt: u64,
        params: Box<SettingsFile>,
    },
    Retire {},
    #[serde(rename_all = "camelCase")]
    Catalog {
        r#ref: u32,
        #[serde(borrow)]
        members_list: Vec<Entry<'a>>,
    },
    Registry {
        form: Form,
        #[serde(rename = "rev")]
        _rev: i64,
        #[serde(default)]
        r#ref: Option<u32>,
    },
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
    FirstByte {
        #[serde(borrow)]
        ticket: Cow<'a, str>,
        attempt: u32,
    },
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
    Aborted {
        #[serde(borrow)]
        ticket: Cow<'a, str>,
    },
    #[serde(rename_all = "camelCase")]
    Elapsed {
        key_back: u64,
    },
    #[serde(rename_all = "camelCase")]
    Probed {
        #[serde(borrow)]
        backend: Cow<'a, str>,
        ending: Ending,
        time_taken_ms: f64,
        #[serde(default)]
        gauge: Option<Vec<f64>>,
    },
    #[serde(rename_all = "camelCase")]
    Mail {
        src_peer: u32,
        #[serde(borrow)]
        raw: Cow<'a, str>,
    },
}

/// How a list event relates to the list before it.
#[derive(Debug, Clone, Copy, Deserialize)]
pub enum Form {
    Partial,
    Complete,
    Persisted,
    Error,
}

/// A server as the list names it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Entry<'a> {
    #[serde(borrow)]
    pub backend: Cow<'a, str>,
    #[serde(default)]
    pub campus: u32,
    #[serde(default)]
    pub class_of_host: u32,
    #[serde(default)]
    pub cluster: u32,
    pub status: EntryStatus,
    #[serde(default)]
    pub units: Option<f64>,
    #[serde(default)]
    pub last_start_ms: Option<f64>,
}

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

/// One line of output.
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

/// An action as it stands on the wire.
#[derive(Debug, PartialEq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE", rename_all_fields = "camelCase")]
pub enum Outgoing {
    Route { ticket: String, backend: String, until_ms: f64 },
    Abandon { ticket: String, attempt: u32 },
    OverloadReply { ticket: String, not_before_for_ms: Option<f64> },
    Abort { ticket: String },
    Timer { at_ms: f64, key_back: u64 },
    HealthCheck { backend: String },
    CloseIdle { backend: String },
    Announce { to: i64, raw: String },
    Follow { active: bool },
    Pull {},
    NoteDown { what: String },
    Bug { what: String },
}
