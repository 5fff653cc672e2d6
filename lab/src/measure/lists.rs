//! What lists cost an agent: whole ones by the number of servers in them, and changes by how many come a second.

use super::process::Reading;
use super::servers::{discovery, entry, Servers};
use super::subject::{self, Told};
use super::sweep::{Quantity, Sweep};
use super::{Findings, Setup};
use crate::judge::evidence::Word;
use crate::standins::discovery::{Registry, View};
use crate::world::agents::Agent;
use std::time::{Duration, Instant};
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

const WHOLE_FITTED: [f64; 4] = [16.0, 100.0, 400.0, 800.0];
const WHOLE_HELD_OUT: f64 = 1600.0;
const CHANGES_FITTED: [f64; 4] = [1.0, 5.0, 20.0, 50.0];
const CHANGES_HELD_OUT: f64 = 30.0;
/// Servers known while changes come.
const SERVERS: usize = 1600;
/// How long an agent is left alone first, in seconds.
const SETTLE: f64 = 1.0;
/// How long whole lists come, in seconds.
const WHOLE_SECONDS: f64 = 4.0;
/// How long changes come, in seconds.
const CHANGES_SECONDS: f64 = 6.0;
/// The part of all servers that drains at once while changes come: more, and few servers would be left to call.
const DRAINING_MOST: f64 = 0.25;
/// An agent that follows its list asks again within this.
const ASK_WAIT: Duration = Duration::from_secs(15);
const WHOLE: [Quantity; 2] = [Quantity::new("bytes", "B"), Quantity::new("cpu-per-list", "ms")];
const CHANGES: [Quantity; 2] = [Quantity::new("bytes-in", "B/s"), Quantity::new("cpu", "ms/s")];

/// An agent, its discovery, and what both had done when they were looked at first.
struct Watched {
    agent: Agent,
    registry: Registry,
    view: View,
    before: (Reading, u64, usize),
    began: Instant,
}

/// What came and was used from the first look to the second.
struct Used {
    seconds: f64,
    cpu_ms: f64,
    bytes: u64,
    calls: usize,
}

impl Watched {
    async fn start(setup: &Setup, servers: &Servers, size: usize, seed: u64) -> Result<Watched, String> {
        let (registry, view) = discovery(servers.addresses(), size).await?;
        let told = Told { list: false, seed, ..Told::default() };
        let agent = subject::start((&setup.program, &setup.folder), 0, (&registry, &view), &told).await?;
        // The whole list, and the first watch.
        wait_for_calls(&view, 2).await?;
        sleep(Duration::from_secs_f64(SETTLE)).await;
        let before = (subject::reading(&agent)?, view.bytes_sent(), view.asked().borrow().len());
        Ok(Watched { agent, registry, view, before, began: Instant::now() })
    }

    fn used(&self) -> Result<Used, String> {
        let (reading, bytes, calls) = &self.before;
        let seconds = self.began.elapsed().as_secs_f64();
        let rate = subject::reading(&self.agent)?.since(reading, seconds);
        Ok(Used {
            seconds,
            cpu_ms: rate.cpu_ms_per_s * seconds,
            bytes: self.view.bytes_sent() - bytes,
            calls: self.view.asked().borrow().len() - calls,
        })
    }
}

async fn wait_for_calls(view: &View, count: usize) -> Result<(), String> {
    let mut asked = view.asked();
    let waited = timeout(ASK_WAIT, asked.wait_for(|asked| asked.len() >= count)).await;
    waited
        .map_err(|_| format!("the agent has not asked discovery for {ASK_WAIT:?}"))?
        .map_err(|e| e.to_string())?;
    Ok(())
}

