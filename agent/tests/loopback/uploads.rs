//! Long requests: forwarded as they arrive, unchanged. An incomplete one is never executed, and none is sent
//! twice.

use dilljunction_lab::standins::booking::Act;
use dilljunction_lab::standins::hand::*;
use std::io::{Read, Write};

/// Text in which no two places look alike.
fn text(length: usize) -> String {
    (0..length).map(|i| char::from(b'a' + (i.wrapping_mul(2_654_435_761) >> 16) as u8 % 26)).collect()
}

/// A request of the class `once` with this body.
fn stated(body: &str) -> String {
    let head = format!("Content-Length: {}\r\n\r\n", body.len());
    request("once", 9000).replace("Content-Length: 4\r\n\r\nbody", &head) + body
}

fn chunked(body: &str) -> String {
    let mut all =
        request("once", 9000).replace("Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n");
    for chunk in body.as_bytes().chunks(9000) {
        all += &format!("{:x};a=b\r\n{}\r\n", chunk.len(), std::str::from_utf8(chunk).unwrap());
    }
    all + "0\r\nX-Sum: 1\r\n\r\n"
}

#[test]
fn long_requests_arrive_unchanged_in_every_framing() {
    let backend = Backend::new(|_| ok("done"));
    let (agent, _discovery) = Agent::with(&[&backend]);
    let mut client = Client::to(&agent);
    let mut expected = Vec::new();
    for length in [65_535, 65_536, 65_537, 300_000, 3_000_000] {
        let body = text(length);
        for text in [stated(&body), chunked(&body)] {
            let answer = client.ask(&text);
            assert_eq!((answer.status(), answer.body.as_slice()), (200, "done".as_bytes()), "{length}");
            expected.push(body.clone());
        }
    }
    let heard = backend.heard.all();
    assert_eq!(heard.len(), expected.len(), "each once");
    for (message, body) in heard.iter().zip(expected) {
        assert!(message.body == body.as_bytes(), "{} of {} bytes", message.body.len(), body.len());
    }
}

/// A client that sends `Expect: 100-continue` gets a 100 answer.
#[test]
fn a_client_that_expects_100_continue_gets_it() {
    let backend = Backend::new(|_| ok("done"));
    let (agent, _discovery) = Agent::with(&[&backend]);
    let text = stated(&text(100_000)).replace("Host:", "Expect: 100-continue\r\nHost:");
    let (head, body) = text.split_at(text.find("\r\n\r\n").unwrap() + 4);
    let mut client = Client::to(&agent);
    client.write(head);
    assert_eq!(client.read().map(|m| m.status()), Some(100));
    assert_eq!(client.ask(body).status(), 200);
}

/// The client disconnects, stops sending or sends more than it stated: the server never gets a complete
/// request, and no other server is tried.
#[test]
fn an_incomplete_long_request_is_never_executed() {
    let backend = Backend::new(|_| ok("done"));
    let (agent, _discovery) = Agent::with(&[&backend]);
    let whole = stated(&text(300_000));
    let mut gone = Client::to(&agent);
    gone.write(&whole[..200_000]);
    backend.opened.wait(1);
    // The attempt begins on its new connection; it would not for a client that has left.
    agent.catch_up();
    drop(gone);
    backend.ended.wait(1);
    let mut silent = Client::to(&agent);
    silent.write(&whole[..70_000]);
    assert_eq!(silent.read().map(|m| m.status()), Some(408));
    let mut more = Client::to(&agent);
    let _ = more.stream.write_all((whole.clone() + "GET /hidden HTTP/1.1\r\n\r\n").as_bytes());
    assert_eq!(more.read().map(|m| m.status()), Some(400));
    let broken = chunked(&text(200_000)).replace("2328;a=b", "zzz");
    let mut client = Client::to(&agent);
    let _ = client.stream.write_all(broken.as_bytes());
    assert!(client.read().is_none_or(|m| m.status() == 400));
    assert_eq!(backend.heard.all().len(), 0);
    assert_eq!(Client::to(&agent).ask(&request("read", 9000)).status(), 200, "the agent still serves");
}

