//! Clients that read a long answer slowly while the agent closes their connection: the answer is owed until the
//! kernel has its last byte. Each client lets the agent's buffers fill up; the lengths are such that for some
//! of them the end of the answer, from a byte to 16 KiB, is neither read by the client nor in the kernel.

use super::long_answers::{chunked, decode, stated, text};
use dilljunction_lab::standins::booking::Act;
use dilljunction_lab::standins::hand::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Longer than any buffer takes to fill up.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// When a shutdown ends the process at the latest if no answer moves: the longest deadline, 3 s at most, and
/// 0.6 s more.
const EXIT_TIME: Duration = Duration::from_millis(3600);

/// A client that has asked for an answer of `length` bytes and reads when the test says so.
struct Reader {
    stream: TcpStream,
    length: usize,
    answer: Vec<u8>,
}

impl Reader {
    fn ask(address: SocketAddr, length: usize, is_chunked: bool) -> Reader {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        // A small buffer, so that the agent holds most of what has not been read.
        socket.set_recv_buffer_size(8 * 1024).unwrap();
        socket.connect(&address.into()).unwrap();
        let mut stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(Duration::from_secs(6))).unwrap();
        let framing = if is_chunked { "chunked" } else { "stated" };
        let query = format!("?length={length}&framing={framing}&");
        stream.write_all(request("read", 9000).replacen('?', &query, 1).as_bytes()).unwrap();
        Reader { stream, length, answer: Vec::new() }
    }

    /// Whether the answer has arrived to its end.
    fn is_complete(&self) -> bool {
        let answer = String::from_utf8_lossy(&self.answer);
        answer.contains("\r\n\r\n") && decode(&answer).1
    }

    /// Reads some of the answer; false at its end or the end of the connection.
    fn read_some(&mut self) -> bool {
        let mut piece = [0; 8 * 1024];
        match self.stream.read(&mut piece) {
            Ok(0) | Err(_) => return false,
            Ok(n) => self.answer.extend_from_slice(&piece[..n]),
        }
        !self.is_complete()
    }

    /// Reads the rest; whether the answer is the one that the server has made.
    fn arrives_whole(mut self) -> bool {
        while self.read_some() {}
        let answer = String::from_utf8_lossy(&self.answer);
        answer.contains("\r\n\r\n") && decode(&answer) == (text(self.length), true)
    }
}

/// A server whose answers are as long as the path says.
fn backend() -> Backend {
    Backend::new(|message| {
        let value = |name: &str| {
            message.path().split(['?', '&']).find_map(|pair| pair.strip_prefix(name).map(str::to_string))
        };
        let Some(length) = value("length=") else { return ok("x") };
        let body = text(length.parse().unwrap());
        Act::Answer(if value("framing=").as_deref() == Some("chunked") {
            chunked(&body)
        } else {
            stated(&body)
        })
    })
}

/// An agent with an admin listener and this many descriptors.
fn start(sockets: usize) -> (Agent, Discovery, Backend) {
    let backend = backend();
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    (Agent::start(&configuration(&discovery, &line, sockets)), discovery, backend)
}

