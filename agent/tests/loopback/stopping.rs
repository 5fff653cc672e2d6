//! SIGTERM: what has been taken is answered, newcomers are served for a while, and the end is clean.

use dilljunction_lab::standins::booking::Act;
use dilljunction_lab::standins::hand::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// A client that has connected before the listener closed may ask after that: it has nowhere else to turn.
#[test]
fn a_connection_without_a_request_yet_outlives_the_listener() {
    let (backend, release) = Backend::gated();
    let (mut agent, _discovery) = Agent::with(&[&backend]);
    let mut busy = Client::to(&agent);
    busy.write(&request("once", 9000));
    backend.heard.wait(1);
    let mut idle = Client::to(&agent);
    assert_eq!(idle.ask(&request("read", 9000)).status(), 200);
    let mut new = Client::to(&agent);
    agent.terminate();
    // Idle connections are closed once the listener is; the pause lets whatever goes with them happen as well.
    assert!(idle.read().is_none());
    std::thread::sleep(std::time::Duration::from_millis(100));
    assert!(std::net::TcpStream::connect(agent.address).is_err());
    assert_eq!(new.ask(&request("read", 9000)).status(), 200);
    assert!(new.read().is_none(), "and is closed after its answer");
    release.one();
    assert_eq!(busy.read().map(|m| m.status()), Some(200));
    assert_eq!(agent.ended(), Some(0));
}

#[test]
fn sigterm_finishes_what_was_taken_and_serves_newcomers() {
    let (backend, release) = Backend::gated();
    let (mut agent, _discovery) = Agent::with(&[&backend]);
    let mut idle = Client::to(&agent);
    assert_eq!(idle.ask(&request("read", 9000)).status(), 200);
    let mut busy = Client::to(&agent);
    busy.write(&request("once", 9000));
    backend.heard.wait(2);
    agent.terminate();
    // Signals are seen in order with what comes after; a newcomer is answered and told to close.
    let closing = loop {
        let answer = Client::to(&agent).ask(&request("read", 9000));
        assert_eq!(answer.status(), 200);
        if answer.header("Connection") == Some("close") {
            break true;
        }
    };
    assert!(closing);
    // A connection that was idle at the signal may still be used.
    let answer = idle.ask(&request("read", 9000));
    assert_eq!((answer.status(), answer.header("Connection")), (200, Some("close")));
    release.one();
    let answer = busy.read().expect("what was taken is answered");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, "done".as_bytes()));
    assert_eq!(agent.ended(), Some(0));
}

