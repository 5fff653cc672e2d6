//! Client-side load-balancing decisions, without I/O.
//!
//! Each client process owns one [`Balancer`]. It is told what happens ([`Event`]) and when ([`Time`]), and
//! answers with what to do ([`Action`]); it never reads a clock, opens a socket or starts a thread. Per request
//! it compares the lightest server it remembers with fresh uniform draws, by its own requests in flight.
//!
//! ```
//! use ryelead::*;
//!
//! let class = Class { aim: Span::from_ms(100.0), deadline: Span::from_ms(400.0), ..Class::default() };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let mut balancer = Balancer::new(settings, 7).expect("usable settings");
//! let mut actions = Vec::new();
//!
//! // The agent hears which servers there are ...
//! let now = Time::from_ms(1000.0);
//! let servers = vec![Listed::serving(ServerId(0)), Listed::serving(ServerId(1))];
//! balancer.handle(now, Event::List(ListUpdate::Complete(servers)), &mut actions);
//!
//! // ... and passes on a request: the balancer says where to send it.
//! let request = Request::new(RequestId(1), ClassId(0), Span::from_ms(400.0));
//! balancer.handle(now, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: RequestId(1), .. })));
//! ```
mod api;
mod decide;
mod told;

pub use api::*;
pub use decide::Balancer;

/// Compiles and runs the example of the README with the tests.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
