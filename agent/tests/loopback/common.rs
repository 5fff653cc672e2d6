//! A scripted world on loopback: backends and discovery that do as they are told, a client, and the agent's
//! own program between them. Whatever is waited for is an event; the bounds only end a test that hangs.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Far beyond anything that a sound agent needs.
pub const BOUND: Duration = Duration::from_secs(30);

/// A message as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Reads one message with a `Content-Length`; `None` when the peer has closed.
    pub fn read(input: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        message.line = line.trim_end().to_string();
        loop {
            line.clear();
            if input.read_line(&mut line).ok()? == 0 {
                return None;
            }
            match line.trim_end().split_once(':') {
                Some((name, value)) => message.headers.push((name.into(), value.trim().into())),
                None => break,
            }
        }
        let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        input.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

/// What a backend does about a request.
pub enum Act {
    /// Writes this and keeps the connection.
    Answer(String),
    /// Writes this and ends the connection.
    Last(String),
    /// Writes these one after the other, with a pause between that is longer than an answer may stall.
    Parts(Vec<String>),
    /// Says nothing until the agent gives up.
    Silence,
}

pub fn ok(body: &str) -> Act {
    Act::Answer(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

pub fn status(code: u16, headers: &str) -> Act {
    Act::Answer(format!("HTTP/1.1 {code} X\r\n{headers}Content-Length: 0\r\n\r\n"))
}

/// A count that can be waited on.
#[derive(Default)]
pub struct Tally<T> {
    seen: Mutex<Vec<T>>,
    more: Condvar,
}

impl<T: Clone> Tally<T> {
    pub fn push(&self, item: T) {
        self.seen.lock().unwrap().push(item);
        self.more.notify_all();
    }

    pub fn all(&self) -> Vec<T> {
        self.seen.lock().unwrap().clone()
    }

    /// Waits until there are so many.
    pub fn wait(&self, count: usize) -> Vec<T> {
        let seen = self.seen.lock().unwrap();
        let (seen, late) = self.more.wait_timeout_while(seen, BOUND, |s| s.len() < count).unwrap();
        assert!(!late.timed_out(), "{} of {count} came", seen.len());
        seen.clone()
    }
}

pub struct Backend {
    pub address: SocketAddr,
    pub heard: Arc<Tally<Message>>,
    /// Connections that have come, and those that have ended.
    pub opened: Arc<Tally<()>>,
    pub ended: Arc<Tally<()>>,
}

impl Backend {
    pub fn new(script: impl Fn(&Message) -> Act + Send + Sync + 'static) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (heard, opened, ended) = (Arc::default(), Arc::default(), Arc::default());
        let backend = Backend { address, heard, opened, ended };
        let script = Arc::new(script);
        let (heard, opened, ended) =
            (Arc::clone(&backend.heard), Arc::clone(&backend.opened), Arc::clone(&backend.ended));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (script, heard, ended) = (Arc::clone(&script), Arc::clone(&heard), Arc::clone(&ended));
                opened.push(());
                thread::spawn(move || {
                    converse(stream, &*script, &heard);
                    ended.push(());
                });
            }
        });
        backend
    }
}

impl Backend {
    /// A backend that keeps requests of the class `once` until it is told to go on.
    pub fn gated() -> (Backend, mpsc::Sender<()>) {
        let (release, held) = mpsc::channel::<()>();
        let held = Mutex::new(held);
        let backend = Backend::new(move |m| {
            if m.path().starts_with("/once") {
                let _ = held.lock().unwrap().recv_timeout(BOUND);
            }
            ok("done")
        });
        (backend, release)
    }
}

fn converse(mut stream: TcpStream, script: &dyn Fn(&Message) -> Act, heard: &Tally<Message>) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = Message::read(&mut input) {
        heard.push(message.clone());
        match script(&message) {
            Act::Answer(text) => {
                let _ = stream.write_all(text.as_bytes());
            }
            Act::Last(text) => {
                let _ = stream.write_all(text.as_bytes());
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            Act::Parts(texts) => {
                for text in texts {
                    let _ = stream.write_all(text.as_bytes());
                    thread::sleep(Duration::from_millis(300));
                }
            }
            Act::Silence => {
                let _ = input.read(&mut [0; 1]);
                return;
            }
        }
    }
}

