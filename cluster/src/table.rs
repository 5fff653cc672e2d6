//! All others that a view has ever heard of, and what is asked of them for each packet: how many there are, which address
//! belongs to whom, the checksums. These are kept as lines change, and not counted anew for each packet.

use crate::by_number::ByNumber;
use crate::member::{Identity, MEMBERS_MOST, Number, State};
use crate::sync::{BUCKETS, Summary, bucket};
use foca::{Identity as _, Incarnation, Member};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a view knows of one other.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Who, in the latest life.
    pub identity: Identity,
    /// How it is.
    pub state: State,
    /// How often it has refuted a suspicion in this life, as the membership protocol counts it.
    pub incarnation: Incarnation,
    /// Since when, by the view's clock.
    pub since: Duration,
}

impl Entry {
    /// The same, as the membership protocol holds it.
    fn record(&self) -> Member<Identity> {
        let state = match self.state {
            State::Alive => foca::State::Alive,
            State::Suspect => foca::State::Suspect,
            State::Gone => foca::State::Down,
        };
        Member::new(self.identity.clone(), self.incarnation, state)
    }
}

/// The lines of a view but its own.
#[derive(Debug, Default)]
pub struct Table {
    entries: ByNumber<Entry>,
    /// How many lines name an address.
    addresses: HashMap<SocketAddr, usize>,
    alive: usize,
    gone: usize,
    /// How many entries each part of the view has.
    part_sizes: [usize; BUCKETS],
    summary: Summary,
}

impl Table {
    /// What is known of a number.
    pub fn get(&self, number: Number) -> Option<&Entry> {
        self.entries.get(number)
    }

