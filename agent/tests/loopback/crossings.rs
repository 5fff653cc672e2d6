//! What comes between two lines of the program: a request, an answer or a signal in the very moment of another. Each is forced
//! by stopping the process, so that both have come when it goes on. The table is in `docs/design/crossings.md`.

use dilljunction_lab::standins::hand::*;
use std::io::Read;
use std::thread::sleep;
use std::time::Duration;

/// Longer than a stop lets connections rest, and shorter than any time in the settings. It passes while the process stands
/// still; what follows then is forced by the order of events, not by how long this is.
const PAST_THE_REST: Duration = Duration::from_millis(1200);

/// An agent with a raw server, and a client whose connection rests: its first request has been served.
fn resting(class: &str) -> (Agent, Discovery, RawBackend, RawConnection, Client) {
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

/// Nobody accepts any more once the process has come round to what a stop closes. Asked now and then: a storm of newcomers
/// would crowd out whoever has sent half a request.
fn accepts_no_more(agent: &Agent) {
    while std::net::TcpStream::connect(agent.address).is_ok() {
        sleep(Duration::from_millis(10));
    }
}

/// The request has come on a resting connection when the process finds that it is time to close that.
#[test]
fn a_request_that_crosses_the_close_of_a_stop_is_answered() {
    let (mut agent, _discovery, _backend, mut connection, mut client) = resting("once");
    agent.terminate();
    agent.catch_up();
    agent.freeze();
    client.write(&request("once", 9000));
    sleep(PAST_THE_REST);
    agent.thaw();
    connection.read().expect("it is sent on");
    connection.write(OK);
    let answer = client.read().expect("what had come is answered");
    assert_eq!((answer.status(), answer.header("Connection")), (200, Some("close")));
    assert_eq!(agent.ended(), Some(0));
}

/// Half of it has come then; the other half follows.
#[test]
fn half_a_request_that_crosses_the_close_of_a_stop_is_waited_for() {
    for cut in [1, 20, 200] {
        let (mut agent, _discovery, _backend, mut connection, mut client) = resting("once");
        let text = request("once", 9000);
        let (half, rest) = text.split_at(cut.min(text.len() - 1));
        agent.terminate();
        agent.catch_up();
        agent.freeze();
        client.write(half);
        sleep(PAST_THE_REST);
        agent.thaw();
        accepts_no_more(&agent);
        client.write(rest);
        connection.read().unwrap_or_else(|| panic!("cut at {cut}: it is sent on"));
        connection.write(OK);
        assert_eq!(client.read().map(|m| m.status()), Some(200), "cut at {cut}");
        assert_eq!(agent.ended(), Some(0));
    }
}

/// A client has connected while the process still accepts, which finds that it no longer does: the client can't know.
#[test]
fn a_connection_that_crosses_the_end_of_accepting_is_served() {
    let (mut agent, _discovery, _backend, mut connection, _client) = resting("once");
    agent.terminate();
    agent.catch_up();
    agent.freeze();
    let mut newcomers: Vec<Client> = (0..5).map(|_| Client::to(&agent)).collect();
    newcomers.iter_mut().for_each(|client| client.write(&request("read", 9000)));
    sleep(PAST_THE_REST);
    agent.thaw();
    let line = connection.read().expect("one is sent on").line;
    assert!(line.starts_with("GET"), "{line}");
    drop(connection);
    drop(_backend);
    for client in &mut newcomers {
        assert!(client.read().is_some(), "each has an answer");
    }
    assert_eq!(agent.ended(), Some(0));
}

/// The same where the first half came before the stop.
#[test]
fn a_stop_between_the_first_and_the_last_byte_of_a_request_waits_for_the_last() {
    for cut in [1, 20, 200] {
        let (mut agent, _discovery, _backend, mut connection, mut client) = resting("once");
        let text = request("once", 9000);
        let (half, rest) = text.split_at(cut.min(text.len() - 1));
        client.write(half);
        agent.catch_up();
        agent.terminate();
        accepts_no_more(&agent);
        client.write(rest);
        connection.read().unwrap_or_else(|| panic!("cut at {cut}: it is sent on"));
        connection.write(OK);
        assert_eq!(client.read().map(|m| m.status()), Some(200), "cut at {cut}");
        assert_eq!(agent.ended(), Some(0));
    }
}

/// A stop that comes twice, and a SIGHUP before, between and after, in one moment: what was taken is answered.
#[test]
fn signals_that_cross_cost_no_request() {
    let (mut agent, _discovery, _backend, mut connection, mut client) = resting("once");
    client.write(&request("once", 9000));
    connection.read().expect("it is sent on");
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

/// A server has closed a resting connection in the moment in which a request is taken for it: it never ran there.
#[test]
fn an_idle_close_that_crosses_a_send_never_ran() {
    for reset in [false, true] {
        let (agent, _discovery, backend, connection, mut client) = resting("once");
        agent.freeze();
        if reset {
            connection.reset();
        } else {
            drop(connection);
        }
        client.write(&request("once", 9000));
        agent.thaw();
        let mut next = backend.accept();
        next.read().expect("it is sent on a new connection");
        next.write(OK);
        assert_eq!(client.read().map(|m| m.status()), Some(200), "reset: {reset}");
    }
}

/// The server closes once the request has come: it may have run, and what must not run twice is not sent again.
#[test]
fn a_close_behind_a_send_may_have_run() {
    for reset in [false, true] {
        let (agent, _discovery, backend, mut connection, mut client) = resting("once");
        client.write(&request("once", 9000));
        connection.read().expect("it is sent on");
        if reset {
            connection.reset();
        } else {
            drop(connection);
        }
        assert_eq!(client.read().map(|m| m.status()), Some(502), "reset: {reset}");
        // The next request on a new connection is the next that any server hears.
        let next = request("read", 9000);
        client = Client::to(&agent);
        client.write(&next);
        assert!(backend.accept().read().expect("the next").line.starts_with("GET"));
    }
}

/// Half a line of an answer stands on a resting connection when that is taken for a request: it answers nothing.
#[test]
fn half_a_line_that_crosses_a_send_answers_nothing() {
    for half in ["H", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"] {
        let (agent, _discovery, backend, mut connection, mut client) = resting("once");
        agent.freeze();
        connection.write(half);
        client.write(&request("once", 9000));
        agent.thaw();
        let mut next = backend.accept();
        next.read().expect("it is sent on a new connection");
        next.write(OK);
        let answer = client.read().expect("an answer");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, "ok".as_bytes()), "{half}");
    }
}

