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
