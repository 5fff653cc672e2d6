//! Bytes behind the end of an answer: the rest of a body whose stated length is too short, noise, or a second
//! copy. The client gets the answer made for its request or none.

use crate::outcomes::outcome;
use dilljunction_lab::standins::booking::Act;
use dilljunction_lab::standins::hand::*;
use dilljunction_lab::standins::http::Message;
use std::io::Read;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The agent reads this many bytes at once.
const READ_BYTES: usize = 8 * 1024;
/// The agent streams longer answers.
const BUFFERED_BYTES: usize = 64 * 1024;

fn text(length: usize) -> String {
    (0..length).map(|i| char::from(b'a' + (i.wrapping_mul(2_654_435_761) >> 16) as u8 % 26)).collect()
}

/// A 200 answer that states this length.
fn stating(length: usize, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// An answer in doubt fails its attempt, which may have been executed.
fn expect_in_doubt(answer: &str) {
    let shown = &answer[..answer.len().min(200)];
    for (class, expected) in [("once", (502, 1)), ("read", (200, 2)), ("all", (200, 2))] {
        let answer = answer.to_string();
        assert_eq!(outcome(class, move || Act::Answer(answer.clone())), expected, "{class}: {shown}");
    }
}

/// Guards against serving the first part of a body as the whole: its length was stated too short.
#[test]
fn an_answer_whose_stated_length_is_too_short_is_not_served() {
    let body = "the whole body";
    for length in [0, 1, body.len() / 2, body.len() - 1] {
        expect_in_doubt(&stating(length, body));
        expect_in_doubt(&stating(length, body).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
    }
    expect_in_doubt(&stating(20_000, &text(40_000)));
}

/// Guards against overlooking bytes behind an answer that the agent has not read yet.
#[test]
fn a_surplus_that_is_still_in_the_kernel_is_found() {
    for close in ["", "Connection: close\r\n"] {
        let head = format!("HTTP/1.1 200 OK\r\n{close}Content-Length: 8000\r\n");
        let padding = READ_BYTES - 8000 - head.len() - "X-Pad: \r\n\r\n".len();
        let answer = format!("{head}X-Pad: {}\r\n\r\n{}", "p".repeat(padding), text(8000));
        assert_eq!(answer.len(), READ_BYTES);
        expect_in_doubt(&(answer.clone() + "x"));
        expect_in_doubt(&(answer + &text(8000)));
    }
}

/// Noise behind a good answer can't be told from the rest of its body.
#[test]
fn an_answer_with_noise_behind_it_is_not_served() {
    for noise in ["\u{1}\u{2}\u{3}", "\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", "H"] {
        expect_in_doubt(&(stating(5, "first") + noise));
    }
}

/// A body that ends early by its own framing: a server that writes an empty chunk in the middle of it.
#[test]
fn a_chunked_answer_with_more_behind_its_end_is_not_served() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for body in ["5\r\nfirst\r\n0\r\n\r\n4\r\nrest\r\n0\r\n\r\n", "0\r\n\r\nfirst", "0\r\nfirst\r\n0\r\n\r\n"]
    {
        expect_in_doubt(&format!("{head}{body}"));
    }
}

/// Guards against throwing away good answers: a second copy shows that the length before it was right.
#[test]
fn an_answer_with_a_copy_behind_it_is_served() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n".to_string();
    let long = stating(40_000, &text(40_000));
    for answer in [stating(5, "first"), stating(0, ""), chunked, long] {
        let head = answer.find("\r\n\r\n").unwrap() + 4;
        for copied in [answer.len(), head] {
            let both = answer.clone() + &answer[..copied];
            assert_eq!(outcome("once", move || Act::Answer(both.clone())), (200, 1), "{copied}");
        }
        let three = answer.repeat(3);
        assert_eq!(outcome("once", move || Act::Answer(three.clone())), (200, 1));
    }
}

/// Guards against serving a body that is completed by the beginning of a copy: its length was stated too long.
#[test]
fn a_length_that_a_copy_completes_is_in_doubt() {
    for missing in [1, 3, 20] {
        expect_in_doubt(&stating(5 + missing, "first").repeat(2));
    }
}

/// Guards against serving a second copy as part of the body, in an answer that ends with its connection.
#[test]
fn a_copy_behind_an_answer_without_a_length_is_not_served_with_it() {
    for body in ["", "first", &text(5000)] {
        let answer = format!("HTTP/1.1 200 OK\r\nX-Load-Report: qps=1,queue=2\r\n\r\n{body}");
        for (act, once, read) in
            [(answer.clone(), (200, 1), (200, 1)), (answer.repeat(2), (502, 1), (200, 2))]
        {
            let same = act.clone();
            assert_eq!(outcome("once", move || Act::Last(act.clone())), once, "{body}");
            assert_eq!(outcome("read", move || Act::Last(same.clone())), read, "{body}");
        }
    }
}

/// Guards against sending a request twice: an answer in doubt can't claim that the request was never executed.
#[test]
fn a_rejection_in_doubt_may_have_been_executed() {
    for (code, length) in [(503, 0), (503, 4), (504, 0)] {
        let rejected = format!("HTTP/1.1 {code} X\r\nX-Rejected: 1\r\nContent-Length: {length}\r\n\r\n");
        let rejected = rejected + &"full"[..length];
        for surplus in ["x", " and more", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"] {
            expect_in_doubt(&(rejected.clone() + surplus));
        }
        let twice = rejected.repeat(2);
        assert_eq!(outcome("once", move || Act::Answer(twice.clone())), (200, 2), "a copy leaves no doubt");
    }
    let error = "HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\nerror";
    expect_in_doubt(error);
}

