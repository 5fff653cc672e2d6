//! The end of the process bounds every request: what would be decided to a later deadline is decided to
//! this one.

use super::Balancer;
use crate::api::{Action, Time};

impl Balancer {
    /// Every open request must have its answer by an instant, however long its client would wait. Those that
    /// are held and can't be served in time any more are ended at once.
    pub(super) fn shut_down(&mut self, now: Time, answers_by: Time, out: &mut Vec<Action>) {
        self.answers_by = answers_by;
        for live in self.live.values_mut() {
            live.deadline = live.deadline.min(answers_by);
            live.wanted_by = live.wanted_by.min(answers_by);
        }
        self.pump(now, out);
    }
}
