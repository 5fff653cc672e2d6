//! One zone is partitioned for 6 s while its backend is writing long answers. A proxy before that backend holds all
//! bytes back meanwhile, in both directions, and goes on with them when the partition ends: open connections stay
//! open and silent. What the backend still gives must reach the client.

use crate::slow_discovery::SETTINGS;
use crate::world::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The length of a long answer, and how it is written: a piece each `PAUSE`.
const LENGTH: usize = 2 * 1024 * 1024;
const PIECE: usize = 16 * 1024;
const PAUSE: Duration = Duration::from_millis(8);
const CUT_AT: Duration = Duration::from_millis(4600);
/// "for 6 s a zone is partitioned"
const CUT_FOR: Duration = Duration::from_millis(6000);
const REQUESTS: u64 = 24;

/// Whether the zone is cut off.
#[derive(Clone, Default)]
struct Cut(Arc<(Mutex<bool>, Condvar)>);

impl Cut {
    fn set(&self, cut: bool) {
        *self.0 .0.lock().unwrap() = cut;
        self.0 .1.notify_all();
    }

    /// Waits until bytes pass.
    fn pass(&self) {
        let cut = self.0 .0.lock().unwrap();
        drop(self.0 .1.wait_while(cut, |cut| *cut).unwrap());
    }
}

/// Passes bytes between an agent and the backend at `to`, unless the zone is cut off. `refused` counts the bytes that
/// the backend had given and that found the agent's connection closed.
fn proxy(to: SocketAddr, cut: Cut, refused: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for inner in listener.incoming().flatten() {
            let (cut, refused) = (cut.clone(), Arc::clone(&refused));
            thread::spawn(move || {
                cut.pass();
                let Ok(outer) = TcpStream::connect(to) else { return };
                for (from, to, is_answer) in [(&inner, &outer, false), (&outer, &inner, true)] {
                    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
                    let (cut, refused) = (cut.clone(), Arc::clone(&refused));
                    let _ = to.set_nodelay(true);
                    thread::spawn(move || {
                        let mut buffer = [0; 16 * 1024];
                        loop {
                            let n = from.read(&mut buffer).unwrap_or(0);
                            cut.pass();
                            let is_closed = to.write_all(&buffer[..n]).is_err();
                            if n == 0 || is_closed {
                                refused.fetch_add(if is_answer { n } else { 0 }, Ordering::SeqCst);
                                let _ = to.shutdown(Shutdown::Both);
                                let _ = from.shutdown(Shutdown::Both);
                                return;
                            }
                        }
                    });
                }
            });
        }
    });
    address
}

/// How the answer to one request went.
struct Got {
    id: String,
    zone: usize,
    status: u32,
    length: usize,
    bytes: usize,
    first_at: Option<Instant>,
    ended_at: Instant,
    /// A body that is not the one that the backend made.
    foreign: bool,
}

fn ask(address: SocketAddr, id: &str) -> Got {
    let mut got = Got {
        id: id.into(),
        zone: 9,
        status: 0,
        length: 0,
        bytes: 0,
        first_at: None,
        ended_at: Instant::now(),
        foreign: false,
    };
    let ask = Ask {
        id: id.into(),
        class: "log-session",
        method: "POST",
        keyed: true,
        caller: "south-courts",
        budget_ms: 1500,
    };
    let Ok(mut stream) = TcpStream::connect(address) else { return got };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
    let _ = stream.write_all(ask.text().as_bytes());
    let (mut head, mut body) = (Vec::new(), Vec::new());
    let mut buffer = [0; 64 * 1024];
    loop {
        let n = match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(n) => n,
        };
        got.first_at.get_or_insert_with(Instant::now);
        if got.status == 0 {
            head.extend_from_slice(&buffer[..n]);
            let Some(end) = head.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
            let text = String::from_utf8_lossy(&head[..end]).to_ascii_lowercase();
            got.status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(1);
            let length =
                text.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
            got.length = length.unwrap_or(0);
            body.extend_from_slice(&head[end + 4..]);
        } else {
            body.extend_from_slice(&buffer[..n]);
        }
        if body.len() >= got.length {
            break;
        }
    }
    got.ended_at = Instant::now();
    got.bytes = body.len();
    got.zone = body.first().map_or(9, |b| usize::from(b.wrapping_sub(b'0')));
    got.foreign = got.status == 200 && body.iter().any(|b| *b != body[0]);
    got
}

