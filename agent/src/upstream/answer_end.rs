//! Decides whether an answer that is complete by its framing is the whole answer.
//!
//! A stated length that is too short ends an answer in the middle of its body, and the rest of the body
//! arrives behind that end. A good answer may be followed by a second copy of itself or by noise. A copy is
//! told from the rest of a body by the head that it begins with; noise can't be told from it. An answer that
//! is followed by anything but a copy is therefore in doubt: it is not forwarded, and its request may have
//! been executed.

use super::live_answer::LiveAnswer;
use crate::answer_scanner::SurplusKind;
use crate::events;
use crate::metered_stream::ConnectionView;
use crate::metrics::{Count, Metrics};
use ryelead::{AnswerCloseReason, ServerId};
use std::time::Duration;
use tokio::time::sleep;

/// Number of bytes behind an answer that are logged.
const LOGGED_MAX: usize = 48;
/// A head is often written on its own. Then a body whose length is stated as 0 arrives just after the answer
/// has ended, so an empty answer waits for this long before it counts as whole.
const EMPTY_ANSWER_GRACE: Duration = Duration::from_millis(2);
/// The rest of a copy of which only the beginning has arrived is waited for `PARTIAL_COPY_CHECKS` times.
const PARTIAL_COPY_INTERVAL: Duration = Duration::from_millis(1);
const PARTIAL_COPY_CHECKS: u32 = 20;

/// The check of the answer on one connection.
pub struct AnswerEnd {
    /// The server.
    pub server: ServerId,
    /// The connection.
    pub view: ConnectionView,
    /// The metrics that count what is found.
    pub metrics: Metrics,
}

impl AnswerEnd {
    /// Like [`Self::is_whole`], for an answer whose empty body matters: one that is served, or that claims
    /// that the request was not executed.
    pub async fn is_whole_after_grace(&self, body: &[u8]) -> bool {
        if self.view.is_empty_answer() {
            sleep(EMPTY_ANSWER_GRACE).await;
        }
        self.is_whole(body).await
    }

    /// Whether nothing or a copy has arrived behind the answer. `body` is its body as it was sent, or empty
    /// if that isn't known.
    pub async fn is_whole(&self, body: &[u8]) -> bool {
        let mut kind = self.view.examine_surplus(body);
        for _ in 0..PARTIAL_COPY_CHECKS {
            if kind != SurplusKind::Partial {
                break;
            }
            sleep(PARTIAL_COPY_INTERVAL).await;
            kind = self.view.examine_surplus(body);
        }
        if let Some(count) = Count::of_surplus(kind) {
            self.report(kind, count);
        }
        matches!(kind, SurplusKind::None | SurplusKind::Copy)
    }

    /// Ends an answer that could not be read to its end: its server has broken it off, or it is not sound.
    pub fn close_broken(&self, live: LiveAnswer) {
        if self.view.is_open() {
            live.close(AnswerCloseReason::Unsound);
        } else {
            live.end();
        }
    }

    fn report(&self, kind: SurplusKind, count: Count) {
        self.metrics.count(count);
        self.view.surplus(|bytes, kept| {
            let sample = &kept[..kept.len().min(LOGGED_MAX)];
            events::surplus_received(self.server, kind.name(), bytes, sample);
        });
    }
}
