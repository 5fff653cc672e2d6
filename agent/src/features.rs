//! Optional features, enabled by the TOML files under `deploy/` that `--with FILE` names. A feature that no
//! file names stays off and costs nothing.

use crate::config_error::ConfigError;
use serde::Deserialize;
use std::path::Path;

/// Largest file that is read, in bytes: a platform configuration with a list of 10,000 servers is much
/// smaller.
const FILE_BYTES_MAX: u64 = 16 * 1024 * 1024;
/// The most connections per side that can be configured: more descriptors than one process can hold.
const CONNECTIONS_MAX: usize = 1_000_000;
/// The most memory for bodies that can be configured, in MB.
const MEMORY_MAX_MB: u32 = 1024 * 1024;
/// Interval of the metrics line, in milliseconds: the log passes ten lines a second in all, and the upper
/// bound is ten minutes.
const TALLY_INTERVAL_MS: std::ops::RangeInclusive<u64> = 200..=600_000;
/// Event lines per second that can be configured.
const EVENT_LINES: std::ops::RangeInclusive<u32> = 10..=100_000;
/// Rates of a clock in a trial, and the largest error of its wall clock: a year.
const TRIAL_RATES: std::ops::RangeInclusive<f64> = 0.5..=2.0;
const TRIAL_STEP_MAX_MS: u64 = 366 * 86_400_000;

/// The features that the files enable.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Features {
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
    /// `[trial]`: wrong clocks for tests, refused without `--trial`.
    pub trial: Option<TrialTable>,
}

/// Structured events of each request and connection in the log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventsTable {
    /// Whether they are written as JSON instead of text.
    #[serde(default)]
    pub json: bool,
    /// The most lines per second, 10 to 100,000.
    pub lines_per_second: u32,
}

/// The agents keep a membership view of each other.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetTable {
    /// Whether event lines are written as JSON instead of text.
    #[serde(default)]
    pub json: bool,
}

/// One agent publishes configuration changes, and the others apply them while they run.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationTable {
    /// The number of the one agent that publishes.
    pub writer: u16,
    /// The service whose changes this agent applies; without one it passes all on and applies none.
    pub service: Option<String>,
}

/// Deliberate clock errors of one process, for tests with many processes. All of the cluster's time goes
/// through the one clock that this changes.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TrialTable {
    /// The rate of its monotonic clock, 0.5 to 2; 1 is right.
    pub clock_rate: f64,
    /// The error of its wall clock in milliseconds, at most a year.
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

/// Periodic log lines with the agent's metrics.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TallyTable {
    /// Interval of the lines, 200 to 600,000 ms.
    pub every_ms: u64,
}

/// Explicit limits of an installation, instead of the shares that are derived from the platform's limits.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsTable {
    /// The most open connections of clients, 8 to 1,000,000.
    pub client_connections: Option<usize>,
    /// The most open connections to servers, 8 to 1,000,000.
    pub server_connections: Option<usize>,
    /// The most memory that the bodies of requests and answers hold at once, in MB, 1 to 1,048,576.
    pub body_memory_mb: Option<u32>,
}

impl Features {
    /// Reads one file; an unknown key or a bad value is a fault that names file, key and reason.
    pub fn read(path: &Path) -> Result<Features, ConfigError> {
        let text = read_bounded(path).map_err(|fault| fault.in_file(path))?;
        let text =
            String::from_utf8(text).map_err(|_| ConfigError::of_all("is not UTF-8 text").in_file(path))?;
        Features::parse(&text).map_err(|fault| fault.in_file(path))
    }

    /// Reads and merges all files.
    pub fn read_all<P: AsRef<Path>>(paths: &[P]) -> Result<Features, ConfigError> {
        paths.iter().try_fold(Features::default(), |all, path| {
            all.with(Features::read(path.as_ref())?).map_err(|fault| fault.in_file(path.as_ref()))
        })
    }

    /// Parses the text of one file.
    pub fn parse(text: &str) -> Result<Features, ConfigError> {
        let document = toml::Deserializer::parse(text)
            .map_err(|e| ConfigError::of_all(format!("is not TOML: {}", e.message())))?;
        let features: Features = serde_path_to_error::deserialize(document)
            .map_err(|e| ConfigError::at_path(e.path(), &e.inner().message()))?;
        features.check()?;
        Ok(features)
    }

