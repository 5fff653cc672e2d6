//! Splits the connection limits of one agent between its processes while the platform runs two of them during
//! an upgrade, so that together they never hold more than one may. No I/O here; `file` does it.
//!
//! Each process reports what it holds and what it claims, and holds no more than it claims. A claim rises
//! only into what the others do not claim, and takes effect once it has been written and the others' reports
//! were read again after that: of two that rise at the same time, the later one sees the other's claim and
//! withdraws its own. A claim falls at once. Free connections are divided equally; a process that takes no
//! more clients claims only what it holds.
//! `docs/design/upgrade.md` compares the alternatives.

pub mod file;

/// Connections of one side, to clients or to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Side {
    /// Open now.
    pub held: usize,
    /// The most that this process will open.
    pub claim: usize,
}

/// The report of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Report {
    /// Connections to clients.
    pub clients: Side,
    /// Connections to servers.
    pub servers: Side,
    /// Resident memory, in KiB.
    pub resident_kib: usize,
}

/// The next claim on the total `total`, given what this process holds and claims and what the others report.
/// `leaving`: the process takes no more clients.
pub fn next_claim(total: usize, own: Side, others: &[Side], leaving: bool) -> usize {
    let held: usize = others.iter().map(|side| side.held).sum();
    let claimed: usize = others.iter().map(|side| side.claim).sum();
    let free = total.saturating_sub(own.held + held);
    let part = if leaving { own.held } else { own.held + free / (others.len() + 1) };
    if part <= own.claim {
        return part;
    }
    part.min(total.saturating_sub(claimed)).max(own.claim)
}

/// The most connections to open under a claim. While there are other processes a quarter of the total is left
/// to them even where this process holds more: it closes idle connections and lowers its claim as they close,
/// so that a new process gets connections even while the old one is full.
pub fn limit(total: usize, claim: usize, others: &[Side]) -> usize {
    if others.is_empty() {
        claim
    } else {
        claim.min(total - total / 4)
    }
}

/// The limit after the total has become smaller than what all processes hold: an equal part for each until
/// enough connections have closed. In all other cases the limit is unchanged, up to the total.
pub fn limit_of_smaller_total(total: usize, held: usize, limit: usize, others: &[Side]) -> usize {
    let all: usize = held + others.iter().map(|side| side.held).sum::<usize>();
    if all <= total {
        limit.min(total)
    } else {
        limit.min(total / (others.len() + 1))
    }
}

/// Whether a raised claim is valid, given the others' reports read after it was written.
pub fn claim_is_valid(total: usize, claim: usize, others: &[Side]) -> bool {
    claim + others.iter().map(|side| side.claim).sum::<usize>() <= total
}

#[cfg(test)]
mod tests;
