//! The stand-ins by hand, for plain blocking tests: scripted servers, a list that tests change, a client that writes bytes,
//! and the agent's own program between them. Whatever is waited for is an event; the bounds only end a test that hangs.

use crate::clock::Clock;
use crate::judge::evidence::Book;
use crate::standins::booking::{Act, Booking, Figures, Repeats, Seen, Setup};
pub use crate::standins::discovery::{Ailment, Pace, Spoil};
use crate::standins::discovery::{Registry, View};
use crate::standins::http::{answer, Message};
use crate::standins::kernel_sockets::wait_for_sockets;
use crate::world::platform;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tokio::sync::{watch, Semaphore};

/// Far beyond anything that a sound agent needs.
pub const BOUND: Duration = Duration::from_secs(30);

/// What all stand-ins of a process run on.
fn runtime() -> &'static Runtime {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| {
        let built = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        built.unwrap_or_else(|e| panic!("no runtime: {e}"))
    })
}

/// An answer 200.
pub fn ok(body: &str) -> Act {
    Act::Answer(answer(200, "", body))
}

/// An answer without a body.
pub fn status(code: u16, headers: &str) -> Act {
    Act::Answer(answer(code, headers, ""))
}

/// Things that have come, and can be waited for.
pub struct Tally<S, T> {
    seen: watch::Receiver<S>,
    of: fn(&S) -> Vec<T>,
}

impl<S: Send + Sync + 'static, T> Tally<S, T> {
    /// All so far.
    pub fn all(&self) -> Vec<T> {
        (self.of)(&self.seen.borrow())
    }

    /// Waits until there are so many.
    pub fn wait(&self, count: usize) -> Vec<T> {
        let (mut seen, of) = (self.seen.clone(), self.of);
        let enough = runtime().block_on(async {
            let enough = seen.wait_for(|seen| of(seen).len() >= count);
            tokio::time::timeout(BOUND, enough).await.is_ok_and(|found| found.is_ok())
        });
        let all = self.all();
        assert!(enough, "{} of {count} came", all.len());
        all
    }
}

/// A booking server that follows a script.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    /// The requests that it has read.
    pub heard: Tally<Seen, Message>,
    /// Connections that have come.
    pub opened: Tally<Seen, ()>,
    /// Connections that have ended.
    pub ended: Tally<Seen, ()>,
    _booking: Booking,
}

/// Lets gated requests go on, one for each word; all of them once it is dropped.
pub struct Release(Arc<Semaphore>);

impl Release {
    /// One request goes on.
    pub fn one(&self) {
        self.0.add_permits(1);
    }
}

impl Drop for Release {
    fn drop(&mut self) {
        self.0.close();
    }
}

impl Backend {
    /// A server that does with every request as the script says.
    pub fn new(script: impl Fn(&Message) -> Act + Send + Sync + 'static) -> Backend {
        let setup = Setup {
            index: 0,
            name: "scripted".into(),
            figures: Figures { idle_ms: 3_600_000.0, ..Figures::default() },
            classes: Vec::new(),
            repeats: (Repeats::default(), Repeats::default()),
            seed: 1,
            cold: false,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let script = Box::new(move |message: &Message| Some(script(message)));
        let start = Booking::start(setup, Clock::start(), Book::default(), Some(script));
        let booking = runtime().block_on(start).expect("a free port");
        let seen = booking.seen();
        Backend {
            address: booking.address(),
            heard: Tally { seen: seen.clone(), of: |seen| seen.heard.clone() },
            opened: Tally { seen: seen.clone(), of: |seen| vec![(); seen.opened] },
            ended: Tally { seen, of: |seen| vec![(); seen.ended] },
            _booking: booking,
        }
    }

    /// A server that keeps requests of the class `once` until it is told to go on.
    pub fn gated() -> (Backend, Release) {
        let gate = Arc::new(Semaphore::new(0));
        let held = Arc::clone(&gate);
        let backend = Backend::new(move |m| {
            if m.path().starts_with("/once") {
                return Act::Gated(Arc::clone(&held), answer(200, "", "done"));
            }
            ok("done")
        });
        (backend, Release(gate))
    }
}

/// A server whose connections come up when the test says so, and not before: until then nothing answers whoever dials, as
/// with a machine that is slow to come up.
pub struct LateBackend {
    /// Where it listens.
    pub address: SocketAddr,
    listener: TcpListener,
    /// They fill its queue of connections; what comes beyond it is not answered.
    fillers: Vec<socket2::Socket>,
}

impl Default for LateBackend {
    fn default() -> Self {
        let socket = || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let listener = socket().expect("a socket");
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        listener.listen(0).expect("a socket");
        let listener = TcpListener::from(listener);
        let address = listener.local_addr().expect("an address");
        let mut fillers = Vec::new();
        // Nothing more comes up once one has not at once: what is on this machine comes up as it is asked for.
        loop {
            let filler = socket().expect("a socket");
            if filler.connect_timeout(&address.into(), Duration::from_millis(100)).is_err() {
                break;
            }
            fillers.push(filler);
        }
        LateBackend { address, listener, fillers }
    }
}

impl LateBackend {
    /// Waits until somebody dials: a connection to it is on its way, as the machine's own table has it.
    pub fn is_dialled(&self) {
        // The state of one that has asked and was not answered.
        wait_for_sockets("nobody dials", |sockets| {
            sockets.iter().any(|socket| socket.remote == self.address && socket.state == "02")
        });
    }

