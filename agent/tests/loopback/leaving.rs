//! Clients that disconnect: no attempt begins for them after that.

use dilljunction_lab::standins::booking::Act;
use dilljunction_lab::standins::hand::*;
use std::io::Read;
use std::net::TcpStream;

/// A client with one request in the agent, whose connection to the server is still being established.
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

    /// Establishes the connection and sends a request of another client; returns the call ids of the first
    /// request that the server receives and of that other request.
    fn first_received(&mut self) -> (String, String) {
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

/// Counterpart to the tests below: the request of a client that stays connected is sent on the late
/// connection.
#[test]
fn a_client_that_stays_is_served_on_the_late_connection() {
    let mut waiting = Waiting::new("once");
    let mut stream = waiting.late.come_up();
    assert_eq!(call_id(&read_head(&mut stream)), call_id(&waiting.text));
}

#[test]
fn no_attempt_begins_for_a_client_that_disconnected_while_connecting() {
    for class in ["read", "once", "all"] {
        let mut waiting = Waiting::new(class);
        waiting.client.stream.shutdown(std::net::Shutdown::Both).unwrap();
        waiting.agent.catch_up();
        let (received, other) = waiting.first_received();
        assert_eq!(received, other, "{class}");
    }
}

/// A close is noticed even behind unread bytes that follow the request.
#[test]
fn a_close_behind_unread_bytes_is_noticed() {
    let mut waiting = Waiting::new("once");
    waiting.client.write("GET /read HTTP/1.1\r\n");
    waiting.agent.catch_up();
    waiting.client.write("X-Half: ");
    waiting.client.stream.shutdown(std::net::Shutdown::Both).unwrap();
    waiting.agent.catch_up();
    let (received, other) = waiting.first_received();
    assert_eq!(received, other);
}

/// A close is noticed behind a partial large request, of which the agent reads no more while its attempt is
/// connecting.
#[test]
fn a_close_behind_a_partial_large_request_is_noticed() {
    let late = LateBackend::default();
    let line = serving("s", late.address);
    let discovery = Discovery::new(line.clone());
    let settings = SETTINGS.replace(r#""connectTimeoutMs":2000"#, r#""connectTimeoutMs":20000"#);
    let agent = Agent::start(&config(discovery.address, &line, &settings, 1024));
    let (mut client, text) = (Client::to(&agent), request("once", 9000));
    client.write(&text.replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 9000000\r\n\r\n"));
    // More than the agent buffers for an attempt that has not begun, and no more than the socket buffers
    // hold.
    client.write(&"x".repeat(95_000));
    late.is_dialled();
    client.stream.shutdown(std::net::Shutdown::Both).unwrap();
    agent.catch_up();
    let mut waiting = Waiting { agent, _discovery: discovery, late, client, text };
    let (received, other) = waiting.first_received();
    assert_eq!(received, other);
}

/// A close is noticed behind a large request that does not fit into the buffers of the kernel, whole or in part:
/// the close arrives only once what lies before it has been read.
#[test]
fn a_close_behind_more_than_the_kernel_holds_is_noticed() {
    for (length, written) in [(400_000, 300_000), (300_000, 300_000)] {
        let late = LateBackend::default();
        let line = serving("s", late.address);
        let discovery = Discovery::new(line.clone());
        let settings = SETTINGS.replace(r#""connectTimeoutMs":2000"#, r#""connectTimeoutMs":20000"#);
        let agent = Agent::start(&config(discovery.address, &line, &settings, 1024));
        let (mut client, text) = (Client::to(&agent), request("once", 9000));
        socket2::SockRef::from(&client.stream).set_send_buffer_size(1 << 20).unwrap();
        let stated = format!("Content-Length: {length}\r\n\r\n");
        client.write(&text.replace("Content-Length: 4\r\n\r\nbody", &stated));
        client.write(&"x".repeat(written));
        late.is_dialled();
        client.stream.shutdown(std::net::Shutdown::Both).unwrap();
        // What is left of the time in which a client counts as connected after its close.
        std::thread::sleep(std::time::Duration::from_millis(100));
        agent.catch_up();
        let mut waiting = Waiting { agent, _discovery: discovery, late, client, text };
        let (received, other) = waiting.first_received();
        assert_eq!(received, other, "{written} of {length} bytes");
    }
}

/// A server that executes what has come whole, and the same request from its client once more: an unsafe
/// request whose client has left is not executed again under the same id.
#[test]
fn an_unsafe_id_of_a_client_that_left_is_not_sent_again() {
    let backend = Backend::new(|m| if m.path().starts_with("/once") { Act::Silence } else { ok("x") });
    let (agent, _discovery) = Agent::with(&[&backend]);
    let text = request("once", 1500);
    let mut client = Client::to(&agent);
    client.write(&text);
    backend.heard.wait(1);
    drop(client);
    // The attempt ends with the time of its request.
    backend.ended.wait(1);
    agent.catch_up();
    assert_eq!(Client::to(&agent).ask(&text).status(), 409);
    assert_eq!(backend.heard.all().len(), 1);
    let keyed = request("all", 9000);
    assert_eq!(Client::to(&agent).ask(&keyed).status(), 200);
    assert_eq!(Client::to(&agent).ask(&keyed).status(), 200, "its server recognizes a repeated key");
}