    /// All, by number.
    pub fn lines(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// How many are there and not even suspected.
    pub fn alive(&self) -> usize {
        self.alive
    }

    /// How many are not gone.
    pub fn present(&self) -> usize {
        self.entries.len() - self.gone
    }

    /// The highest number of a line.
    pub fn highest(&self) -> Option<Number> {
        self.entries.last().map(|entry| entry.identity.number)
    }

    /// How many have this number or a higher one.
    pub fn from(&self, number: Number) -> usize {
        self.entries.values_from(number).count()
    }

    /// Whether a line names this address.
    pub fn is_at(&self, address: SocketAddr) -> bool {
        self.addresses.contains_key(&address)
    }

    /// The checksums of all lines.
    pub fn summary(&self) -> Summary {
        self.summary
    }

    /// How many entries a part of the view has.
    pub fn part_size(&self, part: usize) -> usize {
        self.part_sizes.get(part).copied().unwrap_or(0)
    }

    /// What the membership protocol holds of the members of a part: by number, from the one at this place on and then those
    /// before it.
    pub fn records_of_part(&self, part: usize, first: usize) -> impl Iterator<Item = Member<Identity>> {
        let of_part = move || self.entries.values_by_step(Number(part as u16), BUCKETS);
        of_part().skip(first).chain(of_part().take(first)).map(Entry::record)
    }

    /// Whether the membership protocol, which holds what this table holds, could take anything new from an update: false
    /// only if it can't. It searches all its members for each update that it is given, and most updates say what is known.
    pub fn could_change(&self, update: &Member<Identity>) -> bool {
        let Some(known) = self.get(update.id().number) else { return true };
        if known.identity != *update.id() {
            return !known.identity.win_addr_conflict(update.id());
        }
        match (known.state, update.state()) {
            // Dead is dead, until a later identity.
            (State::Gone, _) => false,
            (_, foca::State::Down) => true,
            (State::Alive, foca::State::Suspect) => update.incarnation() >= known.incarnation,
            (State::Alive | State::Suspect, _) => update.incarnation() > known.incarnation,
        }
    }

    /// An entry that is new, or in place of the one with its number. A number out of bounds is left out.
    pub fn set(&mut self, entry: Entry) {
        if entry.identity.number.0 >= MEMBERS_MOST {
            return;
        }
        self.count(&entry, |n| n.wrapping_add(1));
        *self.addresses.entry(entry.identity.address).or_default() += 1;
        let part = bucket(entry.identity.number);
        let Some(before) = self.entries.insert(entry.identity.number, entry) else {
            self.part_sizes[part] += 1;
            return;
        };
        self.count(&before, |n| n.wrapping_sub(1));
        if let Some(named) = self.addresses.get_mut(&before.identity.address) {
            *named -= 1;
            if *named == 0 {
                self.addresses.remove(&before.identity.address);
            }
        }
    }

    fn count(&mut self, entry: &Entry, step: impl Fn(usize) -> usize) {
        match entry.state {
            State::Alive => self.alive = step(self.alive),
            State::Gone => self.gone = step(self.gone),
            State::Suspect => {}
        }
        // A sum of this kind takes a line out by adding it once more.
        self.summary.add(&entry.identity, entry.state == State::Gone);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::member::{Life, Name};
    use rand::rngs::SmallRng;
    use rand::{RngExt, SeedableRng};

    /// What is kept step by step must be what a look at all lines says.
    #[test]
    fn what_is_kept_is_what_a_look_at_all_lines_says() {
        let mut random = SmallRng::seed_from_u64(7);
        let mut table = Table::default();
        for step in 0..20_000_u32 {
            let number = Number(random.random_range(0..40));
            let address = SocketAddr::from(([10, 0, 0, 1], random.random_range(1..60)));
            let state = [State::Alive, State::Suspect, State::Gone][random.random_range(0..3)];
            let life = Life::from_unix_ms(random.random_range(1..5));
            let identity = Identity { number, life, turn: step % 3, address, name: Name::default() };
            table.set(Entry { identity, state, incarnation: 0, since: Duration::ZERO });
            let mut summary = Summary::default();
            table.lines().for_each(|e| summary.add(&e.identity, e.state == State::Gone));
            let of = |state: State| table.lines().filter(|e| e.state == state).count();
            assert_eq!(table.summary().digest(), summary.digest(), "step {step}");
            assert_eq!(table.summary().sums(), summary.sums(), "step {step}");
            assert_eq!(table.alive(), of(State::Alive), "step {step}");
            assert_eq!(table.present(), of(State::Alive) + of(State::Suspect), "step {step}");
            let part = bucket(number);
            let of_part = table.lines().filter(|e| bucket(e.identity.number) == part);
            let mut records: Vec<_> = of_part.map(Entry::record).collect();
            assert_eq!(table.part_size(part), records.len(), "step {step}");
            let first = random.random_range(0..records.len());
            records.rotate_left(first);
            assert!(table.records_of_part(part, first).eq(records), "step {step}");
            let there = table.lines().any(|e| e.identity.address == address);
            assert_eq!(table.is_at(address), there, "step {step}");
            let port = random.random_range(1..60);
            let other = SocketAddr::from(([10, 0, 0, 1], port));
            assert_eq!(table.is_at(other), table.lines().any(|e| e.identity.address == other), "step {step}");
        }
        assert_eq!(table.from(Number(0)), 40);
        assert_eq!(table.from(Number(39)), 1);
    }

    /// What the membership protocol holds, as comparable lines.
    fn held(
        swim: &foca::Foca<Identity, foca::PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
    ) -> Vec<String> {
        swim.iter_membership_state().map(|member| format!("{member:?}")).collect()
    }

    /// An update that is left out because of the table must be one that the membership protocol does nothing with.
    #[test]
    fn an_update_that_could_change_nothing_changes_nothing() {
        let mut random = SmallRng::seed_from_u64(11);
        let (mut left_out, mut changed) = (0, 0);
        for history in 0..40 {
            let identity = |number: u16, unix_ms, turn, port| {
                let address = SocketAddr::from(([10, 0, 0, 1], port));
                Identity {
                    number: Number(number),
                    life: Life::from_unix_ms(unix_ms),
                    turn,
                    address,
                    name: Name::default(),
                }
            };
            let me = identity(99, 1, 0, 99);
            let own_random = SmallRng::seed_from_u64(history);
            let mut swim = foca::Foca::new(me, foca::Config::simple(), own_random, foca::PostcardCodec);
            let mut table = Table::default();
            for _ in 0..400 {
                let number = random.random_range(0..6);
                let who = identity(
                    number,
                    random.random_range(1..3),
                    random.random_range(0..2),
                    random.random_range(1..3),
                );
                let state =
                    [foca::State::Alive, foca::State::Suspect, foca::State::Down][random.random_range(0..3)];
                let update = Member::new(who, random.random_range(0..3), state);
                let before = (held(&swim), swim.updates_backlog());
                let could_change = table.could_change(&update);
                let mut runtime = foca::AccumulatingRuntime::new();
                swim.apply_many([update.clone()].into_iter(), true, &mut runtime).unwrap();
                let did_change = before.0 != held(&swim);
                assert!(could_change || !did_change, "{update:?} was left out and changes {:?}", before.0);
                if !could_change {
                    assert_eq!(before.1, swim.updates_backlog(), "{update:?}");
                    assert!(runtime.to_notify().is_none() && runtime.to_send().is_none(), "{update:?}");
                }
                left_out += u32::from(!could_change);
                changed += u32::from(did_change);
                for member in swim.iter_membership_state() {
                    let state = match member.state() {
                        foca::State::Alive => State::Alive,
                        foca::State::Suspect => State::Suspect,
                        foca::State::Down => State::Gone,
                    };
                    let (identity, incarnation) = (member.id().clone(), member.incarnation());
                    table.set(Entry { identity, state, incarnation, since: Duration::ZERO });
                }
            }
        }
        assert!(left_out > 1_000 && changed > 500, "{left_out} left out, {changed} changed");
    }
}
