//! Brings the table up to what the membership protocol holds, and tells what has changed.

use super::{Change, Event, View};
use crate::member::{Identity, State};
use crate::table::Entry;
use foca::Identity as _;
use std::time::Duration;

impl View {
    /// Brings the table up to what the membership protocol holds, and tells what has changed.
    pub(super) fn refresh(&mut self, now: Duration) {
        if self.evidence.stale.borrow().is_none() {
            return;
        }
        let named = self.evidence.stale.take();
        let me = self.me().number;
        let mut own_higher = None;
        let mut changes = Vec::new();
        for member in self.swim.iter_membership_state().filter(|m| named.holds(m.id().number)) {
            let identity = member.id();
            if identity.number == me {
                own_higher = identity.win_addr_conflict(self.me()).then_some(identity.life);
                continue;
            }
            let state = match member.state() {
                foca::State::Alive => State::Alive,
                foca::State::Suspect => State::Suspect,
                foca::State::Down => State::Gone,
            };
            let before = self.table.get(identity.number);
            let incarnation = member.incarnation();
            let same =
                |e: &Entry| e.state == state && e.incarnation == incarnation && &e.identity == identity;
            if before.is_some_and(same) {
                continue;
            }
            if let Some(change) = change(before, identity, state) {
                changes.push((change, identity.clone()));
            }
            let since = match before {
                Some(e) if e.state == state && e.identity.life == identity.life => e.since,
                _ => now,
            };
            self.table.set(Entry { identity: identity.clone(), state, incarnation, since });
        }
        // By number, so that equal histories tell equal stories.
        changes.sort_by_key(|(_, identity)| identity.number);
        changes.into_iter().for_each(|(change, identity)| self.emit(Event::Member(change, identity)));
        if let Some(life) = own_higher {
            self.higher_life_known(now, life);
        }
    }

    pub(super) fn tell_convergence(&mut self, now: Duration) {
        let sure = self.is_sure(now);
        if sure != self.was_sure {
            self.was_sure = sure;
            self.emit(Event::Sure(sure));
        }
    }
}

/// What a step from one entry of a member to the next means to people.
fn change(before: Option<&Entry>, identity: &Identity, state: State) -> Option<Change> {
    let Some(before) = before else {
        // Somebody who is known as gone from the first was never there for this view.
        return (state != State::Gone).then_some(Change::Joined);
    };
    match (before.state, state) {
        (State::Gone, State::Alive | State::Suspect) => Some(Change::Back),
        (State::Alive | State::Suspect, State::Gone) => Some(Change::Gone),
        (State::Alive | State::Suspect, _) if identity.life > before.identity.life => Some(Change::NewLife),
        (State::Alive, State::Suspect) => Some(Change::Suspected),
        (State::Suspect, State::Alive) => Some(Change::Cleared),
        _ => None,
    }
}
