//! A new version is started beside the old one, with the configuration of the start: its list names a backend that
//! has drained since, and that discovery has told the old process of. What discovery has told binds the agent from
//! 2 s after the new process says yes.

use crate::cells::Cells;
use crate::slow_discovery::SETTINGS;
use crate::world::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// "8 to 48 agents": the settings name 48, of which these are real here. Each is upgraded `ROUNDS` times.
const BALANCERS: usize = 48;
const AGENTS: usize = 6;
const ROUNDS: usize = 7;
/// `rules.stopSendingWithinMs`, as the other deployment's site file has it, and the slack on sockets.
const GRACE: Duration = Duration::from_millis(500 + 50);
/// "News of discovery binds from 2 s after the yes."
const BINDS_AFTER: Duration = Duration::from_secs(2);
/// SIGKILL follows SIGTERM after the longest deadline and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(1500 + 700);
/// An upgrade begins each so often.
const ROUND: Duration = Duration::from_secs(9);

/// Whether the operators' address answers `GET /healthcheck` with yes.
fn says_yes(admin: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(admin) else { return false };
    let _ = stream.set_read_timeout(Some(ms(500)));
    let _ = stream.write_all(b"GET /healthcheck HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n\r\n");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.starts_with("HTTP/1.1 2")
}

pub fn play(folder: &Path, trouble: bool) -> bool {
    let (record, scratch) = (Record::new(), Scratch::new());
    let cells = Cells::start(&record);
    let discovery = Discovery::start(cells.targets.clone(), &record, Arc::new(write_at_once));
    let known = discovery.known();
    let settings = SETTINGS
        .replace("\"balancers\":1,", &format!("\"balancers\":{BALANCERS},"))
        .replace("\"stopSendingWithinMs\":2000.0", "\"stopSendingWithinMs\":500.0")
        .replace(r#""effect":"deduplicated","group":"all""#, r#""effect":"deduplicated","group":"cell""#);
    let sockets: Vec<TcpListener> = (0..AGENTS)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string())))
        .collect();
    let start = |number: usize, round: usize| {
        let admin = free_address();
        let plan = AgentPlan {
            name: &format!("n{number}"),
            listen: sockets[number].local_addr().unwrap_or_else(|e| cannot_run(&e.to_string())),
            discovery: discovery.address,
            seed: 0x8c1f_30d2_7a5b_e964 ^ unix_ms() as u64 ^ ((number * 64 + round) as u64) << 32,
            memory_mb: 192,
            sockets: 1024,
            known: &known,
            settings: &settings,
            admin: Some(admin),
        };
        (Agent::start_with(&scratch.0, &plan, Some(&sockets[number])), admin)
    };
    let mut agents: Vec<Agent> = (0..AGENTS)
        .map(|number| {
            let (mut agent, _) = start(number, 0);
            agent.wait_ready(Duration::from_secs(30));
            agent
        })
        .collect();
    // Clients of each agent: a request each 50 ms.
    let end = Arc::new(Mutex::new(false));
    let statuses: Arc<Mutex<Vec<u32>>> = Arc::default();
    let clients: Vec<_> = (0..AGENTS)
        .map(|number| {
            let (end, statuses, record) = (Arc::clone(&end), Arc::clone(&statuses), record.clone());
            let listen = agents[number].listen;
            thread::spawn(move || {
                let of_ends = record.clone();
                let ended = move |ask: &Ask, _: Instant, ending: Ending| {
                    let text =
                        ending.as_ref().map_or_else(String::clone, |answer| answer.status().to_string());
                    of_ends.now(format!("client: {} ends: {text}", ask.id));
                    statuses.lock().unwrap().push(ending.map_or(0, |answer| answer.status()));
                };
                let application = Application::new(listen, Arc::new(ended));
                for n in 0u64.. {
                    if *end.lock().unwrap() {
                        return;
                    }
                    let id = format!("{number:04x}{n:012x}");
                    record.now(format!("client: {id} is sent to n{number}"));
                    application.send(Ask {
                        id,
                        class: if n % 3 != 0 { "log-session" } else { "read-schedule" },
                        method: if n % 3 != 0 { "POST" } else { "GET" },
                        keyed: n % 3 != 0,
                        caller: "south-courts",
                        budget_ms: if n % 3 != 0 { 1500 } else { 400 },
                    });
                    thread::sleep(ms(50));
                }
            })
        })
        .collect();
    // By now each agent has a watch: it asks within 4 s of its start.
    thread::sleep(Duration::from_secs(5));
    let before = cells.sends.lock().unwrap().iter().filter(|(number, _, _)| *number == 3).count();
    let (drained, _) = cells.change(&discovery, &record);
    thread::sleep(Duration::from_secs(4));
    // Each yes, and the moment from which no send may come, unless the next upgrade of that agent has begun.
    let mut spans: Vec<(usize, usize, Instant, Instant)> = Vec::new();
    for round in 1..=if trouble { ROUNDS } else { 0 } {
        let began = Instant::now();
        let mut news = Vec::new();
        for number in 0..AGENTS {
            record.now(format!("n{number}: a new version is started"));
            news.push(start(number, round));
        }
        let mut waiting: Vec<usize> = (0..AGENTS).collect();
        let mut yes = vec![began; AGENTS];
        while !waiting.is_empty() {
            if began.elapsed() > Duration::from_secs(6) {
                cannot_run("a new process does not say yes within 6 s");
            }
            waiting.retain(|number| {
                let said = says_yes(news[*number].1);
                if said {
                    yes[*number] = Instant::now();
                    record.now(format!("n{number}: the new process says yes; SIGTERM to the old one"));
                    agents[*number].signal("TERM");
                }
                !said
            });
            thread::sleep(ms(10));
        }
        thread::sleep(
            (yes.iter().max().map_or(began, |at| *at) + KILL_AFTER).saturating_duration_since(Instant::now()),
        );
        // The old processes are killed here if they are still there.
        agents = news.into_iter().map(|(agent, _)| agent).collect();
        record.now("the old processes are gone".into());
        thread::sleep(ROUND.saturating_sub(began.elapsed()));
        let over = Instant::now();
        spans.extend(yes.iter().enumerate().map(|(number, yes)| (number, round, *yes, over)));
    }
    if !trouble {
        thread::sleep(Duration::from_secs(10));
    }
    *end.lock().unwrap() = true;
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(ms(800));
    let lived = agents.iter_mut().all(Agent::runs);
    drop(agents);
    let sends = cells.sends.lock().unwrap();
    let sends: Vec<(&str, Instant)> =
        sends.iter().filter(|send| send.0 == 3).map(|send| (send.1.as_str(), send.2)).collect();
    let runs = cells.runs.lock().unwrap();
    let agent_of = |id: &str| usize::from_str_radix(&id[..4], 16).unwrap_or(usize::MAX);
    let late = |(number, _, yes, over): &(usize, usize, Instant, Instant)| -> Vec<f64> {
        let of_it = sends
            .iter()
            .filter(|(id, at)| agent_of(id) == *number && *at > *yes + BINDS_AFTER + GRACE && *at < *over);
        of_it.map(|(_, at)| (*at - *yes).as_secs_f64()).collect()
    };
    let broken: Vec<(usize, usize, Vec<f64>)> = spans
        .iter()
        .map(|span| (span.0, span.1, late(span)))
        .filter(|(_, _, late)| !late.is_empty())
        .collect();
    // A second effect, in another cell, of a request that was sent once the news bound the agent.
    let mut doubled: Vec<(usize, usize, String)> = Vec::new();
    for (number, round, yes, over) in &spans {
        let bound = *yes + BINDS_AFTER + ms(50);
        for (id, runs) in runs.iter().filter(|(id, runs)| agent_of(id) == *number && runs.len() > 1) {
            if runs[0].at > bound && runs[0].at < *over {
                let runs: Vec<String> = runs
                    .iter()
                    .map(|run| {
                        format!(
                            "{} (cell {}) {:.3} s after the yes",
                            run.backend,
                            run.cell,
                            (run.at - *yes).as_secs_f64()
                        )
                    })
                    .collect();
                doubled.push((*number, *round, format!("{id}: {}", runs.join(", then "))));
            }
        }
    }
    let doubled_plain = if trouble {
        0
    } else {
        runs.values().filter(|runs| runs.len() > 1 && runs[0].at > drained + ms(50)).count()
    };
    // Without an upgrade, or outside one, the drain binds after the grace.
    let plain = if trouble { 0 } else { sends.iter().filter(|(_, at)| *at > drained + GRACE).count() };
    let served = statuses.lock().unwrap().iter().filter(|status| **status == 200).count();
    let mut head = vec![
        format!(
            "trouble: {trouble}; requests: {}, served: {served}; the last processes ran to the end: {lived}",
            statuses.lock().unwrap().len()
        ),
        format!("sends to s-3 before its drain: {before}; upgrades: {}", spans.len()),
        format!(
            "upgrades after which s-3 was sent to later than 2 s after the yes + grace 0.5 s + 50 ms: {}",
            broken.len()
        ),
        format!(
            "keyed requests that took effect in two cells later than 2 s after the yes: {}",
            doubled.len()
        ),
        format!("the same two with no upgrade: {plain} sends, {doubled_plain} requests"),
    ];
    for (number, round, text) in doubled.iter().take(6) {
        head.push(format!("  n{number}, upgrade {round}: {text}"));
    }
    for (number, round, late) in &broken {
        head.push(format!(
            "  n{number}, upgrade {round}: {} sends, the last {:.3} s after the yes",
            late.len(),
            late.iter().fold(0.0, |a: f64, b| a.max(*b))
        ));
    }
    head.iter().for_each(|line| println!("{line}"));
    record.write(folder, &head);
    if before == 0 || !lived {
        cannot_run("s-3 got nothing before its drain, or an agent has ended");
    }
    !broken.is_empty() || !doubled.is_empty() || plain + doubled_plain > 0
}