/// Bytes of one whole list, and CPU for reading it: many come in a row, each answering the next watch.
pub async fn measure_whole(setup: &Setup) -> Result<Findings, String> {
    let sweep = Sweep::new(&WHOLE_FITTED, WHOLE_HELD_OUT, setup.repeats, setup.sizes.as_deref());
    let servers = Servers::start(sweep.largest() as usize).await?;
    let length = Duration::from_secs_f64(setup.seconds.unwrap_or(WHOLE_SECONDS));
    let series = sweep
        .take(&WHOLE, async |repeat, size| {
            let watched = Watched::start(setup, &servers, size as usize, repeat as u64 + 1).await?;
            let targets = targets_of(&watched.registry.known(watched.view.endpoints()));
            while watched.began.elapsed() < length {
                let calls = watched.view.asked().borrow().len();
                // Every answer is whole from now on, and the watch that is out has something newer to tell.
                watched.registry.set_raw(targets.clone());
                wait_for_calls(&watched.view, calls + 1).await?;
            }
            let used = watched.used()?;
            let lists = used.calls.max(1) as f64;
            let (bytes, cpu_ms) = (used.bytes as f64 / lists, used.cpu_ms / lists);
            if setup.tell {
                eprintln!("list-whole: {size} servers: {lists} lists, {bytes:.0} B and {cpu_ms:.3} ms each");
            }
            Ok(vec![bytes, cpu_ms])
        })
        .await?;
    Ok(Findings {
        about: "One whole list of servers: bytes on the wire and CPU of the agent".into(),
        driver: "servers known".into(),
        series,
        notes: vec![
            format!("each run: whole lists in a row for {} s, each the answer to a watch", length.as_secs_f64()),
            "bytes: head and body of an answer; cpu-per-list: schedstat of the whole agent, divided by the lists".into(),
            "the lists tell what is known already".into(),
        ],
    })
}

/// The lines of a whole list, without what stands round them.
fn targets_of(list: &str) -> String {
    let lines = list.split_once("\"targets\":[").map_or("", |(_, lines)| lines);
    lines.strip_suffix("]}").unwrap_or(lines).to_string()
}

/// Bytes and CPU by changes a second, with 1,600 servers known.
pub async fn measure_changes(setup: &Setup) -> Result<Findings, String> {
    let sweep = Sweep::new(&CHANGES_FITTED, CHANGES_HELD_OUT, setup.repeats, setup.sizes.as_deref());
    let servers = Servers::start(SERVERS).await?;
    let length = Duration::from_secs_f64(setup.seconds.unwrap_or(CHANGES_SECONDS));
    let series = sweep
        .take(&CHANGES, async |repeat, size| {
            let watched = Watched::start(setup, &servers, SERVERS, repeat as u64 + 1).await?;
            let _ = timeout(length, change(&watched.registry, size, SERVERS)).await;
            let used = watched.used()?;
            let (bytes, cpu) = (used.bytes as f64 / used.seconds, used.cpu_ms / used.seconds);
            if setup.tell {
                eprintln!("list-changes: {size}/s: {} calls, {bytes:.0} B/s, {cpu:.2} ms/s", used.calls);
            }
            Ok(vec![bytes, cpu])
        })
        .await?;
    Ok(Findings {
        about: format!("Changes of the list with {SERVERS} servers known: bytes and CPU of the agent"),
        driver: "changes a second".into(),
        series,
        notes: vec![
            format!("each run: changes evenly spread over {} s, no calls", length.as_secs_f64()),
            "a change: one server is listed as draining, or as serving again; a quarter of them drains at once".into(),
            "cpu: schedstat of the whole agent, with what it costs at rest".into(),
        ],
    })
}

/// Changes the list so many times a second until dropped: a release, in which each server in turn drains and serves again.
pub async fn change(registry: &Registry, per_second: f64, servers: usize) {
    let mut ticks = interval(Duration::from_secs_f64(1.0 / per_second.max(0.01)));
    // An interval of tokio would catch up in a burst after a delay.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks.tick().await;
    for (server, word) in changes(servers) {
        ticks.tick().await;
        registry.set(entry(server, word));
    }
}

/// A release, without end: each server in turn drains and serves again, and of those that drain at the same time there is one
/// or [`DRAINING_MOST`] of all, whichever is more.
fn changes(servers: usize) -> impl Iterator<Item = (usize, Word)> {
    let together = ((servers as f64 * DRAINING_MOST) as usize).max(1);
    let drains = (0..servers).cycle();
    let returns = (0..servers).cycle();
    let first = drains.clone().take(together - 1).map(|server| (server, Word::Draining));
    let pairs = drains.skip(together - 1).zip(returns);
    let rest = pairs.flat_map(|(drains, returns)| [(drains, Word::Draining), (returns, Word::Serving(0))]);
    first.chain(rest)
}

#[cfg(test)]
mod tests;
