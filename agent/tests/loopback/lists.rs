//! Discovery: what it tells is followed, and its failures are survived.

use dilljunction_lab::standins::hand::*;

#[test]
fn readiness_waits_for_a_list() {
    let backend = Backend::new(|_| ok("x"));
    let discovery = Discovery::new(String::new());
    let agent = Agent::start(&config(discovery.address, "", SETTINGS, 1024));
    let mut client = Client::to(&agent);
    let ready = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    assert_ne!(client.ask(ready).status(), 200);
    discovery.change(serving("s", backend.address));
    while client.ask(ready).status() != 200 {
        std::thread::yield_now();
    }
    assert_eq!(client.ask(&request("read", 9000)).status(), 200);
}

/// The next watch names the version that the last answer brought.
#[test]
fn a_watch_goes_on_from_the_last_version() {
    let backend = Backend::new(|_| ok("x"));
    let (_agent, discovery) = Agent::with(&[&backend]);
    let asked = discovery.asked.wait(2);
    assert!(asked[0].contains("from=1&hold_ms="), "{asked:?}");
    assert!(asked[1].contains("from=2&hold_ms="), "{asked:?}");
    discovery.change(serving("s0", backend.address));
    assert!(discovery.asked.wait(3)[2].contains("from=3&hold_ms="));
}

#[test]
fn a_server_that_drains_gets_nothing_new_and_loses_its_connections() {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let (agent, discovery) = Agent::with(&[&old]);
    discovery.asked.wait(2);
    let mut client = Client::to(&agent);
    assert_eq!(client.ask(&request("read", 9000)).body, b"old");
    let lines = [target("s0", old.address, "DRAINING", 0), serving("s1", new.address)].join(",");
    discovery.change(lines);
    // The list has been taken in once the next watch is out.
    discovery.asked.wait(3);
    old.ended.wait(1);
    for _ in 0..20 {
        assert_eq!(client.ask(&request("read", 9000)).body, b"new");
    }
    assert_eq!(old.heard.all().len(), 1);
}

/// A server that has restarted or moved is another process: connections to the one before are not used.
#[test]
fn a_server_that_moved_is_met_at_its_new_address() {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let (agent, discovery) = Agent::with(&[&old]);
    discovery.asked.wait(2);
    let mut client = Client::to(&agent);
    assert_eq!(client.ask(&request("once", 9000)).body, b"old");
    discovery.change(serving("s0", new.address));
    discovery.asked.wait(3);
    assert_eq!(client.ask(&request("once", 9000)).body, b"new");
    old.ended.wait(1);
    discovery.change(target("s0", new.address, "SERVING", 1));
    discovery.asked.wait(4);
    new.ended.wait(1);
}

/// A call that fails is asked again, from the list that is still known, and requests are served meanwhile.
#[test]
fn discovery_may_fail_and_come_back() {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let (agent, discovery) = Agent::with(&[&old]);
    discovery.asked.wait(2);
    discovery.set_down(true);
    discovery.asked.wait(4);
    let mut client = Client::to(&agent);
    assert_eq!(client.ask(&request("read", 9000)).body, b"old");
    discovery.change(serving("s1", new.address));
    discovery.set_down(false);
    let asked = discovery.asked.all().len();
    // The one that brings the news, and the one that follows it.
    discovery.asked.wait(asked + 2);
    assert_eq!(client.ask(&request("read", 9000)).body, b"new");
}

/// One line that can't be read must not make the agent deaf to the others.
#[test]
fn a_line_that_cannot_be_read_is_passed_over() {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let (agent, discovery) = Agent::with(&[&old]);
    discovery.asked.wait(2);
    let odd = r#"{"uid":"odd","endpoint":"nowhere","state":"SERVING"},{"uid":7},null"#;
    discovery.change(format!("{odd},{}", serving("s1", new.address)));
    discovery.asked.wait(3);
    assert_eq!(Client::to(&agent).ask(&request("read", 9000)).body, b"new");
}

