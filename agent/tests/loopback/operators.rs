//! The operators' door, the drain of an agent, and a listening socket that outlives its processes.

use dilljunction_lab::standins::hand::*;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// An agent with a door.
fn with_door(backend: &Backend) -> (Agent, Discovery, SocketAddr) {
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let agent = Agent::start(&door(&config(discovery.address, &line, SETTINGS, 1024)));
    let admin = agent.admin.expect("a door");
    (agent, discovery, admin)
}

/// The same configuration, with a door at any port.
fn door(config: &str) -> String {
    config.replacen('{', r#"{"admin":"127.0.0.1:0","#, 1)
}

fn call(admin: SocketAddr, line: &str) -> u16 {
    Client::at(admin).ask(&format!("{line} HTTP/1.1\r\nHost: agent\r\n\r\n")).status()
}

fn readiness(agent: &Agent) -> u16 {
    Client::to(agent).ask("GET /health/ready HTTP/1.1\r\nHost: agent\r\n\r\n").status()
}

#[test]
fn calls_are_answered_and_what_is_no_call_gets_a_plain_no() {
    let backend = Backend::new(|_| ok("x"));
    let (agent, _discovery, admin) = with_door(&backend);
    assert_eq!(call(admin, "GET /healthcheck"), 200);
    assert_eq!(call(admin, "POST /healthcheck/ok"), 200, "nothing to end is no error");
    assert_eq!(call(admin, "GET /health/ready"), 404, "the clients' calls are not answered here");
    assert_eq!(call(admin, "PUT /healthcheck/fail"), 405);
    let wrong = Client::at(admin).ask("GET /healthcheck/fail HTTP/1.1\r\nHost: agent\r\n\r\n");
    assert_eq!((wrong.status(), wrong.header("Allow")), (405, Some("POST")));
    assert_eq!(call(admin, "no call at all"), 400);
    assert_eq!(call(admin, &format!("GET /{}", "x".repeat(7000))), 404);
    let mut over = Client::at(admin);
    over.write(&format!("GET /{}", "x".repeat(8 * 1024 - 5)));
    assert_eq!(over.read().map(|answer| answer.status()), Some(431));
    let mut long = Client::at(admin);
    let _ = std::io::Write::write_all(&mut long.stream, &[b'x'; 100_000]);
    assert!(long.read().is_none_or(|answer| (400..500).contains(&answer.status())));
    // A body that nobody wants costs the answer nothing.
    let body = "POST /healthcheck/ok HTTP/1.1\r\nHost: agent\r\nContent-Length: 4\r\n\r\nbody";
    assert_eq!(Client::at(admin).ask(body).status(), 200);
    assert_eq!(readiness(&agent), 200, "none of it was an order");
}

/// Callers who say nothing, or half of a call, fill the house; whoever speaks is answered all the same.
#[test]
fn silent_callers_keep_nobody_waiting() {
    let backend = Backend::new(|_| ok("x"));
    let (_agent, _discovery, admin) = with_door(&backend);
    let mut silent: Vec<Client> = Vec::new();
    for i in 0..100 {
        let mut client = Client::at(admin);
        if i % 2 == 0 {
            client.write("GET /healthch");
        }
        silent.push(client);
    }
    assert_eq!(call(admin, "GET /healthcheck"), 200);
    // Whoever was answered came last, so that all but a full house have made room.
    let stay = |client: &&mut Client| {
        client.stream.set_nonblocking(true).expect("a socket");
        let end = std::io::Read::read(&mut &client.stream, &mut [0; 1]);
        client.stream.set_nonblocking(false).expect("a socket");
        end.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    };
    let stayed = silent.iter_mut().filter(stay).count();
    assert!(stayed <= 16, "{stayed} hold their descriptors");
    for client in &mut silent {
        assert!(client.ends(), "nobody stays for ever");
    }
}

/// Descriptors for operators are set aside: with every seat of the clients taken the door still opens.
#[test]
fn the_door_opens_with_every_seat_taken() {
    let (backend, release) = Backend::gated();
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    // 64 descriptors less the reserve leave 8 seats.
    let agent = Agent::start(&door(&config(discovery.address, &line, SETTINGS, 64)));
    let mut clients: Vec<Client> = (0..40).map(|_| Client::to(&agent)).collect();
    clients.iter_mut().for_each(|client| client.write(&request("once", 9000)));
    backend.heard.wait(1);
    let admin = agent.admin.unwrap();
    let mut silent: Vec<Client> = (0..20).map(|_| Client::at(admin)).collect();
    assert_eq!(call(admin, "GET /healthcheck"), 200);
    assert_eq!(call(admin, "POST /healthcheck/fail"), 200);
    // A drain ends after 3.2 s what has no whole request by then, and the silent ones may take their time.
    drop(release);
    assert!(
        clients.iter_mut().all(|client| client.read().is_some()),
        "and nobody who was let in is left alone"
    );
    assert!(silent.iter_mut().all(Client::ends));
}

/// The process lives on through a drain: it answers what it has, and serves who still comes, once.
#[test]
fn a_drain_sends_the_clients_away_and_ok_brings_them_back() {
    let (backend, release) = Backend::gated();
    let (agent, _discovery, admin) = with_door(&backend);
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
    assert_eq!(call(admin, "POST /healthcheck/fail"), 200, "said twice");
    assert_eq!(call(admin, "GET /healthcheck"), 503, "no clients are taken");
    let last = used.ask(&request("read", 9000));
    assert_eq!((last.status(), last.header("Connection")), (200, Some("close")));
    let late = Client::to(&agent).ask(&request("read", 9000));
    assert_eq!((late.status(), late.header("Connection")), (200, Some("close")));
    for client in [&mut used, &mut idle, &mut silent, &mut half] {
        assert!(client.ends(), "no connection rests");
    }
    release.one();
    assert_eq!(busy.read().map(|m| m.status()), Some(200), "what was taken is answered");
    assert_eq!(call(admin, "POST /healthcheck/ok"), 200);
    assert_eq!((readiness(&agent), call(admin, "GET /healthcheck")), (200, 200));
    let mut back = Client::to(&agent);
    let answer = back.ask(&request("read", 9000));
    assert_eq!((answer.status(), answer.header("Connection")), (200, None));
    assert_eq!(back.ask(&request("read", 9000)).status(), 200, "connections stay open again");
}

/// An agent that knows no server takes no clients; SIGTERM in a drain ends it as any other.
#[test]
fn sigterm_ends_a_drain() {
    let discovery = Discovery::new(String::new());
    let mut agent = Agent::start(&door(&config(discovery.address, "", SETTINGS, 1024)));
    let admin = agent.admin.expect("a door");
    assert_eq!((call(admin, "GET /healthcheck"), readiness(&agent)), (503, 503));
    assert_eq!(call(admin, "POST /healthcheck/fail"), 200);
    agent.terminate();
    assert_eq!(agent.ended(), Some(0));
}

/// The platform holds the socket and starts one process after another on it: who asks meanwhile is answered by one of them.
#[test]
fn a_new_process_takes_over_the_listening_socket() {
    let (backend, release) = Backend::gated();
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = config(discovery.address, &line, SETTINGS, 1024);
    let text = door(&text.replace("127.0.0.1:0", &listener.local_addr().unwrap().to_string()));
    let mut old = Agent::inheriting(&text, &listener);
    let mut busy = Client::to(&old);
    busy.write(&request("once", 9000));
    backend.heard.wait(1);
    let mut resting = Client::to(&old);
    assert_eq!(resting.ask(&request("read", 9000)).status(), 200);
    for round in 0..3 {
        let new = Agent::inheriting(&text, &listener);
        assert_eq!(call(new.admin.unwrap(), "GET /healthcheck"), 200);
        old.terminate();
        if round == 0 {
            // It has heard of its end; a connection that rests is answered once more within a second of that.
            while call(old.admin.unwrap(), "GET /healthcheck") == 200 {}
            let last = resting.ask(&request("read", 9000));
            assert_eq!((last.status(), last.header("Connection")), (200, Some("close")));
        }
        // Whoever accepts now, nobody is turned away at the door.
        for _ in 0..50 {
            assert_eq!(Client::to(&new).ask(&request("read", 9000)).status(), 200, "upgrade {round}");
        }
        if round == 0 {
            release.one();
            assert_eq!(busy.read().map(|m| m.status()), Some(200), "what was taken is answered");
        }
        assert_eq!(old.ended(), Some(0));
        old = new;
    }
    assert_eq!(Client::to(&old).ask(&request("read", 9000)).status(), 200);
}

/// One upgrade after the other while clients ask without a pause, on connections that they keep: each request is served,
/// and no connection ends under one.
#[test]
fn upgrades_under_load_end_no_request() {
    let backend = Backend::new(|_| ok("x"));
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let text = config(discovery.address, &line, SETTINGS, 1024);
    let text = door(&text.replace("127.0.0.1:0", &address.to_string()));
    let (over, served) = (AtomicBool::new(false), AtomicUsize::new(0));
    let ask_on = || {
        let mut kept = None;
        while !over.load(Ordering::Relaxed) {
            let mut client: Client = kept.take().unwrap_or_else(|| Client::at(address));
            client.write(&request("read", 9000));
            let answer = client.read().expect("no connection ends under a request");
            assert_eq!(answer.status(), 200);
            kept = (answer.header("Connection") != Some("close")).then_some(client);
            served.fetch_add(1, Ordering::Relaxed);
        }
    };
    std::thread::scope(|scope| {
        let mut old = Agent::inheriting(&text, &listener);
        let clients: Vec<_> = (0..4).map(|_| scope.spawn(ask_on)).collect();
        for _ in 0..5 {
            let new = Agent::inheriting(&text, &listener);
            while call(new.admin.unwrap(), "GET /healthcheck") != 200 {}
            // However fast the machine: each upgrade is one under load.
            let before = served.load(Ordering::Relaxed);
            while served.load(Ordering::Relaxed) < before + 40 && !clients.iter().any(|c| c.is_finished()) {
                std::thread::yield_now();
            }
            old.terminate();
            assert_eq!(old.ended(), Some(0));
            old = new;
        }
        over.store(true, Ordering::Relaxed);
        clients.into_iter().for_each(|client| client.join().expect("a client that was served"));
    });
}

/// Sockets that a process holds.
fn sockets(pid: u32) -> usize {
    let links = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap();
    let targets = links.filter_map(|l| std::fs::read_link(l.ok()?.path()).ok());
    targets.filter(|target| target.to_string_lossy().starts_with("socket:")).count()
}

/// In a crowd that fills whatever it may, two processes of one agent hold together what one may: 56 of 160 descriptors.
#[test]
fn two_processes_hold_no_more_clients_than_one_may() {
    const ONE_MAY: usize = (160 - 48) / 2;
    let backend = Backend::new(|_| ok("x"));
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let text = config(discovery.address, &line, SETTINGS, 160);
    let text = door(&text.replace("127.0.0.1:0", &address.to_string()));
    let mut old = Agent::inheriting(&text, &listener);
    while call(old.admin.unwrap(), "GET /healthcheck") != 200 {}
    let own = sockets(old.child.id());
    // Each keeps a seat with half a head; who loses it comes again.
    let over = AtomicBool::new(false);
    let crowd = || {
        while !over.load(Ordering::Relaxed) {
            let mut client = Client::at(address);
            client.write("GET /read HTTP/1.1\r\nHost: ");
            client.ends();
        }
    };
    let most = |agents: &[&Agent]| {
        let sum = || agents.iter().map(|agent| sockets(agent.child.id()).saturating_sub(own)).sum::<usize>();
        let begin = Instant::now();
        let mut most = 0;
        while begin.elapsed() < Duration::from_millis(1500) {
            most = most.max(sum());
        }
        most
    };
    std::thread::scope(|scope| {
        (0..150).for_each(|_| drop(scope.spawn(crowd)));
        let alone = most(&[&old]);
        let new = Agent::inheriting(&text, &listener);
        while call(new.admin.unwrap(), "GET /healthcheck") != 200 {}
        let both = most(&[&old, &new]);
        let of_new = most(&[&new]);
        old.terminate();
        assert_eq!(old.ended(), Some(0));
        let after = most(&[&new]);
        over.store(true, Ordering::Relaxed);
        drop((new, listener));
        // What a process asks for lists with comes and goes.
        const SOME: usize = 4;
        assert!(alone.abs_diff(ONE_MAY) < SOME, "alone {alone}");
        assert!(both.abs_diff(ONE_MAY) < 2 * SOME, "both together {both}");
        assert!(of_new > SOME && of_new < ONE_MAY - SOME, "the new one beside the old one {of_new}");
        assert!(after.abs_diff(ONE_MAY) < SOME, "the new one alone {after}");
    });
}

/// A process that can't decide yet leaves the queue to the one that can.
#[test]
fn a_new_process_without_a_list_takes_no_client_from_the_old_one() {
    let backend = Backend::new(|_| ok("x"));
    let line = serving("s", backend.address);
    let (discovery, empty) = (Discovery::new(line.clone()), Discovery::new(String::new()));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap().to_string();
    let old = config(discovery.address, &line, SETTINGS, 1024).replace("127.0.0.1:0", &at);
    let old = Agent::inheriting(&door(&old), &listener);
    let new = config(empty.address, "", SETTINGS, 1024).replace("127.0.0.1:0", &at);
    let new = Agent::inheriting(&door(&new), &listener);
    assert_eq!(call(new.admin.unwrap(), "GET /healthcheck"), 503);
    for _ in 0..50 {
        assert_eq!(Client::to(&old).ask(&request("read", 9000)).status(), 200);
    }
    empty.change(line);
    while call(new.admin.unwrap(), "GET /healthcheck") != 200 {}
}

#[test]
fn a_descriptor_that_is_no_such_socket_ends_the_start_with_one_line() {
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
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && said.contains("LB_LISTEN_FD") && said.contains(reason), "{said}");
        assert_eq!(said.lines().count(), 1, "{said}");
    }
}

/// An address for operators that is the clients', is none, or is taken ends the start with one line that says so.
#[test]
fn an_address_for_operators_that_cannot_be_used_ends_the_start() {
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
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && said.contains("admin") && said.contains(reason), "{said}");
        assert_eq!(said.lines().count(), 1, "{said}");
    }
}
