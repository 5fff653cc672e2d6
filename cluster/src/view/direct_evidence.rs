//! Direct evidence: the members from which this one has received packets recently. It takes precedence over
//! what other members report.

use crate::by_number::ByNumber;
use crate::member::{Identity, Number, NumberSet};
use foca::{Identity as _, Member};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

/// The last packet that this member received from each other one. It is shared with the codec, since the
/// membership protocol decodes its packets itself.
#[derive(Default)]
pub(super) struct DirectEvidence {
    pub(super) now: Cell<Duration>,
    /// How long a member may be silent and still count as alive: as long as others wait before they declare
    /// it dead, and longer while this member itself is unhealthy and probes less often.
    pub(super) window: Cell<Duration>,
    /// The identity that sent the last packet under each number, and when.
    pub(super) last_packet: RefCell<ByNumber<(Identity, Duration)>>,
    /// The sender of the packet that is being decoded: what a member reports of itself needs no confirmation.
    pub(super) last_sender: RefCell<Option<Identity>>,
    /// Members that others declare dead while there is recent direct evidence that they are alive.
    pub(super) disputed: RefCell<BTreeMap<Number, Member<Identity>>>,
    /// Members for which the membership protocol may hold something else than the table.
    pub(super) stale: RefCell<NumberSet>,
}

impl DirectEvidence {
    /// Records a packet from this member.
    pub(super) fn record(&self, who: &Identity) {
        let mut last_packet = self.last_packet.borrow_mut();
        // A packet of an earlier identity was delayed and is no evidence.
        if last_packet.get(who.number).is_none_or(|(known, _)| !known.win_addr_conflict(who)) {
            last_packet.insert(who.number, (who.clone(), self.now.get()));
        }
        *self.last_sender.borrow_mut() = Some(who.clone());
    }

    /// Returns whether this identity has sent a packet within the time after which others would declare it
    /// dead.
    pub(super) fn is_recent(&self, who: &Identity) -> bool {
        let last_packet = self.last_packet.borrow();
        let at = last_packet.get(who.number).filter(|(identity, _)| identity == who).map(|(_, at)| *at);
        at.is_some_and(|at| self.now.get().saturating_sub(at) < self.window.get())
    }

    /// Filters an update from another member: a death that direct evidence contradicts becomes a suspicion
    /// for now, so that neither the end of a partition nor a single mistaken member makes the states of
    /// members flap.
    pub(super) fn apply_evidence(&self, reported: Member<Identity>) -> Member<Identity> {
        let self_reported = self.last_sender.borrow().as_ref() == Some(reported.id());
        if reported.state() != foca::State::Down || self_reported || !self.is_recent(reported.id()) {
            return reported;
        }
        let suspect = Member::new(reported.id().clone(), reported.incarnation(), foca::State::Suspect);
        self.disputed.borrow_mut().insert(reported.id().number, reported);
        suspect
    }

    /// Removes and returns the disputed deaths that are confirmed because no packet has come from these
    /// members since.
    pub(super) fn confirmed_deaths(&self) -> Vec<Member<Identity>> {
        let mut confirmed = Vec::new();
        self.disputed.borrow_mut().retain(|number, reported| {
            let at = |who: &Identity| {
                self.last_packet.borrow().get(*number).filter(|(i, _)| i == who).map(|(_, at)| *at)
            };
            match at(reported.id()) {
                // A later identity has sent a packet since: the death was that of the earlier one.
                None => false,
                Some(_) if self.is_recent(reported.id()) => true,
                Some(_) => {
                    confirmed.push(reported.clone());
                    false
                }
            }
        });
        confirmed
    }
}
