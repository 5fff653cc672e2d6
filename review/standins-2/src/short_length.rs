//! Backends write their answers in small pieces, and some answers come spoilt: the stated length is too short, and
//! the rest of the body follows behind it. A client must not be served with a body that no backend made for it.

use crate::slow_discovery::SETTINGS;
use crate::world::*;
use std::collections::HashMap;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An answer goes out in this many pieces of `PIECE` bytes, each `PAUSE` after the one before.
const PIECES: usize = 4;
const PIECE: usize = 64;
const PAUSE: Duration = Duration::from_millis(8);
/// One answer in so many is spoilt: its head states the length of the first two pieces alone.
const SPOILT: u64 = 12;
const DAY: Duration = Duration::from_secs(20);

fn body(id: &str) -> String {
    let mut body = String::new();
    while body.len() < PIECES * PIECE {
        body += &format!("{id} ");
    }
    body.truncate(PIECES * PIECE);
    body
}

pub fn play(folder: &Path, trouble: bool) -> bool {
    let (record, scratch) = (Record::new(), Scratch::new());
    let spoilt: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let targets: Vec<Target> = (0..3)
        .map(|number| {
            let (spoilt, record) = (Arc::clone(&spoilt), record.clone());
            let endpoint = backend(
                None,
                Arc::new(move |request, out| {
                    if answer_probe(request, out)? {
                        return Ok(());
                    }
                    let id = request.header("x-call-id").unwrap_or("").to_string();
                    let n = u64::from_str_radix(&id, 16).unwrap_or(0);
                    let is_spoilt = trouble && n % SPOILT == 5;
                    let body = body(&id);
                    let length = if is_spoilt { body.len() / 2 } else { body.len() };
                    if is_spoilt {
                        *spoilt.lock().unwrap().entry(id.clone()).or_default() += 1;
                        record.now(format!(
                            "s-{number}: the answer to {id} is spoilt: {length} of {} bytes are stated",
                            body.len()
                        ));
                    }
                    out.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").as_bytes())?;
                    for piece in body.as_bytes().chunks(PIECE) {
                        out.write_all(piece)?;
                        thread::sleep(PAUSE);
                    }
                    Ok(())
                }),
            );
            Target {
                uid: format!("s-{number}"),
                endpoint,
                az: "san-fernando".into(),
                cell: 0,
                state: "SERVING",
                boot_ms: 0.0,
            }
        })
        .collect();
    let discovery = Discovery::start(targets, &record, Arc::new(write_at_once));
    let known = discovery.known();
    let plan = AgentPlan {
        name: "n0",
        listen: free_address(),
        discovery: discovery.address,
        seed: 0x8c1f_30d2_7a5b_e964 ^ unix_ms() as u64,
        memory_mb: 192,
        sockets: 1024,
        known: &known,
        settings: SETTINGS,
        admin: None,
    };
    let mut agent = Agent::start(&scratch.0, &plan);
    agent.wait_ready(Duration::from_secs(30));
    let wrong: Arc<Mutex<Vec<String>>> = Arc::default();
    let counts: Arc<Mutex<HashMap<u32, u32>>> = Arc::default();
    let application = {
        let (wrong, counts, record) = (Arc::clone(&wrong), Arc::clone(&counts), record.clone());
        Application::new(
            agent.listen,
            Arc::new(move |ask, _, ending| {
                let text = match &ending {
                    Ok(answer) => format!("{} with {} bytes", answer.status(), answer.body.len()),
                    Err(why) => why.clone(),
                };
                record.now(format!("client: {} ends: {text}", ask.id));
                let Ok(answer) = ending else { return };
                *counts.lock().unwrap().entry(answer.status()).or_default() += 1;
                if answer.status() == 200 && answer.body != body(&ask.id).as_bytes() {
                    wrong.lock().unwrap().push(format!(
                        "{}: {:?}",
                        ask.id,
                        String::from_utf8_lossy(&answer.body)
                    ));
                }
            }),
        )
    };
    let began = Instant::now();
    let mut n = 0;
    while began.elapsed() < DAY {
        let reads = n % 3 != 0;
        application.send(Ask {
            id: format!("{n:016x}"),
            class: if reads { "read-schedule" } else { "log-session" },
            method: if reads { "GET" } else { "POST" },
            keyed: !reads,
            caller: "south-courts",
            budget_ms: if reads { 400 } else { 1500 },
        });
        n += 1;
        thread::sleep(ms(40));
    }
    thread::sleep(ms(2500));
    let lived = agent.runs();
    drop(agent);
    let wrong = wrong.lock().unwrap();
    let mut head = vec![
        format!(
            "trouble: {trouble}; requests: {n}, endings by status: {:?}; the agent ran to the end: {lived}",
            counts.lock().unwrap()
        ),
        format!("requests with a spoilt answer: {}", spoilt.lock().unwrap().len()),
        format!("requests served with 200 and a body that no backend made: {}", wrong.len()),
    ];
    head.extend(wrong.iter().take(5).map(|line| format!("  {line}")));
    head.iter().for_each(|line| println!("{line}"));
    record.write(folder, &head);
    if !lived {
        cannot_run("the agent has ended");
    }
    !wrong.is_empty()
}
