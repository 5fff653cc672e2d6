//! Changes of configuration in a large fleet, hollow agents among real ones: how long each takes from publishing until it is in
//! force, also while agents restart, after a region was cut off, and when many come in a row.

use crate::fleet::plan::{Fault, Kind};
use crate::fleet::topology::Topology;
use crate::publishing::judge::{Breach, InForce, Judge, Published};
use crate::publishing::measure::{value, Times};
use crate::publishing::operators::{self, in_force, Refusal, KEY, WRITER};
use crate::scale::measure::{Meter, Window};
use crate::scale::rig::{Rig, RigFault, Seat, Setup};
use crate::scale::schedule::spread;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How long a change may take, and the writer to be ready for the first one.
const WITHIN: Duration = Duration::from_secs(90);
/// How often it is looked who has a change in force; since when it is the agent says itself.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// The pause before a change, drawn up to here: changes don't fall into step with the agents' own periods.
const PAUSE_MOST_MS: u64 = 300;
/// Agents that restart while a change spreads, in seconds of their absence.
const RESTARTED: usize = 16;
const RESTART: Duration = Duration::from_secs(2);
/// The region that is cut off, for how long, and how many changes it misses. No suspicion lasts as long.
const REGION: usize = 2;
const CUT: Duration = Duration::from_secs(30);
const MISSED: u32 = 3;
/// The numbers under which the switch knows the faults of this module.
const LOSS_FAULT: usize = 0;
const CUT_FAULT: usize = 1;
/// Agents that are asked at once.
const ASKED_AT_ONCE: usize = 16;

