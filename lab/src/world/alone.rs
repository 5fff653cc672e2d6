//! Any stand-in alone, for people and other programs.

use crate::clock::{At, Clock};
use crate::judge::evidence::{Book, Word};
use crate::standins::booking::{Booking, Figures, Repeats, Setup, Work};
use crate::standins::discovery::{Entry, Registry, View};
use crate::standins::link::Link;
use crate::standins::office::Offices;
use crate::world::World;
use clap::ValueEnum;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The stand-ins that can be started alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Name {
    /// A booking server with the users' three classes.
    Booking,
    /// The platform's discovery.
    Discovery,
    /// A relay.
    Link,
    /// Offices with the users' classes and shares; counts how tries end, once a second.
    Offices,
}

/// Starts one and prints where it listens; offices print how their tries end.
pub async fn start(
    name: Name,
    listen: SocketAddr,
    to: &[SocketAddr],
    rate: f64,
    clock: Clock,
    book: Book,
) -> Result<(), String> {
    if name == Name::Offices {
        return offices(to, rate, clock, book).await;
    }
    let failed = |e: std::io::Error| format!("cannot listen on {listen}: {e}");
    let address = match name {
        Name::Booking => {
            let world = World::find("calm")?;
            let works = world.class.iter().zip(world.class_facts());
            let classes =
                works.map(|(c, f)| Work { name: c.name.clone(), effect: f.effect, work_ms: c.work_ms });
            let setup = Setup {
                index: 0,
                name: "booking".into(),
                figures: Figures::default(),
                classes: classes.collect(),
                repeats: (Repeats::default(), Repeats::default()),
                seed: 1,
                cold: false,
                listen,
            };
            Booking::start(setup, clock, book, None).await.map_err(failed)?.address()
        }
        Name::Discovery => {
            let registry = Registry::default();
            for server in 0..to.len() {
                let uid = format!("server-{server}");
                registry.set(Entry { server, uid, building: "a".into(), word: Word::Serving(0), boot_ms: 0 });
            }
            let endpoints: HashMap<usize, SocketAddr> = to.iter().copied().enumerate().collect();
            View::start(0, registry, endpoints, listen, clock, book).await.map_err(failed)?.address()
        }
        Name::Link => {
            let [target] = to else { return Err("a link leads --to exactly one address".into()) };
            Link::new(1).relay_at(listen, *target, clock).await.map_err(failed)?
        }
        Name::Offices => return Err("offices listen nowhere".into()),
    };
    let name = name.to_possible_value().map_or(String::new(), |value| value.get_name().to_string());
    println!("{}", serde_json::json!({"name": name, "address": address.to_string()}));
    Ok(())
}

async fn offices(to: &[SocketAddr], rate: f64, clock: Clock, book: Book) -> Result<(), String> {
    if to.is_empty() {
        return Err("offices need agents: name each with --to".into());
    }
    if !(0.01..=100_000.0).contains(&rate) {
        return Err(format!("--rate is {rate}; must lie between 0.01 and 100000"));
    }
    let mut world = World::find("calm")?;
    (world.rate, world.agents) = (rate, to.len());
    let plan = world.plan(At(u64::MAX));
    let offices = Offices::new(plan, to.to_vec(), clock, book.clone());
    tokio::spawn(offices.clone().run());
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        // Nobody judges these tries, and they come for as long as anyone likes.
        book.open().tries.clear();
        let mut counts: Vec<_> = offices.counts().into_iter().collect();
        counts.sort_unstable();
        let counts: serde_json::Map<_, _> =
            counts.into_iter().map(|(end, n)| (end.to_string(), n.into())).collect();
        println!("{}", serde_json::Value::from(counts));
    }
}
