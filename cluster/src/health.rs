//! How far a member believes itself: who often gets no answers, or wakes late, gives the others more time before it
//! suspects them ("Lifeguard: Local Health Awareness for More Accurate Failure Detection", Dadgar and others, 2018).

/// The highest score. Every time-out is multiplied by one more than the score, so that this bounds how much longer a
/// crash can go unseen by somebody unwell.
pub const SCORE_MOST: u32 = 3;

/// A score from 0 (well) to [`SCORE_MOST`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Health {
    score: u32,
}

impl Health {
    /// One more sign that it is this member that is unwell.
    pub fn worse(&mut self) {
        self.score = (self.score + 1).min(SCORE_MOST);
    }

    /// One more sign that it is well.
    pub fn better(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// What its time-outs are multiplied by, from 1.
    pub fn stretch(self) -> u32 {
        self.score + 1
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_score_stays_within_its_bounds() {
        let mut health = Health::default();
        health.better();
        assert_eq!(health.stretch(), 1);
        (0..9).for_each(|_| health.worse());
        assert_eq!(health.stretch(), SCORE_MOST + 1);
        health.better();
        assert_eq!(health.stretch(), SCORE_MOST);
    }
}
