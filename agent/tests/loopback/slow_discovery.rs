//! A discovery service that writes its answers slowly, whole and sound: what it writes must be heard at any pace.

use dilljunction_lab::standins::hand::*;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Waits until a read goes to the new server, and from then on all of them; returns how long that took.
fn wait_for_drain(agent: &Agent, announced: Instant) -> Duration {
    let mut client = Client::to(agent);
    let is_new = |client: &mut Client| client.ask(&request("read", 9000)).body == b"new";
    // Ten in a row: the old server would get some of them.
    while !(0..10).all(|_| is_new(&mut client)) {
        assert!(announced.elapsed() < BOUND, "the drain is never heard of");
        std::thread::sleep(ms(20));
    }
    announced.elapsed()
}

/// Two servers, one of which begins to drain while discovery writes at this pace. Returns when that was obeyed.
fn drain_at_pace(discovery: &str, pace: Pace) -> Duration {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let lines = [serving("s0", old.address), serving("s1", new.address)].join(",");
    let list = Discovery::new(lines.clone());
    let settings = SETTINGS.replace("on_request", discovery);
    list.pace(pace);
    let agent = Agent::start(&config(list.address, &lines, &settings, 1024));
    list.asked.wait(1);
    list.change([target("s0", old.address, "DRAINING", 0), serving("s1", new.address)].join(","));
    wait_for_drain(&agent, Instant::now())
}

/// Review case 6: each answer that paused was given up and asked for again, so the agent never heard of a drain.
#[test]
fn a_drain_is_heard_of_whatever_the_pace_of_discovery() {
    let quarter = Pace { before_head: ms(0), piece_bytes: 0, before_piece: ms(400) };
    let late_head = Pace { before_head: ms(2700), piece_bytes: 0, before_piece: ms(0) };
    let few_bytes = Pace { before_head: ms(0), piece_bytes: 3, before_piece: ms(20) };
    let pauses = Pace { before_head: ms(300), piece_bytes: 100, before_piece: ms(600) };
    std::thread::scope(|scope| {
        for discovery in ["on_request", "pushed"] {
            for pace in [quarter, late_head, few_bytes, pauses] {
                scope.spawn(move || {
                    let obeyed_after = drain_at_pace(discovery, pace);
                    // Told after 6 s, and 2 s of grace.
                    assert!(obeyed_after < ms(8000), "{discovery}, {pace:?}: {obeyed_after:?}");
                });
            }
        }
    });
}

/// A configuration that moves the agent to a discovery service that is slow from its first answer.
#[test]
fn the_list_of_a_slow_new_discovery_is_taken_over() {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let (old_line, new_line) = (serving("s0", old.address), serving("s1", new.address));
    let (first, second) = (Discovery::new(old_line.clone()), Discovery::new(new_line));
    second.pace(Pace { before_head: ms(1200), piece_bytes: 64, before_piece: ms(700) });
    let agent = Agent::start(&config(first.address, &old_line, SETTINGS, 1024));
    agent.reload(&config(second.address, &old_line, SETTINGS, 1024));
    let heard_after = wait_for_drain(&agent, Instant::now());
    // Its list counts as known after 4 s, and the grace is 2 s.
    assert!(heard_after < ms(6000), "{heard_after:?}");
}