/// A list that tests change, and what was asked of it.
pub struct Discovery {
    pub address: SocketAddr,
    pub asked: Arc<Tally<String>>,
    list: Arc<(Mutex<List>, Condvar)>,
}

struct List {
    rev: i64,
    targets: String,
    down: bool,
}

impl Discovery {
    pub fn new(targets: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let list = Arc::new((Mutex::new(List { rev: 2, targets, down: false }), Condvar::new()));
        let discovery = Discovery { address, asked: Arc::default(), list };
        let (asked, list) = (Arc::clone(&discovery.asked), Arc::clone(&discovery.list));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (asked, list) = (Arc::clone(&asked), Arc::clone(&list));
                thread::spawn(move || answer(stream, &asked, &list));
            }
        });
        discovery
    }

    pub fn change(&self, targets: String) {
        let mut list = self.list.0.lock().unwrap();
        (list.rev, list.targets) = (list.rev + 1, targets);
        self.list.1.notify_all();
    }

    /// Down: watches end and calls fail.
    pub fn set_down(&self, down: bool) {
        self.list.0.lock().unwrap().down = down;
        self.list.1.notify_all();
    }
}

fn answer(mut stream: TcpStream, asked: &Tally<String>, list: &(Mutex<List>, Condvar)) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = Message::read(&mut input) {
        let path = message.path().to_string();
        asked.push(path.clone());
        let from = path.split("from=").nth(1).and_then(|t| t.split('&').next()?.parse::<i64>().ok());
        let state = list.0.lock().unwrap();
        let state = list.1.wait_while(state, |s| !s.down && from.is_some_and(|f| f >= s.rev)).unwrap();
        let text = if state.down {
            "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_string()
        } else {
            let body = format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, state.rev, state.targets);
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        };
        drop(state);
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

pub fn target(uid: &str, address: SocketAddr, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","boot_ms":{boot_ms}}}"#
    )
}

pub fn serving(uid: &str, address: SocketAddr) -> String {
    target(uid, address, "SERVING", 0)
}

/// Four classes, one of each effect, with deadlines that only matter to tests that wait for them.
pub const SETTINGS: &str = r#"{"zones":["a"],"kinds":["m"],"discovery":"on_request","classes":[
 {"name":"read","effect":"idempotent","aimMs":5000,"deadlineMs":10000,"points":1},
 {"name":"once","effect":"at_most_once","aimMs":5000,"deadlineMs":10000,"points":1},
 {"name":"zoned","effect":"deduplicated","group":"zone","dedupWindowMs":60000,"aimMs":5000,"deadlineMs":10000,"points":1},
 {"name":"all","effect":"deduplicated","group":"all","dedupWindowMs":60000,"aimMs":5000,"deadlineMs":10000,"points":1}],
 "feedback":{"fields":["qps","queue"],"source":"piggyback"},"parties":[{"name":"courts","fraction":1.0}],
 "limits":{"cancel":true,"connectTimeoutMs":2000,"keepaliveMs":60000,"maxAttempts":3,"secondCopies":true},
 "rules":{"stopSendingWithinMs":2000}}"#;

pub fn config(discovery: SocketAddr, known: &str, settings: &str, sockets: usize) -> String {
    format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f","limits":{{"sockets":{sockets}}},
        "known":{{"rev":1,"all":true,"targets":[{known}]}},"settings":{settings}}}"#
    )
}

pub struct Agent {
    pub child: Child,
    pub address: SocketAddr,
    config: PathBuf,
}

static FILES: AtomicUsize = AtomicUsize::new(0);