    /// Merges the tables of two files; a table that is in both is a fault, since one would silently win.
    pub fn with(self, other: Features) -> Result<Features, ConfigError> {
        Ok(Features {
            limits: at_most_one("limits", self.limits, other.limits)?,
            tally: at_most_one("tally", self.tally, other.tally)?,
            events: at_most_one("events", self.events, other.events)?,
            fleet: at_most_one("fleet", self.fleet, other.fleet)?,
            configuration: at_most_one("configuration", self.configuration, other.configuration)?,
            trial: at_most_one("trial", self.trial, other.trial)?,
        })
    }

    fn check(&self) -> Result<(), ConfigError> {
        if self.tally.as_ref().is_some_and(|tally| !TALLY_INTERVAL_MS.contains(&tally.every_ms)) {
            let (least, most) = (TALLY_INTERVAL_MS.start(), TALLY_INTERVAL_MS.end());
            return Err(ConfigError::of_key(
                "tally.every_ms",
                format!("must lie between {least} and {most} (ms)"),
            ));
        }
        if self.events.as_ref().is_some_and(|events| !EVENT_LINES.contains(&events.lines_per_second)) {
            let (least, most) = (EVENT_LINES.start(), EVENT_LINES.end());
            return Err(ConfigError::of_key(
                "events.lines_per_second",
                format!("must lie between {least} and {most}"),
            ));
        }
        if let Some(trial) = &self.trial {
            if !TRIAL_RATES.contains(&trial.clock_rate) {
                return Err(ConfigError::of_key("trial.clock_rate", "must lie between 0.5 and 2"));
            }
            if trial.wall_step_ms.unsigned_abs() > TRIAL_STEP_MAX_MS {
                return Err(ConfigError::of_key(
                    "trial.wall_step_ms",
                    format!("must be {TRIAL_STEP_MAX_MS} ms at most"),
                ));
            }
        }
        self.limits.as_ref().map_or(Ok(()), LimitsTable::check)
    }
}

impl LimitsTable {
    /// Checks that each value that is set lies in its range.
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        let connections = [
            ("client_connections", self.client_connections),
            ("server_connections", self.server_connections),
        ];
        for (key, value) in connections {
            if value.is_some_and(|n| !(8..=CONNECTIONS_MAX).contains(&n)) {
                return Err(ConfigError::of_key(
                    format!("limits.{key}"),
                    format!("must lie between 8 and {CONNECTIONS_MAX}"),
                ));
            }
        }
        if self.body_memory_mb.is_some_and(|mb| !(1..=MEMORY_MAX_MB).contains(&mb)) {
            return Err(ConfigError::of_key(
                "limits.body_memory_mb",
                format!("must lie between 1 and {MEMORY_MAX_MB} (MB)"),
            ));
        }
        Ok(())
    }
}

/// Reads a file, within [`FILE_BYTES_MAX`] bytes: a wrong path such as a device must not be read without end.
pub(crate) fn read_bounded(path: &Path) -> Result<Vec<u8>, ConfigError> {
    use std::io::Read;
    let unreadable = |e: std::io::Error| ConfigError::of_all(format!("cannot be read: {e}"));
    let file = std::fs::File::open(path).map_err(unreadable)?;
    let mut text = Vec::new();
    file.take(FILE_BYTES_MAX + 1).read_to_end(&mut text).map_err(unreadable)?;
    if text.len() as u64 > FILE_BYTES_MAX {
        return Err(ConfigError::of_all(format!("is larger than {FILE_BYTES_MAX} bytes")));
    }
    Ok(text)
}

/// The value that is set; a fault if both are.
fn at_most_one<T>(table: &str, one: Option<T>, other: Option<T>) -> Result<Option<T>, ConfigError> {
    if one.is_some() && other.is_some() {
        return Err(ConfigError::of_key(table, "this table is also in an earlier file"));
    }
    Ok(one.or(other))
}

#[cfg(test)]
mod tests;
