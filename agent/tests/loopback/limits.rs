//! Bad input from clients, bad configurations, and descriptors.

use dilljunction_lab::standins::hand::*;
use std::io::Read;

/// Whatever can't be used gets a plain 4xx and never reaches a backend.
#[test]
fn bad_requests_get_a_4xx_and_no_backend_hears_of_them() {
    let backend = Backend::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with(&[&backend]);
    let read = request("read", 9000);
    let once = request("once", 9000);
    let bad = [
        ("no class", read.replace("X-Call-Class: read\r\n", "")),
        ("unknown class", read.replace("read", "write")),
        ("class and path differ", read.replace("GET /read", "GET /once")),
        ("no id", read.replace("X-Call-Id", "X-Other")),
        ("two ids", read.replace("X-Call-Class", "X-Call-Id: b\r\nX-Call-Class")),
        ("no budget", read.replace("X-Budget-Ms", "X-Other")),
        ("a budget that is no number", read.replace("9000", "soon")),
        ("a negative budget", read.replace("9000", "-9")),
        ("a method that does not fit", read.replace("GET", "POST")),
        ("a key where none belongs", once.replace("X-Caller", "Idempotency-Key: k\r\nX-Caller")),
        ("no key where one belongs", request("zoned", 9000).replace("Idempotency-Key", "X-Other")),
        ("not HTTP", "\u{0}\u{1}\u{2}\r\n\r\n".into()),
        ("a length that is no number", once.replace("Content-Length: 4", "Content-Length: four")),
        (
            "a body over 64 KiB",
            once.replace("Content-Length: 4", "Content-Length: 65537") + &"x".repeat(65536),
        ),
        ("a head over any size", read.replace("X-Caller: ", &format!("X-Caller: {}", "x".repeat(600_000)))),
    ];
    for (what, text) in bad {
        let mut client = Client::to(&agent);
        // The agent may close before it has read all.
        let _ = std::io::Write::write_all(&mut client.stream, text.as_bytes());
        let status = client.read().map(|m| m.status());
        assert!(status.is_none_or(|s| (400..500).contains(&s)), "{what}: {status:?}");
        assert!(status.is_some() || what.contains("over"), "{what}: closed without a word");
    }
    assert_eq!(backend.heard.all().len(), 0);
    let largest =
        once.replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 65536\r\n\r\n") + &"x".repeat(65536);
    assert_eq!(Client::to(&agent).ask(&largest).status(), 200);
    assert_eq!(backend.heard.all()[0].body.len(), 65536);
}

#[test]
fn a_bad_configuration_ends_with_one_line() {
    let discovery = "127.0.0.1:1".parse().unwrap();
    let good = config(discovery, "", SETTINGS, 1024);
    let bad = [
        "{",
        &good.replace("127.0.0.1:0", "nowhere"),
        &good.replace("\"maxAttempts\":3", "\"maxAttempts\":0"),
    ];
    for text in bad {
        let output = command(&config_file(text)).output().unwrap();
        assert!(output.status.code().is_some_and(|c| c != 0), "{text}");
        assert_eq!(String::from_utf8_lossy(&output.stderr).lines().count(), 1, "{text}");
    }
}

/// More clients than there are seats: idle ones make room, and every request is served.
#[test]
fn connections_over_the_cap_make_room_for_each_other() {
    let backend = Backend::new(|_| ok("x"));
    // 64 descriptors less the reserve leave 8 seats.
    let (agent, _discovery) = Agent::with_sockets(&backend, 64);
    let mut clients = Vec::new();
    for _ in 0..40 {
        let mut client = Client::to(&agent);
        assert_eq!(client.ask(&request("read", 9000)).status(), 200);
        clients.push(client);
    }
    // The first has made room for others: it reads an end, not a failure.
    assert_eq!(clients[0].stream.read(&mut [0; 1]).unwrap(), 0);
}

