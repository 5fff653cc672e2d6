//! Servers that are silent, and attempts whose answers seem to be lost.

use super::{AttemptStage, Balancer, InFlightAttempt, LOST_ANSWER_THRESHOLD, WHOLE_SERVER};
use crate::api::{Action, AttemptNo, Effect, RequestId, Time};

/// An attempt is overdue after this multiple of the usual answer time of its class, or of its own expected
/// work if that is longer.
const OVERDUE_LATENCY_FACTOR: f64 = 4.0;
/// No attempt is overdue before this share of its class's aim. If it is this balancer's only attempt on its
/// server, it is not overdue before the whole aim: it may be a costly request rather than a hang.
const OVERDUE_AIM_SHARE_MIN: f64 = 0.7;

impl Balancer {
    /// Detects silent servers and stalled attempts. A server is silent if an attempt there is overdue and
    /// nothing has come back since it was sent; it is ejected. Where answers get lost, such an attempt is
    /// stalled, and so is one that later ones have overtaken. If its request may be repeated and can still be
    /// answered in time, the attempt is cancelled so that the request is retried.
    pub(super) fn find_silent_servers(&mut self, now: Time, actions: &mut Vec<Action>) {
        let overdue = |(&key, attempt): (&(RequestId, u32), &InFlightAttempt)| {
            let (server, aim) = (&self.servers[attempt.server], self.settings.classes[attempt.class].aim);
            let aim_share_min = if server.in_flight > 1 { OVERDUE_AIM_SHARE_MIN } else { 1.0 };
            let work_ms =
                self.active_requests.get(&key.0).map_or(0.0, |active| self.expected_work_ms(active));
            let latency_ratio = self.class_latency_ratio[attempt.class].max(work_ms / aim.ms());
            let is_silent = server.last_answer_at < attempt.sent_at;
            let is_stalled = self.lost_answer_share >= LOST_ANSWER_THRESHOLD
                && (is_silent || server.newest_answered_sent_at > attempt.sent_at);
            let is_overdue = attempt.stage == AttemptStage::Processing
                && now.since(attempt.sent_at)
                    > aim * (OVERDUE_LATENCY_FACTOR * latency_ratio).max(aim_share_min);
            (is_overdue && (is_silent || is_stalled)).then_some((key, attempt.server, is_silent, is_stalled))
        };
        let overdue_attempts: Vec<_> = self.in_flight_attempts.iter().filter_map(overdue).collect();
        for &((id, attempt_no), server, is_silent, is_stalled) in &overdue_attempts {
            if is_silent {
                self.eject(now, server, WHOLE_SERVER, "silent", actions);
            }
            let newly_stalled =
                self.in_flight_attempts.get_mut(&(id, attempt_no)).filter(|f| is_stalled && !f.stalled);
            self.servers[server].stalled += u32::from(newly_stalled.is_some());
            newly_stalled.into_iter().for_each(|f| f.stalled = true);
            let Some(active) = self.active_requests.get(&id) else { continue };
            let repeatable = self.settings.classes[active.request.class.0].effect != Effect::AtMostOnce;
            let is_last = attempt_no as usize + 1 == active.attempts.len() && !active.bound;
            let may_retry =
                active.attempts.len() < self.settings.max_attempts as usize && self.retry_tokens >= 1.0;
            if repeatable && self.settings.cancel && is_last && may_retry && !self.is_too_late(now, active) {
                actions.push(Action::Cancel { request: id, attempt: AttemptNo(attempt_no) });
            }
        }
    }
}