#[test]
fn a_request_over_32_mb_is_rejected() {
    let backend = Backend::new(|_| ok("done"));
    let (agent, _discovery) = Agent::with(&[&backend]);
    let head = stated("").replace("Content-Length: 0", "Content-Length: 33554433");
    assert_eq!(Client::to(&agent).ask(&head).status(), 413, "by its head alone");
    let mut client = Client::to(&agent);
    let chunk = format!("100000\r\n{}\r\n", "x".repeat(1 << 20));
    let head = head.replace("Content-Length: 33554433", "Transfer-Encoding: chunked");
    let _ = client.stream.write_all(head.as_bytes());
    let mut sent = 0;
    while sent < 40 && client.stream.write_all(chunk.as_bytes()).is_ok() {
        sent += 1;
    }
    assert!(client.read().is_none_or(|m| m.status() == 413));
    assert_eq!(backend.heard.all().len(), 0);
}

/// Guards against a server that executes the first part of a long request whose chunks end early.
#[test]
fn a_long_chunked_request_with_more_behind_its_end_is_never_executed() {
    let backend = Backend::new(|_| ok("done"));
    let (agent, _discovery) = Agent::with(&[&backend]);
    let whole = chunked(&text(300_000));
    for more in ["x", "5\r\nagain\r\n0\r\n\r\n"] {
        let mut client = Client::to(&agent);
        let _ = client.stream.write_all((whole.clone() + more).as_bytes());
        assert_eq!(client.read().map(|m| m.status()), Some(400), "{more}");
    }
    assert_eq!(backend.heard.all().len(), 0);
    assert_eq!(Client::to(&agent).ask(&whole).status(), 200, "it is served without them");
}

/// A request that was sent to a server that fails can't be sent to another, whatever its class allows. A
/// server that could not be reached received nothing.
#[test]
fn a_long_request_is_sent_to_one_server_only() {
    let broken = Backend::new(|_| Act::Last(String::new()));
    let other = Backend::new(|_| ok("done"));
    let (agent, _discovery) = Agent::with(&[&broken, &other]);
    let body = text(200_000);
    for _ in 0..6 {
        let text = stated(&body).replace("/once", "/all").replace("Class: once", "Class: all");
        let keyed = text.replacen("Host:", "Idempotency-Key: k\r\nHost:", 1);
        let (one, two) = (broken.heard.all().len(), other.heard.all().len());
        let status = Client::to(&agent).ask(&keyed).status();
        let (one, two) = (broken.heard.all().len() - one, other.heard.all().len() - two);
        assert!(one + two == 1 && status == if two == 1 { 200 } else { 502 }, "{status}: {one}, {two}");
    }
    let dead = serving("dead", "127.0.0.1:1".parse().unwrap());
    let line = format!("{dead},{}", serving("s", other.address));
    let discovery = Discovery::new(line.clone());
    let agent = Agent::start(&config(discovery.address, &line, SETTINGS, 1024));
    for _ in 0..6 {
        assert_eq!(
            Client::to(&agent).ask(&stated(&body)).status(),
            200,
            "nothing was sent to the unreachable server"
        );
    }
}

/// A server may refuse a request that is still being received; the client is told at once and its connection
/// is closed.
#[test]
fn a_long_request_that_is_refused_early_is_answered_at_once() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let line = serving("s", listener.local_addr().unwrap());
    let discovery = Discovery::new(line.clone());
    let agent = Agent::start(&config(discovery.address, &line, SETTINGS, 1024));
    let mut client = Client::to(&agent);
    client.write(&stated(&text(300_000))[..100_000]);
    let (mut stream, _) = listener.accept().unwrap();
    assert!(stream.read(&mut [0; 1000]).unwrap() > 0);
    stream.write_all(b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n").unwrap();
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.header("Connection")), (502, Some("close")));
}
