//! Drains that are announced while discovery fails: the agent must fetch what it missed before the grace
//! period is over.

use dilljunction_lab::standins::hand::*;
use std::time::{Duration, Instant};

const GRACE_MS: u64 = 500;

/// Settings with a watch time of at most `within_ms` and at least half of that, or of up to 2 s where lists
/// are pushed.
fn settings(discovery: &str, within_ms: u64) -> String {
    let rules = format!(r#""rules":{{"stopSendingWithinMs":{GRACE_MS},"askWithinMs":{within_ms}}}"#);
    SETTINGS.replace("on_request", discovery).replace(r#""rules":{"stopSendingWithinMs":2000}"#, &rules)
}

/// Waits until the agent asks for changes after `version`, which it has received then.
fn wait_for_version(list: &Discovery, version: u32) {
    let asks = format!("from={version}&");
    let mut asked = list.asked.all();
    while !asked.iter().any(|path| path.contains(&asks)) {
        asked = list.asked.wait(asked.len() + 1);
    }
}

/// Checks that the old server receives no more requests, and the new one all.
fn check_goes_elsewhere(agent: &Agent, old: &Backend) {
    let (mut client, before) = (Client::to(agent), old.heard.all().len());
    for _ in 0..20 {
        assert_eq!(client.ask(&request("read", 9000)).body, b"new");
    }
    assert_eq!(old.heard.all().len(), before);
}

/// The current watch gets no answer any more, and one of two servers drains right after. No request goes
/// there once the change counts as received (after 6 s, or 2 s after the requested watch time if that is
/// later) and the grace period is over.
fn silent_watch(discovery: &str) {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let lines = [serving("s0", old.address), serving("s1", new.address)].join(",");
    let list = Discovery::new(lines.clone());
    let agent = Agent::start(&config(list.address, &lines, &settings(discovery, 1000), 1024));
    // Waits for a long poll; the first calls fetch the list at the start.
    let asked = list.asked.wait(3);
    let hold: u64 = asked.last().and_then(|path| path.split("hold_ms=").nth(1)?.parse().ok()).unwrap();
    let silent = Instant::now();
    list.silence();
    list.change([target("s0", old.address, "DRAINING", 0), serving("s1", new.address)].join(","));
    wait_for_version(&list, 3);
    let counts_as_received = Duration::from_millis(6000).max(Duration::from_millis(hold + 2000));
    assert!(
        silent.elapsed() < counts_as_received + Duration::from_millis(GRACE_MS),
        "{hold} ms were requested"
    );
    check_goes_elsewhere(&agent, &old);
}

#[test]
fn a_silent_watch_is_replaced_before_what_it_misses_counts_as_received() {
    silent_watch("on_request");
}

#[test]
fn a_silent_push_is_replaced_before_what_it_misses_counts_as_received() {
    silent_watch("pushed");
}

/// Two servers, one of which begins to drain; the answers that announce it are spoilt in these ways, one
/// after the other. The agent is one of 300, which delay their calls by seconds after a failure of discovery.
fn drain_with_spoilt_answers(discovery: &str, ways: &[Spoil]) {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let lines = [serving("s0", old.address), serving("s1", new.address)].join(",");
    let list = Discovery::new(lines.clone());
    let settings = settings(discovery, 60_000).replacen('{', r#"{"balancers":300,"#, 1);
    let agent = Agent::start(&config(list.address, "", &settings, 1024));
    wait_for_version(&list, 2);
    list.spoil(ways);
    let announced = Instant::now();
    list.change([target("s0", old.address, "DRAINING", 0), serving("s1", new.address)].join(","));
    wait_for_version(&list, 3);
    assert!(announced.elapsed() < Duration::from_secs(5), "{ways:?}: {:?}", announced.elapsed());
    check_goes_elsewhere(&agent, &old);
}

/// Discovery calls fail, or hang one after the other, and one of two servers begins to drain at the end of
/// that. The agent, one of 300, must receive it within the 6 s after which it counts as received, whatever
/// failed before.
fn drain_after_failed_calls(discovery: &str, hang: bool) {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let lines = [serving("s0", old.address), serving("s1", new.address)].join(",");
    let list = Discovery::new(lines.clone());
    let settings = settings(discovery, 60_000).replacen('{', r#"{"balancers":300,"#, 1);
    let agent = Agent::start(&config(list.address, "", &settings, 1024));
    wait_for_version(&list, 2);
    let mut asked = list.asked.all().len();
    list.set_down(true);
    for _ in 0..2 {
        asked = list.asked.wait(asked + 1).len();
    }
    if hang {
        list.ail(Ailment::Silent);
        list.asked.wait(asked + 1);
        // The call that hangs by then gets no answer any more.
        list.silence();
    }
    list.set_down(false);
    let announced = Instant::now();
    list.change([target("s0", old.address, "DRAINING", 0), serving("s1", new.address)].join(","));
    wait_for_version(&list, 3);
    assert!(announced.elapsed() < Duration::from_secs(6), "{discovery}, {hang}: {:?}", announced.elapsed());
    check_goes_elsewhere(&agent, &old);
}

#[test]
fn a_drain_during_an_outage_is_received_within_six_seconds_of_its_end() {
    drain_after_failed_calls("on_request", false);
    drain_after_failed_calls("pushed", false);
}

#[test]
fn a_drain_after_calls_that_hung_is_received_within_six_seconds() {
    drain_after_failed_calls("on_request", true);
    drain_after_failed_calls("pushed", true);
}

/// A change counts as received even if its answer can't be used: the agent must ask again at once, on a new
/// connection.
#[test]
fn a_drain_is_fetched_again_when_its_answer_is_cut_or_endless_or_garbled() {
    for way in [Spoil::Cut, Spoil::Endless, Spoil::Garbled] {
        drain_with_spoilt_answers("on_request", &[way]);
        drain_with_spoilt_answers("pushed", &[way, way]);
    }
}

/// Guards against taking the first part of a list for the whole. A list is one JSON object, and no part of one
/// can be read.
#[test]
fn a_drain_is_fetched_again_when_the_length_of_its_answer_is_too_short() {
    drain_with_spoilt_answers("on_request", &[Spoil::ShortLength]);
    drain_with_spoilt_answers("pushed", &[Spoil::ShortLength, Spoil::ShortLength]);
}

#[test]
fn an_indented_list_is_accepted() {
    drain_with_spoilt_answers("on_request", &[Spoil::Indented]);
}

/// A complete JSON object is the whole list, whatever follows it.
#[test]
fn a_list_with_noise_behind_it_is_accepted() {
    drain_with_spoilt_answers("on_request", &[Spoil::Surplus]);
    drain_with_spoilt_answers("pushed", &[Spoil::Surplus, Spoil::Surplus]);
}

/// Otherwise a delayed older answer would make a draining server look as if it were serving.
#[test]
fn an_older_list_does_not_replace_a_newer_one() {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let lines = [serving("s0", old.address), serving("s1", new.address)].join(",");
    let list = Discovery::new(lines.clone());
    let agent = Agent::start(&config(list.address, &lines, &settings("on_request", 1000), 1024));
    wait_for_version(&list, 2);
    list.remember();
    list.change([target("s0", old.address, "DRAINING", 0), serving("s1", new.address)].join(","));
    wait_for_version(&list, 3);
    list.spoil(&[Spoil::Older]);
    // The current watch ends with the older list, and another follows.
    let asked = list.asked.all().len();
    list.asked.wait(asked + 2);
    check_goes_elsewhere(&agent, &old);
}
