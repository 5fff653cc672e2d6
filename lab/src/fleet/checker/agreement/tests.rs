use super::*;
use crate::fleet::checker::member::Run;
use crate::fleet::checker::World;
use crate::fleet::plan::{Knows, Plan};

const AGENTS: usize = 5;
const HISTORIES: u64 = 200;
const ENTRIES: usize = 300;

/// Any entry about members, with few lives and digests, so that they often agree.
fn any_entry(random: &mut fastrand::Rng) -> Entry {
    let (observer, member) = (random.usize(..AGENTS), random.usize(..AGENTS));
    let life = random.u64(1..3);
    let belief =
        [Belief::Alive, Belief::Alive, Belief::Alive, Belief::Suspect, Belief::Gone][random.usize(..5)];
    match random.u8(..40) {
        0 => Entry::Started(member),
        1 => Entry::Ended(member),
        2 => Entry::Stopped(member),
        3 => Entry::Continued(member),
        4 => Entry::Ending(member),
        5 => Entry::Upgraded(member),
        6 => Entry::Crashed(member),
        7..=14 => Entry::Stands { observer, life, digest: random.u64(..2), sure: random.bool() },
        _ => Entry::Says { observer, member, life, belief },
    }
}

/// The same by looking at all pairs.
fn count_all_wrong(members: &[Member]) -> usize {
    let of = |observer: usize| (0..members.len()).filter(move |member| is_wrong(members, observer, *member));
    (0..members.len()).map(|observer| of(observer).count()).sum()
}

#[test]
fn what_is_counted_entry_by_entry_is_what_a_look_at_all_pairs_finds() {
    let plan = Plan {
        name: "x".into(),
        about: "x".into(),
        agents: AGENTS,
        seed: 0,
        knows: Knows::All,
        fault: vec![],
    };
    let (mut most, mut none) = (0, 0);
    for seed in 0..HISTORIES {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut world = World::new(&plan);
        for step in 0..ENTRIES {
            let entry = any_entry(&mut random);
            world.take(step as f64, &entry);
            let all = count_all_wrong(&world.members);
            assert_eq!(world.wrong_opinions, all, "history {seed}, entry {step}: {entry:?}");
            most = most.max(all);
            none += usize::from(all == 0 && world.members.iter().any(|member| member.run == Run::Awake));
        }
    }
    assert!(most > AGENTS && none > 0, "histories without both {most} {none}");
}
