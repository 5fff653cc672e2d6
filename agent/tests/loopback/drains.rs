//! Drains that are told in bad weather: what the agent has not heard, it asks for before the grace is over.

use dilljunction_lab::standins::hand::*;
use std::time::{Duration, Instant};

const GRACE_MS: u64 = 500;

/// Settings whose watches wait up to `within_ms`, half of that at least, or up to 2 s where lists are pushed.
fn settings(discovery: &str, within_ms: u64) -> String {
    let rules = format!(r#""rules":{{"stopSendingWithinMs":{GRACE_MS},"askWithinMs":{within_ms}}}"#);
    SETTINGS.replace("on_request", discovery).replace(r#""rules":{"stopSendingWithinMs":2000}"#, &rules)
}

/// Waits until the agent asks for what is newer than a version, which it has heard of then.
fn heard(list: &Discovery, version: u32) {
    let asks = format!("from={version}&");
    let mut asked = list.asked.all();
    while !asked.iter().any(|path| path.contains(&asks)) {
        asked = list.asked.wait(asked.len() + 1);
    }
}

/// Nothing goes to one server any more, and all to the other.
fn goes_elsewhere(agent: &Agent, old: &Backend) {
    let (mut client, before) = (Client::to(agent), old.heard.all().len());
    for _ in 0..20 {
        assert_eq!(client.ask(&request("read", 9000)).body, b"new");
    }
    assert_eq!(old.heard.all().len(), before);
}

/// The watch that is out falls silent, and one of two servers drains right after: nothing more goes there once the
/// clock of the page (6 s, or 2 s after the wait that was asked for) and the grace are over.
fn falls_silent(discovery: &str) {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let lines = [serving("s0", old.address), serving("s1", new.address)].join(",");
    let list = Discovery::new(lines.clone());
    let agent = Agent::start(&config(list.address, &lines, &settings(discovery, 1000), 1024));
    // One that waits: the first brings the list of the start.
    let asked = list.asked.wait(3);
    let hold: u64 = asked.last().and_then(|path| path.split("hold_ms=").nth(1)?.parse().ok()).unwrap();
    let silent = Instant::now();
    list.silence();
    list.change([target("s0", old.address, "DRAINING", 0), serving("s1", new.address)].join(","));
    heard(&list, 3);
    let told = Duration::from_millis(6000).max(Duration::from_millis(hold + 2000));
    assert!(silent.elapsed() < told + Duration::from_millis(GRACE_MS), "{hold} ms were asked for");
    goes_elsewhere(&agent, &old);
}

#[test]
fn a_silent_watch_is_asked_anew_before_what_it_misses_counts_as_told() {
    falls_silent("on_request");
}

#[test]
fn a_silent_push_is_asked_anew_before_what_it_misses_counts_as_told() {
    falls_silent("pushed");
}

/// Two servers, one of which drains with an answer that is spoilt in these ways, one after the other. The agent is one of
/// 300, which ask a discovery that has failed seconds later only.
fn drains_by(discovery: &str, ways: &[Spoil]) {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let lines = [serving("s0", old.address), serving("s1", new.address)].join(",");
    let list = Discovery::new(lines.clone());
    let settings = settings(discovery, 60_000).replacen('{', r#"{"balancers":300,"#, 1);
    let agent = Agent::start(&config(list.address, "", &settings, 1024));
    heard(&list, 2);
    list.spoil(ways);
    let told = Instant::now();
    list.change([target("s0", old.address, "DRAINING", 0), serving("s1", new.address)].join(","));
    heard(&list, 3);
    assert!(told.elapsed() < Duration::from_secs(5), "{ways:?}: {:?}", told.elapsed());
    goes_elsewhere(&agent, &old);
}

/// Calls fail, or hang one after the other, and one of two servers begins to drain at the end of that: it is heard of within
/// the 6 s after which it counts as told, whatever failed before, by one agent of 300.
fn heard_after(discovery: &str, hang: bool) {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let lines = [serving("s0", old.address), serving("s1", new.address)].join(",");
    let list = Discovery::new(lines.clone());
    let settings = settings(discovery, 60_000).replacen('{', r#"{"balancers":300,"#, 1);
    let agent = Agent::start(&config(list.address, "", &settings, 1024));
    heard(&list, 2);
    let mut asked = list.asked.all().len();
    list.set_down(true);
    for _ in 0..2 {
        asked = list.asked.wait(asked + 1).len();
    }
    if hang {
        list.ail(Ailment::Silent);
        list.asked.wait(asked + 1);
        // What hangs then does so for good.
        list.silence();
    }
    list.set_down(false);
    let told = Instant::now();
    list.change([target("s0", old.address, "DRAINING", 0), serving("s1", new.address)].join(","));
    heard(&list, 3);
    assert!(told.elapsed() < Duration::from_secs(6), "{discovery}, {hang}: {:?}", told.elapsed());
    goes_elsewhere(&agent, &old);
}

#[test]
fn what_drains_in_an_outage_is_heard_of_within_six_seconds_of_its_end() {
    heard_after("on_request", false);
    heard_after("pushed", false);
}

#[test]
fn what_drains_after_calls_that_hung_is_heard_of_within_six_seconds() {
    heard_after("on_request", true);
    heard_after("pushed", true);
}

/// What is told by an answer that can't be used counts as told: it is asked for again at once, on a new connection.
#[test]
fn a_drain_is_asked_for_again_when_its_answer_is_cut_or_never_ends_or_makes_no_sense() {
    for way in [Spoil::Cut, Spoil::Endless, Spoil::Garbled] {
        drains_by("on_request", &[way]);
        drains_by("pushed", &[way, way]);
    }
}

#[test]
fn a_list_may_come_indented() {
    drains_by("on_request", &[Spoil::Indented]);
}

/// An answer that was overtaken on its way would turn a server that drains back into one that serves.
#[test]
fn an_older_list_does_not_turn_back_a_newer_one() {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let lines = [serving("s0", old.address), serving("s1", new.address)].join(",");
    let list = Discovery::new(lines.clone());
    let agent = Agent::start(&config(list.address, &lines, &settings("on_request", 1000), 1024));
    heard(&list, 2);
    list.remember();
    list.change([target("s0", old.address, "DRAINING", 0), serving("s1", new.address)].join(","));
    heard(&list, 3);
    list.spoil(&[Spoil::Older]);
    // The watch that is out ends with it, and another follows.
    let asked = list.asked.all().len();
    list.asked.wait(asked + 2);
    goes_elsewhere(&agent, &old);
}
