//! Real agents that take changes of configuration, and the switch between them.

use crate::fleet::net::Net;
use crate::fleet::plan::{Clocks, Fault, Kind, Knows};
use crate::fleet::process::{view, Ground, Process};
use crate::fleet::switch::Switch;
use crate::publishing::judge::{Judge, Published, Status};
use crate::publishing::operators;
pub use crate::publishing::operators::{in_force, Refusal, KEY, WRITER};
use crate::publishing::tamper::Tampering;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// The agent whose clients' socket the lab holds, as the platform does, and so knows.
pub const HELD: usize = 1;
/// How often agents are asked while something is waited for.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// What is played.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The agent's program.
    pub program: PathBuf,
    /// For files and logs.
    pub folder: PathBuf,
    /// How many agents.
    pub agents: usize,
    /// For all random numbers.
    pub seed: u64,
    /// The probability that a packet gets lost.
    pub loss: f64,
    /// Whose packets are changed on their way, and how.
    pub tampering: Option<(usize, Tampering)>,
}

struct Slot {
    process: Option<Process>,
    starts: usize,
    listener: Option<TcpListener>,
}

/// Agents on their feet, the judge beside them.
pub struct Rig {
    ground: Ground,
    switch: Switch,
    slots: Vec<Slot>,
    judge: Judge,
}

impl Rig {
    /// Starts all agents.
    pub async fn start(setup: Setup) -> Result<Rig, String> {
        let Setup { program, folder, agents, seed, loss, tampering } = setup;
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let fleet_file = folder.join("fleet.toml");
        std::fs::write(&fleet_file, operators::fleet_file())
            .map_err(|e| format!("{}: {e}", fleet_file.display()))?;
        let switch = Switch::start(agents, seed, None).await?;
        if let Some((member, tampering)) = tampering {
            switch.change_packets(member, move |packet| tampering.change(packet));
        }
        let peers = switch.addresses()?;
        // Nobody listens there: the list in the configuration is enough.
        let discovery = SocketAddr::from(([127, 0, 0, 1], 9));
        let ground = Ground { program, fleet_file, folder, peers, knows: Knows::All, discovery, seed };
        let listen = || TcpListener::bind("127.0.0.1:0").map_err(|e| format!("no socket to hold: {e}"));
        let slot = |agent| {
            Ok(Slot { process: None, starts: 0, listener: (agent == HELD).then(listen).transpose()? })
        };
        let slots = (0..agents).map(slot).collect::<Result<_, String>>()?;
        let judge = if tampering.is_some() { Judge::of_wrong_words() } else { Judge::default() };
        let mut rig = Rig { ground, switch, slots, judge };
        if loss > 0.0 {
            rig.begin(Kind::Loss, &[], loss);
        }
        for agent in 0..agents {
            rig.start_agent(agent).await?;
        }
        Ok(rig)
    }

    /// Starts an agent from nothing.
    pub async fn start_agent(&mut self, agent: usize) -> Result<(), String> {
        let slot = &mut self.slots[agent];
        let listener = slot.listener.as_ref();
        let mut process =
            Process::start(&self.ground, agent, slot.starts, Clocks::default(), listener, None).await?;
        let at = process.takes_over().await.ok_or("an agent does not listen for the others")?;
        self.switch.place(agent, at);
        slot.starts += 1;
        slot.process = Some(process);
        self.judge.started(agent);
        Ok(())
    }

    /// SIGKILL.
    pub async fn kill(&mut self, agent: usize) {
        if let Some(mut process) = self.slots[agent].process.take() {
            process.kill().await;
        }
    }

    /// A signal by its name.
    pub async fn signal(&self, agent: usize, name: &str) {
        if let Some(process) = &self.slots[agent].process {
            process.signal(name).await;
        }
    }

    /// Where clients connect to [`HELD`].
    pub fn clients_at(&self) -> Option<SocketAddr> {
        self.slots.get(HELD)?.listener.as_ref()?.local_addr().ok()
    }

    /// A fault of the network begins, until it is [ended](Rig::end).
    pub fn begin(&self, kind: Kind, members: &[usize], amount: f64) {
        let fault = Fault { kind, at: 0.0, lasts: 0.0, members: members.to_vec(), amount };
        let now = self.switch.now();
        let again = self.switch.net().begin(kind as usize, &fault, now);
        self.switch.send(again);
    }

    /// A fault of the network ends.
    pub fn end(&self, kind: Kind) {
        self.switch.net().end(kind as usize);
    }

    /// Packets and bytes that the agents have sent so far.
    pub fn carried(&self) -> (u64, u64) {
        let net: &Net = &self.switch.net();
        net.carried
    }

    fn admin(&self, agent: usize) -> Option<SocketAddr> {
        self.slots[agent].process.as_ref().map(|process| process.admin)
    }

    /// What an agent says of its configuration, if it answers.
    pub async fn status(&mut self, agent: usize) -> Option<Status> {
        let status = operators::status(self.admin(agent)?).await?;
        if let Some(in_force) = in_force(&status) {
            self.judge.says(agent, in_force);
        }
        Some(status)
    }

    /// Asks an agent to publish.
    pub async fn publish(&mut self, agent: usize, value: &str) -> Result<Published, Refusal> {
        let published = operators::publish(self.admin(agent), KEY, value).await?;
        self.judge.published(&published);
        Ok(published)
    }

    /// Publishes as soon as the writer may.
    pub async fn publish_when_ready(&mut self, value: &str, within: Duration) -> Result<Published, String> {
        let begin = Instant::now();
        loop {
            match self.publish(WRITER, value).await {
                Ok(published) => return Ok(published),
                Err(refusal) if begin.elapsed() > within => return Err(refusal.to_string()),
                Err(Refusal { status: 0 | 503, .. }) => sleep(LOOK_EVERY).await,
                Err(refusal) => return Err(refusal.to_string()),
            }
        }
    }

    /// Waits until these agents have a version in force, or a later one.
    pub async fn until_in_force(
        &mut self,
        agents: &[usize],
        version: u64,
        within: Duration,
    ) -> Result<(), String> {
        let begin = Instant::now();
        let mut left = agents.to_vec();
        loop {
            let mut behind = Vec::new();
            for agent in left {
                let status = self.status(agent).await;
                let there = status.as_ref().and_then(in_force).is_some_and(|it| it.version >= version);
                if !there {
                    behind.push(agent);
                }
            }
            if behind.is_empty() {
                return Ok(());
            }
            if begin.elapsed() > within {
                return Err(format!("version {version} is not in force at {behind:?} within {within:?}"));
            }
            left = behind;
            sleep(LOOK_EVERY).await;
        }
    }

    /// Waits until these agents see so many of the fleet, and are sure.
    pub async fn until_settled(&self, agents: &[usize], within: Duration) -> Result<(), String> {
        let begin = Instant::now();
        for &agent in agents {
            loop {
                let seen = match self.admin(agent) {
                    Some(admin) => view(admin).await,
                    None => None,
                };
                if seen.is_some_and(|seen| seen.sure && seen.lines.len() >= agents.len()) {
                    break;
                }
                if begin.elapsed() > within {
                    return Err(format!("agent {agent} is not sure within {within:?}"));
                }
                sleep(LOOK_EVERY).await;
            }
        }
        Ok(())
    }

    /// The rules that were broken so far.
    pub fn judge(&self) -> &Judge {
        &self.judge
    }
}
