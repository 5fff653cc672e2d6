//! What an agent costs that nobody calls, by the number of servers that it knows.

use super::servers::{discovery, Servers};
use super::subject::{self, Told};
use super::sweep::{Quantity, Sweep};
use super::{Findings, Setup};
use std::time::{Duration, Instant};
use tokio::time::sleep;

const FITTED: [f64; 4] = [16.0, 100.0, 400.0, 800.0];
const HELD_OUT: f64 = 1600.0;
/// How long an agent is left alone before it is looked at, in seconds.
const SETTLE: f64 = 2.0;
/// How long it is looked at, in seconds.
const WATCHED: f64 = 5.0;
const QUANTITIES: [Quantity; 3] =
    [Quantity::new("cpu", "ms/s"), Quantity::new("wakeups", "1/s"), Quantity::new("resident", "MB")];

/// Takes the measurement.
pub async fn measure(setup: &Setup) -> Result<Findings, String> {
    let sweep = Sweep::new(&FITTED, HELD_OUT, setup.repeats, setup.sizes.as_deref());
    let servers = Servers::start(sweep.largest() as usize).await?;
    let watched = setup.seconds.unwrap_or(WATCHED);
    let series = sweep
        .take(&QUANTITIES, async |repeat, size| {
            let (registry, view) = discovery(servers.addresses(), size as usize).await?;
            let told = Told { list: true, seed: repeat as u64 + 1, ..Told::default() };
            let agent = subject::start((&setup.program, &setup.folder), 0, (&registry, &view), &told).await?;
            sleep(Duration::from_secs_f64(SETTLE.min(watched))).await;
            let (before, began) = (subject::reading(&agent)?, Instant::now());
            sleep(Duration::from_secs_f64(watched)).await;
            let rate = subject::reading(&agent)?.since(&before, began.elapsed().as_secs_f64());
            if setup.tell {
                eprintln!("idle-agent: {size} servers: {rate:?}");
            }
            Ok(vec![rate.cpu_ms_per_s, rate.wakeups_per_s, rate.resident_mb])
        })
        .await?;
    Ok(Findings {
        about: "One agent without traffic: CPU, wakeups and memory".into(),
        driver: "servers known".into(),
        series,
        notes: vec![
            format!("each run: {SETTLE} s to settle, then {watched} s; one watch at discovery, no view of the fleet"),
            "each server is a listening stand-in with a loopback address of its own, listed in 16 zones".into(),
            "cpu: schedstat of all threads; wakeups: voluntary context switches".into(),
        ],
    })
}
