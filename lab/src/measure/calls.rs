//! What an agent adds to a call and what a call costs it: by servers known, and by calls a second.

use super::lists::change;
use super::load::{Client, Latencies, Load};
use super::process::Reading;
use super::servers::{discovery, Servers};
use super::subject::{self, Told};
use super::sweep::{Quantity, Sweep};
use super::{Findings, Setup};
use crate::standins::discovery::Registry;
use crate::world::agents::Agent;
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::interval;

const PATH_FITTED: [f64; 4] = [7.0, 100.0, 400.0, 800.0];
const PATH_HELD_OUT: f64 = 1600.0;
const RATE_FITTED: [f64; 4] = [50.0, 100.0, 200.0, 400.0];
const RATE_HELD_OUT: f64 = 300.0;
/// Calls a second to one agent at the target.
const TARGET_RATE: f64 = 175.0;
/// Servers known while the rate is varied.
const RATE_SERVERS: usize = 100;
/// Servers that direct calls go to: all connections are warm.
const DIRECT_SERVERS: usize = 7;
/// How long calls come before they count, and then, in seconds.
const WARM_UP: f64 = 2.0;
const PATH_SECONDS: f64 = 10.0;
const RATE_SECONDS: f64 = 5.0;
/// More failed calls than this part of all make a run void.
const FAILED_MOST: f64 = 0.001;
/// Clients that were late by more at the 99th percentile make a run void: the machine was busy.
const LATE_MOST_MS: f64 = 20.0;
/// How often a run is taken while a busy machine spoils it.
const TRIES_MOST: usize = 3;
/// The worst minute of a release: changes of the list a second (1,200 a minute: 600 servers drain and come back), ...
const RELEASE_CHANGES: f64 = 20.0;
/// ... other agents that say nothing, ...
const SILENT_PEERS: usize = 1599;
/// ... and datagrams a second from strangers that can't be read.
const STRANGE_DATAGRAMS: f64 = 100.0;
/// The length of those datagrams, as those of other agents.
const DATAGRAM_BYTES: usize = 256;
const PATH: [Quantity; 5] = [
    Quantity::new("direct-p50", "us"),
    Quantity::new("direct-p99", "us"),
    Quantity::new("added-p50", "us"),
    Quantity::new("added-p99", "us"),
    Quantity::new("cpu-per-call", "us"),
];
const RATE: [Quantity; 2] = [Quantity::new("cpu", "ms/s"), Quantity::new("resident", "MB")];

/// What goes on beside the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Beside {
    /// Nothing.
    Nothing,
    /// The control work of the worst minute of a release.
    WorstMinute,
}

/// One run of calls at an agent.
struct Run {
    latencies: Latencies,
    before: Reading,
    after: Reading,
    seconds: f64,
}

impl Run {
    /// Calls through the agent that were answered.
    fn calls(&self) -> u64 {
        self.latencies.agent.len()
    }

    /// CPU of the agent for each call, in microseconds.
    fn cpu_per_call_us(&self) -> f64 {
        self.after.since(&self.before, self.seconds).cpu_ms_per_s * self.seconds * 1e3
            / self.calls().max(1) as f64
    }

    /// Why its figures don't count, if they don't.
    fn fault(&self) -> Option<String> {
        let all = self.calls() + self.latencies.direct.len() + self.latencies.failed;
        if self.latencies.failed as f64 > all as f64 * FAILED_MOST {
            return Some(format!("{} of {all} calls failed", self.latencies.failed));
        }
        let late_ms = self.latencies.late.value_at_quantile(0.99) as f64 / 1e6;
        (late_ms > LATE_MOST_MS).then(|| format!("the client was {late_ms:.1} ms late: the machine is busy"))
    }
}

/// Warms an agent up and measures it under a load.
async fn run(agent: &Agent, load: Load, warm_up: Duration, length: Duration) -> Result<Run, String> {
    let client = Client::new(load);
    client.run(warm_up).await?;
    let (before, began) = (subject::reading(agent)?, Instant::now());
    let latencies = client.run(length).await?;
    let seconds = began.elapsed().as_secs_f64();
    let run = Run { latencies, before, after: subject::reading(agent)?, seconds };
    if run.calls() == 0 {
        return Err("no call through the agent was answered".into());
    }
    Ok(run)
}