    /// What dials comes up from here on, when its machine asks once more. The first connection of an agent's.
    pub fn come_up(&mut self) -> TcpStream {
        let own: Vec<_> = self.fillers.iter().map(|f| f.local_addr().expect("an address")).collect();
        loop {
            let (stream, from) = self.listener.accept().expect("a connection");
            if !own.iter().any(|own| own.as_socket() == Some(from)) {
                stream.set_read_timeout(Some(BOUND)).expect("a socket");
                return stream;
            }
        }
    }
}

/// A server whose connections a test holds in its hands.
pub struct RawBackend {
    /// Where it listens.
    pub address: SocketAddr,
    listener: TcpListener,
}

impl Default for RawBackend {
    fn default() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        RawBackend { address: listener.local_addr().expect("an address"), listener }
    }
}

impl RawBackend {
    /// The next connection. Fails if none comes within [`BOUND`], rather than holding the whole suite up.
    pub fn accept(&self) -> RawConnection {
        let listener = socket2::SockRef::from(&self.listener);
        // On Linux the time limit of reads is that of accepts too.
        listener.set_read_timeout(Some(BOUND)).expect("a socket");
        RawConnection::new(self.listener.accept().expect("a connection in time").0)
    }
}

/// One connection of an agent's to a server.
pub struct RawConnection {
    /// Its socket.
    pub stream: TcpStream,
}

impl RawConnection {
    /// Takes it over.
    pub fn new(stream: TcpStream) -> RawConnection {
        stream.set_read_timeout(Some(BOUND)).expect("a socket");
        RawConnection { stream }
    }

    /// Reads one request, with its body if it states how long that is; `None` if the connection ends.
    pub fn read(&mut self) -> Option<Message> {
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            if self.stream.read(&mut byte).ok()? == 0 {
                return None;
            }
            head.push(byte[0]);
        }
        let mut message = Message::of_text(&String::from_utf8_lossy(&head));
        let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        self.stream.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// Writes bytes.
    pub fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("an agent that reads");
    }

    /// Ends it by a reset.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("a socket");
    }

    /// Ends it, by a reset or not, and waits until the agent's socket is told. That can take a moment: a process that another
    /// test is just starting holds a copy of each descriptor until it has replaced its program.
    pub fn end(self, by_reset: bool) {
        let agents = self.stream.peer_addr().expect("a connected socket");
        let own = self.stream.local_addr().expect("a connected socket");
        if by_reset {
            self.reset();
        } else {
            drop(self);
        }
        wait_for_sockets("the agent is not told of the end", |sockets| {
            !sockets.iter().any(|s| s.local == agents && s.remote == own && s.state == "01")
        });
    }
}

/// A list that tests change in the protocol's own words, and what was asked of it.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// The paths that were asked for.
    pub asked: Tally<Vec<String>, String>,
    registry: Registry,
    view: View,
}

impl Discovery {
    /// A list of these lines, at version 2.
    pub fn new(targets: String) -> Discovery {
        let registry = Registry::default();
        registry.set_raw(targets);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let start = View::start(0, registry.clone(), HashMap::new(), any, Clock::start(), Book::default());
        let view = runtime().block_on(start).expect("a free port");
        let asked = Tally { seen: view.asked(), of: Vec::clone };
        Discovery { address: view.address(), asked, registry, view }
    }

