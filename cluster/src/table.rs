//! The table of all other members that a view has ever learned of, with the counts and checksums that are
//! needed for each packet. These are updated as entries change instead of being recomputed for each packet.

use crate::by_number::ByNumber;
use crate::member::{Identity, MEMBERS_MAX, Number, State};
use crate::sync::{BUCKETS, Summary, bucket_of};
use foca::{Identity as _, Incarnation, Member};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a view knows of one other member.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The member, with its latest generation.
    pub identity: Identity,
    /// The state of the member.
    pub state: State,
    /// How often it has refuted a suspicion under this identity, as the membership protocol counts it. This
    /// is apart from [`Identity::incarnation`], which counts how often the member was declared dead and
    /// rejoined.
    pub swim_incarnation: Incarnation,
    /// Since when it has been in this state, by the view's clock.
    pub since: Duration,
}

impl Entry {
    /// Converts the entry to the membership protocol's record.
    fn record(&self) -> Member<Identity> {
        let state = match self.state {
            State::Alive => foca::State::Alive,
            State::Suspect => foca::State::Suspect,
            State::Down => foca::State::Down,
        };
        Member::new(self.identity.clone(), self.swim_incarnation, state)
    }
}

/// The entries of a view, except the one of this member itself.
#[derive(Debug, Default)]
pub struct Table {
    entries: ByNumber<Entry>,
    /// How many entries have each address.
    addresses: HashMap<SocketAddr, usize>,
    alive: usize,
    down: usize,
    /// How many entries each bucket has.
    bucket_sizes: [usize; BUCKETS],
    summary: Summary,
}

impl Table {
    /// Returns the entry of a number.
    pub fn get(&self, number: Number) -> Option<&Entry> {
        self.entries.get(number)
    }

    /// Iterates over all entries, in the order of their numbers.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns how many members are alive and not suspected.
    pub fn alive(&self) -> usize {
        self.alive
    }

    /// Returns how many members are alive or suspected.
    pub fn present(&self) -> usize {
        self.entries.len() - self.down
    }

    /// Returns the highest number that has an entry.
    pub fn highest(&self) -> Option<Number> {
        self.entries.last().map(|entry| entry.identity.number)
    }

    /// Returns how many entries have this number or a higher one.
    pub fn from(&self, number: Number) -> usize {
        self.entries.values_from(number).count()
    }

    /// Returns whether an entry has this address.
    pub fn is_at(&self, address: SocketAddr) -> bool {
        self.addresses.contains_key(&address)
    }

    /// Returns the checksums of all entries.
    pub fn summary(&self) -> Summary {
        self.summary
    }

    /// Returns how many entries a bucket has.
    pub fn bucket_size(&self, bucket: usize) -> usize {
        self.bucket_sizes.get(bucket).copied().unwrap_or(0)
    }

    /// Iterates over the membership protocol's records of a bucket, in the order of their numbers, starting
    /// at index `first` and wrapping around.
    pub fn records_of_bucket(&self, bucket: usize, first: usize) -> impl Iterator<Item = Member<Identity>> {
        let of_bucket = move || self.entries.values_by_step(Number(bucket as u16), BUCKETS);
        of_bucket().skip(first).chain(of_bucket().take(first)).map(Entry::record)
    }

    /// Returns whether an update could change what the membership protocol holds, which is the same as this
    /// table; false only if it can't. The protocol searches all its members for each update, and most updates
    /// repeat what is known.
    pub fn could_change(&self, update: &Member<Identity>) -> bool {
        let Some(known) = self.get(update.id().number) else { return true };
        if known.identity != *update.id() {
            return !known.identity.win_addr_conflict(update.id());
        }
        match (known.state, update.state()) {
            // A member that is dead or left stays so until a later identity appears.
            (State::Down, _) => false,
            (_, foca::State::Down) => true,
            (State::Alive, foca::State::Suspect) => update.incarnation() >= known.swim_incarnation,
            (State::Alive | State::Suspect, _) => update.incarnation() > known.swim_incarnation,
        }
    }

    /// Inserts an entry or replaces the one with its number. A number that is out of bounds is ignored.
    pub fn set(&mut self, entry: Entry) {
        if entry.identity.number.0 >= MEMBERS_MAX {
            return;
        }
        self.update_counts(&entry, |n| n.wrapping_add(1));
        *self.addresses.entry(entry.identity.address).or_default() += 1;
        let bucket = bucket_of(entry.identity.number);
        let Some(before) = self.entries.insert(entry.identity.number, entry) else {
            self.bucket_sizes[bucket] += 1;
            return;
        };
        self.update_counts(&before, |n| n.wrapping_sub(1));
        if let Some(uses) = self.addresses.get_mut(&before.identity.address) {
            *uses -= 1;
            if *uses == 0 {
                self.addresses.remove(&before.identity.address);
            }
        }
    }