/// Why nothing was measured.
#[derive(Debug, thiserror::Error)]
pub enum PublishingFault {
    /// The fleet is of no use.
    #[error(transparent)]
    Rig(#[from] RigFault),
    /// The writer does not publish.
    #[error("the writer does not publish: {0}")]
    Refused(#[from] Refusal),
    /// A change does not reach all in time.
    #[error("version {version} is not in force at {missing} agents within {WITHIN:?}, {first} among them")]
    Missing {
        /// Of which version.
        version: u64,
        /// How many lack it.
        missing: usize,
        /// One of them.
        first: usize,
    },
    /// An agent has in force what it must not.
    #[error(transparent)]
    Broken(#[from] Breach),
    /// What was measured says nothing of the agents.
    #[error("does not count: the rig is the bottleneck: {0}")]
    Bottleneck(String),
}

impl From<crate::scale::host::HostFault> for PublishingFault {
    fn from(fault: crate::scale::host::HostFault) -> Self {
        PublishingFault::Rig(fault.into())
    }
}

/// What many changes in a row have shown.
#[derive(Debug, Clone)]
pub struct Rush {
    /// The times of each service's last change, by pair of change and agent.
    pub times: Times,
    /// Changes that were published in all.
    pub published: usize,
    /// What agents and rig used meanwhile.
    pub window: Window,
    /// Bytes that the writer sent, a second.
    pub writer_bytes_out: f64,
}

/// A fleet in which changes are published.
pub struct Publishing {
    rig: Rig,
    judge: Judge,
    random: fastrand::Rng,
}

impl Publishing {
    /// Starts a fleet, of whose packets a share is lost, and waits until all have a first change in force.
    pub async fn start(setup: Setup, loss: f64) -> Result<Publishing, PublishingFault> {
        let seed = setup.plan.seed;
        let mut rig = Rig::new(setup).await?;
        rig.start_all().await?;
        let random = fastrand::Rng::with_seed(seed);
        let mut publishing = Publishing { rig, judge: Judge::default(), random };
        publishing.settle().await?;
        if loss > 0.0 {
            publishing.begin(LOSS_FAULT, Kind::Loss, Vec::new(), loss);
        }
        let (published, _) = publishing.publish_when_ready().await?;
        publishing.until_in_force(&publishing.running(), published.version).await?;
        Ok(publishing)
    }

    /// Waits until all have one view of the fleet; nobody reads views at other times.
    pub async fn settle(&mut self) -> Result<Duration, PublishingFault> {
        self.rig.rest(false).await;
        let settled = self.rig.settle().await?;
        self.rig.rest(true).await;
        Ok(settled)
    }

    /// Publishes changes one after the other, each once the one before is in force everywhere.
    pub async fn changes(&mut self, count: usize) -> Result<Times, PublishingFault> {
        let everybody = self.running();
        let mut runs = Vec::new();
        for _ in 0..count {
            sleep(Duration::from_millis(self.random.u64(0..PAUSE_MOST_MS))).await;
            let (published, begin) = self.publish().await?;
            let since = self.until_in_force(&everybody, published.version).await?;
            runs.push(after(begin, since));
        }
        Ok(times(everybody.len(), runs))
    }

    /// Publishes one change just after agents were killed, and starts them again: when all have it, those among them.
    pub async fn change_while_agents_restart(&mut self) -> Result<Times, PublishingFault> {
        let everybody = self.running();
        let others = everybody.iter().copied().filter(|member| *member != WRITER).collect();
        let restarted = spread(others, RESTARTED);
        for member in &restarted {
            self.rig.kill(*member).await?;
            self.judge.started(*member);
        }
        let (published, begin) = self.publish().await?;
        sleep(RESTART).await;
        for member in &restarted {
            self.rig.start(*member).await?;
        }
        let since = self.until_in_force(&everybody, published.version).await?;
        Ok(times(everybody.len(), vec![after(begin, since)]))
    }

    /// Cuts a region off while changes are published, and heals it: when each of its agents has the last one, from the heal on.
    pub async fn changes_while_a_region_is_cut_off(&mut self) -> Result<Times, PublishingFault> {
        let everybody = self.running();
        let topology = Topology::new(self.rig.seats.len());
        let (region, others): (Vec<usize>, Vec<usize>) =
            everybody.into_iter().partition(|member| topology.region(*member) == REGION);
        self.begin(CUT_FAULT, Kind::Partition, topology.in_region(REGION), 0.0);
        let mut last = 0;
        for _ in 0..MISSED {
            sleep(CUT / MISSED).await;
            last = self.publish().await?.0.version;
            self.until_in_force(&others, last).await?;
        }
        self.rig.switch.net().end(CUT_FAULT);
        let healed = Instant::now();
        let since = self.until_in_force(&region, last).await?;
        Ok(times(region.len(), vec![after(healed, since)]))
    }

    /// Publishes so many changes a second for so long, for so many services in turn.
    pub async fn rush(
        &mut self,
        a_second: f64,
        length: Duration,
        services: usize,
    ) -> Result<Rush, PublishingFault> {
        let meter = self.meter().await?;
        let sent_before = self.rig.switch.traffic()[WRITER].bytes_out;
        let begin = tokio::time::Instant::now();
        let mut last = HashMap::new();
        let count = (a_second * length.as_secs_f64()) as usize;
        for number in 0..count {
            tokio::time::sleep_until(begin + Duration::from_secs_f64(number as f64 / a_second)).await;
            let key = format!("service-{}", number % services);
            let at = Instant::now();
            let value = value(&mut self.random);
            let published = operators::publish(self.admin(WRITER), &key, &value).await?;
            last.insert(key, (published.version, at));
        }
        let window = self.used(meter).await?;
        let sent = self.rig.switch.traffic()[WRITER].bytes_out - sent_before;
        let times = self.until_all_have(&last).await?;
        Ok(Rush { times, published: count, window, writer_bytes_out: sent as f64 / window.seconds })
    }

    /// Begins to watch what the rig takes of the machine.
    pub async fn meter(&self) -> Result<Meter, PublishingFault> {
        Ok(Meter::start(&self.rig).await?)
    }

    /// What was used since; an error if the rig was in the way.
    pub async fn used(&self, meter: Meter) -> Result<Window, PublishingFault> {
        let window = meter.stop(&self.rig).await?;
        match window.rig.bottleneck(&self.rig.setup.bounds) {
            Some(reason) => Err(PublishingFault::Bottleneck(reason)),
            None => Ok(window),
        }
    }

    fn admin(&self, member: usize) -> Option<SocketAddr> {
        self.rig.eyes.book().wanted(member).map(|wanted| wanted.admin)
    }

    fn running(&self) -> Vec<usize> {
        (0..self.rig.seats.len()).filter(|member| self.admin(*member).is_some()).collect()
    }

    fn begin(&mut self, number: usize, kind: Kind, members: Vec<usize>, amount: f64) {
        let fault = Fault { kind, at: 0.0, lasts: 0.0, members, amount };
        let now = self.rig.switch.now();
        let again = self.rig.switch.net().begin(number, &fault, now);
        self.rig.switch.send(again);
    }

    /// Publishes a value that is no other's; with the moment before that.
    async fn publish(&mut self) -> Result<(Published, Instant), Refusal> {
        let (value, begin) = (value(&mut self.random), Instant::now());
        let published = operators::publish(self.admin(WRITER), KEY, &value).await?;
        self.judge.published(&published);
        Ok((published, begin))
    }

    /// The same as soon as the writer has learned what the others hold.
    async fn publish_when_ready(&mut self) -> Result<(Published, Instant), Refusal> {
        let begin = Instant::now();
        loop {
            match self.publish().await {
                Err(Refusal { status: 0 | 503, .. }) if begin.elapsed() < WITHIN => sleep(LOOK_EVERY).await,
                result => return result,
            }
        }
    }

    /// Waits until these members have a version in force, or a later one; since when each of them has.
    async fn until_in_force(
        &mut self,
        members: &[usize],
        version: u64,
    ) -> Result<Vec<Instant>, PublishingFault> {
        let begin = Instant::now();
        loop {
            let seen = self.seen().await?;
            for (member, in_force, _) in &seen {
                self.judge.says(*member, in_force);
            }
            if let Some(breach) = self.judge.breaches().first() {
                return Err(breach.clone().into());
            }
            let since: HashMap<usize, Instant> = seen
                .into_iter()
                .filter(|(_, in_force, _)| in_force.version >= version)
                .map(|(member, _, since)| (member, since))
                .collect();
            let missing: Vec<usize> =
                members.iter().copied().filter(|member| !since.contains_key(member)).collect();
            match missing.first() {
                None => return Ok(members.iter().map(|member| since[member]).collect()),
                Some(first) if begin.elapsed() > WITHIN => {
                    return Err(PublishingFault::Missing { version, missing: missing.len(), first: *first })
                }
                Some(_) => sleep(LOOK_EVERY).await,
            }
        }
    }

    /// What each member has in force of [`KEY`], and since when.
    async fn seen(&self) -> Result<Vec<(usize, InForce, Instant)>, PublishingFault> {
        let mut all = Vec::new();
        for host in &self.rig.hosts {
            let configured = host.configurations().await?;
            let now = Instant::now();
            all.extend(configured.into_iter().map(|of| {
                let since = moment(now, of.in_force.since_ms);
                (of.number, of.in_force, since)
            }));
        }
        for (member, seat) in self.rig.seats.iter().enumerate() {
            let (Seat::Real(Some(_)), Some(admin)) = (seat, self.admin(member)) else { continue };
            let Some(status) = operators::status(admin).await else { continue };
            if let Some(seen) = in_force(&status) {
                all.push((member, seen.clone(), moment(Instant::now(), seen.since_ms)));
            }
        }
        Ok(all)
    }

    /// Waits until all that run have these versions in force, by service; how long each took to get there.
    async fn until_all_have(&self, last: &HashMap<String, (u64, Instant)>) -> Result<Times, PublishingFault> {
        let (everybody, begin) = (self.running(), Instant::now());
        let mut left = everybody.clone();
        let mut runs: HashMap<String, Vec<f64>> = HashMap::new();
        while let Some(first) = left.first().copied() {
            if begin.elapsed() > WITHIN {
                let version = last.values().map(|(version, _)| *version).max().unwrap_or(0);
                return Err(PublishingFault::Missing { version, missing: left.len(), first });
            }
            let mut behind = Vec::new();
            for (member, took) in self.ask_all(&left, last).await {
                match took {
                    Some(took) => {
                        took.into_iter().for_each(|(key, ms)| runs.entry(key).or_default().push(ms))
                    }
                    None => behind.push(member),
                }
            }
            left = behind;
            sleep(LOOK_EVERY).await;
        }
        Ok(times(everybody.len(), runs.into_values().collect()))
    }

    /// How long each of these members took to have each of these versions, in milliseconds; nothing of one that lacks any.
    async fn ask_all(
        &self,
        members: &[usize],
        last: &HashMap<String, (u64, Instant)>,
    ) -> Vec<(usize, Option<Vec<(String, f64)>>)> {
        let (places, last) = (Arc::new(Semaphore::new(ASKED_AT_ONCE)), Arc::new(last.clone()));
        let mut asking = JoinSet::new();
        for &member in members {
            let (places, last, admin) = (Arc::clone(&places), Arc::clone(&last), self.admin(member));
            asking.spawn(async move {
                let _place = places.acquire().await;
                (member, ask(admin, &last).await)
            });
        }
        asking.join_all().await
    }
}

/// How long an agent took to have each of these versions in force, in milliseconds; nothing if it lacks any.
async fn ask(
    admin: Option<SocketAddr>,
    last: &HashMap<String, (u64, Instant)>,
) -> Option<Vec<(String, f64)>> {
    let status = operators::status(admin?).await?;
    let now = Instant::now();
    let took = |(key, (version, published)): (&String, &(u64, Instant))| {
        let entry = status.entries.iter().find(|entry| &entry.key == key)?;
        let in_force = entry.in_force.as_ref().filter(|in_force| in_force.version == *version)?;
        let since = moment(now, in_force.since_ms);
        Some((key.clone(), since.saturating_duration_since(*published).as_secs_f64() * 1e3))
    };
    last.iter().map(took).collect()
}

/// The moment so many milliseconds ago.
fn moment(now: Instant, ago_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(ago_ms)).unwrap_or(now)
}

/// How long after a beginning each of these moments was, in milliseconds.
fn after(begin: Instant, moments: Vec<Instant>) -> Vec<f64> {
    moments.into_iter().map(|at| at.saturating_duration_since(begin).as_secs_f64() * 1e3).collect()
}

/// The times of several changes, in milliseconds for each agent.
fn times(agents: usize, runs: Vec<Vec<f64>>) -> Times {
    let last = runs.iter().map(|run| run.iter().copied().fold(0.0, f64::max)).collect();
    let mut all: Vec<f64> = runs.into_iter().flatten().collect();
    all.sort_by(f64::total_cmp);
    Times { agents, all, last }
}
