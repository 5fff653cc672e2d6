//! The stand-ins of the review's cases: clients, servers, discovery, a link with delay, and the platform that
//! starts the agents with the command of the deploy file. One program; its first argument names the case.
//! Standard library only, loopback addresses only, the real clock.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod net;
mod office;
mod platform;
mod servers;

mod drain_long_answer;
mod late_second_answer;
mod short_length;

use drain_long_answer::Trouble;
use std::process::exit;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let result = match case.as_str() {
        "short-length" => short_length::run(),
        "late-second-answer" => late_second_answer::run(),
        "drain-long-answer" => drain_long_answer::run(Trouble::Drain),
        // No cases: for the report.
        "crowd-long-answer" => drain_long_answer::run(Trouble::Crowd),
        "stop-long-answer" => drain_long_answer::run(Trouble::Stop),
        other => Err(format!("no such case: {other:?}")),
    };
    match result {
        Ok(true) => exit(1),
        Ok(false) => exit(0),
        Err(why) => {
            eprintln!("the case could not run: {why}");
            exit(2)
        }
    }
}
