//! Shutdown: when the process ends, no request keeps a deadline later than the end that is announced.

use super::Balancer;
use crate::api::{Action, Time};

impl Balancer {
    /// Limits the deadlines of all active requests, and of later ones, to `answers_by`, however long their
    /// clients would wait. Pending requests that can't be answered by then are ended at once.
    pub(super) fn shut_down(&mut self, now: Time, answers_by: Time, actions: &mut Vec<Action>) {
        self.answers_by = answers_by;
        for active in self.active_requests.values_mut() {
            active.deadline = active.deadline.min(answers_by);
            active.full_worth_until = active.full_worth_until.min(answers_by);
        }
        self.dispatch_pending(now, actions);
    }
}
