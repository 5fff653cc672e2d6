//! Any stand-in alone, for people and other programs.

use crate::booking::{Booking, Figures, Repeats, Setup, Work};
use crate::clock::Clock;
use crate::discovery::{Entry, Registry, View};
use crate::evidence::{Book, Word};
use crate::link::Link;
use crate::world::World;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The stand-ins that can be started alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Name {
    /// A booking server with the users' three classes.
    Booking,
    /// The platform's discovery.
    Discovery,
    /// A relay.
    Link,
}

/// Starts one and prints where it listens.
pub async fn start(
    name: Name,
    listen: SocketAddr,
    to: &[SocketAddr],
    clock: Clock,
    book: Book,
) -> Result<(), String> {
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
    };
    println!(
        "{}",
        serde_json::json!({"name": format!("{name:?}").to_lowercase(), "address": address.to_string()})
    );
    Ok(())
}
