//! What is written down while a schedule runs, by those outside the agents: what was done to them, and what each said.

use crate::fleet::plan::Kind;
use std::collections::HashSet;

/// What a member says of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Belief {
    /// It is there and answers.
    Alive,
    /// It has not answered somebody.
    Suspect,
    /// It is gone.
    Gone,
}

impl Belief {
    /// Reads an agent's word for it.
    pub fn of_word(word: &str) -> Option<Belief> {
        match word {
            "alive" => Some(Belief::Alive),
            "suspect" => Some(Belief::Suspect),
            "gone" => Some(Belief::Gone),
            _ => None,
        }
    }
}

/// Something that happened, or was said.
#[derive(Debug, Clone, PartialEq)]
pub enum Entry {
    /// A process of a member runs from now on; it knows nothing yet.
    Started(usize),
    /// It was killed, or has ended as it was told.
    Ended(usize),
    /// It was told to end and may say so to others.
    Ending(usize),
    /// It has ended by itself.
    Crashed(usize),
    /// It does not run for a while.
    Stopped(usize),
    /// It runs again.
    Continued(usize),
    /// Another process of the same member has taken over.
    Upgraded(usize),
    /// A fault of the network began; its place in the plan.
    Began(usize, Kind),
    /// It ended.
    Over(usize, Kind),
    /// `observer` says this of `member` from now on.
    Says {
        /// Who says it.
        observer: usize,
        /// Of whom.
        member: usize,
        /// In which life.
        life: u64,
        /// What.
        belief: Belief,
    },
    /// `observer` says this of itself and its view from now on.
    Stands {
        /// Who says it.
        observer: usize,
        /// Its life.
        life: u64,
        /// Its digest.
        digest: u64,
        /// Whether it is sure.
        sure: bool,
    },
    /// It has sent more packets in a second than it may.
    Flooded(usize),
    /// `observer` said something that no view may say.
    Odd {
        /// Who.
        observer: usize,
        /// What.
        what: String,
    },
}

/// All of it, in the order of its time, in seconds by the machine's monotonic clock.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Evidence {
    /// Each with its time.
    pub entries: Vec<(f64, Entry)>,
}

/// A whole view as it was read at one moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Seen {
    /// The observer's life.
    pub life: u64,
    /// Its digest.
    pub digest: u64,
    /// Whether it is sure.
    pub sure: bool,
    /// Its lines: number, life, belief; the observer's own among them.
    pub lines: Vec<(usize, u64, Belief)>,
}

/// Turns whole views, one after the other, into what has changed.
#[derive(Default)]
pub struct Reader {
    last: Option<Seen>,
}

impl Reader {
    /// What a view says that the one before did not.
    pub fn read(&mut self, observer: usize, seen: Seen, agents: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let before = self.last.take().unwrap_or_default();
        let said_before: HashSet<&(usize, u64, Belief)> = before.lines.iter().collect();
        let mut members = HashSet::new();
        let mut own = 0;
        for line in &seen.lines {
            let (member, life, belief) = *line;
            if !members.insert(member) {
                entries
                    .push(Entry::Odd { observer, what: format!("number {member} stands twice in its view") });
            }
            if member >= agents {
                entries.push(Entry::Odd { observer, what: format!("number {member} was never started") });
            }
            if member == observer {
                own += 1;
                if belief != Belief::Alive {
                    entries.push(Entry::Odd { observer, what: format!("it calls itself {belief:?}") });
                }
            } else if !said_before.contains(line) {
                entries.push(Entry::Says { observer, member, life, belief });
            }
        }
        if own != 1 {
            entries.push(Entry::Odd { observer, what: format!("it stands {own} times in its own view") });
        }
        if (before.life, before.digest, before.sure) != (seen.life, seen.digest, seen.sure)
            || entries.is_empty() && before.lines.is_empty()
        {
            let Seen { life, digest, sure, .. } = seen;
            entries.push(Entry::Stands { observer, life, digest, sure });
        }
        self.last = Some(seen);
        entries
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_changes_is_written_down_and_what_no_view_may_say() {
        let mut reader = Reader::default();
        let view =
            |lines: &[(usize, u64, Belief)]| Seen { life: 1, digest: 2, sure: true, lines: lines.to_vec() };
        let whole = view(&[(0, 1, Belief::Alive), (1, 5, Belief::Alive)]);
        assert_eq!(reader.read(0, whole.clone(), 2).len(), 2);
        assert_eq!(reader.read(0, whole, 2), []);
        let suspect = view(&[(0, 1, Belief::Alive), (1, 5, Belief::Suspect)]);
        let says = Entry::Says { observer: 0, member: 1, life: 5, belief: Belief::Suspect };
        assert_eq!(reader.read(0, suspect, 2), [says]);
        for odd in [
            view(&[(0, 1, Belief::Alive), (1, 5, Belief::Suspect), (1, 6, Belief::Gone)]),
            view(&[(0, 1, Belief::Alive), (7, 5, Belief::Suspect)]),
            view(&[(1, 5, Belief::Suspect)]),
            view(&[(0, 1, Belief::Gone), (1, 5, Belief::Suspect)]),
        ] {
            let entries = reader.read(0, odd, 2);
            assert!(entries.iter().any(|e| matches!(e, Entry::Odd { .. })), "{entries:?}");
        }
    }
}
