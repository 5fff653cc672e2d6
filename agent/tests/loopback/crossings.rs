//! Races: a request, an answer or a signal arrives at the same moment as another one. Each race is forced by
//! stopping the process until both have arrived. The table of all races is in `docs/design/crossings.md`.

use dilljunction_lab::standins::hand::*;
use std::io::Read;
use std::thread::sleep;
use std::time::Duration;

/// Longer than idle connections are kept in a shutdown, and shorter than any time in the settings. It passes
/// while the process is stopped; what follows is determined by the order of events, not by this duration.
const PAST_IDLE_TIME: Duration = Duration::from_millis(1200);

/// An agent with a raw server, and a client with an idle connection: its first request has been served.
fn with_idle_connection(class: &str) -> (Agent, Discovery, RawBackend, RawConnection, Client) {
    let backend = RawBackend::default();
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let agent = Agent::start(&config(discovery.address, &line, SETTINGS, 1024));
    let mut client = Client::to(&agent);
    client.write(&request(class, 9000));
    let mut connection = backend.accept();
    connection.read().expect("the first request");
    connection.write(OK);
    assert_eq!(client.read().map(|m| m.status()), Some(200));
    (agent, discovery, backend, connection, client)
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Waits until the agent accepts no more connections, so that it has closed what a shutdown closes. The
/// pauses matter: a flood of new connections would evict the one that has sent half a request.
fn wait_until_not_accepting(agent: &Agent) {
    while std::net::TcpStream::connect(agent.address).is_ok() {
        sleep(Duration::from_millis(10));
    }
}

/// A request has arrived on an idle connection when the process is about to close that connection.
#[test]
fn a_request_that_crosses_the_close_of_a_stop_is_answered() {
    let (mut agent, _discovery, _backend, mut connection, mut client) = with_idle_connection("once");
    agent.terminate();
    agent.catch_up();
    agent.freeze();
    client.write(&request("once", 9000));
    sleep(PAST_IDLE_TIME);
    agent.thaw();
    connection.read().expect("the request is forwarded");
    connection.write(OK);
    let answer = client.read().expect("the request that had arrived is answered");
    assert_eq!((answer.status(), answer.header("Connection")), (200, Some("close")));
    assert_eq!(agent.ended(), Some(0));
}

/// Only a part of the request has arrived by then; the rest follows.
#[test]
fn half_a_request_that_crosses_the_close_of_a_stop_is_waited_for() {
    for cut in [1, 20, 200] {
        let (mut agent, _discovery, _backend, mut connection, mut client) = with_idle_connection("once");
        let text = request("once", 9000);
        let (half, rest) = text.split_at(cut.min(text.len() - 1));
        agent.terminate();
        agent.catch_up();
        agent.freeze();
        client.write(half);
        sleep(PAST_IDLE_TIME);
        agent.thaw();
        wait_until_not_accepting(&agent);
        client.write(rest);
        connection.read().unwrap_or_else(|| panic!("cut at {cut}: the request is forwarded"));
        connection.write(OK);
        assert_eq!(client.read().map(|m| m.status()), Some(200), "cut at {cut}");
        assert_eq!(agent.ended(), Some(0));
    }
}

/// Clients connected before the process stopped accepting, but the process notices them only after that. The
/// clients can't know, so they must be served.
#[test]
fn a_connection_that_crosses_the_end_of_accepting_is_served() {
    let (mut agent, _discovery, _backend, mut connection, _client) = with_idle_connection("once");
    agent.terminate();
    agent.catch_up();
    agent.freeze();
    let mut newcomers: Vec<Client> = (0..5).map(|_| Client::to(&agent)).collect();
    newcomers.iter_mut().for_each(|client| client.write(&request("read", 9000)));
    sleep(PAST_IDLE_TIME);
    agent.thaw();
    let line = connection.read().expect("one request is forwarded").line;
    assert!(line.starts_with("GET"), "{line}");
    drop(connection);
    drop(_backend);
    for client in &mut newcomers {
        assert!(client.read().is_some(), "each is answered");
    }
    assert_eq!(agent.ended(), Some(0));
}

/// The same race, with the first part of the request before the shutdown.
#[test]
fn a_stop_between_the_first_and_the_last_byte_of_a_request_waits_for_the_last() {
    for cut in [1, 20, 200] {
        let (mut agent, _discovery, _backend, mut connection, mut client) = with_idle_connection("once");
        let text = request("once", 9000);
        let (half, rest) = text.split_at(cut.min(text.len() - 1));
        client.write(half);
        agent.catch_up();
        agent.terminate();
        wait_until_not_accepting(&agent);
        client.write(rest);
        connection.read().unwrap_or_else(|| panic!("cut at {cut}: the request is forwarded"));
        connection.write(OK);
        assert_eq!(client.read().map(|m| m.status()), Some(200), "cut at {cut}");
        assert_eq!(agent.ended(), Some(0));
    }
}

/// SIGTERM arrives twice, with SIGHUP before, between and after, all at the same moment: admitted requests
/// are answered.
#[test]
fn signals_that_cross_cost_no_request() {
    let (mut agent, _discovery, _backend, mut connection, mut client) = with_idle_connection("once");
    client.write(&request("once", 9000));
    connection.read().expect("the request is forwarded");
    agent.freeze();
    agent.hang_up();
    agent.terminate();
    agent.hang_up();
    agent.terminate();
    agent.thaw();
    agent.catch_up();
    agent.terminate();
    agent.hang_up();
    connection.write(OK);
    assert_eq!(client.read().map(|m| m.status()), Some(200));
    assert_eq!(agent.ended(), Some(0));
}

/// The server closed an idle connection at the moment when a request is about to be sent on it: the request
/// never ran there and is sent again.
#[test]
fn an_idle_close_that_crosses_a_send_never_ran() {
    for reset in [false, true] {
        let (agent, _discovery, backend, connection, mut client) = with_idle_connection("once");
        agent.freeze();
        connection.end(reset);
        client.write(&request("once", 9000));
        agent.thaw();
        let mut next = backend.accept();
        next.read().expect("the request is sent on a new connection");
        next.write(OK);
        assert_eq!(client.read().map(|m| m.status()), Some(200), "reset: {reset}");
    }
}

/// The server closes after it received the request: it may have run, and a request that must not run twice is
/// not sent again.
#[test]
fn a_close_behind_a_send_may_have_run() {
    for reset in [false, true] {
        let (agent, _discovery, backend, mut connection, mut client) = with_idle_connection("once");
        client.write(&request("once", 9000));
        connection.read().expect("the request is forwarded");
        if reset {
            connection.reset();
        } else {
            drop(connection);
        }
        assert_eq!(client.read().map(|m| m.status()), Some(502), "reset: {reset}");
        // The next request that any server receives is the next one of the client.
        let next = request("read", 9000);
        client = Client::to(&agent);
        client.write(&next);
        assert!(backend.accept().read().expect("the next").line.starts_with("GET"));
    }
}

/// Part of an answer has arrived on an idle connection when a request is about to be sent on it: it must not
/// become the answer to that request.
#[test]
fn half_a_line_that_crosses_a_send_answers_nothing() {
    for half in ["H", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"] {
        let (agent, _discovery, backend, mut connection, mut client) = with_idle_connection("once");
        agent.freeze();
        connection.write(half);
        client.write(&request("once", 9000));
        agent.thaw();
        let mut next = backend.accept();
        next.read().expect("the request is sent on a new connection");
        next.write(OK);
        let answer = client.read().expect("an answer");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, "ok".as_bytes()), "{half}");
    }
}

