//! What the cases share: the agent as a separate process, discovery, backends and clients on loopback sockets
//! and the real clock. Each stand-in is a thread for each connection.

use std::collections::VecDeque;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{exit, Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The processes that this one has started and not ended yet, and its temporary folders.
static STARTED: Mutex<(Vec<u32>, Vec<PathBuf>)> = Mutex::new((Vec::new(), Vec::new()));

/// Ends this process, and before it every process that it has started.
pub fn end(status: i32) -> ! {
    let (pids, folders) = STARTED.lock().map(|mut started| std::mem::take(&mut *started)).unwrap_or_default();
    for pid in pids {
        let _ = Command::new("kill").arg("-KILL").arg(pid.to_string()).status();
    }
    for folder in folders {
        let _ = fs::remove_dir_all(folder);
    }
    exit(status)
}

/// Ends the run as one that could not be made.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    end(2)
}

/// The record of a run: who did what, and when, in milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    pub fn at(&self, when: Instant, text: String) {
        let t = when.saturating_duration_since(self.start).as_secs_f64() * 1e3;
        self.lines.lock().unwrap().push((t, text));
    }

    pub fn now(&self, text: String) {
        self.at(Instant::now(), text);
    }

    pub fn write(&self, folder: &Path, head: &[String]) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut out = String::new();
        for line in head {
            out += &format!("{line}\n");
        }
        for (t, line) in lines {
            out += &format!("{t:10.1} ms  {line}\n");
        }
        if fs::write(folder.join("record.txt"), out).is_err() {
            cannot_run("record.txt can't be written");
        }
    }
}

/// A temporary folder, removed with its contents when dropped.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new() -> Scratch {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos());
        let path = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        STARTED.lock().unwrap().1.push(path.clone());
        Scratch(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    listener.local_addr().unwrap()
}

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1e3)
}

// ---- the agent -----------------------------------------------------------------------------------------

/// One agent, started by the `run` of the deploy file from the root of the repository.
pub struct Agent {
    child: Child,
    pub listen: SocketAddr,
}

/// What stands in the configuration besides the settings.
pub struct AgentPlan<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub memory_mb: u32,
    pub sockets: u32,
    pub known: &'a str,
    pub settings: &'a str,
    /// The operators' address, if there is one.
    pub admin: Option<SocketAddr>,
}

impl AgentPlan<'_> {
    pub fn config(&self) -> String {
        let admin = self.admin.map_or(String::new(), |admin| format!(r#""admin":"{admin}","#));
        format!(
            r#"{{{admin}"name":"{}","listen":"{}","discovery":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{}}}"#,
            self.name,
            self.listen,
            self.discovery,
            self.seed,
            self.memory_mb,
            self.sockets,
            self.known,
            self.settings
        )
    }
}

fn root() -> PathBuf {
    let mut folder = std::env::current_exe().unwrap_or_default();
    while folder.pop() {
        if folder.join("deploy/balancer.toml").exists() {
            return folder;
        }
    }
    cannot_run("deploy/balancer.toml is not found")
}

/// The command under `run` in the deploy file.
fn run_command(root: &Path) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    match line.and_then(|line| line.split_once('"')) {
        Some((command, _)) => command.to_string(),
        None => cannot_run("deploy/balancer.toml has no run"),
    }
}

impl Agent {
    pub fn start(folder: &Path, plan: &AgentPlan) -> Agent {
        Agent::start_with(folder, plan, None)
    }

    /// Starts `run`; with `listener` the platform holds the clients' socket, which the process inherits as
    /// descriptor 7, named in `LB_LISTEN_FD`.
    pub fn start_with(folder: &Path, plan: &AgentPlan, listener: Option<&TcpListener>) -> Agent {
        let root = root();
        let config = folder.join(format!("{}.json", plan.name));
        fs::write(&config, plan.config()).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let tmp = folder.join(format!("{}-tmp", plan.name));
        let _ = fs::create_dir_all(&tmp);
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", plan.name)))
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let err = log.try_clone().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let mut command = Command::new("/bin/sh");
        command.arg("-c");
        match listener {
            // The shell finds the socket as its standard input, and moves it.
            Some(held) => {
                let held = held.try_clone().unwrap_or_else(|e| cannot_run(&e.to_string()));
                command.arg(format!("exec 7<&0 0</dev/null; {}", run_command(&root)));
                command.env("LB_LISTEN_FD", "7").stdin(OwnedFd::from(held));
            }
            None => drop(command.arg(run_command(&root)).stdin(Stdio::null())),
        }
        if let Some(admin) = plan.admin {
            command.env("LB_ADMIN", admin.to_string());
        }
        let child = command
            .current_dir(&root)
            .env("LB_NAME", plan.name)
            .env("LB_LISTEN", plan.listen.to_string())
            .env("LB_DISCOVERY", plan.discovery.to_string())
            .env("LB_CONFIG", &config)
            .env("TMPDIR", &tmp)
            .stdout(log)
            .stderr(err)
            .process_group(0)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        STARTED.lock().unwrap().0.push(child.id());
        Agent { child, listen: plan.listen }
    }

