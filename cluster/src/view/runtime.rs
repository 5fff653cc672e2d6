//! What the membership protocol asks for while it runs, and its configuration.

use crate::envelope::{BODY_MOST, Room, seal};
use crate::member::Identity;
use crate::pace;
use foca::{Notification, PeriodicParams, Runtime, Timer};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// What the membership protocol wants done, and takes no part in itself.
#[derive(Default)]
pub(super) struct Requests {
    /// Packets, sealed, and where to.
    pub(super) sends: Vec<(SocketAddr, Vec<u8>)>,
    pub(super) timers: Vec<(Timer<Identity>, Duration)>,
    /// The fleet had declared this member dead, and it has rejoined.
    pub(super) declared_dead: bool,
}

impl Runtime<Identity> for Requests {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        self.declared_dead |= matches!(notification, Notification::Rejoin(_));
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.sends.push((to.address, seal(Room::Swim, data)));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        self.timers.push((event, after));
    }
}

/// How the membership protocol is set.
pub(super) fn settings() -> foca::Config {
    let of = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    foca::Config {
        probe_period: pace::PERIOD,
        probe_rtt: pace::ANSWER_WAIT,
        num_indirect_probes: of(pace::HELPERS),
        max_transmissions: NonZeroU8::new(pace::GOSSIP_TIMES).unwrap_or(NonZeroU8::MIN),
        // The view sets this one by the size of the fleet and its own health, see `swim`.
        suspect_to_down_after: pace::suspicion(0),
        // A number's last life is never forgotten, or a packet from it could bring it back; numbers are bounded.
        remove_down_after: None,
        max_packet_size: of(BODY_MOST),
        notify_down_members: true,
        periodic_announce: None,
        // The view sends rejoin probes of its own, also when it is alone.
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(PeriodicParams {
            frequency: pace::GOSSIP_EVERY,
            num_members: of(pace::GOSSIP_TO),
        }),
    }
}
