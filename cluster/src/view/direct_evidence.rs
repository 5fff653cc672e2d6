//! Direct evidence: whom this member has itself received packets from lately. It outweighs what others report.

use crate::by_number::ByNumber;
use crate::member::{Identity, Number, Numbers};
use foca::{Identity as _, Member};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

/// The packets that this member has received itself, by sender. Shared with the codec, since the membership protocol reads its
/// packets itself.
#[derive(Default)]
pub(super) struct DirectEvidence {
    pub(super) now: Cell<Duration>,
    /// How long somebody may be silent and still count as alive: as long as others wait before they declare it dead, and longer
    /// while this member is itself unwell and asks less often.
    pub(super) window: Cell<Duration>,
    /// The identity that sent the last packet under each number, and when.
    pub(super) last_packet: RefCell<ByNumber<(Identity, Duration)>>,
    /// Whose packet was read last: what a member says of itself needs no second witness.
    pub(super) speaker: RefCell<Option<Identity>>,
    /// Whom others declare dead while there is recent direct evidence that it is alive.
    pub(super) disputed: RefCell<BTreeMap<Number, Member<Identity>>>,
    /// Of whom the membership protocol may hold something else than the table.
    pub(super) stale: RefCell<Numbers>,
}

impl DirectEvidence {
    /// Takes note of a packet from this member.
    pub(super) fn record(&self, who: &Identity) {
        let mut last_packet = self.last_packet.borrow_mut();
        // A packet of an earlier turn is an old one.
        if last_packet.get(who.number).is_none_or(|(known, _)| !known.win_addr_conflict(who)) {
            last_packet.insert(who.number, (who.clone(), self.now.get()));
        }
        *self.speaker.borrow_mut() = Some(who.clone());
    }

    /// Whether it has sent a packet within the time that others must have waited for one in vain.
    pub(super) fn is_recent(&self, who: &Identity) -> bool {
        let last_packet = self.last_packet.borrow();
        let at = last_packet.get(who.number).filter(|(identity, _)| identity == who).map(|(_, at)| *at);
        at.is_some_and(|at| self.now.get().saturating_sub(at) < self.window.get())
    }

    /// What to believe of what others say: a death that direct evidence contradicts is a suspicion for now, so that
    /// neither the end of a partition nor one who is wrong makes everybody flap.
    pub(super) fn weigh(&self, said: Member<Identity>) -> Member<Identity> {
        let leaves = self.speaker.borrow().as_ref() == Some(said.id());
        if said.state() != foca::State::Down || leaves || !self.is_recent(said.id()) {
            return said;
        }
        let suspect = Member::new(said.id().clone(), said.incarnation(), foca::State::Suspect);
        self.disputed.borrow_mut().insert(said.id().number, said);
        suspect
    }

    /// The disputed deaths that are confirmed, since no packet has come from these members since.
    pub(super) fn confirmed_deaths(&self) -> Vec<Member<Identity>> {
        let mut proved = Vec::new();
        self.disputed.borrow_mut().retain(|number, said| {
            let at = |who: &Identity| {
                self.last_packet.borrow().get(*number).filter(|(i, _)| i == who).map(|(_, at)| *at)
            };
            match at(said.id()) {
                // Another life or turn has spoken since: the death was that of the one before.
                None => false,
                Some(_) if self.is_recent(said.id()) => true,
                Some(_) => {
                    proved.push(said.clone());
                    false
                }
            }
        });
        proved
    }
}