/// Runs that were void, for the notes of a measurement.
#[derive(Default)]
struct Voids(RefCell<Vec<String>>);

impl Voids {
    /// Takes a run again while a busy machine spoils it; the last try stands or fails the measurement.
    async fn take(
        &self,
        setup: &Setup,
        mut run: impl AsyncFnMut() -> Result<Run, String>,
    ) -> Result<Run, String> {
        for _ in 0..TRIES_MOST {
            let run = run().await?;
            let Some(fault) = run.fault().filter(|_| setup.voids) else { return Ok(run) };
            eprintln!("void: {fault}");
            self.0.borrow_mut().push(fault);
        }
        Err(format!("{TRIES_MOST} runs in a row were void: {}", self.0.borrow().join("; ")))
    }

    fn note(&self) -> Option<String> {
        let faults = self.0.borrow();
        (!faults.is_empty())
            .then(|| format!("{} runs were void and taken again: {}", faults.len(), faults.join("; ")))
    }
}

/// Added latency and CPU for each call by servers known.
pub async fn measure_path(setup: &Setup, beside: Beside) -> Result<Findings, String> {
    let sweep = Sweep::new(&PATH_FITTED, PATH_HELD_OUT, setup.repeats, setup.sizes.as_deref());
    let servers = Servers::start(sweep.largest().max(DIRECT_SERVERS as f64) as usize).await?;
    let peers = match beside {
        Beside::Nothing => Vec::new(),
        Beside::WorstMinute => silent_peers().await?,
    };
    let peer_addresses: Result<Vec<SocketAddr>, String> =
        peers.iter().map(|peer| peer.local_addr().map_err(|e| e.to_string())).collect();
    let peer_addresses = peer_addresses?;
    let voids = Voids::default();
    let seconds = setup.seconds.unwrap_or(PATH_SECONDS);
    let warm_up = Duration::from_secs_f64(WARM_UP.min(seconds));
    let series = sweep
        .take(&PATH, async |repeat, size| {
            let told = Told { list: true, seed: repeat as u64 + 1, peers: peer_addresses.clone() };
            let direct = servers.addresses()[..DIRECT_SERVERS].to_vec();
            let one = async || {
                let (registry, view) = discovery(servers.addresses(), size as usize).await?;
                let agent =
                    subject::start((&setup.program, &setup.folder), 0, (&registry, &view), &told).await?;
                let _work = control_work(beside, &agent, &registry, size as usize);
                let load = Load {
                    agent: agent.address,
                    servers: direct.clone(),
                    rate: TARGET_RATE,
                    seed: told.seed,
                };
                run(&agent, load, warm_up, Duration::from_secs_f64(seconds)).await
            };
            let run = voids.take(setup, one).await?;
            let of = &run.latencies;
            let values = vec![
                of.direct_us(0.5),
                of.direct_us(0.99),
                of.added_us(0.5),
                of.added_us(0.99),
                run.cpu_per_call_us(),
            ];
            if setup.tell {
                eprintln!("call path: {size} servers, {} calls: {values:.0?}", run.calls());
            }
            Ok(values)
        })
        .await?;
    Ok(Findings {
        about: match beside {
            Beside::Nothing => format!("What one agent adds to a call at {TARGET_RATE} calls a second"),
            Beside::WorstMinute => format!(
                "What one agent adds to a call at {TARGET_RATE} calls a second in the worst minute of a release"
            ),
        },
        driver: "servers known".into(),
        series,
        notes: path_notes(beside, seconds).into_iter().chain(voids.note()).collect(),
    })
}