/// An answer without a length ends with its connection, and a reset is not a valid end.
#[test]
fn an_answer_without_length_that_is_reset_is_none() {
    for (body, ends, status) in [("short", true, Some(200)), ("short", false, Some(502))] {
        let (_agent, _discovery, _backend, mut connection, mut client) = with_idle_connection("once");
        client.write(&request("once", 9000));
        connection.read().expect("the request is forwarded");
        connection.write(&format!("HTTP/1.1 200 OK\r\n\r\n{body}"));
        if ends {
            drop(connection);
        } else {
            connection.reset();
        }
        assert_eq!(client.read().map(|m| m.status()), status, "ends: {ends}");
    }
}

/// The client has already received a part of such an answer: it must be able to see that the answer is
/// incomplete.
#[test]
fn a_long_answer_without_length_that_is_reset_is_seen_to_be_broken() {
    for ends in [true, false] {
        let (_agent, _discovery, _backend, mut connection, mut client) = with_idle_connection("once");
        client.write(&request("once", 9000));
        connection.read().expect("the request is forwarded");
        connection.write(&format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(100_000)));
        let mut read = Vec::new();
        let mut buffer = [0; 4096];
        while read.len() < 50_000 {
            let n = client.stream.read(&mut buffer).expect("the received part is passed on");
            read.extend_from_slice(&buffer[..n]);
        }
        if ends {
            drop(connection);
        } else {
            connection.reset();
        }
        loop {
            match client.stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(n) => read.extend_from_slice(&buffer[..n]),
                Err(e) => {
                    assert_ne!(
                        e.kind(),
                        std::io::ErrorKind::WouldBlock,
                        "the answer neither continues nor ends"
                    );
                    break;
                }
            }
            if read.ends_with(b"\r\n0\r\n\r\n") {
                break;
            }
        }
        assert_eq!(read.ends_with(b"\r\n0\r\n\r\n"), ends, "an empty chunk ends the answer");
    }
}

