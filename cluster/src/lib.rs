//! Membership and configuration of a fleet of agents, as state machines: the caller passes in packets and the
//! current time, and takes out packets and events.
//!
//! [`view::View`] keeps one member's view of the fleet: which members exist, the generation of each, and
//! whether it is alive, suspected, or dead or left. Views converge again after joins, crashes and partitions.
//! [`configuration::Configuration`] distributes what one writer publishes to all members.
//!
//! The crate opens no socket, reads no clock and starts no thread, and requests of clients never reach it. It
//! does not authenticate: the checksum of a packet detects damage, not malice.
//!
//! ```
//! use dilljunction_cluster::member::{Generation, Name, Number};
//! use dilljunction_cluster::view::{Setup, View};
//! use std::time::Duration;
//!
//! let peers: Vec<_> = ["10.3.0.1:7946", "10.3.0.2:7946"].iter().map(|a| a.parse().unwrap()).collect();
//! let start = |number: u16| {
//!     let name = Name::new("n").unwrap();
//!     Setup { number: Number(number), name, generation: Generation::from_unix_ms(1_000), peers: peers.clone(), seed: u64::from(number) }
//! };
//! let mut now = Duration::ZERO;
//! let (mut a, mut b) = (View::new(start(0), now).unwrap(), View::new(start(1), now).unwrap());
//! while !(a.is_converged(now) && b.is_converged(now)) {
//!     now = a.next_timer().into_iter().chain(b.next_timer()).min().unwrap();
//!     a.handle_timeout(now);
//!     b.handle_timeout(now);
//!     loop {
//!         // Stands in for the sockets: delivers each packet with its sender's address.
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

pub mod by_number;
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
