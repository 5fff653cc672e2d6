//! Outlier detection: a server is ejected if it fails more often in a row than chance would explain.

use super::{Balancer, Ejection, EJECTION_FAILURES, HALF_OPEN_PAUSE_FIRST, WHOLE_SERVER};
use crate::api::{Action, Time};

/// A server is ejected for failures only if as many in a row would come by chance with less than this
/// probability from a server that fails as often as the better others do. If connections break everywhere,
/// two failures in a row occur every second, and a fleet of which half is ejected has no capacity left.
const EJECTION_CHANCE_MAX: f64 = 0.002;
/// At most this share of the serving servers is ejected. If more of them fail, the cause is not the servers.
const EJECTED_SHARE_MAX: f64 = 0.75;

impl Balancer {
    /// Whether a server's consecutive failures are more than chance would bring at the failure rate of the
    /// better servers. The rate at the lower quartile of the others is used, because a network cut that
    /// affects most of the fleet leaves those untouched.
    pub(super) fn is_outlier(&self, server: usize, record: usize) -> bool {
        let failure_rates = self.serving.iter().filter(|&&i| i != server);
        let mut failure_rates: Vec<f64> =
            failure_rates.map(|&i| self.servers[i].health[record].failure_rate).collect();
        failure_rates.sort_by(f64::total_cmp);
        let usual_rate = failure_rates.get(failure_rates.len() / 4).copied().unwrap_or(0.0);
        let consecutive_failures = self.servers[server].health[record].consecutive_failures;
        consecutive_failures >= EJECTION_FAILURES
            && usual_rate.powf(f64::from(consecutive_failures)) < EJECTION_CHANCE_MAX
    }

    /// Ejects a server for all classes or for one, unless too many are ejected already.
    pub(super) fn eject(
        &mut self,
        now: Time,
        server: usize,
        record: usize,
        why: &str,
        actions: &mut Vec<Action>,
    ) {
        let is_ejected = |&&i: &&usize| {
            [WHOLE_SERVER, record].iter().any(|&record| self.servers[i].health[record].ejection.is_some())
        };
        let ejected = self.serving.iter().filter(is_ejected).count();
        let s = &mut self.servers[server];
        if s.health[record].ejection.is_some()
            || (ejected + 1) as f64 > EJECTED_SHARE_MAX * self.serving.len() as f64
        {
            return;
        }
        s.health[record].ejection =
            Some(Ejection { half_open_at: now + HALF_OPEN_PAUSE_FIRST, pause: HALF_OPEN_PAUSE_FIRST });
        actions.push(Action::Log { text: format!("server {} {why}: suspect", s.listed.server.0) });
        if record == WHOLE_SERVER {
            self.remembered = self.remembered.filter(|&m| m != server);
            self.refill_subset(now);
        }
    }
}
