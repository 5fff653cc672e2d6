//! The booking server: [`model`] on real sockets, with faults on command and every deed in the truth log.

pub mod model;
mod shell;

pub use model::Figures;
pub use shell::{Booking, Look, Repeats, Seen, Setup, Work};

use crate::standins::http::Message;

/// Where a request breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Point {
    /// At its first byte.
    BeforeHead,
    /// Once its head has come.
    AfterHead,
    /// When its work is done, before it takes effect.
    BeforeEffect,
    /// When it has taken effect, before its answer.
    AfterEffect,
    /// After half of its answer.
    HalfAnswer,
}

/// How load reports are spoilt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reports {
    /// As the server stands.
    #[default]
    Sound,
    /// Each figure off by up to half.
    Noisy,
    /// Figures that can't be.
    Absurd,
    /// None at all.
    Missing,
}

/// What a script has a server do about a request, in place of its own work.
#[derive(Debug, Clone)]
pub enum Act {
    /// Writes this and keeps the connection.
    Answer(String),
    /// Writes this and ends the connection.
    Last(String),
    /// Writes these one after the other, with a pause between that is longer than an answer may stall.
    Parts(Vec<String>),
    /// Writes these one after the other with this pause between them, and then ends the connection if told so.
    Paced {
        /// What is written.
        parts: Vec<String>,
        /// The pause between two of them.
        pause: std::time::Duration,
        /// Whether the connection ends after the last one.
        ends: bool,
    },
    /// Says nothing until the agent gives up.
    Silence,
    /// Waits until the gate is opened once more, then answers this.
    Gated(std::sync::Arc<tokio::sync::Semaphore>, String),
}

/// Decides what a server does about a request; `None` leaves it to the model.
pub type Script = dyn Fn(&Message) -> Option<Act> + Send + Sync;
