//! A client leaves while the answer to its request, which states no length, has begun and pauses. Another client's long
//! answer, which states no length either, is written slowly and without a pause. Its rest must not be held back for 2 s.

use crate::slow_discovery::SETTINGS;
use crate::world::*;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A long answer: 120 kB in pieces of 1,000 bytes, one each 50 ms (20 kB a second).
const LONG_PIECES: usize = 120;
const PIECE: usize = 1_000;
const PAUSE: Duration = Duration::from_millis(50);
/// How long the answer to the client that leaves pauses after its first piece.
const HANG: Duration = Duration::from_millis(4_500);
const ROUNDS: u64 = 5;

fn ask(id: &str, class: &'static str) -> Ask {
    let method = if class == "read-schedule" { "GET" } else { "POST" };
    Ask { id: id.into(), class, method, keyed: false, caller: "south-courts", budget_ms: 4000 }
}

fn send(agent: SocketAddr, ask: &Ask) -> TcpStream {
    let mut stream = TcpStream::connect(agent).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    let _ = stream.write_all(ask.text().replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n").as_bytes());
    stream
}

pub fn play(folder: &Path, trouble: bool) -> bool {
    let (record, scratch) = (Record::new(), Scratch::new());
    // When a backend gave the first bytes of each answer.
    let given: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let targets: Vec<Target> = (0..3)
        .map(|number| {
            let (record, given) = (record.clone(), Arc::clone(&given));
            let endpoint = backend(
                None,
                Arc::new(move |request, out| {
                    if answer_probe(request, out)? {
                        return Ok(());
                    }
                    let id = request.header("x-call-id").unwrap_or("").to_string();
                    let is_long = request.first_line.contains("read-schedule");
                    // The end of the connection is the end of the body.
                    out.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")?;
                    given.lock().unwrap().entry(id.clone()).or_insert_with(Instant::now);
                    record.now(format!("s-{number}: {id} is run, and its answer begins"));
                    for n in 0..if is_long { LONG_PIECES } else { 2 } {
                        if n > 0 {
                            thread::sleep(if is_long { PAUSE } else { HANG });
                        }
                        out.write_all(&[b'a' + (n % 26) as u8; PIECE])?;
                    }
                    record.now(format!("s-{number}: the answer to {id} is written"));
                    out.shutdown(std::net::Shutdown::Write)?;
                    Err(std::io::ErrorKind::ConnectionAborted.into())
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
    // Deadlines of 4 s, an unsafe class, and no cancels.
    let settings = SETTINGS
        .replace(r#""aimMs":200.0,"deadlineMs":400.0"#, r#""aimMs":750.0,"deadlineMs":4000.0"#)
        .replace(r#""aimMs":500.0,"deadlineMs":1500.0"#, r#""aimMs":750.0,"deadlineMs":4000.0"#)
        .replace(r#""effect":"deduplicated""#, r#""effect":"at_most_once""#)
        .replace(r#""cancel":true"#, r#""cancel":false"#);
    let plan = AgentPlan {
        name: "n0",
        listen: free_address(),
        discovery: discovery.address,
        seed: 0x8c1f_30d2_7a5b_e964 ^ unix_ms() as u64,
        memory_mb: 192,
        sockets: 1024,
        known: &known,
        settings: &settings,
        admin: None,
    };
    let mut agent = Agent::start(&scratch.0, &plan);
    agent.wait_ready(Duration::from_secs(30));
    let mut answers = Vec::new();
    for round in 0..ROUNDS {
        let leaver = format!("a{round:015x}");
        let mut leaving = Some(send(agent.listen, &ask(&leaver, "log-session")));
        record.now(format!("client: {leaver} is sent"));
        // Its answer has begun by now.
        thread::sleep(ms(80));
        if trouble {
            leaving = None;
            record.now(format!("client: {leaver} has left: its connection is closed"));
        }
        thread::sleep(ms(40));
        let id = format!("b{round:015x}");
        let sent = Instant::now();
        let mut stream = send(agent.listen, &ask(&id, "read-schedule"));
        record.now(format!("client: {id} is sent"));
        let (mut buffer, mut bytes) = ([0; 16 * 1024], 0);
        let mut first = None;
        while let Ok(n @ 1..) = stream.read(&mut buffer) {
            if first.is_none() {
                first = Some(Instant::now());
                record.now(format!("client: the first bytes of the answer to {id} come"));
            }
            bytes += n;
        }
        let gave = given.lock().unwrap().get(&id).copied();
        record.now(format!("client: the answer to {id} ends after {bytes} bytes"));
        let held = match (first, gave) {
            (Some(first), Some(gave)) => Some(first.saturating_duration_since(gave)),
            _ => None,
        };
        answers.push((id, first.map(|at| at - sent), held, bytes));
        drop(leaving);
        thread::sleep(ms(300));
    }
    let lived = agent.runs();
    drop(agent);
    let log = std::fs::read_to_string(scratch.0.join("n0.log")).unwrap_or_default();
    let panics = log.lines().filter(|line| line.contains("panicked at")).count();
    let lost = answers.iter().filter(|a| a.2.is_none_or(|held| held >= Duration::from_secs(2))).count();
    let mut head = vec![
        format!("trouble: {trouble}; rounds: {ROUNDS}; the agent ran to the end: {lived}"),
        format!("long answers of which what the backend gave was held back for 2 s and more: {lost}"),
        format!("panics of the decision module in the agent's log: {panics}"),
    ];
    for (id, first, held, bytes) in &answers {
        head.push(format!("  {id}: first bytes {first:.3?} after the request, {held:.3?} after the backend gave them; {bytes} bytes in all"));
    }
    if let Some(line) = log.lines().find(|line| line.contains("panicked at")) {
        head.push(format!("  agent: {line}"));
    }
    head.iter().for_each(|line| println!("{line}"));
    record.write(folder, &head);
    if !lived {
        cannot_run("the agent has ended");
    }
    lost > 0
}
