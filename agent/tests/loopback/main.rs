//! Tests of the agent program between scripted clients, servers and discovery on the loopback interface.

mod admin;
mod cli;
mod clients;
mod configuration;
mod crossings;
mod drains;
mod fleet;
mod invalid_answers;
mod leaving;
mod limits;
mod lists;
mod long_answers;
mod memory;
mod outcomes;
mod paced_answers;
mod reload;
mod silences;
mod slow_discovery;
mod slow_readers;
mod slow_servers;
mod stopping;
mod surplus;
mod system_faults;
mod uploads;
