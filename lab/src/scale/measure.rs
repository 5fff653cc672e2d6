//! What agents and the rig used over a stretch of time.

use crate::fleet::switch::Traffic;
use crate::scale::machine::{self, Processors, Usage};
use crate::scale::rig::{Rig, RigFault, Seat};
use crate::scale::share::Share;
use serde::Serialize;
use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How often it is looked whether a timer of the lab comes in time.
const LATE_LOOK: Duration = Duration::from_millis(20);

/// What an agent of one sort used, on average.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Used {
    /// Agents of the sort that ran.
    pub agents: usize,
    /// Processor time, in milliseconds a second.
    pub cpu_ms: f64,
    /// Resident memory, in MB.
    pub resident_mb: f64,
    /// Datagrams that it sent, a second.
    pub packets_out: f64,
    /// Datagrams that were handed on to it, a second.
    pub packets_in: f64,
    /// Bytes in datagrams that it sent, a second.
    pub bytes_out: f64,
    /// Bytes in datagrams that were handed on to it, a second.
    pub bytes_in: f64,
}

/// A stretch of time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Window {
    /// How long it was, in seconds.
    pub seconds: f64,
    /// What a real agent used.
    pub real: Used,
    /// What a hollow agent used.
    pub hollow: Used,
    /// What the rig took.
    pub rig: Share,
}

/// Usage by process number.
type Usages = Vec<(u32, Usage)>;

/// What stood on all counters at a moment.
struct Reading {
    at: Instant,
    traffic: Vec<Traffic>,
    real: Usages,
    hosts: Usages,
    lab: Duration,
    processors: Option<Processors>,
    carried: u64,
    dropped: u64,
}

impl Reading {
    fn of(rig: &Rig) -> Reading {
        let used = |process: Option<u32>| process.and_then(|id| Some((id, machine::usage(id)?)));
        let real = rig.seats.iter().filter_map(|seat| match seat {
            Seat::Real(Some(process)) => used(process.id()),
            _ => None,
        });
        let ports: HashSet<u16> = rig.ground.peers.iter().map(|address| address.port()).collect();
        Reading {
            at: Instant::now(),
            traffic: rig.switch.traffic(),
            real: real.collect(),
            hosts: rig.hosts.iter().filter_map(|host| used(host.id())).collect(),
            lab: machine::usage(std::process::id()).map_or(Duration::ZERO, |usage| usage.cpu),
            processors: machine::processors(),
            carried: rig.switch.net().carried.0,
            dropped: machine::dropped_datagrams(&ports),
        }
    }
}

/// Measures from its start to its stop.
pub struct Meter {
    begin: Reading,
    late: Lateness,
}

impl Meter {
    /// From now on.
    pub async fn start(rig: &Rig) -> Result<Meter, RigFault> {
        // What hosts were late before does not count.
        for host in &rig.hosts {
            rig.eyes.summarise(host).await?;
        }
        rig.eyes.take_host_late_ms();
        Ok(Meter { begin: Reading::of(rig), late: Lateness::watch() })
    }

    /// Until now.
    pub async fn stop(self, rig: &Rig) -> Result<Window, RigFault> {
        let end = Reading::of(rig);
        let late_ms = self.late.most().as_secs_f64() * 1e3;
        for host in &rig.hosts {
            rig.eyes.summarise(host).await?;
        }
        let begin = self.begin;
        let seconds = (end.at - begin.at).as_secs_f64();
        let is_real = |member: usize| matches!(rig.seats[member], Seat::Real(_));
        let traffic = |real: bool| {
            let members = (0..rig.seats.len()).filter(|m| is_real(*m) == real && runs(&rig.seats[*m]));
            carried(members, &begin.traffic, &end.traffic)
        };
        let idle = begin.processors.zip(end.processors).map_or(1.0, |(begin, end)| end.idle_since(begin));
        let rig = Share {
            lab_cores: end.lab.saturating_sub(begin.lab).as_secs_f64() / seconds,
            lab_threads: tokio::runtime::Handle::current().metrics().num_workers(),
            late_ms,
            host_late_ms: rig.eyes.take_host_late_ms(),
            carried: end.carried - begin.carried,
            dropped: end.dropped.saturating_sub(begin.dropped),
            idle,
        };
        let real = used(seconds, traffic(true), &begin.real, &end.real);
        let hollow = used(seconds, traffic(false), &begin.hosts, &end.hosts);
        Ok(Window { seconds, real, hollow, rig })
    }
}

fn runs(seat: &Seat) -> bool {
    matches!(seat, Seat::Real(Some(_)) | Seat::Hollow { runs: true, .. })
}

/// How many members there are, and what was carried for all of them.
fn carried(members: impl Iterator<Item = usize>, begin: &[Traffic], end: &[Traffic]) -> (usize, Traffic) {
    let add = |(count, sum): (usize, Traffic), member: usize| {
        let (a, b) = (begin[member], end[member]);
        let sum = Traffic {
            packets_out: sum.packets_out + b.packets_out - a.packets_out,
            bytes_out: sum.bytes_out + b.bytes_out - a.bytes_out,
            packets_in: sum.packets_in + b.packets_in - a.packets_in,
            bytes_in: sum.bytes_in + b.bytes_in - a.bytes_in,
        };
        (count + 1, sum)
    };
    members.fold((0, Traffic::default()), add)
}

/// What one of so many agents used on average, whose processes stood so at both ends.
fn used(seconds: f64, (agents, traffic): (usize, Traffic), begin: &Usages, end: &Usages) -> Used {
    let each = |sum: f64| if agents == 0 { 0.0 } else { sum / agents as f64 };
    let rate = |sum: u64| each(sum as f64) / seconds;
    let cpu = end.iter().filter_map(|(id, after)| {
        let (_, before) = begin.iter().find(|(other, _)| other == id)?;
        Some(after.cpu.saturating_sub(before.cpu).as_secs_f64() * 1e3)
    });
    Used {
        agents,
        cpu_ms: each(cpu.sum()) / seconds,
        resident_mb: each(end.iter().map(|(_, usage)| usage.resident_mb).sum()),
        packets_out: rate(traffic.packets_out),
        packets_in: rate(traffic.packets_in),
        bytes_out: rate(traffic.bytes_out),
        bytes_in: rate(traffic.bytes_in),
    }
}

/// Watches how late the timers of the lab are, from a task of its own.
struct Lateness {
    most: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Lateness {
    fn watch() -> Lateness {
        let most = Arc::new(AtomicU64::new(0));
        let seen = Arc::clone(&most);
        let task = tokio::spawn(async move {
            loop {
                let due = Instant::now() + LATE_LOOK;
                sleep(LATE_LOOK).await;
                seen.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
            }
        });
        Lateness { most, task }
    }

    fn most(&self) -> Duration {
        Duration::from_micros(self.most.load(Ordering::Relaxed))
    }
}

impl Drop for Lateness {
    fn drop(&mut self) {
        self.task.abort();
    }
}
