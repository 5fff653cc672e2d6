//! Fleets that are larger than a machine has room for: a few real agents among many hollow ones, in regions and zones, with
//! what goes wrong in so many places, judged by the rules of [`crate::fleet::checker`] and measured, and how changes of configuration
//! spread among them ([`publishing`]).

pub mod book;
pub mod host;
pub mod machine;
pub mod measure;
pub mod needs;
pub mod protocol;
pub mod publishing;
pub mod record;
pub mod rig;
pub mod run;
pub mod schedule;
pub mod share;
mod watch;
