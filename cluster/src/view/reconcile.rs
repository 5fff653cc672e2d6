//! Updates the table from the state of the membership protocol and reports the changes.

use super::{Change, Event, View};
use crate::member::{Identity, State};
use crate::table::Entry;
use foca::Identity as _;
use std::time::Duration;

impl View {
    /// Updates the table from the state of the membership protocol and reports the changes.
    pub(super) fn refresh(&mut self, now: Duration) {
        if self.evidence.stale.borrow().is_empty() {
            return;
        }
        let stale = self.evidence.stale.take();
        let me = self.me().number;
        let mut own_higher_generation = None;
        let mut changes = Vec::new();
        for member in self.swim.iter_membership_state().filter(|m| stale.contains(m.id().number)) {
            let identity = member.id();
            if identity.number == me {
                own_higher_generation = identity.win_addr_conflict(self.me()).then_some(identity.generation);
                continue;
            }
            let state = match member.state() {
                foca::State::Alive => State::Alive,
                foca::State::Suspect => State::Suspect,
                foca::State::Down => State::Down,
            };
            let before = self.table.get(identity.number);
            let swim_incarnation = member.incarnation();
            let is_unchanged = |e: &Entry| {
                e.state == state && e.swim_incarnation == swim_incarnation && &e.identity == identity
            };
            if before.is_some_and(is_unchanged) {
                continue;
            }
            if let Some(change) = change(before, identity, state) {
                changes.push((change, identity.clone()));
            }
            let since = match before {
                Some(e) if e.state == state && e.identity.generation == identity.generation => e.since,
                _ => now,
            };
            self.table.set(Entry { identity: identity.clone(), state, swim_incarnation, since });
        }
        // In the order of numbers, so that equal histories give equal events.
        changes.sort_by_key(|(_, identity)| identity.number);
        changes.into_iter().for_each(|(change, identity)| self.emit(Event::Member(change, identity)));
        if let Some(generation) = own_higher_generation {
            self.handle_higher_generation(now, generation);
        }
    }

    /// Reports when the view converges and when it stops being converged.
    pub(super) fn report_convergence(&mut self, now: Duration) {
        let converged = self.is_converged(now);
        if converged != self.was_converged {
            self.was_converged = converged;
            self.emit(Event::Converged(converged));
        }
    }
}

/// Returns the change that is reported when a member's entry changes.
fn change(before: Option<&Entry>, identity: &Identity, state: State) -> Option<Change> {
    let Some(before) = before else {
        // A member that was dead or had left when this view first learned of it was never present in it.
        return (state != State::Down).then_some(Change::Joined);
    };
    match (before.state, state) {
        (State::Down, State::Alive | State::Suspect) => Some(Change::Rejoined),
        (State::Alive | State::Suspect, State::Down) => Some(Change::Down),
        (State::Alive | State::Suspect, _) if identity.generation > before.identity.generation => {
            Some(Change::NewGeneration)
        }
        (State::Alive, State::Suspect) => Some(Change::Suspected),
        (State::Suspect, State::Alive) => Some(Change::Refuted),
        _ => None,
    }
}
