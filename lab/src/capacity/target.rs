//! The size that the operators plan for, read from `target.toml`.

use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// No count of the target may be above this; a larger one is a slip of the keyboard.
pub const COUNT_MOST: f64 = 1e9;

/// Most agents: members are numbered below this (`cluster/src/member.rs`).
pub const BACKENDS_MOST: u32 = 4_096;

/// Why a target can't be used: file, key, reason.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{file}: {key}: {reason}", file = file.display())]
pub struct TargetError {
    /// The file that was read.
    pub file: PathBuf,
    /// The key, or `-` where there is none to name.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// All of the target.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// What there is.
    pub fleet: Fleet,
    /// What is served.
    pub calls: Calls,
    /// How often the configuration changes, and how fast a change has to be in force.
    pub configuration: Configuration,
    /// What one agent may take.
    pub agent: Agent,
    /// What fails, and how often.
    pub failures: Failures,
}

/// What there is.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Backends, each with its agent.
    pub backends: u32,
    /// Services that the backends belong to.
    pub services: u32,
    /// Regions.
    pub regions: u32,
    /// Zones of all regions together.
    pub zones: u32,
    /// Machines set aside for control.
    pub control_machines: u32,
}

/// What is served.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Calls {
    /// Calls a second of the whole fleet.
    pub a_second: f64,
    /// Calls that stand one behind the other, at most.
    pub depth: u32,
    /// What all agents on the way may add for 99 in 100 calls, in ms.
    pub added_p99_ms: f64,
}

/// How often the configuration changes, and how fast a change has to be in force.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Changes a day.
    pub changes_a_day: f64,
    /// Changes a second in the worst minute of a release.
    pub changes_a_second_most: f64,
    /// From publishing to in force everywhere, in s.
    pub in_force_s: f64,
}

/// What one agent may take.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Control, in percent of one core.
    pub control_cpu_percent: f64,
    /// Memory, in MB.
    pub memory_mb: f64,
    /// Control in and out, in KB (1000 bytes) a second.
    pub control_kb_a_second: f64,
}

/// What fails, and how often.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failures {
    /// Machines on an ordinary day.
    pub machines_a_day: f64,
    /// Agents restarted or replaced on an ordinary day.
    pub restarts_a_day: f64,
    /// Agents that restart at once in the worst minute of a release.
    pub restarts_at_once: u32,
    /// Days between two failures of a rack or switch.
    pub days_between_racks: f64,
    /// Failures of a zone a year.
    pub zones_a_year: f64,
    /// How often regions lose each other in a year.
    pub region_cuts_a_year: f64,
    /// For how long, in minutes.
    pub region_cut_minutes: f64,
}

impl Target {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Target, TargetError> {
        match std::fs::read_to_string(path) {
            Ok(text) => Target::parse(&text, path),
            Err(e) => Err(TargetError { file: path.into(), key: "-".into(), reason: e.to_string() }),
        }
    }

    /// Reads and checks text; `file` is named in errors.
    pub fn parse(text: &str, file: &Path) -> Result<Target, TargetError> {
        let fault = |key: String, reason: String| TargetError { file: file.into(), key, reason };
        let deserializer =
            toml::Deserializer::parse(text).map_err(|e| fault("-".into(), one_line(&e.to_string())))?;
        let target: Target = serde_path_to_error::deserialize(deserializer)
            .map_err(|e| fault(e.path().to_string(), one_line(e.inner().message())))?;
        target.check().map_err(|(key, reason)| fault(key.into(), reason))?;
        Ok(target)
    }

    fn check(&self) -> Result<(), (&'static str, String)> {
        let Target { fleet, calls, configuration, agent, failures } = self;
        let positive = [
            ("fleet.backends", f64::from(fleet.backends)),
            ("fleet.services", f64::from(fleet.services)),
            ("fleet.regions", f64::from(fleet.regions)),
            ("fleet.zones", f64::from(fleet.zones)),
            ("fleet.control_machines", f64::from(fleet.control_machines)),
            ("calls.a_second", calls.a_second),
            ("calls.depth", f64::from(calls.depth)),
            ("calls.added_p99_ms", calls.added_p99_ms),
            ("configuration.changes_a_day", configuration.changes_a_day),
            ("configuration.changes_a_second_most", configuration.changes_a_second_most),
            ("configuration.in_force_s", configuration.in_force_s),
            ("agent.control_cpu_percent", agent.control_cpu_percent),
            ("agent.memory_mb", agent.memory_mb),
            ("agent.control_kb_a_second", agent.control_kb_a_second),
            ("failures.machines_a_day", failures.machines_a_day),
            ("failures.restarts_a_day", failures.restarts_a_day),
            ("failures.restarts_at_once", f64::from(failures.restarts_at_once)),
            ("failures.days_between_racks", failures.days_between_racks),
            ("failures.zones_a_year", failures.zones_a_year),
            ("failures.region_cuts_a_year", failures.region_cuts_a_year),
            ("failures.region_cut_minutes", failures.region_cut_minutes),
        ];
        for (key, number) in positive {
            if !(number > 0.0 && number <= COUNT_MOST) {
                return Err((key, format!("is {number}; it has to be above 0 and at most {COUNT_MOST}")));
            }
        }
        if fleet.backends > BACKENDS_MOST {
            let reason = format!("is {}; agents are numbered below {BACKENDS_MOST}", fleet.backends);
            return Err(("fleet.backends", reason));
        }
        if fleet.services > fleet.backends {
            return Err(("fleet.services", format!("is {}, more than there are backends", fleet.services)));
        }
        if fleet.zones < fleet.regions {
            return Err(("fleet.zones", format!("is {}, less than there are regions", fleet.zones)));
        }
        if failures.restarts_at_once > fleet.backends {
            let reason = format!("is {}, more than there are agents", failures.restarts_at_once);
            return Err(("failures.restarts_at_once", reason));
        }
        Ok(())
    }
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

#[cfg(test)]
mod tests;
