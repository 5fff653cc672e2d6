//! The times of the view, all in one place, each with its reason. The figures that follow from them stand in
//! `docs/design/fleet-view.md`.

use crate::health::SCORE_MOST;
use crate::sync::BUCKETS;
use std::time::Duration;

/// How often a member asks one other whether it is there.
pub const PERIOD: Duration = Duration::from_millis(500);
/// How long it waits for the answer before it asks others to ask: the platform's datagrams take 20 ms at most, and a busy
/// process answers late.
pub const ANSWER_WAIT: Duration = Duration::from_millis(150);
/// How many others it asks then.
pub const HELPERS: usize = 3;
/// How often news is passed on, and to how many.
pub const GOSSIP_EVERY: Duration = Duration::from_millis(200);
/// See [`GOSSIP_EVERY`].
pub const GOSSIP_TO: usize = 3;
/// How often each piece of news is passed on: at one in two packets lost, one in a thousand pieces misses all of them.
pub const GOSSIP_TIMES: u8 = 10;
/// How often somebody who is not there is looked for, and how many of them: what mends a partition that outlasted every
/// suspicion, and finds the fleet for a member that starts.
pub const SEEK_EVERY: Duration = Duration::from_millis(1_000);
/// See [`SEEK_EVERY`].
pub const SEEK_AT_ONCE: usize = 2;
/// How often a member that knows nobody yet seeks.
pub const SEEK_EVERY_ALONE: Duration = Duration::from_millis(250);
/// How often a member compares its view with that of another.
pub const SYNC_EVERY: Duration = Duration::from_millis(1_000);
/// The same once a comparison has found a difference.
pub const SYNC_EVERY_UNLIKE: Duration = Duration::from_millis(200);
/// Records of members that answer one comparison, at least: six packets of four, by the longest names.
pub const RECORDS_AT_ONCE: usize = 24;
/// A timer that is later than this was not late by chance: the process was stopped or starved.
pub const LATE: Duration = Duration::from_millis(200);
/// A view is sure for this long after another member last had the same.
pub const SURE_FOR: Duration = Duration::from_secs(10);
/// Within this time of its start a member goes above a higher life of its own number: that one is its predecessor, and
/// the clock has stepped back. Later it is another process with its number, which counts.
pub const OWN_START: Duration = Duration::from_secs(30);
/// For how long a member keeps quiet for another with its number and a higher life.
pub const YIELD_FOR: Duration = Duration::from_secs(30);

/// How long a suspect has for contradicting, in a fleet of so many: the news has to reach it and its answer has to come
/// back, each of which takes longer the more there are.
pub fn suspicion(members: usize) -> Duration {
    let tens = (members.max(10) as f64).log10();
    PERIOD.mul_f64(4.0 * tens)
}

/// Within this a crash is known to all that run: of `members`, so many have died at once, and the network loses nothing.
/// Somebody asks each member about once a period, and of ten periods none misses it by chance; whoever asks dead members in
/// a row becomes careful, up to [`SCORE_MOST`]; then comes the suspicion, then the news.
pub fn crash_known(members: usize, dead: usize) -> Duration {
    let careful = (dead as u32).clamp(1, SCORE_MOST + 1);
    PERIOD * careful * (10 + dead as u32) + suspicion(members) * careful + news(members)
}

/// Within this a member that starts, or whose stopped process goes on, is known to all, and knows all; so many of
/// `members` are not there, and don't answer when it seeks them. Seven times as many tries as are needed on average miss
/// once in a thousand times.
pub fn join_known(members: usize, absent: usize) -> Duration {
    let there = members.saturating_sub(absent).max(1);
    let tries = (7 * members).div_ceil(SEEK_AT_ONCE * there);
    SEEK_EVERY_ALONE * tries as u32 + SEEK_EVERY * 2 + news(members) + learned(members)
}

/// How long a member that knows nobody takes to hear of all by comparison: each answer brings [`RECORDS_AT_ONCE`] records of few
/// parts of the view, and a part is not sent again once it has come whole. Where a part holds more than an answer, its pieces come
/// from anywhere in it, and some come twice.
fn learned(members: usize) -> Duration {
    let answers = members.div_ceil(RECORDS_AT_ONCE);
    let pieces = members.div_ceil(BUCKETS * RECORDS_AT_ONCE).max(1);
    SYNC_EVERY_UNLIKE.mul_f64(answers as f64 * (1.0 + (pieces as f64).ln()))
}

/// Within this all views are one after the end of a partition, however long it was: each side seeks the other's members,
/// each of whom has to hear that it was called gone.
pub fn healed(members: usize) -> Duration {
    let chance = (members.max(2) as f64).ln() + 7.0;
    SEEK_EVERY.mul_f64(chance) + news(members) * 2
}

/// Within this a member that reaches no majority, alone or with others, is no longer sure: at the latest once nobody has
/// agreed for [`SURE_FOR`], or half of all are suspected, whom two who are left ask in turn, and carefully.
pub fn limits_known(members: usize) -> Duration {
    SURE_FOR + PERIOD * (SCORE_MOST + 1) * members.div_ceil(4) as u32
}

/// How long news takes to reach all: by gossip, and by comparison where gossip has missed somebody.
fn news(members: usize) -> Duration {
    let rounds = (members.max(2) as f64).log2();
    GOSSIP_EVERY.mul_f64(rounds) + SYNC_EVERY * 3
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn suspicion_grows_with_the_logarithm_of_the_fleet() {
        assert_eq!(suspicion(0), Duration::from_millis(2_000));
        assert_eq!(suspicion(9), Duration::from_millis(2_000));
        assert_eq!(suspicion(100), Duration::from_millis(4_000));
        assert!(suspicion(2_000) < Duration::from_millis(6_700));
    }
}
