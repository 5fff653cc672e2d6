//! Many agents that know of one another, and what goes wrong between them: schedules of faults, a network that causes them, a
//! rig of real processes, the same in virtual time, and rules for what agents know, judged from the evidence alone.

pub mod checker;
pub mod evidence;
pub mod flaw;
pub mod live;
pub mod measure;
pub mod net;
pub mod page;
pub mod plan;
pub mod process;
pub mod rig;
pub mod shrink;
pub mod simulate;
pub mod switch;
pub mod topology;
