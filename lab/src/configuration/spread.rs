//! One run: changes at a steady rate to a fleet, how long they take to be in force, and what they cost.

use super::fleet::{Fleet, WRITER};
use std::time::Duration;

/// How long a fleet is left alone before the first change.
const CALM: Duration = Duration::from_secs(10);
/// How long is waited after the last change.
const TAIL: Duration = Duration::from_secs(10);

/// What a run is made of.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Members, the writer among them.
    pub members: usize,
    /// The share of packets that is lost.
    pub loss: f64,
    /// For all that is random.
    pub seed: u64,
    /// Changes that are published.
    pub changes: usize,
    /// Time from one to the next.
    pub apart: Duration,
    /// Services that are changed in turn.
    pub services: usize,
    /// The bytes of a value.
    pub value: usize,
}

/// What a run has shown.
#[derive(Debug, Clone)]
pub struct Shown {
    /// Seconds from publishing to in force, of each change on each member, in order.
    pub took: Vec<f64>,
    /// How many are missing.
    pub missing: usize,
    /// Bytes that each member sent a second, from the first change to the last.
    pub out: Vec<f64>,
    /// Bytes that each member received a second.
    pub received: Vec<f64>,
    /// Bytes that one member sent a second on average while nothing was published.
    pub at_rest: f64,
    /// Seconds from the first change to the last.
    pub seconds: f64,
}

impl Shown {
    /// The time within which this share was in force; infinite if it was not.
    pub fn within(&self, share: f64) -> f64 {
        let all = self.took.len() + self.missing;
        let place = ((all as f64 * share).ceil() as usize).max(1) - 1;
        self.took.get(place).copied().unwrap_or(f64::INFINITY)
    }

    /// Bytes a second that one member sent on average.
    pub fn mean_out(&self) -> f64 {
        mean(&self.out)
    }

    /// Bytes a second that one member received on average.
    pub fn mean_received(&self) -> f64 {
        mean(&self.received)
    }

    /// Bytes a second that the writer sent.
    pub fn writer_out(&self) -> f64 {
        self.out.get(WRITER).copied().unwrap_or(0.0)
    }

    /// Bytes a second of the member that sent most.
    pub fn busiest_out(&self) -> f64 {
        self.out.iter().copied().fold(0.0, f64::max)
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// The bytes that each member has sent and received so far.
fn bytes(fleet: &Fleet) -> Vec<(u64, u64)> {
    fleet.counts().iter().map(|counts| (counts.sent_bytes, counts.received_bytes)).collect()
}

/// Makes a run; one line tells what went wrong.
pub fn spread(run: Run) -> Result<Shown, String> {
    let mut fleet = Fleet::new(run.members, run.loss, run.seed);
    // The first value of each service is there before anything is measured.
    for service in 0..run.services {
        fleet.publish(&name(service), &value(run, 0))?;
        fleet.run(Duration::from_millis(100));
    }
    fleet.run(CALM);
    let (rest_from, rest_bytes) = (fleet.now(), bytes(&fleet));
    fleet.run(CALM);
    let (from, before) = (fleet.now(), bytes(&fleet));
    let rest_seconds = (from - rest_from).as_secs_f64();
    let rest: Vec<f64> =
        before.iter().zip(&rest_bytes).map(|(b, a)| (b.0 - a.0) as f64 / rest_seconds).collect();
    let first = fleet.changes().len();
    for change in 1..=run.changes {
        fleet.publish(&name(change % run.services), &value(run, change))?;
        fleet.run(run.apart);
    }
    let (seconds, after) = ((fleet.now() - from).as_secs_f64(), bytes(&fleet));
    fleet.run(TAIL);
    let rate = |part: fn(&(u64, u64)) -> u64| -> Vec<f64> {
        after.iter().zip(&before).map(|(b, a)| (part(b) - part(a)) as f64 / seconds).collect()
    };
    let changes = &fleet.changes()[first..];
    let mut took: Vec<f64> =
        changes.iter().flat_map(|change| &change.took).map(Duration::as_secs_f64).collect();
    took.sort_by(f64::total_cmp);
    let missing = run.members * run.changes - took.len();
    Ok(Shown { took, missing, out: rate(|b| b.0), received: rate(|b| b.1), at_rest: mean(&rest), seconds })
}

fn name(service: usize) -> String {
    format!("service-{service:03}")
}

/// A value that differs with each change.
fn value(run: Run, change: usize) -> Vec<u8> {
    let mut random = fastrand::Rng::with_seed(run.seed ^ (change as u64) << 32);
    (0..run.value).map(|_| random.u8(..)).collect()
}
