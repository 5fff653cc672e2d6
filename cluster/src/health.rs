//! Local health of a member. One whose probes often fail, or whose timers fire late, gives the others more
//! time before it suspects them ("Lifeguard: Local Health Awareness for More Accurate Failure Detection",
//! Dadgar and others, 2018).

/// The highest score. Every timeout is multiplied by the score plus one, so this bounds how much longer an
/// unhealthy member takes to detect a crash.
pub const SCORE_MAX: u32 = 3;

/// A score from 0 (healthy) to [`SCORE_MAX`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Health {
    score: u32,
}

impl Health {
    /// Records a sign that this member itself is unhealthy.
    pub fn degrade(&mut self) {
        self.score = (self.score + 1).min(SCORE_MAX);
    }

    /// Records a sign that this member is healthy.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Returns the factor for this member's timeouts, from 1 to [`SCORE_MAX`] + 1.
    pub fn multiplier(self) -> u32 {
        self.score + 1
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_score_stays_within_its_bounds() {
        let mut health = Health::default();
        health.improve();
        assert_eq!(health.multiplier(), 1);
        (0..9).for_each(|_| health.degrade());
        assert_eq!(health.multiplier(), SCORE_MAX + 1);
        health.improve();
        assert_eq!(health.multiplier(), SCORE_MAX);
    }
}
