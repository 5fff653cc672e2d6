//! Client-side load-balancing decisions, without I/O.
//!
//! Each client process owns one [`Balancer`]. Its inputs are events ([`Event`]) with the time at which they
//! happen ([`Time`]); its outputs are the actions to carry out ([`Action`]). It never reads a clock, opens a
//! socket or starts a thread. For each request it compares the least loaded server that it remembers with
//! random draws (power of d choices with memory), by its own requests in flight and by load reports.
//!
//! ```
//! use ryelead::*;
//!
//! let class = Class { aim: Span::from_ms(100.0), deadline: Span::from_ms(400.0), ..Class::default() };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let mut balancer = Balancer::new(settings, 7).expect("usable settings");
//! let mut actions = Vec::new();
//!
//! // The agent passes on the server list ...
//! let now = Time::from_ms(1000.0);
//! let servers = vec![ServerEntry::serving(ServerId(0)), ServerEntry::serving(ServerId(1))];
//! balancer.handle(now, Event::List(ListUpdate::Complete(servers)), &mut actions);
//!
//! // ... and a request; the balancer decides where to send it.
//! let request = Request::new(RequestId(1), ClassId(0), Span::from_ms(400.0));
//! balancer.handle(now, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: RequestId(1), .. })));
//! ```
mod answers;
mod api;
mod decide;
mod load_reports;

pub use answers::*;
pub use api::*;
pub use decide::Balancer;

/// Runs the example in the README as a doctest.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