fn path_notes(beside: Beside, seconds: f64) -> Vec<String> {
    let mut notes = vec![
        format!("each run: {WARM_UP} s to warm up, then {seconds} s of {TARGET_RATE} calls a second on each way, in turn"),
        format!("direct: over kept connections to {DIRECT_SERVERS} of the stand-in servers, which answer at once"),
        "added: the quantile through the agent minus the same quantile of direct calls of the same run".into(),
        "cpu-per-call: schedstat of the whole agent, divided by its calls; control work is in it".into(),
        "the agent may hold 1024 descriptors and connects to servers anew where it keeps no connection".into(),
    ];
    if beside == Beside::WorstMinute {
        notes.push(format!(
            "beside it: {RELEASE_CHANGES} changes of the list a second; a view of the fleet with {SILENT_PEERS} peers \
             that say nothing; {STRANGE_DATAGRAMS} unreadable datagrams a second at the peers' address"
        ));
    }
    notes
}

/// Sockets of other agents that say nothing: what comes to them is dropped once their buffers are full.
async fn silent_peers() -> Result<Vec<UdpSocket>, String> {
    let mut peers = Vec::new();
    // The first place is the measured agent's own, which has another address.
    for _ in 0..=SILENT_PEERS {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
        peers.push(socket.map_err(|e| format!("no socket for a peer: {e}"))?);
    }
    Ok(peers)
}

/// Starts what goes on beside the calls; it ends when this is dropped.
fn control_work(beside: Beside, agent: &Agent, registry: &Registry, servers: usize) -> JoinSet<()> {
    let mut work = JoinSet::new();
    if beside == Beside::WorstMinute {
        let registry = registry.clone();
        work.spawn(async move { change(&registry, RELEASE_CHANGES, servers).await });
        if let Some(at) = agent.peers_at {
            work.spawn(send_garbage(at));
        }
    }
    work
}

async fn send_garbage(to: SocketAddr) {
    let Ok(socket) = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await else { return };
    let mut random = fastrand::Rng::with_seed(1);
    let mut ticks = interval(Duration::from_secs_f64(1.0 / STRANGE_DATAGRAMS));
    loop {
        ticks.tick().await;
        let datagram: [u8; DATAGRAM_BYTES] = std::array::from_fn(|_| random.u8(..));
        let _ = socket.send_to(&datagram, to).await;
    }
}

/// CPU and memory by calls a second.
pub async fn measure_rate(setup: &Setup) -> Result<Findings, String> {
    let sweep = Sweep::new(&RATE_FITTED, RATE_HELD_OUT, setup.repeats, setup.sizes.as_deref());
    let servers = Servers::start(RATE_SERVERS).await?;
    let voids = Voids::default();
    let seconds = setup.seconds.unwrap_or(RATE_SECONDS);
    let warm_up = Duration::from_secs_f64(WARM_UP.min(seconds));
    let series = sweep
        .take(&RATE, async |repeat, size| {
            let told = Told { list: true, seed: repeat as u64 + 1, ..Told::default() };
            let one = async || {
                let (registry, view) = discovery(servers.addresses(), RATE_SERVERS).await?;
                let agent =
                    subject::start((&setup.program, &setup.folder), 0, (&registry, &view), &told).await?;
                let load = Load { agent: agent.address, servers: Vec::new(), rate: size, seed: told.seed };
                run(&agent, load, warm_up, Duration::from_secs_f64(seconds)).await
            };
            let run = voids.take(setup, one).await?;
            let rate = run.after.since(&run.before, run.seconds);
            if setup.tell {
                eprintln!("call-rate: {size}/s: {rate:?}");
            }
            Ok(vec![rate.cpu_ms_per_s, rate.resident_mb])
        })
        .await?;
    Ok(Findings {
        about: format!("CPU and memory of one agent under calls, with {RATE_SERVERS} servers known"),
        driver: "calls a second".into(),
        series,
        notes: [
            format!("each run: {WARM_UP} s to warm up, then {seconds} s of calls through the agent only"),
            "cpu: schedstat of the whole agent, with what it costs at rest".into(),
        ]
        .into_iter()
        .chain(voids.note())
        .collect(),
    })
}

#[cfg(test)]
mod tests;
