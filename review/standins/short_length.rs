//! Some answers come spoilt: their head states a length that doesn't fit, half of that of the body, which
//! follows whole and in the same write. The connection stays open and is of no further use.

use crate::office::{client, Habit, Seen};
use crate::platform::{agents, discovery, target, trouble, Record, ZONES};
use crate::servers::{good, schedule, server, Handler};
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const AGENTS: usize = 3;
const SERVERS: usize = 9;
const CLIENTS_EACH: usize = 2;
const BYTES: usize = 600;
const PLAY: Duration = Duration::from_secs(15);
/// One answer in this many is spoilt, from any server alike.
const SPOILT_ONE_IN: usize = 20;
const WORK: Duration = Duration::from_millis(25);

pub fn run() -> Result<bool, String> {
    let (record, spoil) = (Record::new()?, trouble());
    let (answers, spoilt) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (count, count_spoilt, notes) = (Arc::clone(&answers), Arc::clone(&spoilt), record.clone());
    let handler: Arc<Handler> = Arc::new(move |number, head, conn| {
        let id = head.header("x-call-id").unwrap_or_default();
        notes.line(&format!("server {number} runs {id}"));
        sleep(WORK);
        let body = schedule(id, BYTES);
        let is_spoilt = count.fetch_add(1, Ordering::Relaxed) % SPOILT_ONE_IN == SPOILT_ONE_IN - 1;
        if !(spoil && is_spoilt) {
            notes.line(&format!("server {number} answers {id}"));
            return conn.stream.write_all(&good(&body)).is_ok();
        }
        count_spoilt.fetch_add(1, Ordering::Relaxed);
        notes.line(&format!(
            "server {number} answers {id} SPOILT: length {} for a body of {}",
            body.len() / 2,
            body.len()
        ));
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len() / 2
        )
        .into_bytes();
        answer.extend_from_slice(&body);
        let _ = conn.stream.write_all(&answer);
        false
    });
    let mut targets = Vec::new();
    for number in 0..SERVERS {
        targets.push(target(number, &server(number, &handler)?, ZONES[number % 3]));
    }
    let agents = agents(AGENTS, &discovery(targets.clone())?, &targets, &record)?;
    let (seen, end) = (Arc::new(Seen::default()), Instant::now() + PLAY);
    let habit = Habit { in_a_row: 5, pause: Duration::from_millis(100), bytes: BYTES, writes: true };
    let clients: Vec<_> = (0..AGENTS * CLIENTS_EACH)
        .map(|n| client(&agents[n % AGENTS], n, habit, end, &seen, &record))
        .collect();
    clients.into_iter().for_each(|c| drop(c.join()));
    let spoilt = spoilt.load(Ordering::Relaxed);
    let summary = format!("{}; {spoilt} answers of servers were spoilt", seen.summary());
    record.line(&summary);
    println!("{summary}");
    if seen.count(&seen.good) == 0 || (spoil && spoilt == 0) {
        return Err("nothing was served, or no answer was spoilt".into());
    }
    Ok(seen.count(&seen.wrong) > 0)
}
