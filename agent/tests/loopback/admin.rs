//! The admin listener, the drain of an agent, and a listening socket that outlives its processes.

use dilljunction_lab::standins::hand::*;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// An agent with an admin listener.
fn with_admin(backend: &Backend) -> (Agent, Discovery, SocketAddr) {
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let agent = Agent::start(&admin_config(&config(discovery.address, &line, SETTINGS, 1024)));
    let admin = agent.admin.expect("an admin listener");
    (agent, discovery, admin)
}

/// The same configuration, with an admin listener on any port.
fn admin_config(config: &str) -> String {
    config.replacen('{', r#"{"admin":"127.0.0.1:0","#, 1)
}

fn call(admin: SocketAddr, line: &str) -> u16 {
    Client::at(admin).ask(&format!("{line} HTTP/1.1\r\nHost: agent\r\n\r\n")).status()
}

fn readiness(agent: &Agent) -> u16 {
    Client::to(agent).ask("GET /health/ready HTTP/1.1\r\nHost: agent\r\n\r\n").status()
}

#[test]
fn admin_calls_are_answered_and_invalid_ones_refused() {
    let backend = Backend::new(|_| ok("x"));
    let (agent, _discovery, admin) = with_admin(&backend);
    assert_eq!(call(admin, "GET /healthcheck"), 200);
    assert_eq!(call(admin, "POST /healthcheck/ok"), 200, "ending a drain when there is none is no error");
    assert_eq!(call(admin, "GET /health/ready"), 404, "clients' paths are not served here");
    assert_eq!(call(admin, "PUT /healthcheck/fail"), 405);
    let wrong = Client::at(admin).ask("GET /healthcheck/fail HTTP/1.1\r\nHost: agent\r\n\r\n");
    assert_eq!((wrong.status(), wrong.header("Allow")), (405, Some("POST")));
    assert_eq!(call(admin, "no call at all"), 400);
    assert_eq!(call(admin, &format!("GET /{}", "x".repeat(7000))), 404);
    let mut finished = Client::at(admin);
    finished.write(&format!("GET /{}", "x".repeat(8 * 1024 - 5)));
    assert_eq!(finished.read().map(|answer| answer.status()), Some(431));
    let mut long = Client::at(admin);
    let _ = std::io::Write::write_all(&mut long.stream, &[b'x'; 100_000]);
    assert!(long.read().is_none_or(|answer| (400..500).contains(&answer.status())));
    // An unexpected body does not affect the answer.
    let body = "POST /healthcheck/ok HTTP/1.1\r\nHost: agent\r\nContent-Length: 4\r\n\r\nbody";
    assert_eq!(Client::at(admin).ask(body).status(), 200);
    assert_eq!(readiness(&agent), 200, "no call has started a drain");
}

/// Callers that send nothing, or half a request, fill the admin listener; a complete request must still be
/// answered.
#[test]
fn silent_admin_connections_block_no_other_caller() {
    let backend = Backend::new(|_| ok("x"));
    let (_agent, _discovery, admin) = with_admin(&backend);
    let mut silent: Vec<Client> = Vec::new();
    for i in 0..100 {
        let mut client = Client::at(admin);
        if i % 2 == 0 {
            client.write("GET /healthch");
        }
        silent.push(client);
    }
    assert_eq!(call(admin, "GET /healthcheck"), 200);
    // The answered caller connected last, so all but a full set of connections were closed for it.
    let stay = |client: &&mut Client| {
        client.stream.set_nonblocking(true).expect("a socket");
        let end = std::io::Read::read(&mut &client.stream, &mut [0; 1]);
        client.stream.set_nonblocking(false).expect("a socket");
        end.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    };
    let stayed = silent.iter_mut().filter(stay).count();
    assert!(stayed <= 16, "{stayed} connections stayed open");
    for client in &mut silent {
        assert!(client.ends(), "a silent connection stays open");
    }
}

/// Descriptors for the admin listener are reserved: it must accept even if clients hold all their connection
/// slots.
#[test]
fn the_admin_listener_accepts_with_all_client_connections_taken() {
    let (backend, release) = Backend::gated();
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    // 64 descriptors less the reserve leave 8 client connections.
    let agent = Agent::start(&admin_config(&config(discovery.address, &line, SETTINGS, 64)));
    // At the limit a connection that has sent nothing for 50 ms is evicted, and on a busy machine this test may
    // pause for longer between a connect and a write. Every request is there before the agent accepts.
    agent.freeze();
    let mut clients: Vec<Client> = (0..40).map(|_| Client::to(&agent)).collect();
    clients.iter_mut().for_each(|client| client.write(&request("once", 9000)));
    agent.thaw();
    backend.heard.wait(1);
    let admin = agent.admin.unwrap();
    let mut silent: Vec<Client> = (0..20).map(|_| Client::at(admin)).collect();
    assert_eq!(call(admin, "GET /healthcheck"), 200);
    assert_eq!(call(admin, "POST /healthcheck/fail"), 200);
    // A drain closes after 3.2 s the connections without a complete request; the silent admin callers may
    // take longer.
    drop(release);
    assert!(clients.iter_mut().all(|client| client.read().is_some()), "an accepted client got no answer");
    assert!(silent.iter_mut().all(Client::ends));
}

/// The process stays alive through a drain: it answers what it has accepted, and serves new clients one
/// request each.
#[test]
fn a_drain_disconnects_the_clients_and_ok_ends_it() {
    let (backend, release) = Backend::gated();
    let (agent, _discovery, admin) = with_admin(&backend);
    let mut idle = Client::to(&agent);
    assert_eq!(idle.ask(&request("read", 9000)).status(), 200);
    let mut used = Client::to(&agent);
    assert_eq!(used.ask(&request("read", 9000)).status(), 200);
    let mut silent = Client::to(&agent);
    let mut half = Client::to(&agent);
    half.write("GET /re");
    let mut busy = Client::to(&agent);
    busy.write(&request("once", 9000));
    backend.heard.wait(3);
    assert_eq!(call(admin, "POST /healthcheck/fail"), 200);
    assert_eq!(readiness(&agent), 503);
    assert_eq!(call(admin, "POST /healthcheck/fail"), 200, "repeated");
    assert_eq!(call(admin, "GET /healthcheck"), 503, "not ready during a drain");
    let last = used.ask(&request("read", 9000));
    assert_eq!((last.status(), last.header("Connection")), (200, Some("close")));
    let late = Client::to(&agent).ask(&request("read", 9000));
    assert_eq!((late.status(), late.header("Connection")), (200, Some("close")));
    for client in [&mut used, &mut idle, &mut silent, &mut half] {
        assert!(client.ends(), "an idle connection stays open");
    }
    release.one();
    assert_eq!(busy.read().map(|m| m.status()), Some(200), "accepted requests are answered");
    assert_eq!(call(admin, "POST /healthcheck/ok"), 200);
    assert_eq!((readiness(&agent), call(admin, "GET /healthcheck")), (200, 200));
    let mut back = Client::to(&agent);
    let answer = back.ask(&request("read", 9000));
    assert_eq!((answer.status(), answer.header("Connection")), (200, None));
    assert_eq!(back.ask(&request("read", 9000)).status(), 200, "connections stay open again");
}

/// An agent without servers accepts no clients; SIGTERM ends it during a drain as at any other time.
#[test]
fn sigterm_ends_the_process_during_a_drain() {
    let discovery = Discovery::new(String::new());
    let mut agent = Agent::start(&admin_config(&config(discovery.address, "", SETTINGS, 1024)));
    let admin = agent.admin.expect("an admin listener");
    assert_eq!((call(admin, "GET /healthcheck"), readiness(&agent)), (503, 503));
    assert_eq!(call(admin, "POST /healthcheck/fail"), 200);
    agent.terminate();
    assert_eq!(agent.ended(), Some(0));
}

/// The platform holds the socket and starts one process after another on it: every client must be answered by
/// one of them.
#[test]
fn new_processes_take_over_the_listening_socket_without_refusals() {
    let (backend, release) = Backend::gated();
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = config(discovery.address, &line, SETTINGS, 1024);
    let text = admin_config(&text.replace("127.0.0.1:0", &listener.local_addr().unwrap().to_string()));
    let mut old = Agent::inheriting(&text, &listener);
    let mut busy = Client::to(&old);
    busy.write(&request("once", 9000));
    backend.heard.wait(1);
    let mut idle = Client::to(&old);
    assert_eq!(idle.ask(&request("read", 9000)).status(), 200);
    for round in 0..3 {
        let new = Agent::inheriting(&text, &listener);
        assert_eq!(call(new.admin.unwrap(), "GET /healthcheck"), 200);
        old.terminate();
        if round == 0 {
            // It has received the signal; an idle connection is answered once more within a second of that.
            while call(old.admin.unwrap(), "GET /healthcheck") == 200 {}
            let last = idle.ask(&request("read", 9000));
            assert_eq!((last.status(), last.header("Connection")), (200, Some("close")));
        }
        // Whichever process accepts, no client is refused.
        for _ in 0..50 {
            assert_eq!(Client::to(&new).ask(&request("read", 9000)).status(), 200, "upgrade {round}");
        }
        if round == 0 {
            release.one();
            assert_eq!(busy.read().map(|m| m.status()), Some(200), "accepted requests are answered");
        }
        assert_eq!(old.ended(), Some(0));
        old = new;
    }
    assert_eq!(Client::to(&old).ask(&request("read", 9000)).status(), 200);
}

/// Repeated upgrades while clients send without pause on kept connections: each request must be served, and
/// no connection may close under one.
#[test]
fn upgrades_under_load_fail_no_request() {
    let backend = Backend::new(|_| ok("x"));
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let text = config(discovery.address, &line, SETTINGS, 1024);
    let text = admin_config(&text.replace("127.0.0.1:0", &address.to_string()));
    let (finished, served) = (AtomicBool::new(false), AtomicUsize::new(0));
    let send_repeatedly = || {
        let mut kept = None;
        while !finished.load(Ordering::Relaxed) {
            let mut client: Client = kept.take().unwrap_or_else(|| Client::at(address));
            client.write(&request("read", 9000));
            let answer = client.read().expect("a connection closed under a request");
            assert_eq!(answer.status(), 200);
            kept = (answer.header("Connection") != Some("close")).then_some(client);
            served.fetch_add(1, Ordering::Relaxed);
        }
    };
    std::thread::scope(|scope| {
        let mut old = Agent::inheriting(&text, &listener);
        let clients: Vec<_> = (0..4).map(|_| scope.spawn(send_repeatedly)).collect();
        for _ in 0..5 {
            let new = Agent::inheriting(&text, &listener);
            while call(new.admin.unwrap(), "GET /healthcheck") != 200 {}
            // Each upgrade happens under load, however fast the machine.
            let before = served.load(Ordering::Relaxed);
            while served.load(Ordering::Relaxed) < before + 40 && !clients.iter().any(|c| c.is_finished()) {
                std::thread::yield_now();
            }
            old.terminate();
            assert_eq!(old.ended(), Some(0));
            old = new;
        }
        finished.store(true, Ordering::Relaxed);
        clients.into_iter().for_each(|client| client.join().expect("a client thread that passed"));
    });
}

/// The number of sockets that a process holds.
fn sockets(pid: u32) -> usize {
    let links = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap();
    let targets = links.filter_map(|l| std::fs::read_link(l.ok()?.path()).ok());
    targets.filter(|target| target.to_string_lossy().starts_with("socket:")).count()
}

/// With more clients than connections, two processes of one agent must together hold what one may: 56 of 160
/// descriptors.
#[test]
fn two_processes_together_hold_no_more_clients_than_one_may() {
    const ONE_MAY: usize = (160 - 48) / 2;
    let backend = Backend::new(|_| ok("x"));
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let text = config(discovery.address, &line, SETTINGS, 160);
    let text = admin_config(&text.replace("127.0.0.1:0", &address.to_string()));
    let mut old = Agent::inheriting(&text, &listener);
    while call(old.admin.unwrap(), "GET /healthcheck") != 200 {}
    let own = sockets(old.child.id());
    // Each client holds a connection with half a request head, and reconnects when it is closed.
    let finished = AtomicBool::new(false);
    let hold_connections = || {
        while !finished.load(Ordering::Relaxed) {
            let mut client = Client::at(address);
            client.write("GET /read HTTP/1.1\r\nHost: ");
            client.ends();
        }
    };
    let max_sockets = |agents: &[&Agent]| {
        let sum = || agents.iter().map(|agent| sockets(agent.child.id()).saturating_sub(own)).sum::<usize>();
        let begin = Instant::now();
        let mut max_sockets = 0;
        while begin.elapsed() < Duration::from_millis(1500) {
            max_sockets = max_sockets.max(sum());
        }
        max_sockets
    };
    std::thread::scope(|scope| {
        (0..150).for_each(|_| drop(scope.spawn(hold_connections)));
        let alone = max_sockets(&[&old]);
        let new = Agent::inheriting(&text, &listener);
        while call(new.admin.unwrap(), "GET /healthcheck") != 200 {}
        let both = max_sockets(&[&old, &new]);
        let new_beside_old = max_sockets(&[&new]);
        old.terminate();
        assert_eq!(old.ended(), Some(0));
        let after = max_sockets(&[&new]);
        finished.store(true, Ordering::Relaxed);
        drop((new, listener));
        // The connection to the discovery service comes and goes.
        const SOME: usize = 4;
        assert!(alone.abs_diff(ONE_MAY) < SOME, "alone {alone}");
        assert!(both.abs_diff(ONE_MAY) < 2 * SOME, "both together {both}");
        assert!(
            new_beside_old > SOME && new_beside_old < ONE_MAY - SOME,
            "the new one beside the old one {new_beside_old}"
        );
        assert!(after.abs_diff(ONE_MAY) < SOME, "the new one alone {after}");
    });
}

/// A new process that has no list yet must leave the accept queue to the old one.
#[test]
fn a_new_process_without_a_list_accepts_no_clients() {
    let backend = Backend::new(|_| ok("x"));
    let line = serving("s", backend.address);
    let (discovery, empty) = (Discovery::new(line.clone()), Discovery::new(String::new()));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap().to_string();
    let old = config(discovery.address, &line, SETTINGS, 1024).replace("127.0.0.1:0", &at);
    let old = Agent::inheriting(&admin_config(&old), &listener);
    let new = config(empty.address, "", SETTINGS, 1024).replace("127.0.0.1:0", &at);
    let new = Agent::inheriting(&admin_config(&new), &listener);
    assert_eq!(call(new.admin.unwrap(), "GET /healthcheck"), 503);
    for _ in 0..50 {
        assert_eq!(Client::to(&old).ask(&request("read", 9000)).status(), 200);
    }
    empty.change(line);
    while call(new.admin.unwrap(), "GET /healthcheck") != 200 {}
}

#[test]
fn an_invalid_inherited_descriptor_ends_the_start_with_one_line() {
    let discovery = Discovery::new(String::new());
    let text = config(discovery.address, "", SETTINGS, 1024);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let other = text.replace("127.0.0.1:0", "127.0.0.1:9");
    let same = text.replace("127.0.0.1:0", &listener.local_addr().unwrap().to_string());
    for (text, fd, reason) in [
        (&other, "7", "the address for clients is"),
        (&same, "9", "9"),
        (&same, "x", "no number"),
        (&same, "0", "standard"),
    ] {
        let output = inheriting(&config_file(text), &listener).env("LB_LISTEN_FD", fd).output().unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && stderr.contains("LB_LISTEN_FD") && stderr.contains(reason),
            "{stderr}"
        );
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
    }
}

/// An admin address that equals the clients' address, is malformed or is in use must end the start with one
/// line that says so.
#[test]
fn an_unusable_admin_address_ends_the_start() {
    let discovery = Discovery::new(String::new());
    let text = config(discovery.address, "", SETTINGS, 1024);
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = taken.local_addr().unwrap().to_string();
    let with = |admin: &str| text.replacen('{', &format!(r#"{{"admin":"{admin}","#), 1);
    let same = with("127.0.0.1:99").replace("127.0.0.1:0", "127.0.0.1:99");
    for (text, reason) in
        [(same, "the address for clients"), (with("nowhere"), "nowhere"), (with(&taken), "cannot listen on")]
    {
        let output = command(&config_file(&text)).output().unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && stderr.contains("admin") && stderr.contains(reason), "{stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
    }
}
