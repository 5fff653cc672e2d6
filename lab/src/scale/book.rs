//! What is written down of a large fleet: the same evidence as of a small one. Views are read whole only where a summary says that
//! they have changed, so that reading is not the load.

use crate::fleet::evidence::{Belief, Entry, Evidence, Reader, Seen};
use crate::scale::protocol::Summary;
use std::net::SocketAddr;
use std::time::Instant;

/// What an agent last said.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Said {
    life: u64,
    digest: u64,
    sure: bool,
    present: usize,
}

/// What is known of one agent from outside.
#[derive(Default)]
struct Observer {
    /// Counts starts and ends, so that what one life has said is not taken for another's.
    generation: u64,
    /// Where operators call, while it runs.
    admin: Option<SocketAddr>,
    said: Option<Said>,
    reader: Reader,
    /// The digest of the view that was last read whole, where nobody in it was suspected.
    read_whole: Option<u64>,
    read_at: Option<Instant>,
}

/// A view that is to be read whole.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Wanted {
    /// Whose.
    pub member: usize,
    /// In which of its generations.
    pub generation: u64,
    /// Where.
    pub admin: SocketAddr,
}

/// The evidence, and what each agent last said.
pub struct Book {
    start: Instant,
    evidence: Evidence,
    observers: Vec<Observer>,
}

impl Book {
    /// An empty one, of so many agents, from now on.
    pub fn new(agents: usize) -> Book {
        let observers = (0..agents).map(|_| Observer::default()).collect();
        Book { start: Instant::now(), evidence: Evidence::default(), observers }
    }

    /// All that was written down; it is there no more afterwards.
    pub fn take_evidence(&mut self) -> Evidence {
        std::mem::take(&mut self.evidence)
    }

    /// Writes down what happens now.
    pub fn write(&mut self, entry: Entry) {
        self.evidence.entries.push((self.start.elapsed().as_secs_f64(), entry));
    }

    /// An agent runs from now on, from nothing.
    pub fn started(&mut self, member: usize, admin: SocketAddr) {
        let generation = self.observers[member].generation + 1;
        self.observers[member] = Observer { generation, admin: Some(admin), ..Observer::default() };
        self.write(Entry::Started(member));
    }

    /// What an agent says from now on counts no more: it is about to end.
    pub fn ending(&mut self, member: usize) {
        let generation = self.observers[member].generation + 1;
        self.observers[member] = Observer { generation, ..Observer::default() };
    }

    /// The generation of each agent that runs.
    pub fn generations(&self) -> Vec<u64> {
        self.observers.iter().map(|observer| observer.generation).collect()
    }

    /// Agents that run.
    pub fn running(&self) -> usize {
        self.observers.iter().filter(|observer| observer.admin.is_some()).count()
    }

    /// An agent of this generation has said this in short.
    pub fn summed(&mut self, summary: &Summary, generation: u64) {
        let Summary { number, life, digest, sure, present } = *summary;
        let Some(observer) = self.observers.get_mut(number) else { return };
        if observer.generation != generation || observer.admin.is_none() {
            return;
        }
        let said = Said { life, digest, sure, present };
        let before = observer.said.replace(said);
        if before.map(|b| (b.life, b.digest, b.sure)) != Some((life, digest, sure)) {
            self.write(Entry::Stands { observer: number, life, digest, sure });
        }
    }

    /// A whole view of an agent of this generation.
    pub fn read(&mut self, wanted: &Wanted, seen: Seen) {
        let agents = self.observers.len();
        let observer = &mut self.observers[wanted.member];
        if observer.generation != wanted.generation || observer.admin.is_none() {
            return;
        }
        let count = |belief: Belief| seen.lines.iter().filter(|line| line.2 == belief).count();
        let (suspects, alive) = (count(Belief::Suspect), count(Belief::Alive));
        let Seen { life, digest, sure, .. } = seen;
        observer.said = Some(Said { life, digest, sure, present: alive + suspects });
        observer.read_whole = (suspects == 0).then_some(digest);
        observer.read_at = Some(Instant::now());
        let entries = observer.reader.read(wanted.member, seen, agents);
        let at = self.start.elapsed().as_secs_f64();
        self.evidence.entries.extend(entries.into_iter().map(|entry| (at, entry)));
    }

    /// Those of these agents whose whole view is out of date and was not read since `before`.
    pub fn outdated(&self, members: &[usize], before: Instant) -> Vec<Wanted> {
        let wanted = |member: &usize| {
            let observer = &self.observers[*member];
            let said = observer.said?;
            let due = observer.read_at.is_none_or(|at| at <= before);
            (due && observer.read_whole != Some(said.digest)).then_some(())?;
            Some(Wanted { member: *member, generation: observer.generation, admin: observer.admin? })
        };
        members.iter().filter_map(wanted).collect()
    }

    /// An agent as one whose whole view is to be read, if it runs.
    pub fn wanted(&self, member: usize) -> Option<Wanted> {
        let observer = &self.observers[member];
        Some(Wanted { member, generation: observer.generation, admin: observer.admin? })
    }

    /// True if all that run have said one and the same, which is true, and their whole views were read since.
    pub fn is_settled(&self) -> bool {
        let running = self.running();
        let sure = running * 2 > self.observers.len();
        let mut digest = None;
        self.observers.iter().filter(|observer| observer.admin.is_some()).all(|observer| {
            let Some(said) = observer.said else { return false };
            let same = *digest.get_or_insert(said.digest) == said.digest;
            let read = observer.read_whole == Some(said.digest);
            same && read && said.sure == sure && said.present == running
        })
    }

    /// How many that run have said that, of how many: for people who wait.
    pub fn agreeing(&self) -> (usize, usize) {
        let running = self.running();
        let agrees = |o: &&Observer| o.admin.is_some() && o.said.is_some_and(|said| said.present == running);
        (self.observers.iter().filter(agrees).count(), running)
    }
}

#[cfg(test)]
mod tests;
