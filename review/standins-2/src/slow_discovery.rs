//! A discovery service that is slow: the head of each answer is written at once, its body `BODY_DELAY` later. One
//! backend begins to drain, and another one is replaced at its address by a new one of another cell. Once that counts
//! as told, a keyed request that may have run must not be repeated outside its cell, and nothing may be sent to the
//! backend that drains later than the settings allow.

use crate::cells::{Cells, Run};
use crate::world::*;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Between the head and the body of each answer of discovery.
const BODY_DELAY: Duration = Duration::from_millis(400);
const DRAIN_AT: Duration = Duration::from_secs(10);
const DAY: Duration = Duration::from_secs(32);
/// `rules.stopSendingWithinMs`, and the slack on sockets.
const GRACE: Duration = Duration::from_millis(2000 + 50);
/// What discovery has to tell counts as told this much later at the latest.
const TOLD_WITHIN: Duration = Duration::from_secs(6);

pub const SETTINGS: &str = r#"{"balancers":1,
"classes":[{"aimMs":200.0,"deadlineMs":400.0,"dedupWindowMs":5000.0,"effect":"idempotent","group":"all","lateWorth":0.0,"name":"read-schedule","points":1.0,"stream":false},
{"aimMs":500.0,"deadlineMs":1500.0,"dedupWindowMs":7500.0,"effect":"deduplicated","group":"all","lateWorth":0.0,"name":"log-session","points":10.0,"stream":false}],
"clientHabits":{"marksRetry":false},"discovery":"on_request","familyInfo":{"warmKeys":false},
"feedback":{"fields":["qps","latency_ms","eps","queue"],"source":"piggyback"},
"goal":{"whole":0.6,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.1},"kinds":["standard-3core"],
"limits":{"cancel":true,"connectTimeoutMs":100.0,"cpuUsPerRequest":0.0,"cpuUsPerS":9528,"keepaliveMs":10000.0,"maxAttempts":6,"maxOpen":23821,"maxRetryAfterMs":750.0,"maxStreams":1,"peers":false,"probes":true,"retryAfter":false,"secondCopies":true},
"overShareWorth":0.1,"parties":[{"allowancePerS":74.0,"fraction":1.0,"name":"south-courts"}],
"penalties":{"connection":0.03,"crossZone":0.02,"discovery":0.0,"handshake":0.03,"lateFail":0.05,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.02},
"periodMs":5.0,
"rules":{"askWithinMs":10000.0,"coldShare":0.39,"fallMs":1500.0,"graceToAnswerMs":20.0,"overloadFactor":4.0,"stopSendingWithinMs":2000.0,"warmAfterMs":7400.0},
"serviceType":"mesh","slotNo":0,"tier":0,"tiers":["booking-servers"],"weights":"silent","worthBy":"request","zone":0,"zones":["san-fernando","marabella","point-fortin"]}"#;

pub fn play(folder: &Path, trouble: bool) -> bool {
    let (record, scratch) = (Record::new(), Scratch::new());
    let cells = Cells::start(&record);
    let writer: Arc<Writer> = if trouble {
        Arc::new(|stream, head, body| {
            use std::io::Write;
            stream.write_all(head.as_bytes())?;
            thread::sleep(BODY_DELAY);
            stream.write_all(body.as_bytes())
        })
    } else {
        Arc::new(write_at_once)
    };
    let discovery = Discovery::start(cells.targets.clone(), &record, writer);
    let known = discovery.known();
    // "Their settings may give a class another effect than the site does": log-session's repeats are dropped by a cell.
    let settings = SETTINGS
        .replace(r#""effect":"deduplicated","group":"all""#, r#""effect":"deduplicated","group":"cell""#);
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
    let answers: Arc<Mutex<Vec<u32>>> = Arc::default();
    let application = {
        let (answers, record) = (Arc::clone(&answers), record.clone());
        Application::new(
            agent.listen,
            Arc::new(move |ask, _, ending| {
                let text = match &ending {
                    Ok(answer) => format!("{} {:?}", answer.status(), String::from_utf8_lossy(&answer.body)),
                    Err(why) => why.clone(),
                };
                record.now(format!("client: request {} ends: {text}", ask.id));
                answers.lock().unwrap().push(ending.map_or(0, |answer| answer.status()));
            }),
        )
    };
    let began = Instant::now();
    let mut drained: Option<(Instant, u64)> = None;
    let mut n = 0;
    while began.elapsed() < DAY {
        if drained.is_none() && began.elapsed() >= DRAIN_AT {
            drained = Some(cells.change(&discovery, &record));
        }
        let reads = n % 3 != 0;
        let id = format!("{n:016x}");
        record.now(format!("client: request {id} is sent"));
        application.send(Ask {
            id,
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
    let (drained, rev) = drained.unwrap_or_else(|| cannot_run("nothing has drained"));
    // Told when the first answer that holds the change has been written, and 6 s after the change at the latest.
    let written =
        discovery.written.lock().unwrap().iter().find(|(version, _)| *version >= rev).map(|(_, at)| *at);
    let told = drained + TOLD_WITHIN;
    let sends = cells.sends.lock().unwrap();
    let late: Vec<_> = sends.iter().filter(|(number, _, at)| *number == 3 && *at > told + GRACE).collect();
    let before = sends.iter().filter(|(number, _, at)| *number == 3 && *at < drained).count();
    let runs = cells.runs.lock().unwrap();
    // A second effect, in another cell, of a request that was sent once the change counted as told.
    let doubled: Vec<(&String, &Vec<Run>)> =
        runs.iter().filter(|(_, runs)| runs.len() > 1 && runs[0].at > told + ms(50)).collect();
    let early = runs.values().filter(|runs| runs.len() > 1).count() - doubled.len();
    let served = answers.lock().unwrap().iter().filter(|status| **status == 200).count();
    let since = |at: Instant| format!("{:.3} s", at.saturating_duration_since(drained).as_secs_f64());
    let mut head = vec![
        format!("trouble: {trouble}; requests sent by clients: {n}, served: {served}; the agent ran to the end: {lived}"),
        format!("sends to s-3 before its drain: {before}"),
        format!("keyed requests that took effect in two cells though the change counted as told: {} (before that: {early})", doubled.len()),
        format!("an answer with the changes was first written whole {} after them", written.map_or("never".into(), since)),
        format!("sends to s-3 later than told (6 s at the latest) + grace 2 s + 50 ms: {}", late.len()),
    ];
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        head.push(format!(
            "the first of these sends {} after the drain, the last {}",
            since(first.2),
            since(last.2)
        ));
    }
    for (id, runs) in doubled.iter().take(5) {
        let runs: Vec<String> =
            runs.iter().map(|run| format!("{} (cell {}) {}", run.backend, run.cell, since(run.at))).collect();
        head.push(format!("  {id}: {}", runs.join(", then ")));
    }
    head.iter().for_each(|line| println!("{line}"));
    record.write(folder, &head);
    if before == 0 || !lived {
        cannot_run("s-3 got nothing before its drain, or the agent has ended");
    }
    !late.is_empty() || !doubled.is_empty()
}
