//! Measuring commands for one real agent: each starts the release program on loopback, varies one driver of cost over
//! several sizes, and writes one [`Measurement`].
//!
//! | module | job |
//! | --- | --- |
//! | [`sweep`] | sizes and repeats of one driver, in an order that spreads the machine's drift over all of them |
//! | [`process`] | what `/proc` says of a process |
//! | [`servers`] | stand-in servers that answer at once, and a discovery that lists them |
//! | [`subject`] | the agent that is measured |
//! | [`load`] | calls at a fixed rate, direct and through the agent, in turn |
//! | [`idle`], [`lists`], [`calls`], [`restarts`], [`attempts`] | the measurements |

pub mod attempts;
pub mod calls;
pub mod idle;
pub mod lists;
pub mod load;
pub mod process;
pub mod restarts;
pub mod servers;
pub mod subject;
pub mod sweep;

use crate::capacity::measurement::{Measurement, Series};
use crate::capacity::provenance;
use std::path::PathBuf;

/// The measurements, by the names of their files.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Name {
    /// CPU, wakeups and memory of an agent without traffic, by servers known
    IdleAgent,
    /// Bytes and CPU of one whole list, by servers known
    ListWhole,
    /// Latency that an agent adds at 175 calls a second, by servers known
    CallPath,
    /// Attempts for each call at one tier, by the share of servers in trouble (virtual time)
    Attempts,
    /// CPU and memory by calls a second
    CallRate,
    /// Bytes and CPU by changes of the list a second
    ListChanges,
    /// Calls and bytes at discovery by agents restarted at once
    DiscoveryRestarts,
    /// As call-path, while the control work of the worst minute of a release goes on beside it
    CallPathWorstMinute,
}

impl Name {
    /// The name of the file, without `.json`, as the command line has it.
    pub fn text(self) -> String {
        clap::ValueEnum::to_possible_value(&self)
            .map_or_else(String::new, |value| value.get_name().to_string())
    }
}

/// What every measurement is told.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The agent's program.
    pub program: PathBuf,
    /// Where configurations and logs of agents go.
    pub folder: PathBuf,
    /// How often each size is measured.
    pub repeats: usize,
    /// How long one run of one size lasts, in place of the measurement's own time.
    pub seconds: Option<f64>,
    /// Sizes in place of the measurement's own; the last one is held out of the fit.
    pub sizes: Option<Vec<f64>>,
    /// Whether progress is told on the standard error stream.
    pub tell: bool,
    /// Whether a run that a busy machine has spoilt is void, and taken again; if not, it stands as it is.
    pub voids: bool,
}

/// What a measurement gives, before its file's head is added.
#[derive(Debug, Clone)]
pub struct Findings {
    /// One line for people.
    pub about: String,
    /// What was varied.
    pub driver: String,
    /// What was measured.
    pub series: Vec<Series>,
    /// What a reader has to know.
    pub notes: Vec<String>,
}

/// Takes one measurement.
pub async fn measure(name: Name, setup: &Setup) -> Result<Findings, String> {
    match name {
        Name::IdleAgent => idle::measure(setup).await,
        Name::ListWhole => lists::measure_whole(setup).await,
        Name::CallPath => calls::measure_path(setup, calls::Beside::Nothing).await,
        Name::CallPathWorstMinute => calls::measure_path(setup, calls::Beside::WorstMinute).await,
        Name::CallRate => calls::measure_rate(setup).await,
        Name::ListChanges => lists::measure_changes(setup).await,
        Name::DiscoveryRestarts => restarts::measure(setup).await,
        Name::Attempts => attempts::measure(setup).await,
    }
}

/// Puts the file's head round the findings of a measurement.
pub fn with_head(name: Name, findings: Findings, command: String) -> Measurement {
    Measurement {
        name: name.text(),
        about: findings.about,
        command,
        build: provenance::build(),
        machine: provenance::machine(),
        date: provenance::today(),
        driver: findings.driver,
        series: findings.series,
        notes: findings.notes,
    }
}
