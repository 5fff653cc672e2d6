//! How long it takes from publishing a change until it is in force, among real processes.

use crate::capacity::measurement::{Measurement, Point, Series};
use crate::publishing::rig::{in_force, Rig, Setup, WRITER};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// The bytes of a value.
const VALUE_BYTES: usize = 400;
/// How long all agents may take to find each other, and a change to be in force.
const WITHIN: Duration = Duration::from_secs(30);
/// The pause between a change that is in force everywhere and the next one, drawn up to here: changes don't fall into step
/// with the agents' own periods.
const PAUSE_MOST_MS: u64 = 300;
/// How often an agent is asked whether a change is in force; since when it is the agent says itself.
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// Need, in milliseconds.
pub const NEED_MS: f64 = 5_000.0;

/// The times of one fleet's changes, in milliseconds: for each change and each agent from before the request to publish until the
/// agent has it in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Times {
    /// How many agents.
    pub agents: usize,
    /// All times, rising.
    pub all: Vec<f64>,
    /// For each change when the last agent had it.
    pub last: Vec<f64>,
}

impl Times {
    /// The time that a share of all pairs of change and agent keep within.
    pub fn quantile(&self, share: f64) -> f64 {
        let place = (self.all.len() as f64 * share).ceil() as usize;
        self.all.get(place.saturating_sub(1)).copied().unwrap_or(f64::NAN)
    }

    /// The median of the times at which a change was in force everywhere.
    pub fn everywhere(&self) -> f64 {
        let mut last = self.last.clone();
        last.sort_by(f64::total_cmp);
        last.get(last.len() / 2).copied().unwrap_or(f64::NAN)
    }

    /// The longest.
    pub fn most(&self) -> f64 {
        self.quantile(1.0)
    }
}

/// Publishes changes one after the other in a new fleet, each once the one before is in force everywhere.
pub async fn play(setup: Setup, changes: usize) -> Result<Times, String> {
    let agents: Vec<usize> = (0..setup.agents).collect();
    let mut random = fastrand::Rng::with_seed(setup.seed);
    let mut rig = Rig::start(setup).await?;
    rig.until_settled(&agents, WITHIN).await?;
    let first = rig.publish_when_ready(&value(&mut random), WITHIN).await?;
    rig.until_in_force(&agents, first.version, WITHIN).await?;
    let (mut all, mut last) = (Vec::new(), Vec::new());
    for _ in 0..changes {
        sleep(Duration::from_millis(random.u64(0..PAUSE_MOST_MS))).await;
        let begin = Instant::now();
        let published = rig.publish(WRITER, &value(&mut random)).await.map_err(|refusal| refusal.reason)?;
        let times = times(&mut rig, &agents, published.version, begin).await?;
        last.push(times.iter().copied().fold(0.0, f64::max));
        all.extend(times);
    }
    all.sort_by(f64::total_cmp);
    match rig.judge().breaches() {
        [] => Ok(Times { agents: agents.len(), all, last }),
        [breach, ..] => Err(breach.to_string()),
    }
}

/// A value that is no other's.
pub(crate) fn value(random: &mut fastrand::Rng) -> String {
    let mut text = format!("[limits]\nclient_connections = {}\n#", random.usize(100..400));
    text.extend(std::iter::repeat_with(|| random.alphanumeric()).take(VALUE_BYTES - text.len()));
    text
}

/// When each agent had a version in force, in milliseconds from `begin`.
async fn times(rig: &mut Rig, agents: &[usize], version: u64, begin: Instant) -> Result<Vec<f64>, String> {
    let (mut left, mut times) = (agents.to_vec(), Vec::new());
    while !left.is_empty() {
        if begin.elapsed() > WITHIN {
            return Err(format!("version {version} is not in force at {left:?} within {WITHIN:?}"));
        }
        let mut behind = Vec::new();
        for agent in left {
            let status = rig.status(agent).await;
            let there = status.as_ref().and_then(in_force).filter(|it| it.version == version);
            match there {
                Some(it) => {
                    let since = Duration::from_millis(it.since_ms);
                    times.push(begin.elapsed().saturating_sub(since).as_secs_f64() * 1e3);
                }
                None => behind.push(agent),
            }
        }
        left = behind;
        sleep(LOOK_EVERY).await;
    }
    Ok(times)
}

/// One measured quantity, and how it is taken from a fleet's times.
struct Quantity {
    key: &'static str,
    of: fn(&Times) -> f64,
}

const QUANTITIES: [Quantity; 4] = [
    Quantity { key: "in-force-median", of: |times| times.quantile(0.5) },
    Quantity { key: "in-force-p99", of: |times| times.quantile(0.99) },
    Quantity { key: "in-force-most", of: Times::most },
    Quantity { key: "everywhere-median", of: Times::everywhere },
];

/// Puts what was measured into the common form; `held_out` are the sizes that no line is fitted to.
pub fn series(runs: &[Times], held_out: &[usize]) -> Vec<Series> {
    let series = |Quantity { key, of }: &Quantity| {
        let mut series =
            Series { key: (*key).into(), unit: "ms".into(), fitted: Vec::new(), held_out: Vec::new() };
        for run in runs {
            let points =
                if held_out.contains(&run.agents) { &mut series.held_out } else { &mut series.fitted };
            let value = (of(run) * 10.0).round() / 10.0;
            match points.iter_mut().find(|point| point.size == run.agents as f64) {
                Some(point) => point.values.push(value),
                None => points.push(Point { size: run.agents as f64, values: vec![value] }),
            }
        }
        series
    };
    QUANTITIES.iter().map(series).collect()
}

/// A table for people.
pub fn table(measurement: &Measurement) -> String {
    let mut text = format!("{}\n{:20}  {:>7}  values (ms)\n", measurement.about, "quantity", "members");
    for series in &measurement.series {
        for point in series.fitted.iter().chain(&series.held_out) {
            let values: Vec<String> = point.values.iter().map(|value| format!("{value:.0}")).collect();
            text.push_str(&format!("{:20}  {:>7}  {}\n", series.key, point.size, values.join("  ")));
        }
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_are_times_that_were_measured_and_sizes_are_kept_apart() {
        let times = Times { agents: 3, all: (1..=100).map(f64::from).collect(), last: vec![9.0, 5.0, 7.0] };
        assert_eq!((times.quantile(0.5), times.quantile(0.99), times.most()), (50.0, 99.0, 100.0));
        assert_eq!(times.everywhere(), 7.0);
        let other = Times { agents: 12, ..times.clone() };
        let series = series(&[times.clone(), times, other], &[12]);
        assert_eq!(series[1].key, "in-force-p99");
        assert_eq!(series[1].fitted, [Point { size: 3.0, values: vec![99.0, 99.0] }]);
        assert_eq!(series[1].held_out, [Point { size: 12.0, values: vec![99.0] }]);
    }

    #[test]
    fn each_value_is_another_one_of_the_stated_size() {
        let mut random = fastrand::Rng::with_seed(1);
        let (one, two) = (value(&mut random), value(&mut random));
        assert!(one.len() == VALUE_BYTES && two.len() == VALUE_BYTES && one != two);
    }
}