/// Running out of descriptors for good: the agent outlives it and serves again.
#[test]
fn want_of_descriptors_is_survived() {
    let backend = Backend::new(|_| ok("x"));
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let text = config(discovery.address, &line, SETTINGS, 1024);
    // The configuration promises more than the shell's limit lets the process have.
    let agent = Agent::start_limited(&text, 40);
    let crowd: Vec<Client> = (0..80).map(|_| Client::to(&agent)).collect();
    drop(crowd);
    let mut client = Client::to(&agent);
    assert_eq!(client.ask(&request("read", 9000)).status(), 200);
}

/// A crowd that connects and says nothing must not keep the seats from those that ask.
#[test]
fn a_silent_crowd_does_not_keep_the_seats() {
    let backend = Backend::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_sockets(&backend, 64);
    let crowd: Vec<Client> = (0..40).map(|_| Client::to(&agent)).collect();
    assert_eq!(Client::to(&agent).ask(&request("read", 9000)).status(), 200);
    drop(crowd);
}

/// Nor may a crowd that begins a request and says no more.
#[test]
fn half_requests_do_not_keep_the_seats() {
    let backend = Backend::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_sockets(&backend, 64);
    let crowd = (0..12).map(|_| {
        let mut client = Client::to(&agent);
        client.write("GET /read HTTP/1.1\r\nHost:");
        client
    });
    let crowd: Vec<Client> = crowd.collect();
    assert_eq!(Client::to(&agent).ask(&request("read", 9000)).status(), 200);
    drop(crowd);
}

/// Clients that ask once and keep their connection for good must not use up what all clients together may hold: in a
/// crowd an answer ends its connection, and those that rest are closed long before their time.
#[test]
fn clients_that_ask_once_and_stay_make_room() {
    let backend = Backend::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_sockets(&backend, 192);
    let mut crowd: Vec<Client> = Vec::new();
    let mut closing = 0;
    for _ in 0..60 {
        let mut client = Client::to(&agent);
        let answer = client.ask(&request("read", 9000));
        assert_eq!(answer.status(), 200);
        closing += usize::from(answer.header("Connection") == Some("close"));
        crowd.push(client);
    }
    assert!(closing > 0, "a crowd's answers end their connections");
    assert!(crowd[0].read().is_none(), "the one that has rested longest is closed");
    assert_eq!(Client::to(&agent).ask(&request("read", 9000)).status(), 200);
}

/// Clients connect, ask once whether the agent is ready, and rest: as many as get in, while discovery is down and nobody is
/// known to send to. When it is back the agent hears of it, sends, and answers operators and newcomers.
fn idle_clients_fill_it(sockets: usize, descriptors: usize) {
    let backend = Backend::new(|_| ok("x"));
    let list = Discovery::new(serving("s", backend.address));
    list.set_down(true);
    let text = config(list.address, "", SETTINGS, sockets);
    let text = text.replacen('{', r#"{"admin":"127.0.0.1:0","#, 1);
    let agent = Agent::start_limited(&text, descriptors);
    list.asked.wait(1);
    let ready = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut crowd: Vec<Client> = Vec::new();
    for _ in 0..3 * descriptors {
        let mut client = Client::to(&agent);
        assert_eq!(client.ask(ready).status(), 503);
        crowd.push(client);
    }
    let asked = list.asked.all().len();
    let held = std::fs::read_dir(format!("/proc/{}/fd", agent.child.id())).unwrap().count();
    // Both ways to servers, to operators and to the list at once need theirs.
    assert!(held + 32 <= descriptors, "{held} of {descriptors} are held by a crowd that rests");
    list.asked.wait(asked + 2);
    list.set_down(false);
    while Client::to(&agent).ask(ready).status() != 200 {}
    assert_eq!(Client::to(&agent).ask(&request("read", 9000)).status(), 200);
    let mut operator = Client::at(agent.admin.expect("their address"));
    assert_eq!(operator.ask("GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
}

#[test]
fn idle_clients_leave_descriptors_for_the_list_a_server_and_operators() {
    idle_clients_fill_it(96, 96);
}

/// Where the process may hold less than its configuration says, that counts.
#[test]
fn idle_clients_leave_descriptors_where_the_process_has_fewer_than_it_was_told() {
    idle_clients_fill_it(1024, 96);
}
