//! SIGHUP: discovery is asked where the new configuration names it, and clients notice nothing.

use dilljunction_lab::standins::hand::*;

fn with_source(source: &Discovery) -> String {
    config(source.address, "", SETTINGS, 1024)
}

/// Guards against the signal ending the program, against the old address being asked for ever, and against the new
/// source being asked for what is newer than the old one's version: its own versions may be lower.
#[test]
fn a_new_discovery_is_asked_for_its_whole_list() {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let (agent, first) = Agent::with(&[&old]);
    for _ in 0..3 {
        first.change(serving("s0", old.address));
    }
    first.asked.wait(2);
    let mut client = Client::to(&agent);
    assert_eq!(client.ask(&request("read", 9000)).body, b"old");
    let second = Discovery::new(serving("s1", new.address));
    agent.reload(&with_source(&second));
    let asked = second.asked.wait(2);
    assert!(!asked[0].contains("from="), "{asked:?}");
    assert!(asked[1].contains("from=2&hold_ms="), "{asked:?}");
    for _ in 0..20 {
        assert_eq!(client.ask(&request("read", 9000)).body, b"new");
    }
    // What the old source has to say now is nobody's business, and the new one is followed.
    let before = first.asked.all().len();
    first.change(serving("s0", old.address));
    second.change([serving("s1", new.address), serving("s2", new.address)].join(","));
    second.asked.wait(3);
    assert_eq!(client.ask(&request("read", 9000)).body, b"new");
    assert_eq!(first.asked.all().len(), before);
}

/// Until the new source has answered, what is known stands; the new one is asked until it answers.
#[test]
fn the_old_list_stands_until_the_new_source_has_answered() {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let (agent, first) = Agent::with(&[&old]);
    first.asked.wait(2);
    let second = Discovery::new(serving("s1", new.address));
    second.set_down(true);
    agent.reload(&with_source(&second));
    second.asked.wait(3);
    let mut client = Client::to(&agent);
    assert_eq!(client.ask(&request("read", 9000)).body, b"old");
    second.set_down(false);
    let asked = second.asked.all().len();
    second.asked.wait(asked + 2);
    assert_eq!(client.ask(&request("read", 9000)).body, b"new");
}

/// A file that can't be used changes nothing, and the signal may come as often as it likes.
#[test]
fn a_bad_file_changes_nothing_and_signals_may_repeat() {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let (agent, first) = Agent::with(&[&old]);
    first.asked.wait(2);
    let mut client = Client::to(&agent);
    for bad in ["{", "{}", r#"{"discovery":"nowhere"}"#] {
        agent.reload(bad);
        assert_eq!(client.ask(&request("read", 9000)).body, b"old");
    }
    // The first list change after the bad files still comes from the first source.
    first.change(serving("s0", old.address));
    first.asked.wait(3);
    let second = Discovery::new(serving("s1", new.address));
    for _ in 0..5 {
        agent.reload(&with_source(&second));
        agent.reload(&with_source(&first));
    }
    agent.reload(&with_source(&second));
    second.asked.wait(1);
    // The last signal wins: the second source's watch is what stays open.
    while client.ask(&request("read", 9000)).body != b"new" {
        std::thread::yield_now();
    }
}