    /// Other lines, at the next version.
    pub fn change(&self, targets: String) {
        self.registry.set_raw(targets);
    }

    /// What has been asked and not answered never will be, and its connections stay open.
    pub fn silence(&self) {
        self.view.silence();
    }

    /// The next answers are spoilt, one in each of these ways.
    pub fn spoil(&self, ways: &[Spoil]) {
        self.view.spoil(ways);
    }

    /// Writes answers at this pace from now on.
    pub fn pace(&self, pace: Pace) {
        self.view.pace(pace);
    }

    /// Answers that are [`Spoil::Older`] tell the list as it stands now.
    pub fn remember(&self) {
        self.view.remember();
    }

    /// Fails in this way from now on.
    pub fn ail(&self, ailment: Ailment) {
        self.view.ail(ailment);
    }

    /// Down: watches end and calls fail.
    pub fn set_down(&self, down: bool) {
        self.ail(if down { Ailment::Down } else { Ailment::None });
    }
}

/// A line of the list.
pub fn target(uid: &str, address: SocketAddr, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","boot_ms":{boot_ms}}}"#
    )
}

/// A line of a server that serves.
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

/// A configuration.
pub fn config(discovery: SocketAddr, known: &str, settings: &str, sockets: usize) -> String {
    format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f","limits":{{"sockets":{sockets}}},
        "known":{{"rev":1,"all":true,"targets":[{known}]}},"settings":{settings}}}"#
    )
}

/// The agent's own program, which cargo builds beside the tests of its package.
pub fn program() -> PathBuf {
    let here = std::env::current_exe().expect("the test's own program");
    let folder = here.parent().and_then(Path::parent).expect("target/PROFILE/deps");
    let program = folder.join("dilljunction");
    assert!(
        program.exists(),
        "{}: not built; `cargo test` of the agent's package builds it",
        program.display()
    );
    program
}

