//! Clients that leave: what has not begun for them by then never does.

use dilljunction_lab::standins::hand::*;
use std::io::Read;
use std::net::TcpStream;

/// A client that asks once while its server's connection is on its way.
struct Waiting {
    agent: Agent,
    _discovery: Discovery,
    late: LateBackend,
    client: Client,
    text: String,
}

impl Waiting {
    fn new(class: &str) -> Waiting {
        let late = LateBackend::default();
        let line = serving("s", late.address);
        let discovery = Discovery::new(line.clone());
        let settings = SETTINGS.replace(r#""connectTimeoutMs":2000"#, r#""connectTimeoutMs":20000"#);
        let agent = Agent::start(&config(discovery.address, &line, &settings, 1024));
        let (mut client, text) = (Client::to(&agent), request(class, 9000));
        client.write(&text);
        late.is_dialled();
        Waiting { agent, _discovery: discovery, late, client, text }
    }

    /// The connection comes up, and another client asks: the first request that is heard on it.
    fn first_heard(&mut self) -> (String, String) {
        let mut stream = self.late.come_up();
        let (mut other, text) = (Client::to(&self.agent), request("read", 9000));
        other.write(&text);
        (call_id(&read_head(&mut stream)), call_id(&text))
    }
}

fn read_head(stream: &mut TcpStream) -> String {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        assert_eq!(stream.read(&mut byte).expect("a request"), 1, "the agent has closed");
        head.extend(byte);
    }
    String::from_utf8(head).unwrap()
}

fn call_id(text: &str) -> String {
    let lower = text.to_ascii_lowercase();
    lower.split("x-call-id: ").nth(1).unwrap().split("\r\n").next().unwrap().to_string()
}

/// Guard: whoever stays is served by the connection that comes late.
#[test]
fn a_client_that_stays_is_served_late() {
    let mut waiting = Waiting::new("once");
    let mut stream = waiting.late.come_up();
    assert_eq!(call_id(&read_head(&mut stream)), call_id(&waiting.text));
}

#[test]
fn nothing_begins_for_a_client_that_left_while_its_attempt_dialled() {
    for class in ["read", "once", "all"] {
        let mut waiting = Waiting::new(class);
        waiting.client.stream.shutdown(std::net::Shutdown::Both).unwrap();
        waiting.agent.catch_up();
        let (heard, other) = waiting.first_heard();
        assert_eq!(heard, other, "{class}");
    }
}

/// Bytes behind a request stand where nobody reads them, and the close stands behind those.
#[test]
fn a_close_behind_bytes_that_nobody_reads_is_seen() {
    let mut waiting = Waiting::new("once");
    waiting.client.write("GET /read HTTP/1.1\r\n");
    waiting.agent.catch_up();
    waiting.client.write("X-Half: ");
    waiting.client.stream.shutdown(std::net::Shutdown::Both).unwrap();
    waiting.agent.catch_up();
    let (heard, other) = waiting.first_heard();
    assert_eq!(heard, other);
}

/// Half of a long request, of which nobody takes more while its attempt dials.
#[test]
fn a_close_behind_half_a_long_request_is_seen() {
    let late = LateBackend::default();
    let line = serving("s", late.address);
    let discovery = Discovery::new(line.clone());
    let settings = SETTINGS.replace(r#""connectTimeoutMs":2000"#, r#""connectTimeoutMs":20000"#);
    let agent = Agent::start(&config(discovery.address, &line, &settings, 1024));
    let (mut client, text) = (Client::to(&agent), request("once", 9000));
    client.write(&text.replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 9000000\r\n\r\n"));
    // More than the agent keeps for an attempt that has not begun, and no more than the machine takes.
    client.write(&"x".repeat(95_000));
    late.is_dialled();
    client.stream.shutdown(std::net::Shutdown::Both).unwrap();
    agent.catch_up();
    let mut waiting = Waiting { agent, _discovery: discovery, late, client, text };
    let (heard, other) = waiting.first_heard();
    assert_eq!(heard, other);
}
