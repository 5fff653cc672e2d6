//! Clients read long answers at 64 kB a second while an operator empties the agent (or, in two other plays,
//! while the platform tells it to end). All that the servers gave has to reach the clients.

use crate::net::{call, Conn};
use crate::platform::{agents, discovery, target, trouble, Agent, Record, ZONES};
use crate::servers::{good, schedule, server, Handler};
use std::io::Write;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const SERVERS: usize = 9;
const CLIENTS: usize = 48;
/// Lengths of the answers: this, and for each further client so much more.
const BYTES: usize = 440_000;
const BYTES_MORE: usize = 5_000;
/// A client reads one such piece each tenth of a second: 64 kB a second.
const PIECE: usize = 6_400;
const BETWEEN: Duration = Duration::from_millis(100);
const EMPTIED_AFTER: Duration = Duration::from_millis(1_000);

fn bytes_of(number: usize) -> usize {
    BYTES + number * BYTES_MORE
}

/// Asks for a long answer, reads it slowly, and returns whether all of it came.
fn download(mut conn: Conn, number: usize, record: &Record) -> Result<bool, String> {
    let id = format!("{number:016x}");
    let text = format!(
        "GET /read-schedule HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: read-schedule\r\n\
         X-Caller: legal-aid\r\nX-Budget-Ms: 400\r\n\r\n"
    );
    let fault = |e: std::io::Error| e.to_string();
    conn.stream.set_read_timeout(Some(Duration::from_secs(5))).map_err(fault)?;
    conn.stream.write_all(text.as_bytes()).map_err(fault)?;
    record.line(&format!("client {number} sends {id}"));
    let head = match conn.head() {
        Ok(Some(head)) => head,
        other => {
            record.line(&format!("client {number} has no answer: {other:?}"));
            return Ok(false);
        }
    };
    if head.status() != 200 {
        return Err(format!("client {number} was answered {}", head.status()));
    }
    let length: usize = head.header("content-length").and_then(|v| v.parse().ok()).ok_or("no length")?;
    let expected = schedule(&id, bytes_of(number));
    let start = Instant::now();
    let mut body = std::mem::take(&mut conn.rest);
    let mut ended = "whole".to_string();
    while body.len() < length {
        sleep((start + BETWEEN * (body.len() / PIECE) as u32).saturating_duration_since(Instant::now()));
        let mut piece = [0; PIECE];
        match std::io::Read::read(&mut conn.stream, &mut piece) {
            Ok(0) => {
                ended = "the connection was closed".into();
                break;
            }
            Ok(n) => body.extend_from_slice(&piece[..n]),
            Err(e) => {
                ended = e.to_string();
                break;
            }
        }
    }
    let took = start.elapsed().as_secs_f64();
    record.line(&format!("client {number} has {} of {length} bytes after {took:.1} s: {ended}", body.len()));
    Ok(body == expected)
}

/// What comes between the servers' answers and their clients.
#[derive(Clone, Copy, PartialEq)]
pub enum Trouble {
    /// An operator empties the agent.
    Drain,
    /// The platform tells the agent to end, and does not kill it.
    Stop,
    /// Idle connections beside those of the clients: together a third of the descriptors.
    Crowd,
}

/// The idle connections of [`Trouble::Crowd`].
const IDLE: usize = 290;

fn disturb(agent: &Agent, stop: bool, record: &Record) -> Result<(), String> {
    if stop {
        agent.terminate()?;
        record.line("the platform sends SIGTERM");
        return Ok(());
    }
    let status = call(&agent.admin, "POST", "/healthcheck/fail").map_err(|e| e.to_string())?;
    record.line(&format!("the operator empties the agent: POST /healthcheck/fail is answered {status}"));
    if !(200..300).contains(&status) {
        return Err(format!("the agent can't be emptied: {status}"));
    }
    Ok(())
}

pub fn run(trouble_kind: Trouble) -> Result<bool, String> {
    let (record, disturbed) = (Record::new()?, trouble());
    let notes = record.clone();
    let handler: Arc<Handler> = Arc::new(move |server, head, conn| {
        let id = head.header("x-call-id").unwrap_or_default();
        notes.line(&format!("server {server} runs {id}"));
        sleep(Duration::from_millis(25));
        let bytes = bytes_of(usize::from_str_radix(id, 16).unwrap_or_default());
        let written = conn.stream.write_all(&good(&schedule(id, bytes)));
        notes.line(&format!("server {server} has given all of its answer to {id}: {}", written.is_ok()));
        written.is_ok()
    });
    let mut targets = Vec::new();
    for number in 0..SERVERS {
        targets.push(target(number, &server(number, &handler)?, ZONES[number % 3]));
    }
    let mut agents = agents(1, &discovery(targets.clone())?, &targets, &record)?;
    let mut idle = Vec::new();
    if disturbed && trouble_kind == Trouble::Crowd {
        for _ in 0..IDLE {
            idle.push(agents[0].connect()?);
        }
        record.line(&format!("{IDLE} connections are opened and send nothing"));
        sleep(Duration::from_millis(200));
    }
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (conn, record) = (Conn::new(agents[0].connect()?), record.clone());
        clients.push(spawn(move || download(conn, number, &record)));
        sleep(Duration::from_millis(10));
    }
    sleep(EMPTIED_AFTER);
    if disturbed && trouble_kind != Trouble::Crowd {
        disturb(&agents[0], trouble_kind == Trouble::Stop, &record)?;
    }
    let mut whole = 0;
    for client in clients {
        whole += usize::from(client.join().map_err(|_| "a client panicked")??);
    }
    let summary = format!(
        "{whole} of {CLIENTS} long answers came whole; the agent has ended: {}",
        agents[0].has_ended()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(whole < CLIENTS)
}