/// A file with a configuration.
pub fn config_file(text: &str) -> PathBuf {
    static FILES: AtomicUsize = AtomicUsize::new(0);
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("dilljunction-hand-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let path = folder.join(format!("config-{number}.json"));
    std::fs::write(&path, text).expect("a temporary file");
    path
}

/// What starts the agent with a configuration file.
pub fn command(config: &Path) -> Command {
    start(config, None)
}

/// What starts the agent with a listening socket as its descriptor 7.
pub fn inheriting(config: &Path, listener: &TcpListener) -> Command {
    start(config, Some(listener))
}

fn start(config: &Path, listener: Option<&TcpListener>) -> Command {
    let mut command = platform::command(&program(), listener).expect("a socket");
    command.env("LB_CONFIG", config).stderr(Stdio::piped());
    command
}

/// The agent's program; it is killed when this is dropped.
pub struct Agent {
    /// Its process.
    pub child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where operators call, if they do.
    pub admin: Option<SocketAddr>,
    config: PathBuf,
}

impl Agent {
    /// Starts it and waits until it listens.
    pub fn start(config: &str) -> Agent {
        Agent::start_with(config, &[])
    }

    /// With these arguments on its command line.
    pub fn start_with(config: &str, arguments: &[&str]) -> Agent {
        let config = config_file(config);
        Agent::watch(command(&config).args(arguments).spawn().expect("a program"), config)
    }

    /// With these variables in its environment.
    pub fn start_in(config: &str, variables: &[(&str, &str)]) -> Agent {
        let config = config_file(config);
        let mut command = command(&config);
        command.envs(variables.iter().copied());
        Agent::watch(command.spawn().expect("a program"), config)
    }

    /// In a process whose system calls fail and whose wall clock steps as these words say (`lab/preload`).
    pub fn start_faulty(config: &str, faults: &str) -> Agent {
        let config = config_file(config);
        let library = crate::preload::library().expect("the preloaded library");
        let mut command = command(&config);
        command.env(crate::preload::PRELOAD, library).env(crate::preload::FAULTS, faults);
        Agent::watch(command.spawn().expect("a program"), config)
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
        let script = format!("ulimit -n {descriptors}; exec {}", program().display());
        let config = config_file(config);
        shell.args(["-c", &script]).env("LB_CONFIG", &config).stderr(Stdio::piped());
        shell.env_remove("LB_LISTEN").env_remove("LB_DISCOVERY");
        Agent::watch(shell.spawn().expect("a program"), config)
    }

    /// An agent that takes over a listening socket, as the platform starts it: descriptor 7, named in the environment.
    pub fn inheriting(config: &str, listener: &TcpListener) -> Agent {
        let config = config_file(config);
        Agent::watch(inheriting(&config, listener).spawn().expect("a program"), config)
    }

    fn watch(mut child: Child, config: PathBuf) -> Agent {
        let mut log = BufReader::new(child.stderr.take().expect("its log"));
        let (mut line, mut admin) = (String::new(), None);
        let address = loop {
            line.clear();
            let read = log.read_line(&mut line).expect("its log");
            assert!(read > 0, "the agent has ended at its start");
            if let Some((_, address)) = line.split_once("operators call at ") {
                admin = Some(address.trim().parse().expect("an address"));
            }
            if let Some((_, address)) = line.split_once("listening on ") {
                break address.trim().parse().expect("an address");
            }
        };
        // The log is read to its end, or a full pipe would stop the agent.
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Agent { child, address, admin, config }
    }

    /// An agent that knows these backends from the start, and a discovery that lists the same.
    pub fn with(backends: &[&Backend]) -> (Agent, Discovery) {
        let lines: Vec<String> =
            backends.iter().enumerate().map(|(i, b)| serving(&format!("s{i}"), b.address)).collect();
        let discovery = Discovery::new(lines.join(","));
        (Agent::start(&config(discovery.address, &lines.join(","), SETTINGS, 1024)), discovery)
    }

    /// SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration and tells the agent so.
    pub fn reload(&self, config: &str) {
        std::fs::rename(config_file(config), &self.config).expect("a temporary file");
        self.signal("-HUP");
    }

    /// SIGSTOP: what comes from here on has all come in one moment for it, when it goes on.
    pub fn freeze(&self) {
        self.signal("-STOP");
        let state = format!("/proc/{}/stat", self.child.id());
        let start = Instant::now();
        // The signal is sent; that it has been obeyed is seen.
        while !std::fs::read_to_string(&state).is_ok_and(|text| text.contains(") T ")) {
            assert!(start.elapsed() < BOUND, "the agent does not stop");
            thread::yield_now();
        }
    }

    /// SIGCONT.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// SIGHUP without a change.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("kill").success());
    }

    /// One whole exchange on a connection of its own: what other connections had for the agent before has been read then.
    pub fn catch_up(&self) {
        let ask = "GET /health/ready HTTP/1.1\r\nHost: agent\r\n\r\n";
        assert_eq!(Client::to(self).ask(ask).status(), 200);
    }

    /// Waits for the end; the exit code.
    pub fn ended(&mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("its process") {
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

/// A client that writes what a test likes.
pub struct Client {
    /// Its connection.
    pub stream: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    /// Connects where clients do.
    pub fn to(agent: &Agent) -> Client {
        Client::at(agent.address)
    }

    /// Connects.
    pub fn at(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("an agent that listens");
        stream.set_read_timeout(Some(BOUND)).expect("a socket");
        let input = BufReader::new(stream.try_clone().expect("a socket"));
        Client { stream, input }
    }

    /// Writes bytes.
    pub fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("an agent that reads");
    }

    /// The next answer; `None` if the agent has closed.
    pub fn read(&mut self) -> Option<Message> {
        let mut head = String::new();
        loop {
            let start = head.len();
            if self.input.read_line(&mut head).ok()? == 0 {
                return None;
            }
            if head[start..].trim_end().is_empty() {
                break;
            }
        }
        let mut message = Message::of_text(&head);
        let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        self.input.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// Reads to the end of the connection; true if it came as an end or a reset, and not as the test's own time-out.
    pub fn ends(&mut self) -> bool {
        loop {
            match self.input.read(&mut [0; 4096]) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) => return e.kind() != std::io::ErrorKind::WouldBlock,
            }
        }
    }

    /// Writes a request and reads its answer.
    pub fn ask(&mut self, text: &str) -> Message {
        self.write(text);
        self.read().expect("an answer")
    }
}

/// A request of this class as the protocol words it.
pub fn request(class: &str, budget_ms: u64) -> String {
    static CALLS: AtomicUsize = AtomicUsize::new(0);
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
