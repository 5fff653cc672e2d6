//! Peers that are cut off for a while: their connections stay open and silent, and go on when the cut is over.
//! What they still give or take must not be lost.

use super::long_answers::{stated, text};
use dilljunction_lab::standins::booking::Act;
use dilljunction_lab::standins::hand::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than a zone is partitioned in the standing test (6 s).
const SILENCE: Duration = Duration::from_millis(7500);
const BODY_BYTES: usize = 200_000;

/// A server that writes its answers in thirds, with a silence before the second and the third.
fn silent_server(silences: [Duration; 2]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut connection = RawConnection::new(stream);
                while connection.read().is_some() {
                    let answer = stated(&text(BODY_BYTES));
                    let third = answer.len() / 3;
                    let mut write = |part: &str| connection.stream.write_all(part.as_bytes());
                    let _ = write(&answer[..third]);
                    thread::sleep(silences[0]);
                    let _ = write(&answer[third..2 * third]);
                    thread::sleep(silences[1]);
                    let _ = write(&answer[2 * third..]);
                }
            });
        }
    });
    address
}

fn start(server: SocketAddr, sockets: usize) -> (Agent, Discovery) {
    let line = serving("s", server);
    let discovery = Discovery::new(line.clone());
    let settings = SETTINGS.replace("\"aimMs\":5000", "\"aimMs\":200");
    let text = config(discovery.address, &line, &settings, sockets);
    (Agent::start(&text.replacen('{', r#"{"admin":"127.0.0.1:0","#, 1)), discovery)
}

fn ask(agent: &Agent) -> Client {
    let mut client = Client::to(agent);
    client.write(&request("once", 1500));
    client
}

/// Whether the answer arrives to its end and unchanged.
fn is_served_whole(client: &mut Client) -> bool {
    client.read().is_some_and(|answer| answer.status() == 200 && answer.body == text(BODY_BYTES).as_bytes())
}

/// What happens to the agent while the answers are silent.
#[derive(Clone, Copy, Debug)]
enum Event {
    Nothing,
    Drain,
    Terminate,
}

/// Review case 8: an answer was closed 5 s after its time while its server was cut off for 6 s.
#[test]
fn a_long_answer_goes_on_after_its_server_was_cut_off() {
    let (none, cut) = (Duration::ZERO, SILENCE);
    thread::scope(|scope| {
        for (silences, event) in [
            ([cut, none], Event::Nothing),
            ([cut, cut], Event::Nothing),
            ([cut, none], Event::Drain),
            ([cut, none], Event::Terminate),
        ] {
            scope.spawn(move || {
                let (agent, _discovery) = start(silent_server(silences), 1024);
                let mut clients: Vec<Client> = (0..3).map(|_| ask(&agent)).collect();
                thread::sleep(Duration::from_millis(500));
                match event {
                    Event::Nothing => {}
                    Event::Drain => {
                        let call = "POST /healthcheck/fail HTTP/1.1\r\nHost: agent\r\n\r\n";
                        assert_eq!(Client::at(agent.admin.unwrap()).ask(call).status(), 200);
                    }
                    Event::Terminate => agent.terminate(),
                }
                let whole = clients.iter_mut().map(is_served_whole).filter(|whole| *whole).count();
                assert_eq!(whole, clients.len(), "{silences:?}, {event:?}");
            });
        }
    });
}

/// A server that takes nothing of a request for a while, as one that is cut off: its upload waits for it.
#[test]
fn an_upload_goes_on_after_its_server_was_cut_off() {
    // More than the buffers hold, so that the client can't have written all of it.
    const UPLOAD_BYTES: usize = 24 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (agent, _discovery) = start(listener.local_addr().unwrap(), 1024);
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut connection = RawConnection::new(listener.accept().unwrap().0);
            thread::sleep(SILENCE);
            assert_eq!(connection.read().map(|message| message.body.len()), Some(UPLOAD_BYTES));
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        });
        let mut client = Client::to(&agent);
        let head = format!("Content-Length: {UPLOAD_BYTES}\r\n\r\n");
        client.write(&request("once", 1500).replace("Content-Length: 4\r\n\r\nbody", &head));
        client.stream.write_all(&vec![b'x'; UPLOAD_BYTES]).expect("an agent that reads on");
        assert_eq!(client.read().map(|answer| answer.status()), Some(200));
    });
}

/// A client that reads nothing for a while, as one that is cut off: the rest of its answer waits for it.
#[test]
fn a_client_that_was_cut_off_gets_the_rest_of_its_answer() {
    let answer = stated(&text(8 << 20));
    let backend = Backend::new(move |_| Act::Answer(answer.clone()));
    let (agent, _discovery) = start(backend.address, 1024);
    let mut client = ask(&agent);
    thread::sleep(SILENCE);
    assert!(client.read().is_some_and(|answer| answer.body.len() == 8 << 20));
}

/// All connections that clients may have are held by silent answers: the one that has been silent for longest makes
/// room for a client that needs it, and only when the silence is long.
#[test]
fn the_answer_that_is_silent_for_longest_makes_room_for_others() {
    // 64 descriptors less the reserve leave 8 connections of clients.
    const HELD: usize = 8;
    let server = silent_server([Duration::from_secs(11), Duration::ZERO]);
    let (agent, _discovery) = start(server, 64);
    let mut held = Vec::new();
    for _ in 0..HELD {
        held.push(ask(&agent));
        thread::sleep(Duration::from_millis(150));
    }
    let asked = Instant::now();
    let mut newcomer = Client::to(&agent);
    assert_eq!(newcomer.ask("GET /health/ready HTTP/1.1\r\nHost: agent\r\n\r\n").status(), 200);
    assert!(asked.elapsed() > Duration::from_secs(3), "no answer was given up early: {:?}", asked.elapsed());
    assert!(asked.elapsed() < Duration::from_secs(7), "a silent answer makes room: {:?}", asked.elapsed());
    let whole: Vec<bool> = held.iter_mut().map(is_served_whole).collect();
    assert!(!whole[0], "the one that was silent for longest has gone");
    assert!(whole[1..].iter().filter(|whole| **whole).count() >= HELD - 2, "{whole:?}");
}
