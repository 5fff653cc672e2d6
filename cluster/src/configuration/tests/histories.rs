//! Random histories: publishing amid loss, doubled and reordered packets, cuts, restarts and stopped processes; and mutants, each
//! of which the checks of [`Fleet`] find.

use super::fleet::{Fleet, WRITER, Weather};
use super::*;

const MEMBERS: u16 = 7;
const STEPS: usize = 40;
/// Within this all that run are alike after the last fault: some comparisons, a few of which are lost.
const QUIET: Duration = Duration::from_secs(20);

/// Plays one history and gives what broke a rule.
fn play(seed: u64, mutant: Option<(u16, Mutant)>, weather: Weather) -> Vec<String> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(MEMBERS, seed, mutant);
    fleet.weather = weather;
    fleet.run(3 * SECOND);
    for step in 0..STEPS {
        one_step(&mut fleet, &mut random, step);
        fleet.run(Duration::from_millis(random.random_range(0..1_500)));
    }
    for number in 0..MEMBERS {
        if fleet.members[usize::from(number)].is_none() {
            fleet.start(number);
        }
        fleet.set_side(number, 0);
    }
    fleet.weather.changes_one_in = 0;
    fleet.run(QUIET);
    fleet.check_quiet();
    fleet.breaches
}

fn one_step(fleet: &mut Fleet, random: &mut SmallRng, step: usize) {
    let number = random.random_range(0..MEMBERS);
    let runs = fleet.members[usize::from(number)].is_some();
    match random.random_range(0..10) {
        0 => fleet.start(number),
        1 if number != WRITER => fleet.stop(number),
        2 if runs => fleet.pause(number, Duration::from_millis(random.random_range(0..6_000))),
        3 => {
            let parts = random.random_range(1..3);
            for number in fleet.running() {
                fleet.set_side(number, random.random_range(0..parts));
            }
        }
        _ => {
            let name = ["one", "two", "three"][random.random_range(0..3)];
            let length =
                if random.random_range(0..8) == 0 { VALUE_MOST } else { random.random_range(0..900) };
            let value: Vec<u8> = (0..length).map(|i| (i + step * 7 + seed_byte(random)) as u8).collect();
            // A writer that has just started says that it can't yet.
            let _ = fleet.publish(name, &value);
        }
    }
}

fn seed_byte(random: &mut SmallRng) -> usize {
    random.random_range(0..256)
}

const WEATHERS: [Weather; 4] = [
    Weather { loses_one_in: 0, doubles_one_in: 0, changes_one_in: 0 },
    Weather { loses_one_in: 100, doubles_one_in: 100, changes_one_in: 0 },
    Weather { loses_one_in: 10, doubles_one_in: 5, changes_one_in: 0 },
    Weather { loses_one_in: 20, doubles_one_in: 20, changes_one_in: 30 },
];

#[test]
fn no_history_breaks_a_rule() {
    for seed in 0..160 {
        let breaches = play(seed, None, WEATHERS[seed as usize % WEATHERS.len()]);
        assert!(breaches.is_empty(), "seed {seed}: {breaches:?}");
    }
}

/// The first seed on which a mutant breaks a rule, and what it broke.
fn found(number: u16, mutant: Mutant, weather: Weather) -> (u64, Vec<String>) {
    let plays = (0..40).map(|seed| (seed, play(seed, Some((number, mutant)), weather)));
    plays.into_iter().find(|(_, breaches)| !breaches.is_empty()).expect("a mutant that is not found")
}

#[test]
fn half_a_value_in_force_is_found() {
    let (_, breaches) = found(3, Mutant::HalfValue, WEATHERS[1]);
    assert!(breaches.iter().any(|breach| breach.contains("with a value of nobody")), "{breaches:?}");
}

#[test]
fn a_digest_that_nobody_looks_at_is_found() {
    let (_, breaches) = found(3, Mutant::AnyDigest, WEATHERS[3]);
    assert!(breaches.iter().any(|breach| breach.contains("with a value of nobody")), "{breaches:?}");
}

#[test]
fn a_lower_version_that_is_taken_is_found() {
    let (_, breaches) = found(3, Mutant::LowerVersion, WEATHERS[1]);
    assert!(breaches.iter().any(|breach| breach.contains("fell from")), "{breaches:?}");
}
