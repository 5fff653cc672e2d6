//! Invalid requests and misbehaving clients: each gets an error or a close, and nothing that it sends reaches
//! a server.

use dilljunction_lab::standins::hand::*;

/// Expects this status and a close in answer to `text`, and no request at the backend.
fn expect_rejected(what: &str, text: &str, status: u16) {
    let backend = Backend::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with(&[&backend]);
    let mut client = Client::to(&agent);
    client.write(text);
    assert_eq!(client.read().map(|m| m.status()), Some(status), "{what}");
    assert!(client.read().is_none(), "{what}: the connection is closed");
    assert_eq!(backend.heard.all().len(), 0, "{what}");
}

/// hyper drops `Content-Length` if `Transfer-Encoding` is present too, in either order. It would forward a
/// request whose body may hide another one.
#[test]
fn requests_with_two_framings_are_rejected_in_either_order() {
    let once = request("once", 9000);
    let (length, coding) = ("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
    let chunked = "\r\n\r\n0\r\n\r\nGET /read HTTP/1.1\r\n\r\n";
    for both in [format!("{length}{coding}"), format!("{coding}{length}")] {
        let text = once.replace("Content-Length: 4\r\n\r\nbody", &format!("{}{chunked}", both.trim_end()));
        expect_rejected(&both, &text, 400);
    }
    expect_rejected("two lengths", &once.replace(length, &format!("{length}{length}")), 400);
    // Each of the two headers alone is valid.
    let backend = Backend::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with(&[&backend]);
    let text = once.replace("Content-Length: 4\r\n\r\nbody", &format!("{coding}\r\n4\r\nbody\r\n0\r\n\r\n"));
    assert_eq!(Client::to(&agent).ask(&text).status(), 200);
    assert_eq!(backend.heard.all()[0].body, b"body");
}

/// Clients send one request at a time, so bytes after a request show that its length was wrong.
#[test]
fn pipelined_requests_are_rejected() {
    expect_rejected("a body that is too long", &(request("once", 9000) + "and more"), 400);
    expect_rejected("two requests", &(request("read", 9000) + &request("read", 9000)), 400);
    expect_rejected(
        "a body where none belongs",
        &request("read", 9000).replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nbody"),
        400,
    );
}

/// The agent reads this many bytes at once.
const READ_BYTES: usize = 8 * 1024;

/// Guards against serving the first part of a request as the whole: bytes behind it that don't come with the
/// same read show just as well that its length was wrong.
#[test]
fn excess_bytes_beyond_one_read_are_found() {
    let head = request("once", 9000).replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 7000\r\n");
    let padding = READ_BYTES - 7000 - head.len() - "X-Pad: \r\n\r\n".len();
    let stated = format!("{head}X-Pad: {}\r\n\r\n{}", "p".repeat(padding), "b".repeat(7000));
    assert_eq!(stated.len(), READ_BYTES);
    for excess in ["x".to_string(), "x".repeat(5000), request("read", 9000)] {
        expect_rejected(&format!("{} bytes", excess.len()), &(stated.clone() + &excess), 400);
    }
}

/// Guards against serving the first part of a request whose chunks end early: a client that writes an empty
/// chunk in the middle of a body ends it there, and the rest follows.
#[test]
fn a_chunked_request_with_more_behind_its_end_is_rejected() {
    let coding = "Transfer-Encoding: chunked\r\n\r\n";
    let chunked = request("once", 9000).replace("Content-Length: 4\r\n\r\nbody", coding);
    for body in ["4\r\nbody\r\n0\r\n\r\n4\r\nrest\r\n0\r\n\r\n", "0\r\n\r\nbody", "4\r\nbody\r\n0\r\n\r\nx"] {
        expect_rejected(body, &format!("{chunked}{body}"), 400);
    }
    let whole = format!("{chunked}4\r\nbody\r\n0\r\n\r\n");
    expect_rejected("two requests", &whole.repeat(2), 400);
}

/// The answer must not wait for a body of 60 MB that is discarded.
#[test]
fn a_length_over_the_maximum_is_rejected_by_the_head_alone() {
    let text = request("once", 9000);
    let head = &text[..text.find("Content-Length").unwrap()];
    expect_rejected("60 MB", &format!("{head}Content-Length: 62914560\r\n\r\n"), 413);
}

/// Servers could not tell apart two requests with the same call ID. The ID is free again when the first
/// request is completely finished.
#[test]
fn a_call_id_that_is_in_use_is_rejected() {
    let (backend, release) = Backend::gated();
    let (agent, _discovery) = Agent::with(&[&backend]);
    let text = request("once", 9000);
    let mut first = Client::to(&agent);
    first.write(&text);
    backend.heard.wait(1);
    assert_eq!(Client::to(&agent).ask(&text).status(), 409);
    release.one();
    assert_eq!(first.read().map(|m| m.status()), Some(200));
    release.one();
    assert_eq!(Client::to(&agent).ask(&text).status(), 200);
}

/// When a client disconnects, its attempt outlives the request; the call ID stays in use until the attempt
/// has ended.
#[test]
fn a_call_id_stays_in_use_while_an_attempt_is_in_flight() {
    let (backend, _release) = Backend::gated();
    let (agent, _discovery) = Agent::with(&[&backend]);
    let text = request("once", 9000);
    let mut gone = Client::to(&agent);
    gone.write(&text);
    backend.heard.wait(1);
    drop(gone);
    let other = Client::to(&agent).ask(&request("read", 9000));
    assert_eq!(other.status(), 200, "the agent has noticed the close by now");
    assert_eq!(Client::to(&agent).ask(&text).status(), 409);
}

#[test]
fn call_ids_and_budgets_are_validated() {
    let read = request("read", 9000);
    let id = read.split("X-Call-Id: ").nth(1).unwrap().split("\r\n").next().unwrap().to_string();
    for bad in ["", "a b", "a\tb", "\u{e9}", &"x".repeat(200)] {
        expect_rejected(bad, &read.replace(&id, bad), 400);
    }
    for bad in ["+9", "9.5", "0x9", "9 9", "99999999999999999999999"] {
        expect_rejected(bad, &read.replace("9000", bad), 400);
    }
    // A larger budget is limited to the deadline of the class.
    let backend = Backend::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with(&[&backend]);
    assert_eq!(Client::to(&agent).ask(&request("read", 9_000_000_000)).status(), 200);
    let left: u64 = backend.heard.all()[0].header("X-Budget-Ms").unwrap().parse().unwrap();
    assert!(left <= 10_000, "{left}");
}

/// A connection that sends nothing, or only part of a request, is closed even if many connection slots are
/// free.
#[test]
fn connections_with_partial_requests_or_none_are_closed() {
    let backend = Backend::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with(&[&backend]);
    let once = request("once", 9000);
    let mut clients: Vec<Client> = ["", "GET /re", &once[..once.len() - 2]]
        .map(|text| {
            let mut client = Client::to(&agent);
            client.write(text);
            client
        })
        .into();
    // The same holds for a connection that has carried a request.
    let mut used = Client::to(&agent);
    assert_eq!(used.ask(&request("read", 9000)).status(), 200);
    used.write("GET /re");
    clients.push(used);
    for mut client in clients {
        while let Some(answer) = client.read() {
            assert!((400..500).contains(&answer.status()), "{}", answer.line);
        }
        // A read without data counts as a close only if it is not the test's own time-out.
        let end = std::io::Read::read(&mut client.stream, &mut [0; 1]);
        let timed_out = end.as_ref().is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!timed_out, "the connection is still open");
    }
    assert_eq!(backend.heard.all().len(), 1);
}

/// A refusal has a Retry-After header.
#[test]
fn a_refusal_has_a_retry_after_header() {
    let dead = serving("dead", "127.0.0.1:1".parse().unwrap());
    let discovery = Discovery::new(dead.clone());
    let agent = Agent::start(&config(discovery.address, &dead, SETTINGS, 1024));
    let answer = Client::to(&agent).ask(&request("read", 800));
    assert_eq!(answer.status(), 503);
    let after: f64 = answer.header("Retry-After").expect("a Retry-After header").parse().unwrap();
    assert!(after > 0.0 && after <= 1.0, "{after}");
}
