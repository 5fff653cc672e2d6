//! SIGTERM: what has been taken is answered, newcomers are served for a while, and the end is clean.

use dilljunction_lab::standins::hand::*;

/// A client that has connected before the listener closed may ask after that: it has nowhere else to turn.
#[test]
fn a_connection_without_a_request_yet_outlives_the_listener() {
    let (backend, release) = Backend::gated();
    let (mut agent, _discovery) = Agent::with(&[&backend]);
    let mut busy = Client::to(&agent);
    busy.write(&request("once", 9000));
    backend.heard.wait(1);
    let mut idle = Client::to(&agent);
    assert_eq!(idle.ask(&request("read", 9000)).status(), 200);
    let mut new = Client::to(&agent);
    agent.terminate();
    // Idle connections are closed once the listener is; the pause lets whatever goes with them happen as well.
    assert!(idle.read().is_none());
    std::thread::sleep(std::time::Duration::from_millis(100));
    assert!(std::net::TcpStream::connect(agent.address).is_err());
    assert_eq!(new.ask(&request("read", 9000)).status(), 200);
    assert!(new.read().is_none(), "and is closed after its answer");
    release.one();
    assert_eq!(busy.read().map(|m| m.status()), Some(200));
    assert_eq!(agent.ended(), Some(0));
}

#[test]
fn sigterm_finishes_what_was_taken_and_serves_newcomers() {
    let (backend, release) = Backend::gated();
    let (mut agent, _discovery) = Agent::with(&[&backend]);
    let mut idle = Client::to(&agent);
    assert_eq!(idle.ask(&request("read", 9000)).status(), 200);
    let mut busy = Client::to(&agent);
    busy.write(&request("once", 9000));
    backend.heard.wait(2);
    agent.terminate();
    // Signals are seen in order with what comes after; a newcomer is answered and told to close.
    let closing = loop {
        let answer = Client::to(&agent).ask(&request("read", 9000));
        assert_eq!(answer.status(), 200);
        if answer.header("Connection") == Some("close") {
            break true;
        }
    };
    assert!(closing);
    // A connection that was idle at the signal may still be used.
    let answer = idle.ask(&request("read", 9000));
    assert_eq!((answer.status(), answer.header("Connection")), (200, Some("close")));
    release.one();
    let answer = busy.read().expect("what was taken is answered");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, "done".as_bytes()));
    assert_eq!(agent.ended(), Some(0));
}

/// What comes on an open connection after SIGTERM may have more time than the process has left; it is answered all the
/// same, and no connection ends with an answer owed.
#[test]
fn what_is_asked_late_in_a_stop_has_its_answer_before_the_end() {
    let (backend, _release) = Backend::gated();
    let settings = SETTINGS.replace(r#""deadlineMs":10000"#, r#""deadlineMs":3000"#);
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let mut agent = Agent::start(&config(discovery.address, &line, &settings, 1024));
    let mut busy = Client::to(&agent);
    busy.write(&request("once", 3000));
    backend.heard.wait(1);
    let mut idle = Client::to(&agent);
    assert_eq!(idle.ask(&request("read", 3000)).status(), 200);
    let mut late = Client::to(&agent);
    agent.terminate();
    // Idle connections are closed with the listener, half a second after the signal.
    assert!(idle.read().is_none());
    late.write(&request("once", 3000));
    assert!(busy.read().is_some(), "what was taken before");
    assert!(late.read().is_some(), "what came on a connection that was open still");
    assert_eq!(agent.ended(), Some(0));
}
