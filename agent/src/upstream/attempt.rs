//! What an attempt is made of: the request that it carries, the answer that it ends with, and what it asks of those who sent it.

use super::passing::Passing;
use super::upload::Upload;
use crate::budget::Portion;
use crate::permits::attempt::AttemptPermit;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use ryelead::Outcome;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// A client's request as it goes to a backend.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// The headers that go on unchanged.
    pub headers: HeaderMap,
    /// Its body, or what is kept of it.
    pub body: Bytes,
    /// The rest of it, if it is long.
    pub upload: Option<Rc<Upload>>,
    /// The memory that the body holds.
    pub _portion: Option<Portion>,
}

impl Call {
    /// Fewer bytes than this are certainly not the whole message; no number of them is if it has not all come.
    pub(super) fn least_bytes(&self) -> u64 {
        let rest = match &self.upload {
            Some(upload) => upload.passed_whole(),
            None => Some(0),
        };
        let Some(rest) = rest else { return u64::MAX };
        let headers: usize = self.headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum();
        rest + (self.method.as_str().len() + self.uri.path().len() + headers + self.body.len()) as u64
    }
}

/// A backend's 200, to be passed on unchanged.
pub struct Served {
    /// The body.
    pub body: ServedBody,
    /// What it is.
    pub content_type: Option<HeaderValue>,
}

/// The body of a backend's answer.
pub enum ServedBody {
    /// All of it, and the memory that it holds.
    Whole(Bytes, Portion),
    /// As it comes.
    Passing(Box<Passing>),
}

/// How an attempt or a probe ended.
pub struct Ended {
    /// In the module's terms.
    pub outcome: Outcome,
    /// The load report, if a readable one came.
    pub report: Option<Vec<f64>>,
    /// The answer, if the outcome is a success and it has not been passed on already.
    pub served: Option<Served>,
    /// When the answer began, if it was passed on as it came.
    pub began: Option<Instant>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended { outcome, report: None, served: None, began: None }
    }
}

/// How far an attempt has come.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub enum Stage {
    /// Nothing of it can have been written.
    #[default]
    Ahead,
    /// A byte of it may have been written.
    Sent,
    /// Its answer is being passed on: no time-out and no cancel of the attempt counts any more.
    Passing,
}

/// Shows how far an attempt has come to whoever stops waiting for it.
#[derive(Default)]
pub struct Progress(Cell<Stage>);

impl Progress {
    /// How far it has come.
    pub fn stage(&self) -> Stage {
        self.0.get()
    }

    pub(super) fn set(&self, stage: Stage) {
        self.0.set(stage);
    }
}

/// What an attempt asks of those who sent it.
pub trait Owner {
    /// Allows the first byte to go now, or does not: while the connection was on its way a server may have been told to drain,
    /// and a client may have gone.
    fn permit(&self) -> Option<AttemptPermit>;
    /// A long request is about to be sent with this attempt, and can't be sent with another.
    fn bind(&self);
    /// A long answer has begun; false if its request has had its answer.
    fn begin(&self, served: Served) -> bool;
}
