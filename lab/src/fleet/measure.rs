//! How long things take to be known, in virtual time, beside what is stated.

use crate::fleet::plan::{Act, Clocks, Fault, Kind, Knows, Plan};
use crate::fleet::simulate::Simulation;
use dilljunction_cluster::pace;
use std::fmt::Write;
use std::time::Duration;

/// How long is waited for what should have come long ago, as a multiple of the stated time.
const PATIENCE: f64 = 3.0;
/// How long the news of a start is passed on, in seconds.
const CALM_AFTER: f64 = 60.0;
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

/// Measures a fleet of this size, with so many seeds.
pub fn measure(agents: usize, seed: u64, runs: u64) -> Vec<Measured> {
    let stated = [
        ("all start", pace::join_known(agents, 0)),
        ("crash of one", pace::crash_known(agents, 1)),
        ("restart of one", pace::join_known(agents, 1)),
        ("one stopped 20 s", pace::join_known(agents, 1)),
        ("partition healed", pace::healed(agents)),
    ];
    let new = |(what, time): (&'static str, Duration)| Measured {
        what,
        stated: time.as_secs_f64(),
        took: Vec::new(),
        idle: (0.0, 0.0),
    };
    let mut rows: Vec<Measured> = stated.into_iter().map(new).collect();
    for run in 0..runs {
        let mut sim = Simulation::new(agents, seed + run, Knows::All, None);
        let third: Vec<usize> = (0..agents.div_ceil(3)).collect();
        let cut = Fault { kind: Kind::Partition, at: 0.0, lasts: 60.0, members: third, amount: 0.0 };
        let plan = Plan {
            name: "measure".into(),
            about: String::new(),
            agents,
            seed,
            knows: Knows::All,
            fault: vec![cut],
        };
        (0..agents).for_each(|m| sim.start(m, Clocks::default()));
        let mut settle = |sim: &mut Simulation, row: usize| {
            let took = sim.settle(rows[row].stated * PATIENCE).unwrap_or(f64::INFINITY);
            rows[row].took.push(took);
        };
        settle(&mut sim, 0);
        let until = sim.now() + CALM_AFTER;
        sim.run_until(until);
        let before = sim.net().carried;
        let idle_until = sim.now() + IDLE;
        sim.run_until(idle_until);
        let after = sim.net().carried;
        let rate = |now: u64, then: u64| (now - then) as f64 / IDLE / agents as f64;
        let idle = (rate(after.0, before.0), rate(after.1, before.1));
        sim.act(&plan, Act::Kill(agents - 1));
        settle(&mut sim, 1);
        sim.act(&plan, Act::Start(agents - 1, Clocks::default()));
        settle(&mut sim, 2);
        sim.act(&plan, Act::Stop(0));
        let until = sim.now() + 20.0;
        sim.run_until(until);
        sim.act(&plan, Act::Continue(0));
        settle(&mut sim, 3);
        sim.act(&plan, Act::Begin(0));
        let until = sim.now() + 60.0;
        sim.run_until(until);
        sim.act(&plan, Act::End(0));
        settle(&mut sim, 4);
        rows.iter_mut().for_each(|row| row.idle = idle);
        println!("seed {} digest {:016x} packets {}", seed + run, sim.net().digest(), sim.net().carried.0);
    }
    rows
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
