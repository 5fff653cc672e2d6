//! How many connections each process of one agent may hold while the platform runs two of them, so that both together never
//! hold more than one may. Without I/O; `file` is the shell.
//!
//! Each process says what it holds and what it claims, and holds no more than it claims. A claim rises only into what the others
//! do not claim, and counts once it has been said and the others were read again after that: of two that rise at the same time,
//! the later one sees the other and goes back. It falls at once. What is free is shared in equal parts; a process that takes no
//! clients any more claims what it holds. `docs/design/upgrade.md` weighs the ways.

pub mod file;

/// Connections of one side, to clients or to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Side {
    /// Open now.
    pub held: usize,
    /// The most that this process will open.
    pub claim: usize,
}

/// What one process says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Said {
    /// To clients.
    pub clients: Side,
    /// To servers.
    pub servers: Side,
}

/// What to claim next of `whole`, given what this process holds and claims, and what the others say. `leaving`: it takes no
/// clients any more.
pub fn next_claim(whole: usize, own: Side, others: &[Side], leaving: bool) -> usize {
    let held: usize = others.iter().map(|side| side.held).sum();
    let claimed: usize = others.iter().map(|side| side.claim).sum();
    let free = whole.saturating_sub(own.held + held);
    let part = if leaving { own.held } else { own.held + free / (others.len() + 1) };
    if part <= own.claim {
        return part;
    }
    part.min(whole.saturating_sub(claimed)).max(own.claim)
}

/// The most to open under a claim. While there are others a quarter of the whole is left to them even where this process holds
/// more: it lets the idle go, and claims less as they go, so that whoever comes beside a crowd finds a seat.
pub fn limit(whole: usize, claim: usize, others: &[Side]) -> usize {
    if others.is_empty() {
        claim
    } else {
        claim.min(whole - whole / 4)
    }
}

/// The most to open where the whole has become smaller than what all hold: an equal part each until enough has gone. In all
/// other cases the limit stays as it is.
pub fn limit_of_smaller_whole(whole: usize, held: usize, limit: usize, others: &[Side]) -> usize {
    let all: usize = held + others.iter().map(|side| side.held).sum::<usize>();
    if all <= whole {
        limit.min(whole)
    } else {
        limit.min(whole / (others.len() + 1))
    }
}

/// Whether a claim that has risen may stand, given what the others say after it was said.
pub fn may_stand(whole: usize, claim: usize, others: &[Side]) -> bool {
    claim + others.iter().map(|side| side.claim).sum::<usize>() <= whole
}

#[cfg(test)]
mod tests;
