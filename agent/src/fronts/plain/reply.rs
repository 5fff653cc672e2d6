//! The body of an answer to a client: all of it, or as it comes from a backend.

use super::seats::Seat;
use crate::budget::Portion;
use crate::upstream::attempt::ServedBody;
use crate::upstream::body::Spoilt;
use crate::upstream::passing::Passing;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The body of an answer.
pub enum Reply {
    /// All of it, with the memory that it holds.
    Short { body: Full<Bytes>, _portion: Option<Portion> },
    /// As it comes; its connection is at work until it has ended.
    Long(Box<Passing>, Option<Answering>),
}

impl Reply {
    /// A few words of the agent's own.
    pub fn text(text: &'static str) -> Reply {
        Reply::Short { body: Full::new(Bytes::from_static(text.as_bytes())), _portion: None }
    }

    /// The answer is on its way; its connection ends with it if it `leaves`.
    pub fn begin(&mut self, seat: &Rc<Seat>, leaves: bool) {
        match self {
            Reply::Short { .. } => seat.answer(leaves),
            Reply::Long(_, answering) => *answering = Some(Answering { seat: Rc::clone(seat), leaves }),
        }
    }
}

impl From<ServedBody> for Reply {
    fn from(body: ServedBody) -> Reply {
        match body {
            ServedBody::Whole(body, portion) => {
                Reply::Short { body: Full::new(body), _portion: Some(portion) }
            }
            ServedBody::Passing(passing) => Reply::Long(passing, None),
        }
    }
}

/// Tells the seat when a long answer has ended, or will not.
pub struct Answering {
    seat: Rc<Seat>,
    leaves: bool,
}

impl Drop for Answering {
    fn drop(&mut self) {
        self.seat.answer(self.leaves);
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Spoilt;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Spoilt>>> {
        match &mut *self {
            Reply::Short { body, .. } => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Reply::Long(body, _) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Reply::Short { body, .. } => body.is_end_stream(),
            Reply::Long(body, _) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Reply::Short { body, .. } => body.size_hint(),
            Reply::Long(body, _) => body.size_hint(),
        }
    }
}
