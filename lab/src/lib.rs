//! A world for dilljunction on loopback: booking servers, lists, links and offices that fail on command, and a checker
//! that judges the four rules from what they wrote down, never from an agent's word.
//!
//! What it is for: to see an agent work, to cause by name the failure that a change is for, and to prove that a rule holds.
//! What it is not for: it measures no real servers (its booking servers are models), and its figures compare runs on one
//! machine only.
//!
//! ```
//! use dilljunction_lab::world::{agents::Subject, broken::Flaw, run, World};
//!
//! let text = "about = 'two servers'\nseconds = 0.5\nrate = 40\nagents = 1\n[[building]]\nname = 'a'\nservers = 2";
//! let world = World::parse(text, "example").expect("usable");
//! let runtime = tokio::runtime::Runtime::new().expect("a runtime");
//! // A plain forwarder of the lab's own; `Subject::Program` runs the real agent.
//! let outcome = runtime.block_on(run::run(world, Subject::Broken(Flaw::None), |_, _| {})).expect("a run");
//! assert!(outcome.passed(), "{:?}", outcome.verdict);
//! ```

pub mod capacity;
pub mod clock;
pub mod configuration;
pub mod emulate;
pub mod fleet;
pub mod judge;
pub mod measure;
pub mod preload;
pub mod publishing;
pub mod scale;
pub mod show;
pub mod shrink;
pub mod soak;
pub mod standins;
pub mod world;
