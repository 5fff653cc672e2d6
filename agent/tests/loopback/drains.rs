//! Drains that are told in bad weather: what the agent has not heard, it asks for before the grace is over.

use dilljunction_lab::standins::hand::*;
use std::time::{Duration, Instant};

const GRACE_MS: u64 = 500;

/// Settings whose watches wait 0.5 to 1 s, or where lists are pushed.
fn settings(discovery: &str) -> String {
    let rules = format!(r#""rules":{{"stopSendingWithinMs":{GRACE_MS},"askWithinMs":1000}}"#);
    SETTINGS.replace("on_request", discovery).replace(r#""rules":{"stopSendingWithinMs":2000}"#, &rules)
}

/// The watch that is out falls silent, and one of two servers drains right after: nothing more goes there once the
/// clock of the page (2 s after the wait that was asked for) and the grace are over.
fn falls_silent(discovery: &str) {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let lines = [serving("s0", old.address), serving("s1", new.address)].join(",");
    let list = Discovery::new(lines.clone());
    let agent = Agent::start(&config(list.address, &lines, &settings(discovery), 1024));
    // One that is sure to wait: the first brings the list of the start.
    let asked = list.asked.wait(3);
    let hold: u64 = asked.last().and_then(|path| path.split("hold_ms=").nth(1)?.parse().ok()).unwrap();
    let silent = Instant::now();
    list.silence();
    list.change([target("s0", old.address, "DRAINING", 0), serving("s1", new.address)].join(","));
    let told = Duration::from_millis(6000).max(Duration::from_millis(hold + 2000));
    let heard = list.asked.wait(asked.len() + 2);
    assert!(silent.elapsed() < told + Duration::from_millis(GRACE_MS), "{hold} ms were asked for, {heard:?}");
    // The call that follows the one that brought the list.
    list.asked.wait(asked.len() + 3);
    let mut client = Client::to(&agent);
    let before = old.heard.all().len();
    for _ in 0..20 {
        assert_eq!(client.ask(&request("read", 9000)).body, b"new");
    }
    assert_eq!(old.heard.all().len(), before);
}

#[test]
fn a_silent_watch_is_asked_anew_before_what_it_misses_counts_as_told() {
    falls_silent("on_request");
}

#[test]
fn a_silent_push_is_asked_anew_before_what_it_misses_counts_as_told() {
    falls_silent("pushed");
}
