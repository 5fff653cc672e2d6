//! Our own files under `deploy/`, named by `--with FILE`: each switches on what the platform does not need. What no file
//! names stays off and costs nothing.

use crate::fault::Fault;
use serde::Deserialize;
use std::path::Path;

/// The largest file that is read, in bytes: a list of 10,000 servers in the platform's configuration fits many times.
const FILE_MOST: u64 = 16 * 1024 * 1024;
/// The most connections of either side that can be asked for: more than one process can hold descriptors.
const CONNECTIONS_MOST: usize = 1_000_000;
/// The most memory for bodies that can be asked for, in MB.
const MEMORY_MOST: u32 = 1024 * 1024;
/// How far apart the lines of a tally may be: ten a second of all lines are let through, and a day has an end.
const TALLY_EVERY_MS: std::ops::RangeInclusive<u64> = 200..=600_000;
/// Lines of events a second that can be asked for.
const EVENT_LINES: std::ops::RangeInclusive<u32> = 10..=100_000;
/// How fast a clock on trial may run, and how wrong a wall clock may be: a year.
const TRIAL_RATES: std::ops::RangeInclusive<f64> = 0.5..=2.0;
const TRIAL_STEP_MOST_MS: u64 = 366 * 86_400_000;

/// What the files switch on.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Switches {
    /// `[limits]`, see `deploy/limits.toml`.
    pub limits: Option<LimitsTable>,
    /// `[tally]`, see `deploy/tally.toml`.
    pub tally: Option<TallyTable>,
    /// `[events]`, see `deploy/events.toml`.
    pub events: Option<EventsTable>,
    /// `[fleet]`, see `deploy/fleet.toml`.
    pub fleet: Option<FleetTable>,
    /// `[configuration]`, see `deploy/fleet.toml`.
    pub configuration: Option<ConfigurationTable>,
    /// `[trial]`: not for service, and refused without `--trial`.
    pub trial: Option<TrialTable>,
}

/// Structured events of each request and connection in the log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventsTable {
    /// Whether they are JSON, for programs, and not text.
    #[serde(default)]
    pub json: bool,
    /// Lines a second at the most, 10 to 100,000.
    pub lines_per_second: u32,
}

/// The agents keep a view of one another.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetTable {
    /// Whether event lines are JSON, for programs, and not text.
    #[serde(default)]
    pub json: bool,
}

/// One agent publishes changes of configuration, and the others put them in force while they run.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationTable {
    /// The number of the one agent that publishes.
    pub writer: u16,
    /// The service whose changes this agent puts in force; without one it passes all on and follows none.
    pub service: Option<String>,
}

/// What tests of many processes make wrong with one of them. All of the cluster's time goes through one clock; this is it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TrialTable {
    /// How fast its monotonic clock runs, 0.5 to 2; 1 is right.
    pub clock_rate: f64,
    /// By how many milliseconds its wall clock is wrong, a year at most.
    pub wall_step_ms: i64,
}

impl Default for TrialTable {
    fn default() -> Self {
        TrialTable { clock_rate: 1.0, wall_step_ms: 0 }
    }
}

impl std::fmt::Display for TrialTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the clock runs at {} and the wall clock is {} ms off", self.clock_rate, self.wall_step_ms)
    }
}

/// Lines that count what the agent does.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TallyTable {
    /// Milliseconds between two lines, 200 to 600,000.
    pub every_ms: u64,
}

/// What an installation with room of its own allows the agent, in place of the shares that are reckoned from the
/// platform's limits.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsTable {
    /// Most connections of clients held at once, 8 to 1,000,000.
    pub client_connections: Option<usize>,
    /// Most connections to servers held at once, 8 to 1,000,000.
    pub server_connections: Option<usize>,
    /// Most memory that the bodies of requests and answers hold at once, in MB, 1 to 1,048,576.
    pub body_memory_mb: Option<u32>,
}

impl Switches {
    /// Reads one file; an unknown key or a bad value is a fault that names file, key and reason.
    pub fn read(path: &Path) -> Result<Switches, Fault> {
        let text = read_bounded(path).map_err(|fault| fault.in_file(path))?;
        let text = String::from_utf8(text).map_err(|_| Fault::of_all("is not UTF-8 text").in_file(path))?;
        Switches::parse(&text).map_err(|fault| fault.in_file(path))
    }

