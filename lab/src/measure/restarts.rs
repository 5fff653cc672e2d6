//! What agents that start at one moment ask of discovery: those that know a list, and those that know none.

use super::servers::{discovery, Servers};
use super::subject::{self, Told};
use super::sweep::{Quantity, Sweep};
use super::{Findings, Setup};
use crate::standins::discovery::{Registry, View};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

const FITTED: [f64; 4] = [4.0, 8.0, 16.0, 24.0];
const HELD_OUT: f64 = 32.0;
/// Servers in the list.
const SERVERS: usize = 1600;
/// How long calls are counted from the first start, in seconds.
const COUNTED: f64 = 10.0;
const QUANTITIES: [Quantity; 4] = [
    Quantity::new("calls", "1"),
    Quantity::new("bytes", "B"),
    Quantity::new("calls-with-list", "1"),
    Quantity::new("bytes-with-list", "B"),
];

/// Takes the measurement.
pub async fn measure(setup: &Setup) -> Result<Findings, String> {
    let sweep = Sweep::new(&FITTED, HELD_OUT, setup.repeats, setup.sizes.as_deref());
    let servers = Servers::start(SERVERS).await?;
    let counted = Duration::from_secs_f64(setup.seconds.unwrap_or(COUNTED));
    let series = sweep
        .take(&QUANTITIES, async |repeat, size| {
            let seed = repeat as u64 + 1;
            let start = |list| restart(setup, &servers, (size as usize, seed), list, counted);
            let (cold, with_list) = tokio::join!(start(false), start(true));
            let (cold, with_list) = (cold?, with_list?);
            if setup.tell {
                eprintln!("discovery-restarts: {size}: {cold:?}, with a list {with_list:?}");
            }
            Ok([cold, with_list].iter().flat_map(|(calls, bytes)| [*calls as f64, *bytes as f64]).collect())
        })
        .await?;
    Ok(Findings {
        about: format!(
            "Calls and bytes at discovery when agents start at one moment, {SERVERS} servers listed"
        ),
        driver: "agents restarted at once".into(),
        series,
        notes: vec![
            format!(
                "counted for {} s from the first start; an agent in no traffic, no view of the fleet",
                counted.as_secs_f64()
            ),
            "calls and bytes: agents that know no list; with-list: their configuration holds the present one"
                .into(),
            "both groups start at one moment, each at a discovery of its own".into(),
            "a restart is a new process with nothing of the old one, which is all that discovery sees of it"
                .into(),
        ],
    })
}

/// Calls and bytes of so many agents that start at once; they end before this comes back.
async fn restart(
    setup: &Setup,
    servers: &Servers,
    (agents, seed): (usize, u64),
    list: bool,
    counted: Duration,
) -> Result<(usize, u64), String> {
    let (registry, view) = discovery(servers.addresses(), SERVERS).await?;
    let (began, shared) = (Instant::now(), Arc::new((setup.clone(), registry, view.clone())));
    let mut starts = JoinSet::new();
    for number in 0..agents {
        let shared = Arc::clone(&shared);
        let told = Told { list, seed: seed * 1000 + number as u64, ..Told::default() };
        starts.spawn(async move {
            let (setup, registry, view): &(Setup, Registry, View) = &shared;
            // Their files are named after their numbers.
            let number = number + if list { agents } else { 0 };
            subject::start((&setup.program, &setup.folder), number, (registry, view), &told).await
        });
    }
    let mut running = Vec::new();
    while let Some(started) = starts.join_next().await {
        running.push(started.map_err(|e| e.to_string())??);
    }
    sleep(counted.saturating_sub(began.elapsed())).await;
    let calls = view.asked().borrow().len();
    running.iter().try_for_each(|agent| subject::reading(agent).map(drop))?;
    Ok((calls, view.bytes_sent()))
}
