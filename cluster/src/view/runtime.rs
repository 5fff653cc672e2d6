//! The actions that the membership protocol requests, and its configuration.

use crate::envelope::{BODY_MAX, Channel, seal};
use crate::member::Identity;
use crate::pace;
use foca::{Notification, PeriodicParams, Runtime, Timer};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The actions that the membership protocol requests during a call, collected for the view to carry out.
#[derive(Default)]
pub(super) struct RequestedActions {
    /// Packets in their envelopes, with their destinations.
    pub(super) sends: Vec<(SocketAddr, Vec<u8>)>,
    pub(super) timers: Vec<(Timer<Identity>, Duration)>,
    /// The fleet had declared this member dead, and it has rejoined.
    pub(super) declared_dead: bool,
}

impl Runtime<Identity> for RequestedActions {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        self.declared_dead |= matches!(notification, Notification::Rejoin(_));
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.sends.push((to.address, seal(Channel::Swim, data)));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        self.timers.push((event, after));
    }
}

/// Returns the configuration of the membership protocol.
pub(super) fn settings() -> foca::Config {
    let of = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    foca::Config {
        probe_period: pace::PROBE_INTERVAL,
        probe_rtt: pace::PROBE_TIMEOUT,
        num_indirect_probes: of(pace::INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(pace::GOSSIP_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        // Overridden in `View::swim`, by the size of the fleet and this member's health.
        suspect_to_down_after: pace::suspicion_timeout(0),
        // The last generation of a number is never forgotten, since a delayed packet from it could bring it
        // back. The bound on numbers bounds the memory.
        remove_down_after: None,
        max_packet_size: of(BODY_MAX),
        notify_down_members: true,
        periodic_announce: None,
        // The view sends its own rejoin probes, also while it knows no other member.
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(PeriodicParams {
            frequency: pace::GOSSIP_INTERVAL,
            num_members: of(pace::GOSSIP_FANOUT),
        }),
    }
}
