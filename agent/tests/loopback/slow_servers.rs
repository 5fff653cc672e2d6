//! Servers that write answers with pauses, and servers that read requests slowly: silence for some time is not
//! the end of an answer, and a slow server is no reason for a late final answer.

use super::long_answers::{decode, text};
use dilljunction_lab::standins::booking::Act;
use dilljunction_lab::standins::hand::*;
use dilljunction_lab::standins::http::Message;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// How the end of an answer is known.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Stated,
    Chunked,
    Close,
}

/// Where a server pauses.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Pause {
    BehindHead,
    BetweenThirds,
}

/// One answer of the play.
#[derive(Clone, Copy, Debug)]
struct Play {
    class: &'static str,
    length: usize,
    framing: Framing,
    pause: Pause,
    pause_ms: u64,
}

impl Play {
    fn all(pause_ms: u64) -> Vec<Play> {
        let mut all = Vec::new();
        for class in ["read", "once"] {
            for length in [20_000, 168_035] {
                for framing in [Framing::Stated, Framing::Chunked, Framing::Close] {
                    for pause in [Pause::BehindHead, Pause::BetweenThirds] {
                        all.push(Play { class, length, framing, pause, pause_ms });
                    }
                }
            }
        }
        all
    }

    /// What the server does.
    fn act(self) -> Act {
        let head = match self.framing {
            Framing::Stated => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", self.length),
            Framing::Chunked => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string(),
            Framing::Close => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_string(),
        };
        let body = text(self.length);
        let pieces: Vec<&str> = match self.pause {
            Pause::BehindHead => vec!["", &body],
            Pause::BetweenThirds => {
                let third = self.length / 3;
                vec![&body[..third], &body[third..2 * third], &body[2 * third..]]
            }
        };
        let mut parts: Vec<String> = pieces.into_iter().map(|piece| self.encode(piece)).collect();
        parts[0].insert_str(0, &head);
        if self.framing == Framing::Chunked {
            parts.last_mut().unwrap().push_str("0\r\n\r\n");
        }
        Act::Paced {
            parts,
            pause: Duration::from_millis(self.pause_ms),
            ends: self.framing == Framing::Close,
        }
    }

    fn encode(self, piece: &str) -> String {
        if self.framing == Framing::Chunked && !piece.is_empty() {
            format!("{:x}\r\n{piece}\r\n", piece.len())
        } else {
            piece.to_string()
        }
    }
}

/// Reads an answer to the end of its connection; the status, the body and whether that is complete.
fn read_all(mut stream: TcpStream) -> (String, String, bool) {
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    let all = String::from_utf8(all).unwrap();
    let status = all.lines().next().unwrap_or_default().to_string();
    let (body, is_whole) = if all.contains("\r\n\r\n") { decode(&all) } else { (String::new(), false) };
    (status, body, is_whole)
}

/// A request that closes its connection behind the answer. The budget is the deadline of the rig's plays.
fn last_request(class: &str, budget_ms: u64) -> String {
    request(class, budget_ms).replacen("Host:", "Connection: close\r\nHost:", 1)
}

/// An agent whose classes want their answers soon, in front of these servers.
fn start(addresses: &[SocketAddr]) -> (Agent, Discovery) {
    let lines: Vec<String> =
        addresses.iter().enumerate().map(|(i, address)| serving(&format!("s{i}"), *address)).collect();
    let settings = SETTINGS.replace("\"aimMs\":5000", "\"aimMs\":200");
    let discovery = Discovery::new(lines.join(","));
    (Agent::start(&config(discovery.address, &lines.join(","), &settings, 1024)), discovery)
}

/// Every answer that a sound server writes with pauses arrives whole, and an unsafe request runs once.
#[test]
fn an_answer_with_pauses_is_not_cut_off() {
    for pause_ms in [120, 300] {
        let plays = Play::all(pause_ms);
        let scripted = plays.clone();
        let script = move |message: &Message| {
            let number =
                message.path().split("?play=").nth(1).and_then(|digits| digits.parse::<usize>().ok());
            number.map_or_else(|| ok("x"), |number| scripted[number].act())
        };
        let backends = [Backend::new(script.clone()), Backend::new(script.clone()), Backend::new(script)];
        let (agent, _discovery) = start(&[0, 1, 2].map(|i: usize| backends[i].address));
        let mut cut_off = Vec::new();
        // No more at once than the servers have places for from the start.
        for group in (0..plays.len()).collect::<Vec<_>>().chunks(3) {
            let readers: Vec<_> = group
                .iter()
                .map(|&number| {
                    let play = plays[number];
                    let path = format!("/{}?play={number} HTTP", play.class);
                    let text = last_request(play.class, 1500);
                    let (line, rest) = text.split_once("\r\n").unwrap();
                    let method = line.split(' ').next().unwrap();
                    let mut client = Client::to(&agent);
                    client.write(&format!("{method} {path}/1.1\r\n{rest}"));
                    thread::spawn(move || (play, read_all(client.stream)))
                })
                .collect();
            for reader in readers {
                let (play, (status, body, is_whole)) = reader.join().unwrap();
                if !is_whole || body != text(play.length) {
                    cut_off.push(format!("{play:?}: {status}, {} bytes", body.len()));
                }
            }
        }
        assert!(cut_off.is_empty(), "{} of 24 at {pause_ms} ms: {cut_off:#?}", cut_off.len());
        let heard: Vec<Message> = backends.iter().flat_map(|backend| backend.heard.all()).collect();
        let unsafe_requests = heard.iter().filter(|message| message.method() == "POST").count();
        assert_eq!(unsafe_requests, 12, "each unsafe request ran once");
    }
}
