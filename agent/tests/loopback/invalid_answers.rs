//! Invalid or incomplete answers: the attempt fails and may have been executed, its connection is closed, and
//! no request waits for it.

use super::slow_servers::{last_request, read_all};
use crate::outcomes::outcome;
use dilljunction_lab::standins::booking::Act;
use dilljunction_lab::standins::hand::*;
use dilljunction_lab::standins::http::Message;
use std::time::{Duration, Instant};

const BODY: &str = "\r\n\r\nfirst";
/// Answers whose end never comes: the head, and what comes of the body.
const ENDLESS: [(&str, &str); 2] =
    [("HTTP/1.1 200 OK", BODY), ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked", "\r\n\r\n5\r\nfirst\r\n")];

/// A head that does not state the length exactly once and correctly: what follows it can't be trusted, and
/// reading on would never end. A request that may be repeated is sent to another server at once.
#[test]
fn an_answer_with_ambiguous_framing_is_invalid() {
    for head in [
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6",
        "HTTP/1.1 200 OK\r\nContent-Length: 5, 5",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000",
        "HTTP/1.1 200 OK\r\nContent-Length: -5",
        "HTTP/1.1 503 X\r\nX-Rejected: 1",
    ] {
        let act = format!("{head}{BODY}");
        for (class, expected) in [("once", (502, 1)), ("read", (200, 2))] {
            let act = act.clone();
            assert_eq!(outcome(class, move || Act::Answer(act.clone())), expected, "{class}: {head}");
        }
    }
}

/// A body may end with its connection, so one that stalls may still be written. A request that may be
/// repeated is sent to another server, whose whole answer is served.
#[test]
fn an_answer_that_never_ends_is_replaced() {
    for (head, body) in ENDLESS {
        let act = format!("{head}{body}");
        assert_eq!(outcome("read", move || Act::Answer(act.clone())), (200, 2), "{head}");
    }
}

/// A request that may not be repeated gets what has come of an answer that never ends, and in time. Its server may
/// be cut off, so the answer stays open until others need its connection. Then its client can tell that it isn't
/// whole.
#[test]
fn an_answer_that_never_ends_is_forwarded_and_broken_off_for_others() {
    const SILENCE_MAX: Duration = Duration::from_secs(8);
    const BUDGET: Duration = Duration::from_millis(1500);
    // 64 descriptors less the reserve leave 8 connections of clients.
    const CLIENTS: usize = 8;
    for (head, body) in ENDLESS {
        let act = format!("{head}{body}");
        let backends: Vec<Backend> = (0..CLIENTS)
            .map(|_| {
                let act = act.clone();
                Backend::new(move |_| Act::Answer(act.clone()))
            })
            .collect();
        let lines: Vec<String> = backends
            .iter()
            .enumerate()
            .map(|(i, backend)| serving(&format!("s{i}"), backend.address))
            .collect();
        let discovery = Discovery::new(lines.join(","));
        let agent = Agent::start(&config(discovery.address, &lines.join(","), SETTINGS, 64));
        let sent = Instant::now();
        let clients: Vec<Client> = (0..CLIENTS)
            .map(|_| {
                let mut client = Client::to(&agent);
                client.write(&last_request("once", BUDGET.as_millis() as u64));
                client
            })
            .collect();
        for client in &clients {
            assert!(client.stream.peek(&mut [0]).is_ok_and(|bytes| bytes > 0), "{head}: it begins");
            assert!(sent.elapsed() < BUDGET + Duration::from_millis(50), "{head}: in time");
        }
        let ready = "GET /health/ready HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n\r\n";
        assert_eq!(Client::to(&agent).ask(ready).status(), 200, "{head}: others get a connection");
        let (status, body, is_whole) = read_first_ended(clients);
        assert_eq!((status.as_str(), body.as_str(), is_whole), ("HTTP/1.1 200 OK", "first", false), "{head}");
        assert!(sent.elapsed() < SILENCE_MAX, "{head}: {:?}", sent.elapsed());
        assert_eq!(backends.iter().map(|backend| backend.heard.all().len()).sum::<usize>(), CLIENTS);
    }
}

/// Reads the answer of the client whose connection ends first.
fn read_first_ended(clients: Vec<Client>) -> (String, String, bool) {
    let (sender, ended) = std::sync::mpsc::channel();
    for client in clients {
        let sender = sender.clone();
        std::thread::spawn(move || sender.send(read_all(client.stream)));
    }
    ended.recv_timeout(BOUND).expect("an answer that is broken off")
}

/// An answer that has begun and stalls would hold its request until the deadline.
#[test]
fn a_stalled_answer_fails_the_attempt() {
    for begun in ["HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nX-Long: ", "H"] {
        assert_eq!(outcome("once", move || Act::Answer(begun.into())), (502, 1), "{begun}");
        assert_eq!(outcome("read", move || Act::Answer(begun.into())), (200, 2), "{begun}");
    }
}

/// 1xx answers come before the final answer. It may take longer than an answer may stall, but not for ever.
#[test]
fn informational_answers_are_skipped_within_bounds() {
    let (ahead, last) =
        ("HTTP/1.1 103 X\r\nX-A: b\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
    let parts = move || Act::Parts([ahead, last].map(String::from).into());
    assert_eq!(outcome("once", parts), (200, 1));
    let endless = move || Act::Answer(ahead.repeat(100_000));
    assert_eq!(outcome("once", endless), (502, 1));
}

/// Bytes after a complete answer must not be used as the answer to the next request.
#[test]
fn excess_bytes_are_not_the_next_answer() {
    let backend = Backend::new(|m| {
        let body = m.header("X-Call-Id").unwrap_or_default().to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        Act::Answer(answer.repeat(2))
    });
    let (agent, _discovery) = Agent::with(&[&backend]);
    let mut client = Client::to(&agent);
    for n in 1..=20 {
        let text = request("once", 9000);
        let sent = Message::of_text(&text);
        let answer = client.ask(&text);
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, sent.header("X-Call-Id").unwrap().as_bytes())
        );
        assert_eq!(backend.heard.all().len(), n);
    }
}
