//! The memory of the whole process stays under the limit of its deployment, whatever its peers do.

use dilljunction_lab::standins::booking::Act;
use dilljunction_lab::standins::hand::*;
use std::thread;
use std::time::Duration;

/// The least memory that an agent is run with, in MB.
const MEMORY_MB: usize = 16;

/// The most resident memory that a process has had, in KiB.
fn peak_kilobytes(agent: &Agent) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", agent.child.id())).expect("its process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    line.split_whitespace().next().and_then(|digits| digits.parse().ok()).expect("a number")
}

/// An agent with the least memory and 1,024 descriptors.
fn start(backends: &[Backend]) -> (Agent, Discovery) {
    let lines: Vec<String> =
        backends.iter().enumerate().map(|(i, backend)| serving(&format!("s{i}"), backend.address)).collect();
    let discovery = Discovery::new(lines.join(","));
    let limits = format!(r#""limits":{{"memory_mb":{MEMORY_MB},"sockets":1024}}"#);
    let text = config(discovery.address, &lines.join(","), SETTINGS, 1024);
    (Agent::start(&text.replacen(r#""limits":{"sockets":1024}"#, &limits, 1)), discovery)
}

/// Connections to servers stay open behind answers with large heads, to every server that was ever used.
#[test]
fn connections_to_many_servers_fit_into_the_memory() {
    let fields: String = (0..55).map(|i| format!("X-{i}: {}\r\n", "v".repeat(200))).collect();
    let answer = format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: 2\r\n\r\nok");
    let script = move |_: &_| Act::Paced {
        parts: vec![String::new(), answer.clone()],
        pause: Duration::from_millis(20),
        ends: false,
    };
    let backends: Vec<Backend> = (0..150).map(|_| Backend::new(script.clone())).collect();
    let (agent, _discovery) = start(&backends);
    let address = agent.address;
    let clients: Vec<_> = (0..60)
        .map(|_| {
            thread::spawn(move || {
                let mut client = Client::at(address);
                let mut served = 0;
                for _ in 0..60 {
                    client.write(&request("read", 9000));
                    match client.read() {
                        Some(answer) => served += usize::from(answer.status() == 200),
                        None => client = Client::at(address),
                    }
                }
                served
            })
        })
        .collect();
    let served: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
    let peak = peak_kilobytes(&agent);
    assert!(peak < MEMORY_MB * 1024, "{peak} KiB, {served} served");
    assert!(served > 3000, "{served} of 3600 served");
}
