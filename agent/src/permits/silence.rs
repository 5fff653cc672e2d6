//! Decides when a connection whose peer is silent is closed while an answer or a request is under way on it. The
//! peer may be cut off for a while: the connection stays open and silent, and goes on when the cut is over.

use std::time::Duration;

/// A peer that is silent for this long is given up in any case. Zones are cut off for up to 20 s in the
/// deployments, and a list call may be held for 60 s; nothing that a page names is silent for longer.
pub const SILENCE_MAX: Duration = Duration::from_secs(120);
/// A connection whose peer has been silent for this long is closed if what it holds is needed for others. It is
/// longer than a sound peer pauses that is not cut off.
pub const NEEDED_SILENCE_MIN: Duration = Duration::from_secs(5);

/// Whether others wait for what a silent connection holds: memory, a descriptor, or the end of a drain.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Need {
    /// Nobody does.
    None,
    /// Somebody does.
    Others,
}

/// The longest silence of a peer for which its connection is kept.
pub fn silence_max(need: Need) -> Duration {
    match need {
        Need::None => SILENCE_MAX,
        Need::Others => NEEDED_SILENCE_MIN,
    }
}

#[cfg(test)]
mod tests;