    pub fn wait_ready(&mut self, within: Duration) {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                cannot_run(&format!("the agent has ended: {status}"));
            }
            if let Ok(mut stream) = TcpStream::connect(self.listen) {
                let _ = stream.set_read_timeout(Some(ms(500)));
                let _ = stream
                    .write_all(b"GET /health/ready HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n\r\n");
                let mut text = String::new();
                let _ = stream.read_to_string(&mut text);
                if text.starts_with("HTTP/1.1 200") {
                    return;
                }
            }
            thread::sleep(ms(50));
        }
        cannot_run("the agent is not ready in 30 s");
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().0.retain(|pid| *pid != self.child.id());
    }
}

// ---- HTTP ----------------------------------------------------------------------------------------------

/// The head of a message and its body.
#[derive(Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first and its last byte had come.
    pub first_byte: Option<Instant>,
    pub last_byte: Option<Instant>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u32 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message; `None` at an end before its first byte. `no_body` is for answers to none.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    message.first_byte = Some(Instant::now());
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            if message.first_line.is_empty() {
                continue;
            }
            break;
        }
        if message.first_line.is_empty() {
            message.first_line = text.to_string();
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_string(), value.trim().to_string()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim_end().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::ErrorKind::InvalidData)?;
            let mut piece = vec![0; size + 2];
            reader.read_exact(&mut piece)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&piece[..size]);
        }
    } else if let Some(length) = message.header("content-length").and_then(|l| l.parse::<usize>().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    message.last_byte = Some(Instant::now());
    Ok(Some(message))
}

// ---- discovery -----------------------------------------------------------------------------------------

#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub az: String,
    pub cell: u32,
    pub state: &'static str,
    pub boot_ms: f64,
}

impl Target {
    pub fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"standard-3core","pod_group":{},"state":"{}","capacity_hint":1.0,"boot_ms":{}}}"#,
            self.uid, self.endpoint, self.az, self.cell, self.state, self.boot_ms as u64
        )
    }
}

pub fn list_json(rev: u64, all: bool, targets: &[Target]) -> String {
    let targets: Vec<String> = targets.iter().map(Target::json).collect();
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, targets.join(","))
}

struct ListState {
    rev: u64,
    targets: Vec<Target>,
    /// The version of the last change of each target.
    changed: Vec<u64>,
}

/// How discovery writes an answer: it gets the stream, the head and the body.
pub type Writer = dyn Fn(&mut TcpStream, &str, &str) -> io::Result<()> + Send + Sync;

/// Discovery as the protocol page describes it: whole lists, watches that are held.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<ListState>, Condvar)>,
    writer: Arc<Writer>,
    record: Record,
    /// The versions whose answers were written to the end, and when.
    pub written: Arc<Mutex<Vec<(u64, Instant)>>>,
}

/// An answer is written at once.
pub fn write_at_once(stream: &mut TcpStream, head: &str, body: &str) -> io::Result<()> {
    stream.write_all(format!("{head}{body}").as_bytes())
}

impl Discovery {
    pub fn start(targets: Vec<Target>, record: &Record, writer: Arc<Writer>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let changed = vec![41; targets.len()];
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(ListState { rev: 41, targets, changed }), Condvar::new())),
            writer,
            record: record.clone(),
            written: Arc::default(),
        };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || drop(serving.serve(stream)));
            }
        });
        discovery
    }

    pub fn known(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.rev, true, &state.targets)
    }

    /// Changes the list, and tells it to all watches.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Target>) -> Vec<usize>) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        let rev = state.rev + 1;
        let touched = change(&mut state.targets);
        let count = state.targets.len();
        state.rev = rev;
        state.changed.resize(count, rev);
        for index in touched {
            state.changed[index] = rev;
        }
        self.state.1.notify_all();
        rev
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader)? {
            let query = call.path().split_once('?').map_or("", |(_, query)| query).to_string();
            let number = |name: &str| {
                query
                    .split('&')
                    .find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let (from, hold) = (number("from"), ms(number("hold_ms").unwrap_or(0).min(60_000)));
            let (rev, body) = self.answer(from, hold);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            self.record.now(format!("discovery: call {} is answered with version {rev}", call.path()));
            (self.writer)(&mut out, &head, &body)?;
            let now = Instant::now();
            self.written.lock().unwrap().push((rev, now));
            self.record.at(now, format!("discovery: the answer with version {rev} is written"));
        }
        Ok(())
    }

    fn answer(&self, from: Option<u64>, hold: Duration) -> (u64, String) {
        let state = self.state.0.lock().unwrap();
        let Some(from) = from else { return (state.rev, list_json(state.rev, true, &state.targets)) };
        let (state, _) = self.state.1.wait_timeout_while(state, hold, |state| state.rev <= from).unwrap();
        let newer = state.targets.iter().zip(&state.changed).filter(|(_, rev)| **rev > from);
        let newer: Vec<Target> = newer.map(|(target, _)| target.clone()).collect();
        (state.rev, list_json(state.rev, false, &newer))
    }
}