/// An answer that does not say how long it is ends with its connection, and a reset is no end.
#[test]
fn an_answer_without_length_that_is_reset_is_none() {
    for (body, ends, status) in [("short", true, Some(200)), ("short", false, Some(502))] {
        let (_agent, _discovery, _backend, mut connection, mut client) = resting("once");
        client.write(&request("once", 9000));
        connection.read().expect("it is sent on");
        connection.write(&format!("HTTP/1.1 200 OK\r\n\r\n{body}"));
        if ends {
            drop(connection);
        } else {
            connection.reset();
        }
        assert_eq!(client.read().map(|m| m.status()), status, "ends: {ends}");
    }
}

/// One of which the client has had a part already: that it is not whole can be seen.
#[test]
fn a_long_answer_without_length_that_is_reset_is_seen_to_be_broken() {
    for ends in [true, false] {
        let (_agent, _discovery, _backend, mut connection, mut client) = resting("once");
        client.write(&request("once", 9000));
        connection.read().expect("it is sent on");
        connection.write(&format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(100_000)));
        let mut read = Vec::new();
        let mut buffer = [0; 4096];
        while read.len() < 50_000 {
            let n = client.stream.read(&mut buffer).expect("what has come is passed on");
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
                    assert_ne!(e.kind(), std::io::ErrorKind::WouldBlock, "it neither goes on nor ends");
                    break;
                }
            }
            if read.ends_with(b"\r\n0\r\n\r\n") {
                break;
            }
        }
        assert_eq!(read.ends_with(b"\r\n0\r\n\r\n"), ends, "a chunk without bytes ends it");
    }
}

/// A server drains while the connection to it is on its way: nothing new begins there.
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

/// A repeat is decided on while its key is known, and its connection comes up when that is over: it would run twice.
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
    // The other server is listed now, and the first one breaks: the repeat goes there.
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
    // The next that is heard on it is another request.
    let line = connection.read().expect("a request").line;
    assert!(line.starts_with("GET"), "{line}");
}
