//! An operator empties the agent. Clients that send 64 kB a second send one more request each, on connections that
//! stayed open. At 4 s no connection may be held with a request from the last 2 s.

use crate::slow_discovery::SETTINGS;
use crate::world::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// After the operator's call: when the first client begins its request; the others follow each `STEP` later.
const BEGIN_AT: Duration = Duration::from_millis(600);
const STEP: Duration = Duration::from_millis(20);
/// A body of this length, a piece each `PAUSE`: 64 kB a second, 3.2 s in all.
const BODY: usize = 204_800;
const PIECE: usize = 3_200;
const PAUSE: Duration = Duration::from_millis(50);
/// How long the backends work on such a request, of the 1.5 s that its client waits.
const WORK: Duration = Duration::from_millis(250);
const CLIENTS: u64 = 8;

fn read_answer(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let n = stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
        text.extend_from_slice(&buffer[..n]);
        let all = String::from_utf8_lossy(&text).to_ascii_lowercase();
        let Some((head, body)) = all.split_once("\r\n\r\n") else { continue };
        let length =
            head.lines().find_map(|l| l.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
        if body.len() >= length.unwrap_or(0) {
            return Some(head.lines().next().unwrap_or("").to_string());
        }
    }
}

pub fn play(folder: &Path, trouble: bool) -> bool {
    let (record, scratch) = (Record::new(), Scratch::new());
    let targets: Vec<Target> = (0..3)
        .map(|number| {
            let record = record.clone();
            let endpoint = backend(
                None,
                Arc::new(move |request, out| {
                    if answer_probe(request, out)? {
                        return Ok(());
                    }
                    let id = request.header("x-call-id").unwrap_or("").to_string();
                    record.now(format!("s-{number}: {id} runs"));
                    thread::sleep(if request.body.is_empty() { ms(100) } else { WORK });
                    answer_200(out, &id)
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
    let admin = free_address();
    let plan = AgentPlan {
        name: "n0",
        listen: free_address(),
        discovery: discovery.address,
        seed: 0x8c1f_30d2_7a5b_e964 ^ unix_ms() as u64,
        memory_mb: 192,
        sockets: 1024,
        known: &known,
        settings: SETTINGS,
        admin: Some(admin),
    };
    let mut agent = Agent::start(&scratch.0, &plan);
    agent.wait_ready(Duration::from_secs(30));
    let listen = agent.listen;
    let ask = |n: u64, k: u64| Ask {
        id: format!("{n:08x}{k:08x}"),
        class: "log-session",
        method: "POST",
        keyed: true,
        caller: "south-courts",
        budget_ms: 1500,
    };
    // Each client has carried a request on its connection before.
    let mut streams: Vec<TcpStream> = (0..CLIENTS)
        .map(|n| {
            let mut stream = TcpStream::connect(listen).unwrap_or_else(|e| cannot_run(&e.to_string()));
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
            record.now(format!("client {n}: its first request is sent"));
            let _ = stream.write_all(ask(n, 0).text().as_bytes());
            let answer = read_answer(&mut stream);
            record.now(format!("client {n}: its first request ends: {answer:?}"));
            stream
        })
        .collect();
    thread::sleep(ms(1000));
    let called = Instant::now();
    if trouble {
        let mut operator = TcpStream::connect(admin).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let _ = operator
            .write_all(b"POST /healthcheck/fail HTTP/1.1\r\nHost: agent\r\nContent-Length: 0\r\n\r\n");
        let answer = read_answer(&mut operator);
        record.now(format!("the operator empties the agent: {answer:?}"));
        if !answer.is_some_and(|answer| answer.contains(" 200")) {
            cannot_run("the operator's call was not answered with yes");
        }
    }
    let clients: Vec<_> = streams
        .drain(..)
        .enumerate()
        .map(|(n, mut stream)| {
            let text =
                ask(n as u64, 1).text().replace("Content-Length: 0", &format!("Content-Length: {BODY}"));
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep((BEGIN_AT + STEP * n as u32).saturating_sub(called.elapsed()));
                let begun = Instant::now();
                record.at(begun, format!("client {n}: it begins its request on the open connection"));
                let piece = vec![b'w'; PIECE];
                let mut sent = stream.write_all(text.as_bytes());
                for number in 1..=BODY / PIECE {
                    thread::sleep((PAUSE * number as u32).saturating_sub(begun.elapsed()));
                    sent = sent.and_then(|()| stream.write_all(&piece));
                }
                if let Err(e) = sent {
                    record.now(format!("client {n}: its connection was closed while it wrote: {e}"));
                    return (None, Instant::now(), None);
                }
                let last_byte = Instant::now();
                record.at(last_byte, format!("client {n}: the last byte of its request is written"));
                let answer = read_answer(&mut stream);
                record.now(format!("client {n}: its request ends: {answer:?}"));
                (Some(last_byte), Instant::now(), answer)
            })
        })
        .collect();
    let ended: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let lived = agent.runs();
    drop(agent);
    let mark = called + Duration::from_secs(4);
    let held: Vec<_> = ended
        .iter()
        .filter(|(last, end, _)| {
            trouble
                && last.is_some_and(|last| last < mark && mark - last < Duration::from_secs(2))
                && *end > mark + ms(50)
        })
        .collect();
    let unanswered = ended.iter().filter(|(last, _, answer)| last.is_some() && answer.is_none()).count();
    let since = |at: Instant| at.saturating_duration_since(called).as_secs_f64();
    let mut head = vec![
        format!("trouble: {trouble}; slow clients: {CLIENTS}; the agent ran to the end: {lived}"),
        format!("requests written whole that got no answer: {unanswered}"),
        format!("connections that were held 4 s after the operator's call (and 50 ms more) with a request from the last 2 s: {}", held.len()),
    ];
    for (last, end, answer) in &ended {
        head.push(format!(
            "  written whole at {:?} s, ended at {:.3} s: {answer:?}",
            last.map(|l| (since(l) * 1e3).round() / 1e3),
            since(*end)
        ));
    }
    head.iter().for_each(|line| println!("{line}"));
    record.write(folder, &head);
    if !lived {
        cannot_run("the agent has ended");
    }
    !held.is_empty()
}
