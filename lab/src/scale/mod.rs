//! Fleets that are larger than a machine has room for: a few real agents among many hollow ones, in regions and zones, with
//! what goes wrong in so many places, judged by the rules of [`crate::fleet::checker`] and measured.

pub mod protocol;
