//! How long things take to be known, in virtual time, beside what is stated.

use crate::fleet::plan::{Act, Clocks, Fault, Kind, Knows, Plan};
use crate::fleet::simulate::Simulation;
use dilljunction_cluster::pace;
use std::fmt::Write;
use std::time::Duration;

/// How long is waited for what should have come long ago, as a multiple of the stated time.
const PATIENCE: f64 = 3.0;
/// How long the gossip of a start is passed on at least, in seconds.
const CALM_AFTER: f64 = 60.0;
/// And at most: each member passes on each other ten times, and a packet holds some six.
const CALM_MOST: f64 = 600.0;
/// How long a member is stopped, in seconds.
const STOPPED_FOR: f64 = 20.0;
/// How long a third of the members is cut off, in seconds.
const CUT_FOR: f64 = 60.0;
/// How long a fleet is left alone to see what it costs, in seconds.
const IDLE: f64 = 20.0;

/// What was measured of one thing.
#[derive(Debug, Clone)]
pub struct Measured {
    /// What.
    pub what: &'static str,
    /// How long it may take, in seconds.
    pub stated: f64,
    /// How long it took, each time; infinite if it did not come.
    pub took: Vec<f64>,
    /// What one member sent while nothing happened, in packets and bytes a second.
    pub idle: (f64, f64),
}

impl Measured {
    /// True if nothing took longer than it may.
    pub fn is_kept(&self) -> bool {
        self.took.iter().all(|took| *took <= self.stated)
    }

    fn at(&self, share: f64) -> f64 {
        let mut sorted = self.took.clone();
        sorted.sort_by(f64::total_cmp);
        let place = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
        sorted.get(place).copied().unwrap_or(f64::NAN)
    }
}

/// What one run of one fleet has shown.
#[derive(Debug, Clone)]
pub struct Run {
    /// How long each of [`stated`] took, in virtual seconds, in the same order; infinite if it did not come.
    pub took: [f64; STATED],
    /// What one member sent while nothing happened, in packets and bytes a second.
    pub idle: (f64, f64),
    /// A digest of every packet of the run, see [`Net::digest`](crate::fleet::net::Net::digest).
    pub digest: u64,
}

/// How many things are measured.
pub const STATED: usize = 5;
/// The place of each thing in [`stated`].
pub const ALL_START: usize = 0;
/// See [`ALL_START`].
pub const CRASH: usize = 1;
/// See [`ALL_START`].
pub const RESTART: usize = 2;
/// See [`ALL_START`].
pub const STOPPED: usize = 3;
/// See [`ALL_START`].
pub const HEALED: usize = 4;

/// What is measured, and how long each may take.
pub fn stated(agents: usize) -> [(&'static str, Duration); STATED] {
    [
        ("all start", pace::join_bound(agents, 0)),
        ("crash of one", pace::crash_detection_bound(agents, 1)),
        ("restart of one", pace::join_bound(agents, 1)),
        ("one stopped 20 s", pace::join_bound(agents, 1)),
        ("partition healed", pace::partition_heal_bound(agents)),
    ]
}

/// Measures a fleet of this size, with so many seeds.
pub fn measure(agents: usize, seed: u64, runs: u64) -> Vec<Measured> {
    let runs: Vec<Run> = (0..runs).map(|run| run_once(agents, seed + run)).collect();
    let idle = runs.last().map_or((0.0, 0.0), |run| run.idle);
    let rows = stated(agents).into_iter().enumerate();
    rows.map(|(place, (what, time))| Measured {
        what,
        stated: time.as_secs_f64(),
        took: runs.iter().map(|run| run.took[place]).collect(),
        idle,
    })
    .collect()
}

/// Plays one fleet through all that is measured.
pub fn run_once(agents: usize, seed: u64) -> Run {
    let mut sim = Simulation::new(agents, seed, Knows::All, None);
    let third: Vec<usize> = (0..agents.div_ceil(3)).collect();
    let cut = Fault { kind: Kind::Partition, at: 0.0, lasts: CUT_FOR, members: third, amount: 0.0 };
    let plan = Plan {
        name: "measure".into(),
        about: String::new(),
        agents,
        seed,
        knows: Knows::All,
        fault: vec![cut],
    };
    let mut took = [f64::INFINITY; STATED];
    let stated = stated(agents);
    let mut settle = |sim: &mut Simulation, place: usize| {
        let within = stated[place].1.as_secs_f64() * PATIENCE;
        took[place] = sim.settle(within).unwrap_or(f64::INFINITY);
    };
    (0..agents).for_each(|m| sim.start(m, Clocks::default()));
    settle(&mut sim, ALL_START);
    pass(&mut sim, CALM_AFTER);
    while !sim.is_quiet() && sim.now() < CALM_MOST {
        pass(&mut sim, 1.0);
    }
    let idle = idle_rates(&mut sim, agents);
    sim.act(&plan, Act::Kill(agents - 1));
    settle(&mut sim, CRASH);
    sim.act(&plan, Act::Start(agents - 1, Clocks::default()));
    settle(&mut sim, RESTART);
    sim.act(&plan, Act::Stop(0));
    pass(&mut sim, STOPPED_FOR);
    sim.act(&plan, Act::Continue(0));
    settle(&mut sim, STOPPED);
    sim.act(&plan, Act::Begin(0));
    pass(&mut sim, CUT_FOR);
    sim.act(&plan, Act::End(0));
    settle(&mut sim, HEALED);
    Run { took, idle, digest: sim.net().digest() }
}

fn pass(sim: &mut Simulation, seconds: f64) {
    let until = sim.now() + seconds;
    sim.run_until(until);
}

/// What one member sends while nothing happens, in packets and bytes a second.
fn idle_rates(sim: &mut Simulation, agents: usize) -> (f64, f64) {
    let before = sim.net().carried;
    pass(sim, IDLE);
    let after = sim.net().carried;
    let rate = |now: u64, then: u64| (now - then) as f64 / IDLE / agents as f64;
    (rate(after.0, before.0), rate(after.1, before.1))
}

/// As a table.
pub fn table(agents: usize, rows: &[Measured]) -> String {
    let mut text = format!("{agents} agents, seconds\n");
    let _ = writeln!(text, "{:18} {:>8} {:>8} {:>8} {:>8}", "", "stated", "median", "p99", "most");
    for row in rows {
        let (median, p99, most) = (row.at(0.5), row.at(0.99), row.at(1.0));
        let _ = writeln!(text, "{:18} {:>8.1} {median:>8.1} {p99:>8.1} {most:>8.1}", row.what, row.stated);
    }
    if let Some(row) = rows.first() {
        let _ = writeln!(
            text,
            "at rest each sends {:.1} packets and {:.0} bytes a second",
            row.idle.0, row.idle.1
        );
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_small_fleet_takes_no_longer_than_stated() {
        let rows = measure(5, 1, 1);
        assert!(rows.iter().all(Measured::is_kept), "{}", table(5, &rows));
        assert!(rows.iter().all(|row| row.took.len() == 1) && rows[1].took[0] > 1.0, "{}", table(5, &rows));
    }
}
