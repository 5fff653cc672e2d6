//! Follows how an answer arrives: when it begins, and while nothing more of it comes. Silence ends nothing
//! here; the owner of the attempt is told, and the decision module decides what follows.

use super::attempt::AttemptOwner;
use crate::metered_stream::ConnectionView;
use std::cell::Cell;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::{sleep_until, timeout, Instant};

/// An answer that has begun has stalled when no more of it arrives for this long.
const STALL_TIME: Duration = Duration::from_millis(100);
/// The owner is told of progress once in this time.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);

/// The arrival of one answer.
pub struct AnswerArrival {
    last_data_at: Cell<Instant>,
}

impl AnswerArrival {
    /// An answer of which nothing has arrived.
    pub fn new() -> AnswerArrival {
        AnswerArrival { last_data_at: Cell::new(Instant::now()) }
    }

    /// Follows the answer on a connection on which `received` bytes had arrived before, and tells its owner
    /// when it begins and, again and again, while it stalls. `saw_informational` is set when a 1xx answer has
    /// been read: it is no part of the answer.
    pub async fn watch(
        &self,
        view: &ConnectionView,
        received: u64,
        saw_informational: &AtomicBool,
        owner: &impl AttemptOwner,
    ) -> Infallible {
        let (mut has_begun, mut told_at) = (false, Instant::now());
        loop {
            if !has_begun {
                view.data_arrived().await;
            } else if timeout(STALL_TIME, view.data_arrived()).await.is_err() {
                owner.answer_stalled();
                continue;
            }
            self.last_data_at.set(Instant::now());
            if saw_informational.swap(false, Ordering::Relaxed) {
                has_begun = false;
            } else if !has_begun && view.received() > received {
                (has_begun, told_at) = (true, Instant::now());
                owner.answer_begun();
            } else if has_begun && told_at.elapsed() >= PROGRESS_INTERVAL {
                told_at = Instant::now();
                owner.answer_progressed();
            }
        }
    }

    /// Whether nothing of the answer has arrived for [`STALL_TIME`].
    pub fn is_silent(&self) -> bool {
        self.last_data_at.get().elapsed() >= STALL_TIME
    }

    /// Waits until nothing of the answer has arrived for [`STALL_TIME`].
    pub async fn silence(&self) {
        while !self.is_silent() {
            sleep_until(self.last_data_at.get() + STALL_TIME).await;
        }
    }
}
