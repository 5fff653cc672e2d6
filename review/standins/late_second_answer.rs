//! Some good answers bring a second copy some milliseconds later, if nothing else waits on the connection then.
//! The agents are in point-fortin and the servers in the two other buildings, 0.7 ms away one way.

use crate::net::Conn;
use crate::office::{client, Habit, Seen};
use crate::platform::{agents, discovery, target, trouble, Record, ZONES};
use crate::servers::{good, link, schedule, server, Handler};
use std::collections::HashMap;
use std::io::{ErrorKind, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const AGENTS: usize = 3;
const SERVERS: usize = 9;
const CLIENTS_EACH: usize = 3;
const BYTES: usize = 600;
const PLAY: Duration = Duration::from_secs(45);
/// One way between two buildings; the site has 0.42 to 0.78 ms.
const ONE_WAY: Duration = Duration::from_micros(700);
/// One good answer in this many brings a second copy, 1, 2 or 3 ms later.
const TWICE_ONE_IN: usize = 5;
/// One request in this many finds the queue full and is turned away.
const FULL_ONE_IN: usize = 4;
const WORK: Duration = Duration::from_millis(25);

/// Whether no byte of a further request has come on this connection.
fn nothing_waits(conn: &Conn) -> bool {
    if !conn.rest.is_empty() || conn.stream.set_nonblocking(true).is_err() {
        return false;
    }
    let peeked = conn.stream.peek(&mut [0; 1]);
    let _ = conn.stream.set_nonblocking(false);
    matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
}

pub fn run() -> Result<bool, String> {
    let (record, twice) = (Record::new()?, trouble());
    let (answers, copies) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (count, count_copies, notes) = (Arc::clone(&answers), Arc::clone(&copies), record.clone());
    let (calls, runs) = (AtomicUsize::new(0), Arc::new(Mutex::new(HashMap::new())));
    let ran = Arc::clone(&runs);
    let handler: Arc<Handler> = Arc::new(move |number, head, conn| {
        let id = head.header("x-call-id").unwrap_or_default();
        // A full queue, with or without the disruption: turned away unseen.
        if calls.fetch_add(1, Ordering::Relaxed) % FULL_ONE_IN == FULL_ONE_IN - 1 {
            notes.line(&format!("server {number} turns {id} away"));
            return conn
                .stream
                .write_all(b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
                .is_ok();
        }
        notes.line(&format!("server {number} runs {id}"));
        if head.path() == "/assign-session" {
            *ran.lock().unwrap().entry(id.to_string()).or_insert(0usize) += 1;
        }
        sleep(WORK);
        let answer = good(&schedule(id, BYTES));
        notes.line(&format!("server {number} answers {id}"));
        if conn.stream.write_all(&answer).is_err() {
            return false;
        }
        let n = count.fetch_add(1, Ordering::Relaxed);
        if twice && n % TWICE_ONE_IN == TWICE_ONE_IN - 1 {
            sleep(Duration::from_millis(1 + (n / TWICE_ONE_IN % 3) as u64));
            if nothing_waits(conn) {
                count_copies.fetch_add(1, Ordering::Relaxed);
                notes.line(&format!("server {number} answers {id} a SECOND time"));
                return conn.stream.write_all(&answer).is_ok();
            }
        }
        true
    });
    let mut targets = Vec::new();
    for number in 0..SERVERS {
        let address = link(server(number, &handler)?, ONE_WAY)?;
        targets.push(target(number, &address, ZONES[number % 2]));
    }
    let agents = agents(AGENTS, &discovery(targets.clone())?, &targets, &record)?;
    let (seen, end) = (Arc::new(Seen::default()), Instant::now() + PLAY);
    let habit = Habit { in_a_row: 5, pause: Duration::from_millis(50), bytes: BYTES, writes: true };
    let clients: Vec<_> = (0..AGENTS * CLIENTS_EACH)
        .map(|n| client(&agents[n % AGENTS], n, habit, end, &seen, &record))
        .collect();
    clients.into_iter().for_each(|c| drop(c.join()));
    let copies = copies.load(Ordering::Relaxed);
    let doubled: Vec<String> = runs
        .lock()
        .unwrap()
        .iter()
        .filter(|(_, n)| **n > 1)
        .map(|(id, n)| format!("{id} ran {n} times"))
        .collect();
    doubled.iter().for_each(|d| record.line(d));
    let summary =
        format!("{}; {copies} second copies; {} unsafe requests ran twice", seen.summary(), doubled.len());
    record.line(&summary);
    println!("{summary}");
    if seen.count(&seen.good) == 0 || (twice && copies == 0) {
        return Err("nothing was served, or there was no second copy".into());
    }
    Ok(seen.count(&seen.wrong) + doubled.len() > 0)
}
