//! What the agents of a fleet know of one another, and later what they agree on: state machines that are told of packets
//! and of time and give back packets and events.
//!
//! What it is for: [`view::View`] keeps one member's view of the fleet (who is there, in which life, who is gone), which
//! settles again after joins, crashes and partitions; [`configuration::Configuration`] spreads what one writer publishes to all of
//! them. What it is not for: it opens no socket, reads no clock, starts no
//! thread, and never hears of a request; it does not keep strangers out (its checksum finds damage, not malice).
//!
//! ```
//! use dilljunction_cluster::member::{Life, Name, Number};
//! use dilljunction_cluster::view::{Setup, View};
//! use std::time::Duration;
//!
//! let peers: Vec<_> = ["10.3.0.1:7946", "10.3.0.2:7946"].iter().map(|a| a.parse().unwrap()).collect();
//! let start = |number: u16| {
//!     let name = Name::new("n").unwrap();
//!     Setup { number: Number(number), name, life: Life::from_unix_ms(1_000), peers: peers.clone(), seed: u64::from(number) }
//! };
//! let mut now = Duration::ZERO;
//! let (mut a, mut b) = (View::new(start(0), now).unwrap(), View::new(start(1), now).unwrap());
//! while !(a.is_sure(now) && b.is_sure(now)) {
//!     now = a.next_timer().into_iter().chain(b.next_timer()).min().unwrap();
//!     a.handle_timeout(now);
//!     b.handle_timeout(now);
//!     loop {
//!         // What a socket does: from one to the other, with the sender's address.
//!         let (from_a, from_b) = (a.poll_packet(), b.poll_packet());
//!         if from_a.is_none() && from_b.is_none() {
//!             break;
//!         }
//!         from_a.map(|(_, packet)| b.handle_packet(now, peers[0], &packet));
//!         from_b.map(|(_, packet)| a.handle_packet(now, peers[1], &packet));
//!     }
//! }
//! assert_eq!(a.digest(), b.digest());
//! assert_eq!(a.members(now).len(), 2);
//! ```

pub mod configuration;
pub mod envelope;
pub mod health;
pub mod member;
pub mod pace;
pub mod register;
pub mod sync;
pub mod table;
pub mod timers;
pub mod view;
