//! Spoilt answers: a failed attempt that may have run, whose connection is closed and on which nothing waits.

use crate::outcomes::outcome;
use dilljunction_lab::standins::booking::Act;
use dilljunction_lab::standins::hand::*;
use dilljunction_lab::standins::http::Message;

const BODY: &str = "\r\n\r\nfirst";

/// A head that does not say once where its answer ends, or says it wrongly: what is read behind it may be anything, and
/// to read on would last for ever. A request that may be
/// repeated is sent elsewhere at once.
#[test]
fn an_answer_whose_end_is_not_stated_once_is_none() {
    for head in [
        "HTTP/1.1 200 OK",
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

/// An answer that has begun and goes no further would hold its request to the end of its time.
#[test]
fn an_answer_that_stalls_is_given_up() {
    for begun in ["HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nX-Long: ", "H"] {
        assert_eq!(outcome("once", move || Act::Answer(begun.into())), (502, 1), "{begun}");
        assert_eq!(outcome("read", move || Act::Answer(begun.into())), (200, 2), "{begun}");
    }
}

/// An answer 1xx comes ahead of the one that counts, which may take longer than an answer may stall; but not for ever.
#[test]
fn answers_1xx_are_passed_over_within_bounds() {
    let (ahead, last) =
        ("HTTP/1.1 103 X\r\nX-A: b\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
    let parts = move || Act::Parts([ahead, last].map(String::from).into());
    assert_eq!(outcome("once", parts), (200, 1));
    let endless = move || Act::Answer(ahead.repeat(100_000));
    assert_eq!(outcome("once", endless), (502, 1));
}

/// What comes behind a good answer belongs to nobody: the next request must not be served with it.
#[test]
fn what_comes_behind_an_answer_is_not_the_next_one() {
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
