//! The platform: the record, discovery, and the agents, started with the `run` of the deploy file.

use crate::net::{call, Conn};
use std::fs::File;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Whether the disruption is played: the environment's `TROUBLE=0` says no.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The record of a run: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    /// Creates the file that the environment's `RECORD` names.
    pub fn new() -> Result<Record, String> {
        let path = std::env::var("RECORD").map_err(|_| "RECORD is not set")?;
        let file = File::create(&path).map_err(|e| format!("{path}: {e}"))?;
        Ok(Record(Arc::new((Instant::now(), Mutex::new(file)))))
    }

    pub fn line(&self, text: &str) {
        let at = self.0 .0.elapsed().as_secs_f64();
        if let Ok(mut file) = self.0 .1.lock() {
            let _ = writeln!(file, "{at:9.4} {text}");
        }
    }
}

/// Starts discovery with a fixed list. A watch is answered, with nothing new, when its wait is over.
pub fn discovery(targets: Vec<String>) -> Result<String, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?.to_string();
    let whole = format!("{{\"rev\":41,\"all\":true,\"targets\":[{}]}}", targets.join(","));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let whole = whole.clone();
            spawn(move || serve_list(Conn::new(stream), &whole));
        }
    });
    Ok(address)
}

fn serve_list(mut conn: Conn, whole: &str) {
    while let Ok(Some(head)) = conn.head() {
        let query = |name: &str| -> Option<u64> {
            let (_, query) = head.path().split_once('?')?;
            query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?.1.parse().ok()
        };
        let text = match query("from") {
            Some(from) if from >= 41 => {
                sleep(Duration::from_millis(query("hold_ms").unwrap_or(0).min(60_000)));
                "{\"rev\":41,\"all\":false,\"targets\":[]}".to_string()
            }
            _ => whole.to_string(),
        };
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        if conn.stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// An entry of the list.
pub fn target(number: usize, endpoint: &str, zone: &str) -> String {
    format!(
        "{{\"uid\":\"s-{number}\",\"endpoint\":\"{endpoint}\",\"az\":\"{zone}\",\"model\":\"standard-3core\",\
         \"pod_group\":{number},\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":0}}"
    )
}

pub const ZONES: [&str; 3] = ["san-fernando", "marabella", "point-fortin"];

/// The settings of a small deployment: the example of the wire's page, for so many agents in
/// point-fortin, with `assign-session` marked as unsafe to repeat.
fn settings(number: usize, agents: usize) -> String {
    format!(
        r#"{{"balancers":{agents},
 "classes":[
  {{"aimMs":200.0,"deadlineMs":400.0,"dedupWindowMs":5000.0,"effect":"idempotent","group":"all","lateWorth":0.0,"name":"read-schedule","points":1.0,"stream":false}},
  {{"aimMs":400.0,"deadlineMs":1000.0,"dedupWindowMs":1000.0,"effect":"at_most_once","group":"zone","lateWorth":0.0,"name":"assign-session","points":3.0,"stream":false}},
  {{"aimMs":500.0,"deadlineMs":1500.0,"dedupWindowMs":7500.0,"effect":"deduplicated","group":"all","lateWorth":0.0,"name":"log-session","points":10.0,"stream":false}}],
 "clientHabits":{{"marksRetry":false}},"discovery":"on_request","familyInfo":{{"warmKeys":false}},
 "feedback":{{"fields":["qps","latency_ms","eps","queue"],"source":"piggyback"}},
 "goal":{{"whole":0.6,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.1}},
 "kinds":["standard-3core"],
 "limits":{{"cancel":true,"connectTimeoutMs":100.0,"cpuUsPerRequest":0.0,"cpuUsPerS":9528,"keepaliveMs":10000.0,"maxAttempts":6,"maxOpen":23821,"maxRetryAfterMs":750.0,"maxStreams":1,"peers":false,"probes":true,"retryAfter":false,"secondCopies":true}},
 "overShareWorth":0.1,
 "parties":[{{"allowancePerS":200.0,"fraction":0.5,"name":"south-courts"}},{{"allowancePerS":200.0,"fraction":0.5,"name":"legal-aid"}}],
 "penalties":{{"connection":0.03,"crossZone":0.02,"discovery":0.0,"handshake":0.03,"lateFail":0.05,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.02}},
 "periodMs":5.0,
 "rules":{{"askWithinMs":10000.0,"coldShare":0.39,"fallMs":1500.0,"graceToAnswerMs":20.0,"overloadFactor":4.0,"stopSendingWithinMs":2000.0,"warmAfterMs":7400.0}},
 "serviceType":"mesh","slotNo":{number},"tier":0,"tiers":["booking-servers"],"weights":"silent","worthBy":"request",
 "zone":2,"zones":["san-fernando","marabella","point-fortin"]}}"#
    )
}

/// An agent's process.
pub struct Agent {
    pub name: String,
    pub listen: String,
    pub admin: String,
    child: Child,
}

/// The `run` of the deploy file.
fn run_command() -> Result<String, String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("deploy file: {e}"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).ok_or("the deploy file has no run")?;
    Ok(line.split('"').next().unwrap_or_default().to_string())
}

fn free_address() -> Result<String, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    Ok(listener.local_addr().map_err(|e| e.to_string())?.to_string())
}

/// Starts agents that know this list, and waits until each is ready.
pub fn agents(
    count: usize,
    discovery: &str,
    targets: &[String],
    record: &Record,
) -> Result<Vec<Agent>, String> {
    let scratch = PathBuf::from(std::env::var("SCRATCH").map_err(|_| "SCRATCH is not set")?);
    let run = run_command()?;
    let mut started = Vec::new();
    for number in 0..count {
        let (name, listen, admin) = (format!("n{number}"), free_address()?, free_address()?);
        let folder = scratch.join(&name);
        std::fs::create_dir_all(folder.join("tmp")).map_err(|e| e.to_string())?;
        let config = folder.join("config.json");
        let text = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"admin\":\"{admin}\",\
             \"seed\":\"8c1f30d27a5be96{number}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
             \"known\":{{\"rev\":41,\"all\":true,\"targets\":[{}]}},\"settings\":{}}}",
            targets.join(","),
            settings(number, count)
        );
        std::fs::write(&config, text).map_err(|e| e.to_string())?;
        let log = File::create(folder.join("log")).map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("LB_NAME", &name)
            .env("LB_LISTEN", &listen)
            .env("LB_DISCOVERY", discovery)
            .env("LB_ADMIN", &admin)
            .env("LB_CONFIG", &config)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| e.to_string())?;
        // run.sh ends these processes, whatever happens here.
        let pids = File::options().create(true).append(true).open(scratch.join("pids"));
        pids.and_then(|mut f| writeln!(f, "{}", child.id())).map_err(|e| e.to_string())?;
        record.line(&format!("agent {name} started: {run}"));
        started.push(Agent { name, listen, admin, child });
    }
    for agent in &mut started {
        let since = Instant::now();
        while call(&agent.listen, "GET", "/health/ready").ok() != Some(200) {
            if since.elapsed() > Duration::from_secs(30) || agent.has_ended() {
                return Err(format!("agent {} is not ready", agent.name));
            }
            sleep(Duration::from_millis(50));
        }
        record.line(&format!("agent {} is ready", agent.name));
    }
    Ok(started)
}

impl Agent {
    pub fn connect(&self) -> Result<TcpStream, String> {
        TcpStream::connect(&self.listen).map_err(|e| format!("agent {}: {e}", self.name))
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) -> Result<(), String> {
        let status = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
        status.map_err(|e| e.to_string())?.success().then_some(()).ok_or_else(|| "kill failed".into())
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
