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
mod tests {
    use super::*;

    const WHOLE: usize = 168;

    fn side(held: usize, claim: usize) -> Side {
        Side { held, claim }
    }

    #[test]
    fn alone_it_has_all_and_beside_another_what_that_does_not_claim() {
        assert_eq!(next_claim(WHOLE, side(0, 0), &[], false), WHOLE);
        // A new one waits until the old one has heard of it, and takes what that leaves.
        assert_eq!(next_claim(WHOLE, side(0, 0), &[side(68, WHOLE)], false), 0);
        assert_eq!(next_claim(WHOLE, side(68, WHOLE), &[side(0, 0)], false), 118);
        assert_eq!(next_claim(WHOLE, side(0, 0), &[side(68, 118)], false), 50);
        // On its way out the old one keeps what it holds, and the new one gets the rest as that falls.
        assert_eq!(next_claim(WHOLE, side(60, 118), &[side(30, 50)], true), 60);
        assert_eq!(next_claim(WHOLE, side(30, 50), &[side(60, 60)], false), 69);
        assert_eq!(next_claim(WHOLE, side(30, 69), &[side(0, 0)], false), 99);
        assert_eq!(next_claim(WHOLE, side(30, 99), &[], false), WHOLE);
        // One that holds everything lets some go.
        assert_eq!(limit(WHOLE, WHOLE, &[]), WHOLE);
        assert_eq!((limit(WHOLE, WHOLE, &[side(0, 0)]), limit(WHOLE, 90, &[side(0, 0)])), (126, 90));
    }

    #[test]
    fn a_whole_that_has_become_smaller_is_held_by_each_in_equal_parts_until_enough_has_gone() {
        assert_eq!(limit_of_smaller_whole(50, 100, 100, &[]), 50);
        assert_eq!(limit_of_smaller_whole(50, 38, 38, &[side(20, 20)]), 25);
        assert_eq!(limit_of_smaller_whole(50, 20, 20, &[side(38, 38)]), 20);
        // What fits is left alone.
        assert_eq!(limit_of_smaller_whole(WHOLE, 60, 118, &[side(30, 50)]), 118);
    }

    /// One step of a process: it reads, says what it claims, reads again, and goes by it.
    #[derive(Clone, Copy, Default)]
    enum Step {
        #[default]
        Reads,
        Says(usize),
        Looks(usize),
    }

    #[derive(Clone, Copy, Default)]
    struct Process {
        said: Side,
        held: usize,
        next: Step,
        leaving: bool,
        limit: usize,
    }

    impl Process {
        fn step(&mut self, others: &[Side]) {
            self.next = match self.next {
                Step::Reads => {
                    let own = Side { held: self.held, ..self.said };
                    Step::Says(next_claim(WHOLE, own, others, self.leaving))
                }
                Step::Says(claim) => {
                    let before = std::mem::replace(&mut self.said, Side { held: self.held, claim }).claim;
                    if claim > before {
                        Step::Looks(before)
                    } else {
                        self.limit = limit(WHOLE, claim, others);
                        Step::Reads
                    }
                }
                Step::Looks(before) => {
                    if !may_stand(WHOLE, self.said.claim, others) {
                        self.said.claim = before;
                    }
                    self.limit = limit(WHOLE, self.said.claim, others);
                    Step::Reads
                }
            };
        }
    }

    /// Processes that start, crowd, leave and die in any order, whose steps fall between those of others as they like: never do
    /// all together hold more than the whole.
    #[test]
    fn all_together_never_hold_more_than_the_whole() {
        let mut most = 0;
        for seed in 0..5_000 {
            let mut random = fastrand::Rng::with_seed(seed);
            let mut all: Vec<Process> = vec![Process::default()];
            for _ in 0..300 {
                let me = random.usize(0..all.len());
                match random.u8(0..16) {
                    0 if all.len() < 3 => all.push(Process::default()),
                    1 if all.len() > 1 => drop(all.remove(me)),
                    2 => all[me].leaving = random.bool(),
                    3..=6 => {
                        // As many as it may, or some end. What it reads and says between is one step of its program.
                        let p = &mut all[me];
                        if matches!(p.next, Step::Reads) {
                            let fewer = random.usize(0..=p.held);
                            p.held = if random.bool() { p.limit.max(p.held) } else { fewer };
                        }
                    }
                    _ => {
                        let others = all.iter().enumerate().filter(|(i, _)| *i != me);
                        let others: Vec<Side> = others.map(|(_, p)| p.said).collect();
                        all[me].step(&others);
                    }
                }
                let held: usize = all.iter().map(|p| p.held).sum();
                assert!(held <= WHOLE, "seed {seed}: {held} of {WHOLE}");
                most = most.max(held);
            }
        }
        assert_eq!(most, WHOLE, "the bound was never reached");
    }
}
