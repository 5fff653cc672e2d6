//! How many attempts one tier makes of a call, by the share of its servers that are in trouble: the real decision module
//! in the lab's emulator, in virtual time. Retries multiply by tiers, so the ninth power of this is what nine tiers make.

use super::sweep::{Quantity, Sweep};
use super::{Findings, Setup};
use crate::emulate;
use crate::world::{agents, World};
use std::net::{Ipv4Addr, SocketAddr};

const FITTED: [f64; 5] = [0.0, 10.0, 20.0, 30.0, 40.0];
const HELD_OUT: f64 = 50.0;
const SERVERS: usize = 20;
const AGENTS: usize = 4;
/// Calls a second of all clients: four tenths of what the servers can do.
const RATE: f64 = 400.0;
/// How long calls come, in virtual seconds.
const SECONDS: f64 = 20.0;
/// How many times slower a slow server works.
const SLOWER: f64 = 10.0;
/// How long the first moment of a trouble lasts, in virtual seconds: agents have not learnt of it yet.
const FIRST: f64 = 1.0;
const QUANTITIES: [Quantity; 6] = [
    Quantity::new("attempts-slow", "1/call"),
    Quantity::new("attempts-gone", "1/call"),
    Quantity::new("attempts-hung", "1/call"),
    Quantity::new("attempts-slow-first-second", "1/call"),
    Quantity::new("attempts-gone-first-second", "1/call"),
    Quantity::new("attempts-hung-first-second", "1/call"),
];

/// What servers in trouble do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// They work slower.
    Slow,
    /// They are dead.
    Gone,
    /// They take requests and say nothing.
    Hung,
}

impl Trouble {
    const ALL: [Trouble; 3] = [Trouble::Slow, Trouble::Gone, Trouble::Hung];
}

/// Takes the measurement.
pub async fn measure(setup: &Setup) -> Result<Findings, String> {
    let sweep = Sweep::new(&FITTED, HELD_OUT, setup.repeats, setup.sizes.as_deref());
    let seconds = setup.seconds.unwrap_or(SECONDS);
    let series = sweep
        .take(&QUANTITIES, async |repeat, size| {
            let seed = repeat as u64 + 1;
            let of = |(trouble, seconds)| attempts_per_call(trouble, size, seed, seconds);
            let runs = [seconds, FIRST].into_iter().flat_map(|s| Trouble::ALL.map(|trouble| (trouble, s)));
            let values = runs.map(of).collect::<Result<Vec<f64>, String>>()?;
            if setup.tell {
                eprintln!("attempts: {size}% in trouble, seed {seed}: {values:.4?}");
            }
            Ok(values)
        })
        .await?;
    Ok(Findings {
        about: "Attempts for each call at one tier whose servers are in trouble (virtual time)".into(),
        driver: "servers in trouble, %".into(),
        series,
        notes: vec![
            format!("{AGENTS} agents, {SERVERS} servers, {RATE} calls a second (4 tenths of what they can do), {seconds} s"),
            format!("slow: servers work {SLOWER} times slower; gone: dead, and the list never says so; hung: take requests and say nothing"),
            format!("first-second: only {FIRST} s from the beginning of the trouble, when agents know nothing of it"),
            "repeats are seeds; clients' own retries count as calls, since the tier before makes them".into(),
            format!("the worst case that these settings allow is maxAttempts = {} at each tier", max_attempts()?),
        ],
    })
}

/// Attempts that agents send for each call that comes to one, while part of their servers is in trouble.
pub fn attempts_per_call(trouble: Trouble, percent: f64, seed: u64, seconds: f64) -> Result<f64, String> {
    let world = world(trouble, percent, seed, seconds)?;
    let totals = emulate::run(&world, |_| {}).totals;
    if totals.tries == 0 {
        return Err("no call was made".into());
    }
    Ok(totals.attempts as f64 / totals.tries as f64)
}

/// The most attempts for a call that the settings of these agents allow.
pub fn max_attempts() -> Result<u32, String> {
    let world = world(Trouble::Gone, 0.0, 1, SECONDS)?;
    let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let config = agents::config(&world, 0, nowhere, None, 1, &[]);
    let most = config["settings"]["limits"]["maxAttempts"].as_u64().and_then(|most| u32::try_from(most).ok());
    most.ok_or_else(|| "the configuration states no maxAttempts".into())
}

fn world(trouble: Trouble, percent: f64, seed: u64, seconds: f64) -> Result<World, String> {
    let troubled = (SERVERS as f64 * percent / 100.0).round() as usize;
    let names: Vec<String> = (1..=troubled).map(|number| format!("\"booking-{number}\"")).collect();
    let (kind, factor) = match trouble {
        Trouble::Slow => ("slow", format!("factor = {SLOWER}\n")),
        Trouble::Gone => ("crash", String::new()),
        Trouble::Hung => ("hang", String::new()),
    };
    // Longer than the run: agents must find out by themselves.
    let list_late = seconds * 10.0;
    let mut text = format!(
        "about = 'one tier'\nseconds = {seconds}\nrate = {RATE}\nagents = {AGENTS}\nskew = 1.0\nseed = {seed}\n\
         list_late = {list_late}\n[[building]]\nname = 'booking'\nservers = {SERVERS}\n"
    );
    if troubled > 0 {
        let names = names.join(", ");
        text += &format!("[[fault]]\nkind = '{kind}'\nat = 0\nservers = [{names}]\n{factor}");
    }
    World::parse(&text, "attempts")
}

#[cfg(test)]
mod tests;
