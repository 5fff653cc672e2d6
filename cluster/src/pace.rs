//! The timing of the membership protocol: all intervals and bounds in one place, each with its reason.
//! `docs/design/fleet-view.md` gives the figures that follow from them.

use crate::health::SCORE_MAX;
use crate::sync::BUCKETS;
use std::time::Duration;

/// How often a member probes one other member.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a member waits for the answer to a probe before it asks others to probe in its place: the
/// platform's datagrams take 20 ms at most, and a busy process answers late.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// How many other members are asked for an indirect probe.
pub const INDIRECT_PROBES: usize = 3;
/// How often a member gossips.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// To how many members it gossips each time.
pub const GOSSIP_FANOUT: usize = 3;
/// How often each update is passed on: with half of all packets lost, one update in a thousand loses all its
/// transmissions.
pub const GOSSIP_TRANSMISSIONS: u8 = 10;
/// How often a member sends rejoin probes to members that are absent. They heal a partition that outlasted
/// every suspicion, and they join a starting member to the fleet.
pub const REJOIN_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// How many absent members get a rejoin probe each time.
pub const REJOIN_PROBE_FANOUT: usize = 2;
/// How often a member that knows no other one sends rejoin probes.
pub const REJOIN_PROBE_INTERVAL_ALONE: Duration = Duration::from_millis(250);
/// How often a member compares its view with that of another member.
pub const SYNC_INTERVAL: Duration = Duration::from_millis(1_000);
/// How soon a member compares again after a comparison has found a difference.
pub const SYNC_INTERVAL_AFTER_DIFFERENCE: Duration = Duration::from_millis(200);
/// The fewest records of members that answer one comparison, unless fewer differ: six packets of four records
/// with the longest names.
pub const RECORDS_PER_ANSWER_MIN: usize = 24;
/// A timer that fires later than this means that the process was stopped or starved, not a chance delay.
pub const STALL_TOLERANCE: Duration = Duration::from_millis(200);
/// How long a view counts as converged after another member last had the same view.
pub const CONVERGED_FOR: Duration = Duration::from_secs(10);
/// Within this time after its start a member takes a generation above a higher one of its own number: that
/// one is its predecessor, and the clock has stepped back. After this time the higher one belongs to another
/// process with the same number, which takes precedence.
pub const STARTUP_WINDOW: Duration = Duration::from_secs(30);
/// How long a member stays silent in favour of another process with its number and a higher generation.
pub const YIELD_DURATION: Duration = Duration::from_secs(30);

/// Returns how long a suspect has to refute the suspicion in a fleet of this size: the suspicion has to reach
/// it and its refutation has to come back, each of which takes longer the more members there are.
pub fn suspicion_timeout(members: usize) -> Duration {
    let magnitude = (members.max(10) as f64).log10();
    PROBE_INTERVAL.mul_f64(4.0 * magnitude)
}

/// Returns the time within which all running members know of a crash, where `dead` of `members` died at once
/// and the network loses nothing. About once per probe interval some member probes each member, and none is
/// missed by chance for ten intervals. A member that probes several dead ones in a row raises its own
/// timeouts by up to [`SCORE_MAX`]. Then come the suspicion timeout and the gossip of the death.
pub fn crash_detection_bound(members: usize, dead: usize) -> Duration {
    let multiplier = (dead as u32).clamp(1, SCORE_MAX + 1);
    PROBE_INTERVAL * multiplier * (10 + dead as u32)
        + suspicion_timeout(members) * multiplier
        + propagation_time(members)
}

/// Returns the time within which a member that starts, or resumes after its process was stopped, is known to
/// all and knows all, where `absent` of `members` are not running and don't answer its rejoin probes. Seven
/// times as many probes as are needed on average miss once in a thousand times.
pub fn join_bound(members: usize, absent: usize) -> Duration {
    let present = members.saturating_sub(absent).max(1);
    let probes = (7 * members).div_ceil(REJOIN_PROBE_FANOUT * present);
    REJOIN_PROBE_INTERVAL_ALONE * probes as u32
        + REJOIN_PROBE_INTERVAL * 2
        + propagation_time(members)
        + sync_time(members)
}

/// Returns how long a member that knows no other one takes to learn all of them by comparison. Each answer
/// brings [`RECORDS_PER_ANSWER_MIN`] records of a few buckets of the view, and a bucket is not sent again
/// once it has arrived whole. Where a bucket holds more than an answer, each answer starts at a random record
/// in it, and some records arrive twice.
fn sync_time(members: usize) -> Duration {
    let answers = members.div_ceil(RECORDS_PER_ANSWER_MIN);
    let answers_per_bucket = members.div_ceil(BUCKETS * RECORDS_PER_ANSWER_MIN).max(1);
    SYNC_INTERVAL_AFTER_DIFFERENCE.mul_f64(answers as f64 * (1.0 + (answers_per_bucket as f64).ln()))
}

/// Returns the time within which all views are equal after a partition has ended, however long it lasted:
/// each side sends rejoin probes to the other's members, each of which has to learn that it was declared
/// dead.
pub fn partition_heal_bound(members: usize) -> Duration {
    let rounds = (members.max(2) as f64).ln() + 7.0;
    REJOIN_PROBE_INTERVAL.mul_f64(rounds) + propagation_time(members) * 2
}

/// Returns the time within which a member that reaches no majority, alone or with others, counts as not
/// converged: at the latest once no member has agreed for [`CONVERGED_FOR`], or once half of all members are
/// suspected, which two remaining members probe one after another, with raised timeouts.
pub fn minority_detection_bound(members: usize) -> Duration {
    CONVERGED_FOR + PROBE_INTERVAL * (SCORE_MAX + 1) * members.div_ceil(4) as u32
}

/// Returns how long an update takes to reach all members: by gossip, and by comparison where gossip has
/// missed a member.
fn propagation_time(members: usize) -> Duration {
    let rounds = (members.max(2) as f64).log2();
    GOSSIP_INTERVAL.mul_f64(rounds) + SYNC_INTERVAL * 3
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn suspicion_grows_with_the_logarithm_of_the_fleet() {
        assert_eq!(suspicion_timeout(0), Duration::from_millis(2_000));
        assert_eq!(suspicion_timeout(9), Duration::from_millis(2_000));
        assert_eq!(suspicion_timeout(100), Duration::from_millis(4_000));
        assert!(suspicion_timeout(2_000) < Duration::from_millis(6_700));
    }
}
