//! What a run needs of the machine, reckoned before anything is started.

use crate::scale::machine;

/// Members that a run may have.
pub const MEMBERS_MOST: usize = 2_000;
/// Hollow agents in one process.
pub const AGENTS_A_HOST: usize = 200;

/// Resident memory, each with room over what was measured, in MB: a real agent, a hollow one, the lab itself, and what the lab
/// keeps for each pair of members while it judges.
const REAL_MB: f64 = 12.0;
const HOLLOW_MB: f64 = 2.5;
const LAB_MB: f64 = 300.0;
const LAB_PAIR_MB: f64 = 0.0006;
/// Descriptors of a hollow agent: two listening sockets, discovery, and operators who call.
const HOLLOW_DESCRIPTORS: usize = 6;
/// Descriptors of the lab for each member: its public address, and its call to discovery.
const LAB_DESCRIPTORS: usize = 2;
/// Descriptors of the lab for each process: its standard streams and its end.
const PROCESS_DESCRIPTORS: usize = 5;
/// Descriptors that the lab or a host has besides: its runtime, listeners, views that are read.
const OTHER_DESCRIPTORS: usize = 256;
/// The share of the machine's memory that a run may take.
const MEMORY_SHARE: f64 = 0.5;
/// Processes of a run.
const PROCESSES_MOST: usize = 300;

/// What a run needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Needs {
    /// Processes besides the lab.
    pub processes: usize,
    /// Memory of all of them and the lab, in MB.
    pub memory_mb: f64,
    /// Descriptors of the lab.
    pub lab_descriptors: usize,
    /// Descriptors of one host of hollow agents.
    pub host_descriptors: usize,
}

/// What the machine has.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Room {
    /// Its memory, in MB.
    pub memory_mb: f64,
    /// Descriptors that one process may hold.
    pub descriptors: usize,
}

impl Room {
    /// That of this machine; raises the limit of descriptors as far as it goes.
    pub fn of_this_machine() -> Room {
        let memory_mb = machine::memory_mb().unwrap_or(0) as f64;
        Room { memory_mb, descriptors: usize::try_from(machine::descriptors()).unwrap_or(usize::MAX) }
    }
}

/// Why a run can't be.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum NoRoom {
    /// The number of members is out of bounds.
    #[error("{0} members: must lie between 4 and {MEMBERS_MOST}")]
    Members(usize),
    /// There are more real ones than members.
    #[error("{real} real agents: at most the {members} members, and 1 at least")]
    Real {
        /// Real agents asked for.
        real: usize,
        /// Members asked for.
        members: usize,
    },
    /// Too many processes.
    #[error("{0} processes, of which {PROCESSES_MOST} are the most: take fewer real agents")]
    Processes(usize),
    /// Too much memory.
    #[error("{needed:.0} MB of memory are needed, and half of the machine's are {allowed:.0} MB")]
    Memory {
        /// What is needed.
        needed: f64,
        /// What may be taken.
        allowed: f64,
    },
    /// Too many descriptors.
    #[error("{needed} descriptors are needed in one process, and the limit is {allowed} (`ulimit -n`)")]
    Descriptors {
        /// What is needed.
        needed: usize,
        /// What the limit is.
        allowed: usize,
    },
}

impl Needs {
    /// Those of so many members, of whom so many are real.
    pub fn of(members: usize, real: usize) -> Result<Needs, NoRoom> {
        if !(4..=MEMBERS_MOST).contains(&members) {
            return Err(NoRoom::Members(members));
        }
        if !(1..=members).contains(&real) {
            return Err(NoRoom::Real { real, members });
        }
        let hollow = members - real;
        let processes = real + hollow.div_ceil(AGENTS_A_HOST);
        let agents = real as f64 * REAL_MB + hollow as f64 * HOLLOW_MB;
        let judged = LAB_MB + LAB_PAIR_MB * (members * members) as f64;
        Ok(Needs {
            processes,
            memory_mb: agents + judged,
            lab_descriptors: members * LAB_DESCRIPTORS + processes * PROCESS_DESCRIPTORS + OTHER_DESCRIPTORS,
            host_descriptors: hollow.min(AGENTS_A_HOST) * HOLLOW_DESCRIPTORS + OTHER_DESCRIPTORS,
        })
    }

    /// Whether there is room for them.
    pub fn check(&self, room: Room) -> Result<(), NoRoom> {
        if self.processes > PROCESSES_MOST {
            return Err(NoRoom::Processes(self.processes));
        }
        let allowed = room.memory_mb * MEMORY_SHARE;
        if self.memory_mb > allowed {
            return Err(NoRoom::Memory { needed: self.memory_mb, allowed });
        }
        let needed = self.lab_descriptors.max(self.host_descriptors);
        if needed > room.descriptors {
            return Err(NoRoom::Descriptors { needed, allowed: room.descriptors });
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
