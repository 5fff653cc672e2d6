//! A sound answer that is under way: its connection is closed only for a reason on the closed list
//! ([`AnswerCloseReason`]), which is logged and counted. A close without a reason is a violation.

use crate::events;
use crate::metrics::{Count, Metrics};
use crate::permits::violations::{Violation, Violations};
use ryelead::{AnswerCloseReason, RequestId};
use std::cell::Cell;
use std::rc::Rc;

/// Where the task that gives an attempt up says why.
pub type CloseReasonCell = Rc<Cell<Option<AnswerCloseReason>>>;

/// Who is told of a close.
#[derive(Clone)]
pub struct CloseRecorder {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// The counters.
    pub metrics: Metrics,
    /// The counter of closes without a reason.
    pub violations: Violations,
    /// The reason, set before the attempt is dropped.
    pub reason: CloseReasonCell,
}

/// A sound answer of which the end has not arrived. Dropping it means that the agent closes its connection.
pub struct LiveAnswer {
    recorder: Option<CloseRecorder>,
}

impl LiveAnswer {
    /// An answer whose sound head has been read. Nothing is recorded without a recorder: answers to probes.
    pub fn new(recorder: Option<CloseRecorder>) -> LiveAnswer {
        LiveAnswer { recorder }
    }

    /// The answer has ended: it is whole, or its server has broken it off.
    pub fn end(mut self) {
        self.recorder = None;
    }

    /// The agent closes the connection for this reason.
    pub fn close(self, reason: AnswerCloseReason) {
        self.set_reason(Some(reason));
    }

    /// Sets the reason for the case that it is dropped from here on.
    pub fn set_reason(&self, reason: Option<AnswerCloseReason>) {
        if let Some(recorder) = &self.recorder {
            recorder.reason.set(reason);
        }
    }
}

impl Drop for LiveAnswer {
    fn drop(&mut self) {
        let Some(CloseRecorder { request, attempt, metrics, violations, reason }) = self.recorder.take()
        else {
            return;
        };
        events::answer_closed(request, attempt, reason.get());
        match reason.get() {
            Some(reason) => metrics.count(Count::AnswerClosed(reason)),
            None => {
                let detail = format!("request {}, attempt {attempt}", request.0);
                violations.record(Violation::AnswerClosedWithoutReason, &detail);
            }
        }
    }
}

#[cfg(test)]
mod tests;