/// A server begins to drain while a connection to it is being established: no attempt begins there.
#[test]
fn a_drain_that_crosses_a_dial_is_kept() {
    let (mut late, other) = (LateBackend::default(), Backend::new(|_| ok("other")));
    let line = serving("late", late.address);
    let list = Discovery::new(line.clone());
    let settings = SETTINGS.replace(r#""connectTimeoutMs":2000"#, r#""connectTimeoutMs":20000"#);
    let agent = Agent::start(&config(list.address, &line, &settings, 1024));
    list.asked.wait(2);
    let mut client = Client::to(&agent);
    client.write(&request("once", 9000));
    late.is_dialled();
    list.change([target("late", late.address, "DRAINING", 0), serving("other", other.address)].join(","));
    list.asked.wait(3);
    let mut connection = RawConnection::new(late.come_up());
    assert_eq!(client.read().map(|m| m.body), Some("other".into()));
    assert!(connection.read().is_none(), "its connection is closed unused");
}

/// A retry is decided on within the deduplication window, but its connection is established only after the
/// window: the request could run twice.
#[test]
fn a_repeat_whose_connection_outlasts_its_key_is_not_sent() {
    let (first, mut late) = (RawBackend::default(), LateBackend::default());
    let lines = [serving("first", first.address), serving("late", late.address)].join(",");
    let list = Discovery::new(serving("first", first.address));
    let settings = SETTINGS.replace(r#""connectTimeoutMs":2000"#, r#""connectTimeoutMs":20000"#);
    let settings = settings.replace(r#""dedupWindowMs":60000"#, r#""dedupWindowMs":500"#);
    let agent = Agent::start(&config(list.address, &serving("first", first.address), &settings, 1024));
    list.asked.wait(2);
    let mut client = Client::to(&agent);
    client.write(&request("all", 9000));
    let mut connection = first.accept();
    connection.read().expect("the first attempt");
    // The other server is listed now, and the first one resets its connection: the retry goes to the other.
    list.change(lines);
    list.asked.wait(3);
    connection.reset();
    late.is_dialled();
    let mut connection = RawConnection::new(late.come_up());
    assert_eq!(client.read().map(|m| m.status()), Some(503), "it would be harmless to repeat in its time");
    list.change(serving("late", late.address));
    list.asked.wait(4);
    let mut other = Client::to(&agent);
    other.write(&request("read", 9000));
    // The next request that the server receives is another one.
    let line = connection.read().expect("a request").line;
    assert!(line.starts_with("GET"), "{line}");
}
