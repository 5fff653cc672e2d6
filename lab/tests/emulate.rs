//! Worlds in virtual time: the same for the same seed, kept to the rules, and a flood that costs many agents little more
//! than few. The bounds lie well under what is measured (docs/design/many-agents.md) and over what the module reached
//! before it went by what servers tell.

use dilljunction_lab::emulate::{self, Emulated};
use dilljunction_lab::judge::evidence::{End, Evidence};
use dilljunction_lab::world::{World, SHIPPED};

fn world(name: &str, agents: usize, mixed: bool) -> World {
    let mut world = World::find(name).expect("shipped");
    (world.agents, world.clients.mixed) = (agents, mixed);
    world
}

fn kept(name: &str, emulated: &Emulated) -> f64 {
    assert!(emulated.verdict.kept(), "{name}: {:?}", emulated.verdict.breaches.first());
    emulated.service.whole.share()
}

fn history(evidence: &Evidence) -> Vec<(String, u64, End)> {
    evidence.tries.iter().map(|t| (t.call.clone(), t.ended.0, t.end.clone())).collect()
}

#[test]
fn the_same_seed_plays_the_same_world_and_another_another() {
    let mut world = world("everything", 30, true);
    let one = history(&emulate::run(&world, |_| {}).evidence);
    assert_eq!(one, history(&emulate::run(&world, |_| {}).evidence));
    world.seed += 1;
    assert_ne!(one, history(&emulate::run(&world, |_| {}).evidence));
}

#[test]
fn every_shipped_world_keeps_the_rules_with_few_agents_and_with_many() {
    for (name, _) in SHIPPED {
        for agents in [3, 40] {
            kept(name, &emulate::run(&world(name, agents, false), |_| {}));
        }
    }
}

/// The cliff that was at twice as many agents as servers: 0.84 at 25 agents and 0.80 at 150, 0.70 and 0.63 with mixed waits.
#[test]
fn a_flood_costs_many_agents_little_more_than_few() {
    for (agents, mixed, least) in [
        (3, false, 0.985),
        (19, false, 0.97),
        (25, false, 0.96),
        (50, false, 0.955),
        (150, false, 0.93),
        (50, true, 0.93),
    ] {
        let emulated = emulate::run(&world("flood", agents, mixed), |_| {});
        let service = kept("flood", &emulated);
        assert!(service >= least, "{agents} agents, mixed {mixed}: {service:.3}; {:?}", emulated.reasons());
        let last = emulated.service.seconds.iter().skip(18).take(7).map(|s| s.share());
        assert!(last.fold(1.0, f64::min) > 0.93, "not back from the flood with {agents} agents");
    }
}

/// What was refused has a reason, and each refusal and failure that a client saw is among those counted.
#[test]
fn every_request_that_is_given_up_has_its_reason() {
    let emulated = emulate::run(&world("flood", 50, true), |_| {});
    let given_up: u64 = emulated.reasons().values().sum();
    let seen = |t: &&_| matches!(t, End::Refused(_) | End::Failed(502));
    let told = emulated.evidence.tries.iter().map(|t| &t.end).filter(seen).count() as u64;
    assert!(given_up >= told && told > 100, "{given_up} counted, {told} seen");
}