/// The bytes of the body that a client got, and whether it can take them for the whole answer.
fn streamed(answer: String, request: &str) -> (usize, bool) {
    let backend = Backend::new(move |_| Act::Answer(answer.clone()));
    let (agent, _discovery) = Agent::with(&[&backend]);
    let mut client = Client::to(&agent);
    client.write(&request.replace("Host:", "Connection: close\r\nHost:"));
    let mut all = Vec::new();
    let reset = client.stream.read_to_end(&mut all).is_err();
    assert_eq!(backend.heard.all().len(), 1);
    let all = String::from_utf8(all).unwrap();
    let (head, body) = all.split_once("\r\n\r\n").expect("a head");
    let stated = head.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse::<usize>().ok());
    let is_chunked = head.contains("transfer-encoding: chunked");
    let whole = match stated {
        Some(length) => body.len() == length,
        None if is_chunked => body.ends_with("0\r\n\r\n"),
        None => !reset,
    };
    (body.len(), whole)
}

/// Guards against a client that takes the first part of a streamed answer for the whole.
#[test]
fn a_streamed_answer_in_doubt_is_visibly_incomplete() {
    let length = 2 * BUFFERED_BYTES;
    let chunk = format!("{length:x}\r\n{}\r\n0\r\n\r\n", text(length));
    let chunked = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}");
    for answer in [stating(length, &text(length)), chunked] {
        let (_, whole) = streamed(answer.clone(), &request("read", 9000));
        assert!(whole, "it is served without a surplus");
        let (_, whole) = streamed(answer.repeat(2), &request("read", 9000));
        assert!(whole, "it is served with a copy behind it");
        for surplus in ["x", &text(1000), &text(3 * BUFFERED_BYTES)] {
            let (bytes, whole) = streamed(answer.clone() + surplus, &request("read", 9000));
            assert!(!whole && bytes > 0, "{bytes} bytes with {} behind them", surplus.len());
        }
    }
}

/// An HTTP/1.0 client knows the end of an answer without a stated length by the end of its connection alone.
#[test]
fn a_streamed_answer_in_doubt_ends_by_a_reset_for_an_http_1_0_client() {
    let length = 2 * BUFFERED_BYTES;
    let chunk = format!("{length:x}\r\n{}\r\n0\r\n\r\n", text(length));
    let chunked = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}");
    let request = request("read", 9000).replace("HTTP/1.1", "HTTP/1.0");
    assert_eq!(streamed(chunked.clone(), &request), (length, true), "it is served without a surplus");
    let (bytes, whole) = streamed(chunked + "x", &request);
    assert!(!whole, "{bytes} bytes and a plain end");
}

/// A surplus that arrives after the answer has been forwarded can't be known in time. Its connection ends, and
/// the next request is not affected.
#[test]
fn a_late_surplus_ends_the_connection() {
    let parts = || Act::Parts(vec![stating(5, "first"), stating(5, "stale")]);
    let backend = Backend::new(move |m| if m.path().starts_with("/once") { parts() } else { ok("next") });
    let (agent, _discovery) = Agent::with(&[&backend]);
    let mut client = Client::to(&agent);
    assert_eq!(client.ask(&request("once", 9000)).body, b"first");
    backend.ended.wait(1);
    assert_eq!(client.ask(&request("read", 9000)).body, b"next");
    assert_eq!(backend.opened.all().len(), 2);
}

/// A long request that is answered before its last byte, and the answer is in doubt: it fails, and no other
/// server gets it.
#[test]
fn a_long_request_that_is_answered_early_and_in_doubt_fails() {
    for status in ["200 OK", "503 X\r\nX-Rejected: 1"] {
        let early = RawBackend::default();
        let line = serving("early", early.address);
        let discovery = Discovery::new(line.clone());
        let agent = Agent::start(&config(discovery.address, &line, SETTINGS, 1024));
        let mut client = Client::to(&agent);
        let head =
            request("once", 9000).replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 300000\r\n\r\n");
        client.write(&(head + &text(200_000)));
        let mut server = early.accept();
        server.stream.read_exact(&mut [0; 1000]).expect("the beginning of the request");
        server.write(&format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\nno more"));
        assert_eq!(client.read().map(|m| m.status()), Some(502), "{status}");
    }
}

/// A request whose first two answers are in doubt gets the third one's.
#[test]
fn a_repeated_request_gets_the_answer_that_is_not_in_doubt() {
    let (seen, in_doubt) = (Arc::new(AtomicUsize::new(0)), stating(2, "wrong"));
    let script = move |_: &Message| match seen.fetch_add(1, Ordering::SeqCst) {
        0 | 1 => Act::Answer(in_doubt.clone()),
        _ => ok("right"),
    };
    let backends = [Backend::new(script.clone()), Backend::new(script.clone()), Backend::new(script)];
    let lines: Vec<String> =
        backends.iter().enumerate().map(|(i, b)| serving(&format!("s{i}"), b.address)).collect();
    let discovery = Discovery::new(lines.join(","));
    let agent = Agent::start(&config(discovery.address, &lines.join(","), SETTINGS, 1024));
    let answer = Client::to(&agent).ask(&request("read", 9000));
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"right"[..]));
    assert_eq!(backends.iter().map(|b| b.heard.all().len()).sum::<usize>(), 3);
}
