//! Four backends in two cells, of which one begins to drain and another one is replaced, at its address, by a new one
//! of the other cell. A third one resets some connections under requests that it has run.

use crate::world::*;
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// The cell of each backend: the repeats of a key are dropped within a cell.
const CELLS: [u32; 4] = [1, 1, 2, 2];
/// In place of s-1, at its address.
const NEW_CELL: u32 = 2;
/// The backend that resets the connection under one in so many of the keyed requests that it has run.
const RESETTING: usize = 0;
const RESET: u64 = 4;

/// A run of a keyed request: by which backend, in which cell, and when.
pub struct Run {
    pub backend: &'static str,
    pub cell: u32,
    pub at: Instant,
}

/// The backends, and what they write down.
pub struct Cells {
    replaced: Arc<AtomicBool>,
    /// The connections of s-1, which its end resets.
    of_old: Arc<Mutex<Vec<TcpStream>>>,
    /// Each send to a backend: which one, the call id, and when its first byte came.
    pub sends: Arc<Mutex<Vec<(usize, String, Instant)>>>,
    /// Where each keyed request took effect.
    pub runs: Arc<Mutex<HashMap<String, Vec<Run>>>>,
    pub targets: Vec<Target>,
}

impl Cells {
    pub fn start(record: &Record) -> Cells {
        let replaced = Arc::new(AtomicBool::new(false));
        let of_old: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let sends: Arc<Mutex<Vec<(usize, String, Instant)>>> = Arc::default();
        let runs: Arc<Mutex<HashMap<String, Vec<Run>>>> = Arc::default();
        let targets: Vec<Target> = (0..4)
            .map(|number| {
                let (sends, runs, record) = (Arc::clone(&sends), Arc::clone(&runs), record.clone());
                let (replaced, of_old) = (Arc::clone(&replaced), Arc::clone(&of_old));
                let endpoint = backend(
                    None,
                    Arc::new(move |request, out| {
                        if answer_probe(request, out)? {
                            return Ok(());
                        }
                        let id = request.header("x-call-id").unwrap_or("").to_string();
                        let first_byte = request.first_byte.unwrap_or_else(Instant::now);
                        let is_new = number == 1 && replaced.load(Ordering::SeqCst);
                        if number == 1 && !is_new {
                            of_old.lock().unwrap().extend(out.try_clone());
                        }
                        let name = if is_new { "t-1" } else { ["s-0", "s-1", "s-2", "s-3"][number] };
                        record.at(first_byte, format!("{name}: request {id} arrives"));
                        sends.lock().unwrap().push((number, id.clone(), first_byte));
                        thread::sleep(ms(20));
                        if request.header("idempotency-key").is_some() {
                            let cell = if is_new { NEW_CELL } else { CELLS[number] };
                            let mut runs = runs.lock().unwrap();
                            let before = runs.entry(id.clone()).or_default();
                            // The backends of a cell drop the repeats of a key for 7.5 s.
                            if before.iter().all(|run| run.cell != cell) {
                                before.push(Run { backend: name, cell, at: Instant::now() });
                                record.now(format!("{name}: {id} takes effect in cell {cell}"));
                            }
                            let n = u64::from_str_radix(&id, 16).unwrap_or(0);
                            if number == RESETTING && (n / 3) % RESET == 1 {
                                record.now(format!("{name}: the connection of {id} is reset"));
                                let _ = out.shutdown(std::net::Shutdown::Both);
                                return Err(std::io::ErrorKind::ConnectionReset.into());
                            }
                        }
                        answer_200(out, &format!("{id} by {name}"))
                    }),
                );
                Target {
                    uid: format!("s-{number}"),
                    endpoint,
                    az: "san-fernando".into(),
                    cell: CELLS[number],
                    state: "SERVING",
                    boot_ms: 0.0,
                }
            })
            .collect();
        Cells { replaced, of_old, sends, runs, targets }
    }

    /// s-1 ends, t-1 starts at its address, and s-3 begins to drain; returns when, and the version of the list.
    pub fn change(&self, discovery: &Discovery, record: &Record) -> (Instant, u64) {
        self.replaced.store(true, Ordering::SeqCst);
        for stream in self.of_old.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let rev = discovery.change(|targets| {
            targets[3].state = "DRAINING";
            targets[1].state = "DELETED";
            let new = Target {
                uid: "t-1".into(),
                cell: NEW_CELL,
                state: "SERVING",
                boot_ms: unix_ms(),
                ..targets[1].clone()
            };
            targets.push(new);
            vec![1, 3]
        });
        let now = Instant::now();
        record.at(now, format!("s-3 begins to drain, t-1 starts in place of s-1: version {rev}"));
        (now, rev)
    }
}