/// Lines of a whole list that can't be read: whoever they name stays what it was, and a list of which none can be read
/// sends nobody away. It is asked for again, on a call of its own.
#[test]
fn lines_that_cannot_be_read_send_nobody_away() {
    let backends = [Backend::new(|_| ok("a")), Backend::new(|_| ok("b"))];
    let (agent, list) = Agent::with(&[&backends[0], &backends[1]]);
    list.asked.wait(2);
    let garbled = |uid: &str| format!(r#"{{"uid":"{uid}","endpoint":"nowhere","state":"SERVING"}}"#);
    list.change([garbled("s0"), garbled("s1"), "7".into()].join(","));
    // Asked again for the same, at once; then in its turn.
    let asked = list.asked.wait(6);
    assert!(asked[3..6].iter().all(|path| path.contains("from=2&")), "{asked:?}");
    for _ in 0..10 {
        assert_eq!(Client::to(&agent).ask(&request("read", 9000)).status(), 200);
    }
    // One of the two can be read: the other serves on, also when the first drains.
    list.change([target("s0", backends[0].address, "DRAINING", 0), garbled("s1")].join(","));
    let asked = list.asked.all().len();
    let mut paths = list.asked.wait(asked + 1);
    while !paths.iter().any(|path| path.contains("from=4&")) {
        paths = list.asked.wait(paths.len() + 1);
    }
    for _ in 0..10 {
        assert_eq!(Client::to(&agent).ask(&request("read", 9000)).body, b"b");
    }
}

/// A whole list leaves servers out, and a later one names them by lines that can't be read: they have left all the same, and no
/// attempt of a request is lost on them.
#[test]
fn lines_that_cannot_be_read_bring_nobody_back() {
    const LEFT: usize = 12;
    let (left, other) = (Backend::new(|_| ok("left")), Backend::new(|_| ok("other")));
    let here = serving("here", other.address);
    let all: Vec<String> = (0..LEFT).map(|n| serving(&format!("s{n}"), left.address)).collect();
    let list = Discovery::new([all.join(","), here.clone()].join(","));
    let agent = Agent::start(&config(list.address, "", SETTINGS, 1024));
    list.asked.wait(2);
    list.change(here.clone());
    list.asked.wait(3);
    let garbled = (0..LEFT).map(|n| format!(r#"{{"uid":"s{n}","endpoint":"nowhere","state":"SERVING"}}"#));
    list.change(garbled.chain([here]).collect::<Vec<_>>().join(","));
    list.asked.wait(4);
    let mut client = Client::to(&agent);
    for n in 0..5 {
        assert_eq!(client.ask(&request("read", 9000)).body, b"other", "request {n}");
    }
    assert_eq!(left.heard.all().len(), 0);
}

/// A connection that was at work when its server was told to drain is closed once it is free.
#[test]
fn a_connection_that_outlasts_the_drain_is_closed() {
    let (backend, release) = Backend::gated();
    let (agent, discovery) = Agent::with(&[&backend]);
    discovery.asked.wait(2);
    let mut client = Client::to(&agent);
    client.write(&request("once", 9000));
    backend.heard.wait(1);
    discovery.change(target("s0", backend.address, "DRAINING", 0));
    discovery.asked.wait(3);
    release.one();
    assert_eq!(client.read().map(|m| m.status()), Some(200));
    backend.ended.wait(1);
}

/// Where lists are pushed the module asks for nothing, and the agent follows the list by itself.
#[test]
fn a_pushed_list_is_followed_too() {
    let (old, new) = (Backend::new(|_| ok("old")), Backend::new(|_| ok("new")));
    let discovery = Discovery::new(serving("s0", old.address));
    let settings = SETTINGS.replace("on_request", "pushed");
    let agent = Agent::start(&config(discovery.address, "", &settings, 1024));
    discovery.asked.wait(2);
    discovery.change(serving("s1", new.address));
    discovery.asked.wait(3);
    assert_eq!(Client::to(&agent).ask(&request("read", 9000)).body, b"new");
}
