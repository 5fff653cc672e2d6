//! A world round dilljunction.
pub mod booking; pub mod clock; pub mod discovery; pub mod evidence; pub mod http; pub mod link; pub mod office; pub mod checker;
