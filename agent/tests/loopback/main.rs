//! The agent's own program between scripted peers on loopback.

mod cli;
mod clients;
mod configuration;
mod crossings;
mod drains;
mod fleet;
mod leaving;
mod limits;
mod lists;
mod long;
mod machine;
mod operators;
mod outcomes;
mod reload;
mod spoilt;
mod stopping;
mod uploads;