pub fn play(folder: &Path, trouble: bool) -> bool {
    let (record, scratch) = (Record::new(), Scratch::new());
    // The agent is in san-fernando; its backends are in other buildings, one in each.
    let zones = ["chaguanas", "marabella", "point-fortin"];
    let cuts: [Cut; 3] = Default::default();
    // How many long answers each backend is writing.
    let writing: Arc<[AtomicUsize; 3]> = Arc::default();
    let refused: Arc<AtomicUsize> = Arc::default();
    let targets: Vec<Target> = (0..3)
        .map(|number| {
            let (record, writing) = (record.clone(), Arc::clone(&writing));
            let own = backend(
                None,
                Arc::new(move |request, out| {
                    if answer_probe(request, out)? {
                        return Ok(());
                    }
                    let id = request.header("x-call-id").unwrap_or("").to_string();
                    record.now(format!("s-{number}: {id} runs, and its answer begins"));
                    out.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n").as_bytes())?;
                    let piece = vec![b'0' + number as u8; PIECE];
                    let one = &writing[number];
                    one.fetch_add(1, Ordering::SeqCst);
                    for written in (0..LENGTH).step_by(PIECE) {
                        if let Err(e) = out.write_all(&piece) {
                            record.now(format!("s-{number}: {id}: the connection is closed at {written} of {LENGTH} bytes: {e}"));
                            one.fetch_sub(1, Ordering::SeqCst);
                            return Err(e);
                        }
                        thread::sleep(PAUSE);
                    }
                    one.fetch_sub(1, Ordering::SeqCst);
                    record.now(format!("s-{number}: {id}: the answer is written"));
                    Ok(())
                }),
            );
            let endpoint = proxy(own, cuts[number].clone(), Arc::clone(&refused));
            Target { uid: format!("s-{number}"), endpoint, az: zones[number].into(), cell: number as u32, state: "SERVING", boot_ms: 0.0 }
        })
        .collect();
    let discovery = Discovery::start(targets, &record, Arc::new(write_at_once));
    let known = discovery.known();
    let plan = AgentPlan {
        name: "n0",
        listen: free_address(),
        discovery: discovery.address,
        seed: 0x8c1f_30d2_7a5b_e964 ^ unix_ms() as u64,
        memory_mb: 192,
        sockets: 1024,
        known: &known,
        settings: SETTINGS,
        admin: None,
    };
    let mut agent = Agent::start(&scratch.0, &plan);
    agent.wait_ready(Duration::from_secs(30));
    let began = Instant::now();
    let (listen, mut asks) = (agent.listen, Vec::new());
    // A request each 200 ms up to the cut; an answer takes about 1.1 s.
    for n in 0..REQUESTS {
        let record = record.clone();
        asks.push(thread::spawn(move || {
            thread::sleep(ms(200 * n + 100).saturating_sub(began.elapsed()));
            let id = format!("{n:016x}");
            record.now(format!("client: {id} is sent"));
            let got = ask(listen, &id);
            record.at(
                got.ended_at,
                format!(
                    "client: {id} ends: status {}, {} of {} bytes, from s-{}",
                    got.status, got.bytes, got.length, got.zone
                ),
            );
            got
        }));
    }
    thread::sleep(CUT_AT.saturating_sub(began.elapsed()));
    let cut_at = Instant::now();
    // Any zone may be the one: it is the one that is writing most.
    let number = (0..3).max_by_key(|n| writing[*n].load(Ordering::SeqCst)).unwrap_or(0);
    if trouble {
        record.now(format!("{} is cut off", zones[number]));
        cuts[number].set(true);
    }
    thread::sleep(CUT_FOR);
    cuts[number].set(false);
    let healed = Instant::now();
    record.now(format!("{} is back", zones[number]));
    let got: Vec<Got> = asks.into_iter().filter_map(|ask| ask.join().ok()).collect();
    thread::sleep(ms(1000));
    let lived = agent.runs();
    drop(agent);
    let whole = got.iter().filter(|g| g.status == 200 && g.bytes == g.length).count();
    let crossing = got
        .iter()
        .filter(|g| g.zone == number && g.first_at.is_some_and(|at| at < cut_at) && g.ended_at > cut_at)
        .count();
    let lost: Vec<&Got> =
        got.iter().filter(|g| g.status == 200 && (g.bytes < g.length || g.foreign)).collect();
    let mut head = vec![
        format!("trouble: {trouble}; requests: {REQUESTS}, answered whole: {whole}; the agent ran to the end: {lived}"),
        format!("answers of s-{number} under way at {:.1} s: {crossing}; the zone was back {:.1} s later", CUT_AT.as_secs_f64(), (healed - cut_at).as_secs_f64()),
        format!("answers that ended short at their clients: {}", lost.len()),
        format!("bytes of answers that their backend gave and that found the agent's connection closed: {}", refused.load(Ordering::SeqCst)),
    ];
    for one in &lost {
        let at = one.ended_at.saturating_duration_since(cut_at).as_secs_f64();
        head.push(format!(
            "  {}: {} of {} bytes from s-{}, ended {at:.3} s after the cut began",
            one.id, one.bytes, one.length, one.zone
        ));
    }
    head.iter().for_each(|line| println!("{line}"));
    record.write(folder, &head);
    if !lived || (trouble && crossing == 0) {
        cannot_run("no answer was under way when the zone was cut off, or the agent has ended");
    }
    !lost.is_empty()
}