// ---- backends ------------------------------------------------------------------------------------------

/// What a backend does with a request: writes its answer.
pub type Handler = dyn Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// Starts a backend; each request that has come whole goes to `handler`.
pub fn backend(address: Option<SocketAddr>, handler: Arc<Handler>) -> SocketAddr {
    let address = address.unwrap_or_else(|| "127.0.0.1:0".parse().unwrap());
    let listener = TcpListener::bind(address).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_message(&mut reader) {
                    if handler(&request, &mut out).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Answers a probe; false if the request is none.
pub fn answer_probe(request: &Message, out: &mut TcpStream) -> io::Result<bool> {
    if request.header("x-call-id").is_some() {
        return Ok(false);
    }
    let known = matches!(request.path(), "/health/live" | "/stats");
    let status = if known { "200 OK" } else { "404 Not Found" };
    out.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes())?;
    Ok(true)
}

pub fn answer_200(out: &mut TcpStream, body: &str) -> io::Result<()> {
    out.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
}

// ---- clients -------------------------------------------------------------------------------------------

/// One request of a client.
#[derive(Clone)]
pub struct Ask {
    pub id: String,
    pub class: &'static str,
    /// Whether it is a `POST` with a key, one without, or a `GET`.
    pub method: &'static str,
    pub keyed: bool,
    pub caller: &'static str,
    pub budget_ms: u64,
}

impl Ask {
    pub fn text(&self) -> String {
        let mut text = format!(
            "{} /{} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Caller: {}\r\nX-Budget-Ms: {}\r\n",
            self.method, self.class, self.id, self.class, self.caller, self.budget_ms
        );
        if self.keyed {
            text += &format!("Idempotency-Key: key-{}\r\n", self.id);
        }
        if self.method == "POST" {
            text += "Content-Length: 0\r\n";
        }
        text + "\r\n"
    }
}

/// How a request ended at its client: status and body, or why there is no answer.
pub type Ending = Result<Message, String>;
/// Called with each ended request, when it was sent, and how it ended.
pub type Ended = dyn Fn(&Ask, Instant, Ending) + Send + Sync;

struct Conns {
    idle: Mutex<VecDeque<TcpStream>>,
    address: SocketAddr,
    ended: Arc<Ended>,
}

/// The application beside an agent: one request at a time on a connection, more connections when all are busy. A
/// close that crosses a request on a used connection has it sent once more on a new one.
#[derive(Clone)]
pub struct Application(Arc<Conns>);

impl Application {
    pub fn new(address: SocketAddr, ended: Arc<Ended>) -> Application {
        Application(Arc::new(Conns { idle: Mutex::default(), address, ended }))
    }

    /// Sends a request; it ends on a thread of its own.
    pub fn send(&self, ask: Ask) {
        let conns = Arc::clone(&self.0);
        thread::spawn(move || {
            let idle = conns.idle.lock().unwrap().pop_back();
            let sent = Instant::now();
            let mut ending = Err(String::from("not sent"));
            let used = idle.is_some();
            let mut stream = idle;
            for again in [false, true] {
                let connected = stream.take().map_or_else(|| TcpStream::connect(conns.address), Ok);
                let (end, kept, nothing_came) = match connected {
                    Ok(connected) => exchange(connected, &ask),
                    Err(e) => (Err(format!("no connection: {e}")), None, false),
                };
                if let Some(kept) = kept {
                    conns.idle.lock().unwrap().push_back(kept);
                }
                ending = end;
                if again || !used || !nothing_came {
                    break;
                }
            }
            (conns.ended)(&ask, sent, ending);
        });
    }
}

/// Sends a request and reads its answer; also returns the connection if it stays, and whether it ended with no
/// byte of an answer.
fn exchange(mut stream: TcpStream, ask: &Ask) -> (Ending, Option<TcpStream>, bool) {
    let _ = stream.set_nodelay(true);
    // A client gives up well after its own time: until then a late answer is one.
    let _ = stream.set_read_timeout(Some(ms(ask.budget_ms + 3000)));
    if let Err(e) = stream.write_all(ask.text().as_bytes()) {
        return (Err(format!("write: {e}")), None, true);
    }
    let Ok(copy) = stream.try_clone() else { return (Err("clone".into()), None, false) };
    let mut reader = BufReader::new(copy);
    match read_message(&mut reader) {
        Ok(Some(answer)) => {
            let closes = answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
            (Ok(answer), (!closes).then_some(stream), false)
        }
        Ok(None) => (Err("the connection has ended with no answer".into()), None, true),
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            (Err("no answer".into()), None, false)
        }
        Err(e) => {
            let reset = e.kind() == io::ErrorKind::ConnectionReset;
            (Err(format!("the answer broke off: {e}")), None, reset)
        }
    }
}