fn configuration(discovery: &Discovery, line: &str, sockets: usize) -> String {
    config(discovery.address, line, SETTINGS, sockets).replacen('{', r#"{"admin":"127.0.0.1:0","#, 1)
}

fn drain(agent: &Agent) {
    let line = "POST /healthcheck/fail HTTP/1.1\r\nHost: agent\r\n\r\n";
    assert_eq!(Client::at(agent.admin.unwrap()).ask(line).status(), 200);
}

/// The number of bytes that the kernel takes for a client that reads nothing.
fn kernel_capacity(agent: &Agent) -> usize {
    let mut probe = Reader::ask(agent.address, 1_000_000, false);
    sleep(SETTLE_TIME);
    agent.freeze();
    probe.stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    while probe.read_some() {}
    agent.thaw();
    probe.answer.len()
}

/// `count` clients that have read nothing yet of answers whose last bytes are in the agent's own buffer, more
/// than the kernel takes by up to 16 KiB and `extra` bytes.
fn stalled_readers(agent: &Agent, count: usize, extra: usize) -> Vec<Reader> {
    let capacity = kernel_capacity(agent);
    let ask = |i: usize| Reader::ask(agent.address, capacity + extra + 16 * 1024 * i / count, i % 2 == 1);
    let readers: Vec<Reader> = (0..count).map(ask).collect();
    for reader in &readers {
        assert_eq!(reader.stream.peek(&mut [0]).unwrap(), 1, "an answer has begun");
    }
    sleep(SETTLE_TIME);
    readers
}

fn expect_whole(readers: Vec<Reader>) {
    let all = readers.len();
    let whole = readers.into_iter().map(Reader::arrives_whole).filter(|whole| *whole).count();
    assert_eq!(whole, all, "answers that arrived whole");
}

/// Reads about 32 kB a second on each connection, until none has anything left or `time` has passed.
fn read_slowly(readers: &mut [Reader], time: Duration) {
    let start = Instant::now();
    while start.elapsed() < time {
        for reader in readers.iter_mut().filter(|reader| !reader.is_complete()) {
            reader.read_some();
        }
        sleep(Duration::from_millis(250));
    }
}

/// Guards against: 3.2 s into a drain, connections were closed with the end of an answer unwritten.
#[test]
fn a_drain_cuts_off_no_answer() {
    let (agent, _discovery, _backend) = start(1024);
    let readers = stalled_readers(&agent, 24, 0);
    drain(&agent);
    sleep(Duration::from_millis(3800));
    expect_whole(readers);
}

/// Guards against: 0.6 s after the last answer of a connection its end was cut off.
#[test]
fn an_answer_that_closes_its_connection_is_not_cut_off() {
    let (agent, _discovery, _backend) = start(1024);
    drain(&agent);
    let readers = stalled_readers(&agent, 24, 0);
    sleep(Duration::from_millis(1500));
    expect_whole(readers);
}

/// Guards against: a connection with the end of an answer unwritten was evicted as an idle one.
#[test]
fn an_eviction_cuts_off_no_answer() {
    let (agent, _discovery, _backend) = start(64);
    // 64 descriptors less the reserve leave 8 client connections.
    let readers = stalled_readers(&agent, 6, 0);
    for _ in 0..6 {
        assert_eq!(Client::to(&agent).ask(&request("read", 9000)).status(), 200);
    }
    let idle: Vec<Client> = (0..4).map(|_| Client::to(&agent)).collect();
    sleep(Duration::from_millis(1800));
    drop(idle);
    expect_whole(readers);
}

/// Guards against: above the limit for idle connections, one with the end of an answer unwritten was closed.
#[test]
fn a_crowd_of_idle_connections_cuts_off_no_answer() {
    let (agent, _discovery, _backend) = start(192);
    let readers = stalled_readers(&agent, 12, 0);
    let mut idle = Vec::new();
    for _ in 0..48 {
        let mut client = Client::to(&agent);
        assert_eq!(client.ask(&request("read", 9000)).status(), 200);
        idle.push(client);
    }
    sleep(Duration::from_millis(3500));
    expect_whole(readers);
}

/// A client that sends something that is no request behind its request gets its answer whole first.
#[test]
fn an_invalid_request_behind_an_answer_does_not_cut_it_off() {
    let (agent, _discovery, _backend) = start(1024);
    let mut readers = stalled_readers(&agent, 24, 0);
    readers.iter_mut().for_each(|reader| reader.stream.write_all(b"no request\r\n\r\n").unwrap());
    sleep(Duration::from_millis(3000));
    for reader in &mut readers {
        while reader.read_some() {}
        let rejection = reader.answer.windows(12).rposition(|bytes| bytes == b"HTTP/1.1 400");
        reader.answer.truncate(rejection.unwrap_or(reader.answer.len()));
    }
    expect_whole(readers);
}

/// A process that was told to stop stays while its clients read on, past the time at which it would end.
fn check_shutdown(mut agent: Agent) {
    // 128 KiB more than the kernel takes are read in over four seconds.
    let mut readers = stalled_readers(&agent, 12, 128 * 1024);
    agent.terminate();
    read_slowly(&mut readers, EXIT_TIME + Duration::from_millis(600));
    assert!(readers.iter().any(|reader| !reader.is_complete()), "the readers are slower than the shutdown");
    expect_whole(readers);
    let read = Instant::now();
    assert_eq!(agent.ended(), Some(0));
    assert!(read.elapsed() < Duration::from_millis(1500), "it ends once no answer is owed");
}

/// Guards against: the process ended 0.6 s after the longest deadline with answers unwritten.
#[test]
fn a_shutdown_cuts_off_no_answer_that_moves() {
    let (agent, _discovery, _backend) = start(1024);
    check_shutdown(agent);
}

/// The same when another process takes the listening socket over.
#[test]
fn a_handover_cuts_off_no_answer_that_moves() {
    let backend = backend();
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let text = configuration(&discovery, &line, 1024)
        .replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{address}""#));
    check_shutdown(Agent::inheriting(&text, &listener));
}

/// Clients that read nothing hold up neither a shutdown nor a drain, and use up no connection for good.
#[test]
fn clients_that_read_nothing_hold_nothing_up() {
    let (mut agent, _discovery, _backend) = start(1024);
    let readers = stalled_readers(&agent, 6, 0);
    let stopped = Instant::now();
    agent.terminate();
    assert_eq!(agent.ended(), Some(0));
    assert!(stopped.elapsed() < EXIT_TIME + Duration::from_millis(300), "{:?}", stopped.elapsed());
    drop(readers);

    let (agent, _discovery, _backend) = start(1024);
    let readers = stalled_readers(&agent, 6, 0);
    drain(&agent);
    sleep(Duration::from_millis(6500));
    for reader in &readers {
        reader.stream.set_nonblocking(true).unwrap();
        let mut rest = &reader.stream;
        let end = std::iter::repeat_with(|| rest.read(&mut [0; 8192])).find(|read| !matches!(read, Ok(1..)));
        let is_open = end.is_some_and(|read| read.is_err_and(|e| e.kind() == ErrorKind::WouldBlock));
        assert!(!is_open, "a connection whose client reads nothing stays open");
    }
}

/// Guards against: a client that had reset its connection behind bytes that were not read yet counted as
/// connected, and the answer that could not be written to it as a violation.
#[test]
fn an_answer_to_a_client_that_has_reset_its_connection_is_not_owed() {
    let (agent, _discovery, _backend) = start(1024);
    let mut client = Client::to(&agent);
    let readiness = "GET /health/ready HTTP/1.1\r\nHost: agent\r\n\r\n";
    assert_eq!(client.ask(readiness).status(), 200);
    agent.freeze();
    // More than the agent reads at once.
    client.write(&format!("{readiness}{}", "x".repeat(20_000)));
    socket2::SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).unwrap();
    drop(client);
    agent.thaw();
    agent.catch_up();
    let permits = Client::at(agent.admin.unwrap()).ask("GET /permits HTTP/1.1\r\nHost: agent\r\n\r\n");
    let permits = String::from_utf8(permits.body).unwrap();
    assert!(permits.contains(r#""violations":0"#), "{permits}");
}
