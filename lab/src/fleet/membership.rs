//! The measurement `membership-virtual`: how the fleet view behaves in virtual time at several sizes.
//!
//! One run is one size with one seed and takes one thread. All its figures but the real time and the processor time follow from
//! size and seed alone.

use crate::capacity::measurement::{Measurement, Point, Series};
use crate::capacity::provenance;
use crate::fleet::measure::{run_once, Run, ALL_START, CRASH, HEALED, STATED};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// The name of the measurement.
pub const NAME: &str = "membership-virtual";

/// What is to be run.
#[derive(Debug, Clone)]
pub struct Campaign {
    /// Sizes that a line is fitted to.
    pub fitted: Vec<usize>,
    /// Sizes that are kept out of the fit.
    pub held_out: Vec<usize>,
    /// Seeds for each fitted size.
    pub fitted_seeds: u64,
    /// Seeds for each size that is kept out.
    pub held_out_seeds: u64,
    /// The first seed.
    pub first_seed: u64,
    /// Runs at a time.
    pub threads: usize,
    /// The command, to be typed again.
    pub command: String,
}

/// One run and what it took in reality.
#[derive(Debug, Clone)]
pub struct Timed {
    /// Members.
    pub size: usize,
    /// Its seed.
    pub seed: u64,
    /// What it has shown.
    pub run: Run,
    /// Real time, in seconds.
    pub real: f64,
    /// Processor time, in seconds; zero where the system does not say.
    pub cpu: f64,
}

/// A quantity of a run.
struct Quantity {
    key: &'static str,
    unit: &'static str,
    of: fn(&Timed) -> f64,
}

const QUANTITIES: [Quantity; 7] = [
    Quantity { key: "all-start", unit: "s", of: |timed| timed.run.took[ALL_START] },
    Quantity { key: "crash-known", unit: "s", of: |timed| timed.run.took[CRASH] },
    Quantity { key: "heal", unit: "s", of: |timed| timed.run.took[HEALED] },
    Quantity { key: "bytes-out", unit: "B/s", of: |timed| timed.run.idle.1 },
    Quantity { key: "packets-out", unit: "1/s", of: |timed| timed.run.idle.0 },
    Quantity { key: "run-real-time", unit: "s", of: |timed| timed.real },
    Quantity { key: "run-cpu", unit: "s", of: |timed| timed.cpu },
];

impl Campaign {
    /// Plays all runs and tells of each as it ends. One line tells what went wrong.
    pub fn measure(&self, tell: impl Fn(&Timed) + Sync) -> Result<Measurement, String> {
        let todo = self.runs();
        let done = Mutex::new(Vec::new());
        let next = AtomicUsize::new(0);
        std::thread::scope(|scope| {
            for _ in 0..self.threads.clamp(1, todo.len().max(1)) {
                scope.spawn(|| {
                    while let Some(&(size, seed)) = todo.get(next.fetch_add(1, Ordering::Relaxed)) {
                        let timed = timed(size, seed);
                        tell(&timed);
                        done.lock().unwrap_or_else(PoisonError::into_inner).push(timed);
                    }
                });
            }
        });
        let mut done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
        done.sort_by_key(|timed| (timed.size, timed.seed));
        self.measurement(&done)
    }

    /// Every run, the largest first, since they take longest.
    fn runs(&self) -> Vec<(usize, u64)> {
        let of = |sizes: &[usize], seeds: u64| -> Vec<(usize, u64)> {
            let seeds = self.first_seed..self.first_seed + seeds;
            sizes.iter().flat_map(|size| seeds.clone().map(|seed| (*size, seed))).collect()
        };
        let mut runs = of(&self.held_out, self.held_out_seeds);
        runs.extend(of(&self.fitted, self.fitted_seeds));
        runs.sort_by_key(|(size, seed)| (std::cmp::Reverse(*size), *seed));
        runs
    }

    fn measurement(&self, done: &[Timed]) -> Result<Measurement, String> {
        if let Some(timed) = done.iter().find(|timed| timed.run.took.iter().any(|took| !took.is_finite())) {
            return Err(format!("{} members, seed {}: not all has settled", timed.size, timed.seed));
        }
        let points = |sizes: &[usize], of: fn(&Timed) -> f64| -> Vec<Point> {
            let values = |size: usize| done.iter().filter(|timed| timed.size == size).map(of).collect();
            sizes.iter().map(|&size| Point { size: size as f64, values: values(size) }).collect()
        };
        let series = |quantity: &Quantity| Series {
            key: quantity.key.into(),
            unit: quantity.unit.into(),
            fitted: points(&self.fitted, quantity.of),
            held_out: points(&self.held_out, quantity.of),
        };
        Ok(Measurement {
            name: NAME.into(),
            about: "The fleet view in virtual time: how long a start, a crash and the heal of a third take to be known".into(),
            command: self.command.clone(),
            build: provenance::build(),
            machine: provenance::machine(),
            date: provenance::today(),
            driver: "members".into(),
            series: QUANTITIES.iter().map(series).collect(),
            notes: self.notes(),
        })
    }

    fn notes(&self) -> Vec<String> {
        vec![
            format!("Seeds from {}: {} for each fitted size, {} for each size kept out.", self.first_seed, self.fitted_seeds, self.held_out_seeds),
            "Virtual time: packets take 1 to 20 ms, none is lost; views are looked at every 0.1 s. All but run-real-time and run-cpu follow from size and seed.".into(),
            "bytes-out and packets-out: what one agent sends at rest, after the gossip of the start has ended.".into(),
            format!("run-real-time and run-cpu are those of one run in its own thread, {} runs at a time, on a machine with other load.", self.threads),
        ]
    }
}

fn timed(size: usize, seed: u64) -> Timed {
    let (start, cpu_before) = (Instant::now(), thread_cpu_seconds());
    let run = run_once(size, seed);
    Timed { size, seed, run, real: start.elapsed().as_secs_f64(), cpu: thread_cpu_seconds() - cpu_before }
}

/// What this thread has run on a processor, in seconds.
fn thread_cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = text.split_whitespace().next().and_then(|field| field.parse::<u64>().ok());
    nanoseconds.unwrap_or(0) as f64 / 1e9
}

impl Timed {
    /// One line for people.
    pub fn line(&self) -> String {
        let [start, crash, restart, stopped, heal]: [f64; STATED] = self.run.took;
        let (packets, bytes) = self.run.idle;
        format!(
            "{} members, seed {}: all start {start:.1} s, crash {crash:.1} s, restart {restart:.1} s, stopped {stopped:.1} s, heal \
             {heal:.1} s; at rest {packets:.1} packets and {bytes:.0} bytes a second; {:.1} s real, {:.1} s processor; digest {:016x}",
            self.size, self.seed, self.real, self.cpu, self.run.digest
        )
    }
}

#[cfg(test)]
mod tests;