/// What comes on an open connection after SIGTERM may have more time than the process has left; it is answered all the
/// same, and no connection ends with an answer owed.
#[test]
fn what_is_asked_late_in_a_stop_has_its_answer_before_the_end() {
    let (backend, _release) = Backend::gated();
    let settings = SETTINGS.replace(r#""deadlineMs":10000"#, r#""deadlineMs":3000"#);
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let mut agent = Agent::start(&config(discovery.address, &line, &settings, 1024));
    let mut busy = Client::to(&agent);
    busy.write(&request("once", 3000));
    backend.heard.wait(1);
    let mut idle = Client::to(&agent);
    assert_eq!(idle.ask(&request("read", 3000)).status(), 200);
    let mut late = Client::to(&agent);
    agent.terminate();
    // Idle connections are closed with the listener, half a second after the signal.
    assert!(idle.read().is_none());
    late.write(&request("once", 3000));
    assert!(busy.read().is_some(), "what was taken before");
    assert!(late.read().is_some(), "what came on a connection that was open still");
    assert_eq!(agent.ended(), Some(0));
}

/// The platform kills a process no sooner than this after SIGTERM: the longest deadline, 3 s of it at the most, and 0.7 s.
const KILL_LONG: Duration = Duration::from_millis(3_700);

/// All four classes with this deadline.
fn settings_with_deadline(milliseconds: u64) -> String {
    SETTINGS.replace(r#""deadlineMs":10000"#, &format!(r#""deadlineMs":{milliseconds}"#))
}

/// Waits for SIGKILL's moment, as the platform counts it from SIGTERM, and kills the process unless it has ended.
fn kill_after(agent: &mut Agent, terminated: Instant, after: Duration) {
    while terminated.elapsed() < after {
        if agent.child.try_wait().expect("its process").is_some() {
            return;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    let _ = agent.child.kill();
}

/// The names of the four classes.
const CLASSES: [&str; 4] = ["read", "once", "zoned", "all"];

/// Whose listening socket it is, and so whether a process that is told to end stops or hands over.
#[derive(Clone, Copy, Debug)]
enum Socket {
    Own,
    Inherited,
}

/// An agent whose servers never answer, one for each class, with this deadline for all classes.
fn agent_before_hanging_servers(deadline_ms: u64, socket: Socket) -> (Agent, Vec<Backend>, Discovery) {
    let backends: Vec<Backend> = CLASSES.iter().map(|_| Backend::new(|_| Act::Silence)).collect();
    let lines: Vec<String> =
        backends.iter().enumerate().map(|(n, backend)| serving(&format!("s{n}"), backend.address)).collect();
    let discovery = Discovery::new(lines.join(","));
    let settings = settings_with_deadline(deadline_ms);
    let text = config(discovery.address, &lines.join(","), &settings, 1024);
    let agent = match socket {
        Socket::Own => Agent::start(&text),
        Socket::Inherited => {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let address = listener.local_addr().expect("an address").to_string();
            Agent::inheriting(&text.replace("127.0.0.1:0", &address), &listener)
        }
    };
    (agent, backends, discovery)
}

/// Waits until so many requests have come to the servers together.
fn wait_for_requests(backends: &[Backend], count: usize) {
    let start = Instant::now();
    while backends.iter().map(|backend| backend.heard.all().len()).sum::<usize>() < count {
        assert!(start.elapsed() < BOUND, "requests do not come to the servers");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// The incident: a class may be waited for longer than the 3 s that the platform counts at the most, a server hangs, and the
/// request comes on a connection that was open when the process was told to end.
#[test]
fn a_class_with_a_deadline_beyond_the_kill_is_answered_before_it() {
    for socket in [Socket::Own, Socket::Inherited] {
        let (mut agent, backends, _discovery) = agent_before_hanging_servers(4_047, socket);
        let mut late = CLASSES.map(|class| (class, Client::to(&agent)));
        agent.catch_up();
        agent.terminate();
        let terminated = Instant::now();
        // The listener has closed and the resting connections with it: these have not been used.
        std::thread::sleep(Duration::from_millis(700));
        for (class, client) in &mut late {
            client.write(&request(class, 4_047));
        }
        wait_for_requests(&backends, CLASSES.len());
        kill_after(&mut agent, terminated, KILL_LONG);
        for (class, client) in &mut late {
            let answer = client.read();
            assert!(
                answer.is_some(),
                "{class}, {socket:?}: forwarded 0.7 s after SIGTERM, no answer at the kill"
            );
        }
    }
}

/// What was taken just before SIGTERM has to be answered before the kill as well, and the process ends by itself.
#[test]
fn what_was_taken_before_the_signal_is_answered_before_the_kill() {
    for socket in [Socket::Own, Socket::Inherited] {
        let (mut agent, backends, _discovery) = agent_before_hanging_servers(10_000, socket);
        let mut busy = CLASSES.map(|class| (class, Client::to(&agent)));
        for (class, client) in &mut busy {
            client.write(&request(class, 9_000));
        }
        wait_for_requests(&backends, CLASSES.len());
        agent.terminate();
        kill_after(&mut agent, Instant::now(), KILL_LONG);
        for (class, client) in &mut busy {
            assert!(
                client.read().is_some(),
                "{class}, {socket:?}: taken before SIGTERM, no answer at the kill"
            );
        }
        assert_eq!(agent.ended(), Some(0), "{socket:?}: by itself");
    }
}

/// The last byte of a long request is in the agent's machine while its server takes nothing of it: it was taken, and has to be
/// answered before the kill.
#[test]
fn a_long_request_that_its_server_does_not_take_is_answered_before_the_kill() {
    let server = RawBackend::default();
    let line = serving("s", server.address);
    let discovery = Discovery::new(line.clone());
    let settings = settings_with_deadline(4_047);
    let mut agent = Agent::start(&config(discovery.address, &line, &settings, 1024));
    let mut busy = Client::to(&agent);
    let body = "x".repeat(16 << 20);
    let head = format!("Content-Length: {}\r\n\r\n", body.len());
    let text = request("once", 4_047).replace("Content-Length: 4\r\n\r\nbody", &head) + &body;
    let mut writer = busy.stream.try_clone().expect("a socket");
    std::thread::spawn(move || std::io::Write::write_all(&mut writer, text.as_bytes()));
    let held = server.accept();
    agent.terminate();
    kill_after(&mut agent, Instant::now(), KILL_LONG);
    assert!(busy.read().is_some(), "no answer at the kill");
    drop(held);
}