    fn update_counts(&mut self, entry: &Entry, update: impl Fn(usize) -> usize) {
        match entry.state {
            State::Alive => self.alive = update(self.alive),
            State::Down => self.down = update(self.down),
            State::Suspect => {}
        }
        // Adding an entry to the summary a second time removes it.
        self.summary.add(&entry.identity, entry.state == State::Down);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::member::{Generation, Name};
    use rand::rngs::SmallRng;
    use rand::{RngExt, SeedableRng};

    /// Compares the counts, checksums and addresses with a full scan of the entries after each step of a
    /// random history.
    #[test]
    fn incremental_counts_agree_with_a_full_scan() {
        let mut random = SmallRng::seed_from_u64(7);
        let mut table = Table::default();
        for step in 0..20_000_u32 {
            let number = Number(random.random_range(0..40));
            let address = SocketAddr::from(([10, 0, 0, 1], random.random_range(1..60)));
            let state = [State::Alive, State::Suspect, State::Down][random.random_range(0..3)];
            let generation = Generation::from_unix_ms(random.random_range(1..5));
            let identity =
                Identity { number, generation, incarnation: step % 3, address, name: Name::default() };
            table.set(Entry { identity, state, swim_incarnation: 0, since: Duration::ZERO });
            let mut summary = Summary::default();
            table.entries().for_each(|e| summary.add(&e.identity, e.state == State::Down));
            let of = |state: State| table.entries().filter(|e| e.state == state).count();
            assert_eq!(table.summary().digest(), summary.digest(), "step {step}");
            assert_eq!(table.summary().checksums(), summary.checksums(), "step {step}");
            assert_eq!(table.alive(), of(State::Alive), "step {step}");
            assert_eq!(table.present(), of(State::Alive) + of(State::Suspect), "step {step}");
            let bucket = bucket_of(number);
            let of_bucket = table.entries().filter(|e| bucket_of(e.identity.number) == bucket);
            let mut records: Vec<_> = of_bucket.map(Entry::record).collect();
            assert_eq!(table.bucket_size(bucket), records.len(), "step {step}");
            let first = random.random_range(0..records.len());
            records.rotate_left(first);
            assert!(table.records_of_bucket(bucket, first).eq(records), "step {step}");
            let is_used = table.entries().any(|e| e.identity.address == address);
            assert_eq!(table.is_at(address), is_used, "step {step}");
            let port = random.random_range(1..60);
            let other = SocketAddr::from(([10, 0, 0, 1], port));
            assert_eq!(
                table.is_at(other),
                table.entries().any(|e| e.identity.address == other),
                "step {step}"
            );
        }
        assert_eq!(table.from(Number(0)), 40);
        assert_eq!(table.from(Number(39)), 1);
    }

    /// Returns the membership protocol's records in comparable form.
    fn records_of(
        swim: &foca::Foca<Identity, foca::PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
    ) -> Vec<String> {
        swim.iter_membership_state().map(|member| format!("{member:?}")).collect()
    }

    /// Guards against a table that drops an update which the membership protocol would have applied: random
    /// updates go to a real instance, and one that `could_change` rejects must change nothing there.
    #[test]
    fn an_update_that_the_table_rejects_changes_nothing_in_the_protocol() {
        let mut random = SmallRng::seed_from_u64(11);
        let (mut rejected, mut changed) = (0, 0);
        for history in 0..40 {
            let identity = |number: u16, unix_ms, incarnation, port| {
                let address = SocketAddr::from(([10, 0, 0, 1], port));
                Identity {
                    number: Number(number),
                    generation: Generation::from_unix_ms(unix_ms),
                    incarnation,
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
                let before = (records_of(&swim), swim.updates_backlog());
                let could_change = table.could_change(&update);
                let mut runtime = foca::AccumulatingRuntime::new();
                swim.apply_many([update.clone()].into_iter(), true, &mut runtime).unwrap();
                let changed_records = before.0 != records_of(&swim);
                assert!(
                    could_change || !changed_records,
                    "{update:?} was rejected and changes {:?}",
                    before.0
                );
                if !could_change {
                    assert_eq!(before.1, swim.updates_backlog(), "{update:?}");
                    assert!(runtime.to_notify().is_none() && runtime.to_send().is_none(), "{update:?}");
                }
                rejected += u32::from(!could_change);
                changed += u32::from(changed_records);
                for member in swim.iter_membership_state() {
                    let state = match member.state() {
                        foca::State::Alive => State::Alive,
                        foca::State::Suspect => State::Suspect,
                        foca::State::Down => State::Down,
                    };
                    let (identity, swim_incarnation) = (member.id().clone(), member.incarnation());
                    table.set(Entry { identity, state, swim_incarnation, since: Duration::ZERO });
                }
            }
        }
        assert!(rejected > 1_000 && changed > 500, "{rejected} rejected, {changed} changed");
    }
}
