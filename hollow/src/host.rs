//! The agents of one host, and how orders change them.

use dilljunction_agent::{Config, Features, HollowAgent};
use dilljunction_lab::publishing::judge::InForce;
use dilljunction_lab::scale::protocol::{Answer, Configured, Order, Summary};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;

/// The most agents of one host.
const AGENTS_MOST: usize = 1_000;
/// How often it is looked whether timers come in time.
const LATE_LOOK: Duration = Duration::from_millis(50);

/// Why a host ends.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The runtime or its signals can't be had.
    #[error("cannot start: {0}")]
    Runtime(std::io::Error),
    /// Standard input can't be read.
    #[error("orders cannot be read: {0}")]
    Input(std::io::Error),
    /// An order is too long.
    #[error("an order has more than {0} bytes, or no end")]
    LongLine(usize),
    /// Standard output can't be written.
    #[error("an answer cannot be written: {0}")]
    Output(std::io::Error),
    /// An answer can't be put into words.
    #[error("an answer cannot be worded: {0}")]
    Answer(serde_json::Error),
}

/// Agents by their number in the fleet.
pub struct Host {
    agents: BTreeMap<usize, HollowAgent>,
    lateness: Lateness,
}

impl Host {
    /// One without agents; must be made on a [`tokio::task::LocalSet`].
    pub fn new() -> Host {
        Host { agents: BTreeMap::new(), lateness: Lateness::watch() }
    }

    /// Carries out an order, and words the answer.
    pub async fn carry_out(&mut self, line: &[u8]) -> Answer {
        let order = match serde_json::from_slice(line) {
            Ok(order) => order,
            Err(e) => return Answer::Refused { reason: format!("not an order: {e}") },
        };
        match order {
            Order::Start { number, config, switches } => self
                .start(number, &config, &switches)
                .await
                .unwrap_or_else(|reason| Answer::Refused { reason }),
            Order::Kill { number } => match self.agents.remove(&number) {
                Some(_) => Answer::Killed { number },
                None => Answer::Refused { reason: format!("agent {number} does not run here") },
            },
            Order::Report => self.report(),
            Order::ReportConfigurations => self.report_configurations(),
        }
    }

    async fn start(
        &mut self,
        number: usize,
        config: &serde_json::Value,
        switches: &str,
    ) -> Result<Answer, String> {
        let of = |reason: String| format!("agent {number}: {reason}");
        if self.agents.len() >= AGENTS_MOST {
            return Err(of(format!("this host has {AGENTS_MOST} agents, and no room for more")));
        }
        self.agents.remove(&number);
        let switches = Features::parse(switches).map_err(|fault| of(fault.to_string()))?;
        let text = config.to_string();
        let config = Config::parse(text.as_bytes(), switches).map_err(|fault| of(fault.to_string()))?;
        let agent = HollowAgent::start(config).await.map_err(of)?;
        let (Some(peers_at), Some(admin)) = (agent.peers_address(), agent.admin()) else {
            return Err(of("its configuration names no operators' address (\"admin\")".into()));
        };
        self.agents.insert(number, agent);
        Ok(Answer::Started { number, peers_at, admin })
    }

    fn report(&self) -> Answer {
        let summary = |(number, agent): (&usize, &HollowAgent)| {
            let seen = agent.summary()?;
            let (life, digest, sure, present) = (seen.generation, seen.digest, seen.converged, seen.present);
            Some(Summary { number: *number, life, digest, sure, present })
        };
        let agents = self.agents.iter().filter_map(summary).collect();
        Answer::Report { agents, late_ms: self.lateness.take().as_secs_f64() * 1e3 }
    }

    fn report_configurations(&self) -> Answer {
        let configured = |(number, agent): (&usize, &HollowAgent)| {
            let seen = agent.in_force()?;
            let in_force = InForce { version: seen.version, digest: seen.digest, since_ms: seen.since_ms };
            Some(Configured { number: *number, in_force })
        };
        Answer::Configurations { agents: self.agents.iter().filter_map(configured).collect() }
    }
}

/// Watches how late the timers of this thread are.
struct Lateness {
    most: Rc<Cell<Duration>>,
    task: AbortHandle,
}

impl Lateness {
    fn watch() -> Lateness {
        let most = Rc::new(Cell::new(Duration::ZERO));
        let seen = Rc::clone(&most);
        let task = spawn_local(async move {
            loop {
                let due = Instant::now() + LATE_LOOK;
                sleep(LATE_LOOK).await;
                seen.set(seen.get().max(due.elapsed()));
            }
        });
        Lateness { most, task: task.abort_handle() }
    }

    /// The worst since this was last asked.
    fn take(&self) -> Duration {
        self.most.replace(Duration::ZERO)
    }
}

impl Drop for Lateness {
    fn drop(&mut self) {
        self.task.abort();
    }
}
