//! How long a packet takes between two members: 16 zones in 7 regions.

use std::time::Duration;

/// Zones; a member is in one by its number.
pub const ZONES: usize = 16;
/// Regions; a zone is in one by its number.
pub const REGIONS: usize = 7;
/// The longest that a packet takes between regions.
const LONGEST: f64 = 0.040;

/// The region that a member is in.
pub fn region(member: usize) -> usize {
    member % ZONES % REGIONS
}

/// How long one packet takes: from 0.3 ms within a zone to 40 ms between the regions that are farthest apart.
pub fn delay(random: &mut fastrand::Rng, from: usize, to: usize) -> Duration {
    let shortest = if from % ZONES == to % ZONES {
        0.000_3
    } else if region(from) == region(to) {
        0.000_8
    } else {
        0.006 * region(from).abs_diff(region(to)) as f64
    };
    // Most packets are near the shortest time, a few take up to half as long again.
    let jitter = 1.0 + 0.5 * random.f64().powi(3);
    Duration::from_secs_f64((shortest * jitter).min(LONGEST))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn packets_take_0_3_to_40_ms_and_longer_between_regions() {
        let mut random = fastrand::Rng::with_seed(1);
        for _ in 0..10_000 {
            let (from, to) = (random.usize(0..1_600), random.usize(0..1_600));
            let delay = delay(&mut random, from, to).as_secs_f64();
            assert!((0.000_3..=LONGEST).contains(&delay), "{delay}");
            assert_eq!(delay > 0.005, region(from) != region(to), "{from} to {to}: {delay}");
        }
    }
}