pub fn config_file(text: &str) -> PathBuf {
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let name = format!("config-{}-{number}.json", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

pub fn command(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dilljunction"));
    command.env("LB_CONFIG", config).env_remove("LB_LISTEN").env_remove("LB_DISCOVERY");
    command.stderr(Stdio::piped());
    command
}

impl Agent {
    pub fn start(config: &str) -> Agent {
        Agent::start_with(config, &[])
    }

    /// With these arguments on its command line.
    pub fn start_with(config: &str, arguments: &[&str]) -> Agent {
        let config = config_file(config);
        Agent::watch(command(&config).args(arguments).spawn().unwrap(), config)
    }

    /// An agent with one backend and a configuration that allows so many descriptors.
    pub fn with_sockets(backend: &Backend, sockets: usize) -> (Agent, Discovery) {
        let line = serving("s", backend.address);
        let discovery = Discovery::new(line.clone());
        (Agent::start(&config(discovery.address, &line, SETTINGS, sockets)), discovery)
    }

    /// An agent whose process may hold fewer descriptors than its configuration says.
    pub fn start_limited(config: &str, descriptors: usize) -> Agent {
        let mut shell = Command::new("sh");
        let script = format!("ulimit -n {descriptors}; exec {}", env!("CARGO_BIN_EXE_dilljunction"));
        let config = config_file(config);
        shell.args(["-c", &script]).env("LB_CONFIG", &config).stderr(Stdio::piped());
        Agent::watch(shell.env_remove("LB_LISTEN").env_remove("LB_DISCOVERY").spawn().unwrap(), config)
    }

    fn watch(mut child: Child, config: PathBuf) -> Agent {
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        let address = loop {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the agent has ended at its start");
            if let Some((_, address)) = line.split_once("listening on ") {
                break address.trim().parse().unwrap();
            }
        };
        // The log is read to its end, or a full pipe would stop the agent.
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Agent { child, address, config }
    }

    /// An agent that knows these backends from the start, and a discovery that lists the same.
    pub fn with(backends: &[&Backend]) -> (Agent, Discovery) {
        let lines: Vec<String> =
            backends.iter().enumerate().map(|(i, b)| serving(&format!("s{i}"), b.address)).collect();
        let discovery = Discovery::new(lines.join(","));
        (Agent::start(&config(discovery.address, &lines.join(","), SETTINGS, 1024)), discovery)
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration and tells the agent so.
    pub fn reload(&self, config: &str) {
        std::fs::rename(config_file(config), &self.config).unwrap();
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Waits for the end; the exit code.
    pub fn ended(&mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(start.elapsed() < BOUND, "the agent does not end");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Client {
    pub stream: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    pub fn to(agent: &Agent) -> Client {
        let stream = TcpStream::connect(agent.address).unwrap();
        stream.set_read_timeout(Some(BOUND)).unwrap();
        let input = BufReader::new(stream.try_clone().unwrap());
        Client { stream, input }
    }

    pub fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// The next answer; `None` if the agent has closed.
    pub fn read(&mut self) -> Option<Message> {
        Message::read(&mut self.input)
    }

    pub fn ask(&mut self, text: &str) -> Message {
        self.write(text);
        self.read().expect("an answer")
    }
}

static CALLS: AtomicUsize = AtomicUsize::new(0);

/// A request of this class as the protocol words it.
pub fn request(class: &str, budget_ms: u64) -> String {
    let id = CALLS.fetch_add(1, Ordering::Relaxed);
    let head = format!(
        "Host: origin.svc\r\nX-Call-Id: call-{id}\r\nX-Call-Class: {class}\r\nX-Caller: courts\r\nX-Budget-Ms: {budget_ms}\r\n"
    );
    match class {
        "read" => format!("GET /{class}?a=1&b=%20 HTTP/1.1\r\n{head}\r\n"),
        "once" => format!("POST /{class} HTTP/1.1\r\n{head}Content-Length: 4\r\n\r\nbody"),
        _ => format!(
            "POST /{class} HTTP/1.1\r\n{head}Idempotency-Key: key-{id}\r\nContent-Length: 4\r\n\r\nbody"
        ),
    }
}
