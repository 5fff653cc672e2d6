//! The agent that is measured: the real program, told of a deployment of the target's size.

use super::process::Reading;
use super::servers::{zone, ZONES};
use crate::standins::discovery::{Registry, View};
use crate::world::agents::{config, Agent, Setup, Subject};
use crate::world::{Building, OfficeShare, World};
use std::net::SocketAddr;
use std::path::Path;

/// Agents and calls a second of the whole deployment that agents are told of.
const TARGET_AGENTS: u32 = 1600;
const TARGET_RATE: f64 = 280_000.0;
/// The name of the one caller.
pub const CALLER: &str = "callers";

/// What an agent is told at its start besides its list.
#[derive(Debug, Clone, Default)]
pub struct Told {
    /// Whether its configuration holds the list.
    pub list: bool,
    /// The other agents; none for an agent without a view of the fleet.
    pub peers: Vec<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
}

/// Starts an agent of a number; it ends when it is dropped.
pub async fn start(
    (program, folder): (&Path, &Path),
    number: usize,
    (registry, view): (&Registry, &View),
    told: &Told,
) -> Result<Agent, String> {
    let world = deployment()?;
    let known = told.list.then(|| registry.known(view.endpoints()));
    let config = config(&world, number, view.address(), known.as_deref(), told.seed, &told.peers);
    let subject = Subject::Program(program.to_path_buf(), Vec::new());
    let setup =
        Setup { index: number, subject, config, folder: folder.to_path_buf(), held: false, machine: None };
    Agent::start(setup, None).await
}

/// Reads what an agent has used so far.
pub fn reading(agent: &Agent) -> Result<Reading, String> {
    agent.process_id().and_then(Reading::of).ok_or_else(|| "the agent has ended by itself".into())
}

/// The deployment of the target's size, as far as a configuration shows it.
fn deployment() -> Result<World, String> {
    let world = World::find("calm")?;
    let building = (0..ZONES).map(|number| Building { name: zone(number), servers: 1 }).collect();
    let office = vec![OfficeShare { name: CALLER.into(), share: 1.0 }];
    Ok(World { building, office, rate: TARGET_RATE, told: Some(TARGET_AGENTS), ..world })
}
