//! The committed measurements of changes of configuration, and a table that compares push and pull with a tree.

use super::spread::{spread, Run, Shown};
use super::tree::{self, Shape};
use crate::capacity::measurement::{Measurement, Point, Series};
use std::fmt::Write;
use std::time::Duration;

/// Seeds at each size.
const SEEDS: u64 = 3;
/// The bytes of a value: some hundred, as they come.
const VALUE: usize = 400;
/// Services of the target.
const SERVICES: usize = 230;
/// The control machines of the target.
const CONTROL_MACHINES: usize = 16;

/// Where and when a measurement was made.
#[derive(Debug, Clone)]
pub struct Place {
    /// The commit and profile of this program.
    pub build: String,
    /// Cores, memory, system.
    pub machine: String,
    /// The day.
    pub date: String,
}

/// What is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum What {
    /// How long one change takes to be in force, and what it costs, by members.
    Spread,
    /// What changes at a steady rate cost, by changes a second.
    Rate,
}

impl What {
    /// The measurement's name.
    pub fn name(self) -> &'static str {
        match self {
            What::Spread => "configuration-spread",
            What::Rate => "configuration-rate",
        }
    }

    fn run(self, size: usize, seed: u64) -> Run {
        let (value, loss) = (VALUE, 0.01);
        match self {
            What::Spread => {
                let apart = Duration::from_secs(5);
                Run { members: size, loss, seed, changes: 10, apart, services: 5, value }
            }
            What::Rate => {
                let apart = Duration::from_secs(1) / size as u32;
                Run { members: 300, loss, seed, changes: 60 * size, apart, services: SERVICES, value }
            }
        }
    }

    fn keys(self) -> &'static [Quantity] {
        match self {
            What::Spread => &[
                ("in-force-median", "s", |shown, _| shown.within(0.5)),
                ("in-force-p99", "s", |shown, _| shown.within(0.99)),
                ("in-force-most", "s", |shown, _| shown.within(1.0)),
                ("bytes-out", "B", |shown, run| {
                    (shown.mean_out() - shown.at_rest) * shown.seconds / run.changes as f64
                }),
                ("at-rest", "B/s", |shown, _| shown.at_rest),
            ],
            What::Rate => &[
                ("bytes-out", "B/s", |shown, _| shown.mean_out()),
                ("bytes-in", "B/s", |shown, _| shown.mean_received()),
                ("busiest-out", "B/s", |shown, _| shown.busiest_out()),
                ("in-force-p99", "s", |shown, _| shown.within(0.99)),
                ("in-force-most", "s", |shown, _| shown.within(1.0)),
            ],
        }
    }

    fn sizes(self) -> (&'static [usize], &'static [usize]) {
        match self {
            What::Spread => (&[100, 200, 400, 800], &[1_600]),
            What::Rate => (&[1, 2, 4, 8], &[10]),
        }
    }

    fn about(self) -> (&'static str, &'static str) {
        match self {
            What::Spread => (
                "From publishing to in force on every member, and what one change costs a member; virtual time, 1% loss",
                "members",
            ),
            What::Rate => (
                "What changes at a steady rate cost one of 300 members; 230 services, virtual time, 1% loss",
                "changes a second",
            ),
        }
    }
}

/// Key, unit, and how it follows from a run.
type Quantity = (&'static str, &'static str, fn(&Shown, Run) -> f64);

/// Makes a measurement; `tell` hears of each size.
pub fn measure(what: What, place: Place, mut tell: impl FnMut(&str)) -> Result<Measurement, String> {
    let (about, driver) = what.about();
    let keys = what.keys();
    let mut series: Vec<Series> = keys.iter().map(|(key, unit, _)| empty(key, unit)).collect();
    let (fitted, held_out) = what.sizes();
    let all = fitted.iter().map(|size| (*size, false)).chain(held_out.iter().map(|size| (*size, true)));
    for (size, is_held_out) in all {
        let mut values = vec![Vec::new(); keys.len()];
        for seed in 1..=SEEDS {
            let run = what.run(size, seed);
            let shown = spread(run)?;
            keys.iter().zip(&mut values).for_each(|((_, _, value), all)| all.push(value(&shown, run)));
        }
        tell(&format!("{} at {size}: {values:.3?}", what.name()));
        for (series, values) in series.iter_mut().zip(values) {
            let points = if is_held_out { &mut series.held_out } else { &mut series.fitted };
            points.push(Point { size: size as f64, values });
        }
    }
    Ok(Measurement {
        name: what.name().into(),
        about: about.into(),
        command: format!("dilljunction-lab configuration --measure {} --out docs/capacity", what.word()),
        build: place.build,
        machine: place.machine,
        date: place.date,
        driver: driver.into(),
        series,
        notes: vec![
            format!("Values of {VALUE} bytes; packets take 0.3 to 40 ms by zone and region; {SEEDS} seeds at each size."),
            "Bytes are those of datagrams with the envelope, without the headers of IP and UDP.".into(),
        ],
    })
}

impl What {
    /// The word for it on the command line.
    pub fn word(self) -> &'static str {
        match self {
            What::Spread => "spread",
            What::Rate => "rate",
        }
    }
}

fn empty(key: &str, unit: &str) -> Series {
    Series { key: key.into(), unit: unit.into(), fitted: Vec::new(), held_out: Vec::new() }
}

/// Compares push and pull with two trees at a size, without loss, and with 1 and 10%.
pub fn compare(members: usize, seed: u64) -> Result<String, String> {
    let mut table = String::from("| | loss | median s | p99 s | most s | bytes an agent and change | busiest sender, bytes a change |\n| --- | --- | --- | --- | --- | --- | --- |\n");
    for loss in [0.0, 0.01, 0.1] {
        let run = Run { loss, ..What::Spread.run(members, seed) };
        let shown = spread(run)?;
        let seconds = shown.seconds / run.changes as f64;
        let bytes = (shown.mean_out() - shown.at_rest) * seconds;
        line(&mut table, "push and pull", loss, &shown, bytes, shown.busiest_out() * seconds);
        let shapes = [
            ("tree, 16 control machines", Shape::ControlMachines(CONTROL_MACHINES)),
            ("tree, 8 children each", Shape::Fanout(8)),
        ];
        for (name, shape) in shapes {
            let shown = tree::spread(shape, members, loss, VALUE + 30, seed);
            line(&mut table, name, loss, &shown, shown.mean_out(), shown.busiest_out());
        }
    }
    Ok(table)
}

fn line(table: &mut String, name: &str, loss: f64, shown: &Shown, bytes: f64, busiest: f64) {
    let (median, p99, most) = (shown.within(0.5), shown.within(0.99), shown.within(1.0));
    let loss = loss * 100.0;
    // Writing to a string does not fail.
    let _ = writeln!(
        table,
        "| {name} | {loss}% | {median:.2} | {p99:.2} | {most:.2} | {bytes:.0} | {busiest:.0} |"
    );
}