    /// Reads all files together.
    pub fn read_all<P: AsRef<Path>>(paths: &[P]) -> Result<Switches, Fault> {
        paths.iter().try_fold(Switches::default(), |all, path| {
            all.with(Switches::read(path.as_ref())?).map_err(|fault| fault.in_file(path.as_ref()))
        })
    }

    /// Reads the text of one file.
    pub fn parse(text: &str) -> Result<Switches, Fault> {
        let document = toml::Deserializer::parse(text)
            .map_err(|e| Fault::of_all(format!("is not TOML: {}", e.message())))?;
        let switches: Switches = serde_path_to_error::deserialize(document)
            .map_err(|e| Fault::at_path(e.path(), &e.inner().message()))?;
        switches.check()?;
        Ok(switches)
    }

    /// These and the ones of another file; a table that stands in both is a fault, since one would silently win.
    pub fn with(self, other: Switches) -> Result<Switches, Fault> {
        Ok(Switches {
            limits: only("limits", self.limits, other.limits)?,
            tally: only("tally", self.tally, other.tally)?,
            events: only("events", self.events, other.events)?,
            fleet: only("fleet", self.fleet, other.fleet)?,
            configuration: only("configuration", self.configuration, other.configuration)?,
            trial: only("trial", self.trial, other.trial)?,
        })
    }

    fn check(&self) -> Result<(), Fault> {
        if self.tally.as_ref().is_some_and(|tally| !TALLY_EVERY_MS.contains(&tally.every_ms)) {
            let (least, most) = (TALLY_EVERY_MS.start(), TALLY_EVERY_MS.end());
            return Err(Fault::of_key("tally.every_ms", format!("must lie between {least} and {most} (ms)")));
        }
        if self.events.as_ref().is_some_and(|events| !EVENT_LINES.contains(&events.lines_per_second)) {
            let (least, most) = (EVENT_LINES.start(), EVENT_LINES.end());
            return Err(Fault::of_key(
                "events.lines_per_second",
                format!("must lie between {least} and {most}"),
            ));
        }
        if let Some(trial) = &self.trial {
            if !TRIAL_RATES.contains(&trial.clock_rate) {
                return Err(Fault::of_key("trial.clock_rate", "must lie between 0.5 and 2"));
            }
            if trial.wall_step_ms.unsigned_abs() > TRIAL_STEP_MOST_MS {
                return Err(Fault::of_key(
                    "trial.wall_step_ms",
                    format!("must be {TRIAL_STEP_MOST_MS} ms at most"),
                ));
            }
        }
        self.limits.as_ref().map_or(Ok(()), LimitsTable::check)
    }
}

impl LimitsTable {
    /// Whether each value that is there lies in its range.
    pub(crate) fn check(&self) -> Result<(), Fault> {
        let connections = [
            ("client_connections", self.client_connections),
            ("server_connections", self.server_connections),
        ];
        for (key, value) in connections {
            if value.is_some_and(|n| !(8..=CONNECTIONS_MOST).contains(&n)) {
                return Err(Fault::of_key(
                    format!("limits.{key}"),
                    format!("must lie between 8 and {CONNECTIONS_MOST}"),
                ));
            }
        }
        if self.body_memory_mb.is_some_and(|mb| !(1..=MEMORY_MOST).contains(&mb)) {
            return Err(Fault::of_key(
                "limits.body_memory_mb",
                format!("must lie between 1 and {MEMORY_MOST} (MB)"),
            ));
        }
        Ok(())
    }
}

/// The bytes of a file of ours, which no mistake in a path may make endless.
pub(crate) fn read_bounded(path: &Path) -> Result<Vec<u8>, Fault> {
    use std::io::Read;
    let unreadable = |e: std::io::Error| Fault::of_all(format!("cannot be read: {e}"));
    let file = std::fs::File::open(path).map_err(unreadable)?;
    let mut text = Vec::new();
    file.take(FILE_MOST + 1).read_to_end(&mut text).map_err(unreadable)?;
    if text.len() as u64 > FILE_MOST {
        return Err(Fault::of_all(format!("is larger than {FILE_MOST} bytes")));
    }
    Ok(text)
}

/// The one of two that is there; both are a fault.
fn only<T>(table: &str, one: Option<T>, other: Option<T>) -> Result<Option<T>, Fault> {
    if one.is_some() && other.is_some() {
        return Err(Fault::of_key(table, "this table stands in an earlier file too"));
    }
    Ok(one.or(other))
}

#[cfg(test)]
mod tests;
