//! All others that a view has ever heard of, and what is asked of them for each packet: how many there are, which address
//! belongs to whom, the checksums. These are kept as lines change, and not counted anew for each packet.

use crate::member::{Identity, Number, State};
use crate::sync::Summary;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// What a view knows of one other.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Who, in the latest life.
    pub identity: Identity,
    /// How it is.
    pub state: State,
    /// Since when, by the view's clock.
    pub since: Duration,
}

/// The lines of a view but its own.
#[derive(Debug, Default)]
pub struct Table {
    lines: BTreeMap<Number, Entry>,
    /// How many lines name an address.
    addresses: HashMap<SocketAddr, usize>,
    alive: usize,
    gone: usize,
    summary: Summary,
}

impl Table {
    /// What is known of a number.
    pub fn get(&self, number: Number) -> Option<&Entry> {
        self.lines.get(&number)
    }

    /// All, by number.
    pub fn lines(&self) -> impl Iterator<Item = &Entry> {
        self.lines.values()
    }

    /// How many are there and not even suspected.
    pub fn alive(&self) -> usize {
        self.alive
    }

    /// How many are not gone.
    pub fn present(&self) -> usize {
        self.lines.len() - self.gone
    }

    /// The highest number of a line.
    pub fn highest(&self) -> Option<Number> {
        self.lines.last_key_value().map(|(number, _)| *number)
    }

    /// How many have this number or a higher one.
    pub fn from(&self, number: Number) -> usize {
        self.lines.range(number..).count()
    }

    /// Whether a line names this address.
    pub fn is_at(&self, address: SocketAddr) -> bool {
        self.addresses.contains_key(&address)
    }

    /// The checksums of all lines.
    pub fn summary(&self) -> Summary {
        self.summary
    }

    /// A line that is new, or in place of the one with its number.
    pub fn set(&mut self, entry: Entry) {
        let number = entry.identity.number;
        if let Some(before) = self.lines.remove(&number) {
            self.count(&before, |n| n.wrapping_sub(1));
            if let Some(named) = self.addresses.get_mut(&before.identity.address) {
                *named -= 1;
                if *named == 0 {
                    self.addresses.remove(&before.identity.address);
                }
            }
        }
        self.count(&entry, |n| n.wrapping_add(1));
        *self.addresses.entry(entry.identity.address).or_default() += 1;
        self.lines.insert(number, entry);
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
            table.set(Entry { identity, state, since: Duration::ZERO });
            let mut summary = Summary::default();
            table.lines().for_each(|e| summary.add(&e.identity, e.state == State::Gone));
            let of = |state: State| table.lines().filter(|e| e.state == state).count();
            assert_eq!(table.summary().digest(), summary.digest(), "step {step}");
            assert_eq!(table.summary().sums(), summary.sums(), "step {step}");
            assert_eq!(table.alive(), of(State::Alive), "step {step}");
            assert_eq!(table.present(), of(State::Alive) + of(State::Suspect), "step {step}");
            let there = table.lines().any(|e| e.identity.address == address);
            assert_eq!(table.is_at(address), there, "step {step}");
            let port = random.random_range(1..60);
            let other = SocketAddr::from(([10, 0, 0, 1], port));
            assert_eq!(table.is_at(other), table.lines().any(|e| e.identity.address == other), "step {step}");
        }
        assert_eq!(table.from(Number(0)), 40);
        assert_eq!(table.from(Number(39)), 1);
    }
}
