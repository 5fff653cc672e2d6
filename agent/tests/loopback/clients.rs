//! Bad clients: each gets an error or a close, and none of what it sends reaches a backend.

use dilljunction_lab::standins::hand::*;

/// What is sent gets this status, the connection is closed, and no backend hears of it.
fn turned_away(what: &str, text: &str, status: u16) {
    let backend = Backend::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with(&[&backend]);
    let mut client = Client::to(&agent);
    client.write(text);
    assert_eq!(client.read().map(|m| m.status()), Some(status), "{what}");
    assert!(client.read().is_none(), "{what}: the connection is closed");
    assert_eq!(backend.heard.all().len(), 0, "{what}");
}

/// hyper drops `Content-Length` where `Transfer-Encoding` stands beside it, in either order, and would pass on a
/// request in whose body another may hide.
#[test]
fn two_framings_are_turned_away_in_either_order() {
    let once = request("once", 9000);
    let (length, coding) = ("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
    let chunked = "\r\n\r\n0\r\n\r\nGET /read HTTP/1.1\r\n\r\n";
    for both in [format!("{length}{coding}"), format!("{coding}{length}")] {
        let text = once.replace("Content-Length: 4\r\n\r\nbody", &format!("{}{chunked}", both.trim_end()));
        turned_away(&both, &text, 400);
    }
    turned_away("two lengths", &once.replace(length, &format!("{length}{length}")), 400);
    // One framing is enough, whichever it is.
    let backend = Backend::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with(&[&backend]);
    let text = once.replace("Content-Length: 4\r\n\r\nbody", &format!("{coding}\r\n4\r\nbody\r\n0\r\n\r\n"));
    assert_eq!(Client::to(&agent).ask(&text).status(), 200);
    assert_eq!(backend.heard.all()[0].body, b"body");
}

/// Clients send one request at a time: what comes behind one shows that its length was wrong.
#[test]
fn more_than_one_request_at_a_time_is_turned_away() {
    turned_away("a body that is too long", &(request("once", 9000) + "and more"), 400);
    turned_away("two requests", &(request("read", 9000) + &request("read", 9000)), 400);
    turned_away(
        "a body where none belongs",
        &request("read", 9000).replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nbody"),
        400,
    );
}

/// The answer must not wait for 60 MB that nobody wants.
#[test]
fn a_length_over_64_kib_is_turned_away_by_the_head_alone() {
    let text = request("once", 9000);
    let head = &text[..text.find("Content-Length").unwrap()];
    turned_away("60 MB", &format!("{head}Content-Length: 62914560\r\n\r\n"), 413);
}

/// Two requests of one name could not be told apart by backends; the name is free again when all of the first is over.
#[test]
fn a_name_that_is_in_use_is_turned_away() {
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

/// An attempt outlives its request when the client goes: until it is over the name stays in use.
#[test]
fn a_name_stays_in_use_while_an_attempt_is_out() {
    let (backend, _release) = Backend::gated();
    let (agent, _discovery) = Agent::with(&[&backend]);
    let text = request("once", 9000);
    let mut gone = Client::to(&agent);
    gone.write(&text);
    backend.heard.wait(1);
    drop(gone);
    let other = Client::to(&agent).ask(&request("read", 9000));
    assert_eq!(other.status(), 200, "the agent has seen the close by now");
    assert_eq!(Client::to(&agent).ask(&text).status(), 409);
}

#[test]
fn names_and_budgets_are_checked() {
    let read = request("read", 9000);
    let id = read.split("X-Call-Id: ").nth(1).unwrap().split("\r\n").next().unwrap().to_string();
    for bad in ["", "a b", "a\tb", "\u{e9}", &"x".repeat(200)] {
        turned_away(bad, &read.replace(&id, bad), 400);
    }
    for bad in ["+9", "9.5", "0x9", "9 9", "99999999999999999999999"] {
        turned_away(bad, &read.replace("9000", bad), 400);
    }
    // No client waits longer than its class allows, whatever it says.
    let backend = Backend::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with(&[&backend]);
    assert_eq!(Client::to(&agent).ask(&request("read", 9_000_000_000)).status(), 200);
    let left: u64 = backend.heard.all()[0].header("X-Budget-Ms").unwrap().parse().unwrap();
    assert!(left <= 10_000, "{left}");
}

/// Whoever begins a request and says no more, or says nothing at all, is let go, however many seats are free.
#[test]
fn half_a_request_and_silence_are_let_go() {
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
    // One that has been served before is no better.
    let mut used = Client::to(&agent);
    assert_eq!(used.ask(&request("read", 9000)).status(), 200);
    used.write("GET /re");
    clients.push(used);
    for mut client in clients {
        while let Some(answer) = client.read() {
            assert!((400..500).contains(&answer.status()), "{}", answer.line);
        }
        // Nothing read is a close only if it is no time-out of the test's own.
        let end = std::io::Read::read(&mut client.stream, &mut [0; 1]);
        let timed_out = end.as_ref().is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!timed_out, "the connection is still open");
    }
    assert_eq!(backend.heard.all().len(), 1);
}

/// A refusal says when to come back.
#[test]
fn a_refusal_says_when_to_come_back() {
    let dead = serving("dead", "127.0.0.1:1".parse().unwrap());
    let discovery = Discovery::new(dead.clone());
    let agent = Agent::start(&config(discovery.address, &dead, SETTINGS, 1024));
    let answer = Client::to(&agent).ask(&request("read", 800));
    assert_eq!(answer.status(), 503);
    let after: f64 = answer.header("Retry-After").expect("advice").parse().unwrap();
    assert!(after > 0.0 && after <= 1.0, "{after}");
}
