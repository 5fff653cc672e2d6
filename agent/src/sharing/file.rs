//! The processes of one agent exchange their reports through small files in the system's temporary directory:
//! one directory for each client address, in it one file for each process, locked for the life of the
//! process. A file that can be opened and is not locked belongs to a dead process and is removed. A file that
//! cannot be opened or read, above all for want of descriptors, keeps its last report. Where the directory
//! cannot be used the process keeps the whole limit, as if it were alone.

use super::{claim_is_valid, limit, limit_of_smaller_total, next_claim, Report, Side};
use crate::log::log;
use std::collections::HashMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Interval of the scans for other processes, without and with any.
const SCAN_INTERVAL_ALONE: Duration = Duration::from_millis(100);
const SCAN_INTERVAL_TOGETHER: Duration = Duration::from_millis(20);
/// Most other processes that are read; the platform runs two.
const OTHERS_MAX: usize = 8;
/// Bytes of a file: the version, four numbers and their checksum, and the resident memory behind it.
const FILE_LENGTH: usize = CHECKED_LENGTH + 4;
/// An earlier build writes and reads the part up to the checksum alone.
const CHECKED_LENGTH: usize = 1 + 5 * 4;
const VERSION: u8 = 1;
/// Prefix of the names of files that are not complete yet.
const NEW_PREFIX: &[u8] = b"new-";

/// The connections that a process may hold and does hold.
pub trait LimitedConnections {
    /// Open connections to clients and to servers.
    fn held(&self) -> (usize, usize);
    /// Sets the limits from now on.
    fn allow(&self, clients: usize, servers: usize);
    /// Whether this process takes no more clients.
    fn is_leaving(&self) -> bool;
    /// The resident memory of this process, in KiB.
    fn resident_kib(&self) -> usize;
    /// Sets what the other processes of this agent hold, in KiB, and how many there are.
    fn set_others(&self, resident_kib: usize, processes: usize);
}

/// The membership of this process among those of its agent.
pub struct ConnectionShare {
    folder: PathBuf,
    own: Option<(PathBuf, File)>,
    report: Report,
    total: (usize, usize),
    last_reports: HashMap<PathBuf, Report>,
}

impl ConnectionShare {
    /// Joins the processes that take clients at `listen`, under `folder`, with these total limits of
    /// connections to clients and to servers.
    pub fn new(folder: &Path, listen: SocketAddr, total: (usize, usize)) -> ConnectionShare {
        let folder = folder.join(format!("dilljunction-{}-{}", listen.ip(), listen.port()).replace(':', "_"));
        let own = open(&folder).inspect_err(|e| {
            log(&format!("{}: {e}: another process of this agent is not noticed", folder.display()));
        });
        ConnectionShare {
            folder,
            own: own.ok(),
            report: Report::default(),
            total,
            last_reports: HashMap::new(),
        }
    }

    /// Sets the total limits of connections to clients and to servers, from the next step on.
    pub fn set_total(&mut self, total: (usize, usize)) {
        self.total = total;
    }

    /// The wait before the next step, after one that found the process `alone` or not.
    pub fn pause(alone: bool) -> Duration {
        if alone {
            SCAN_INTERVAL_ALONE
        } else {
            SCAN_INTERVAL_TOGETHER
        }
    }

    /// Reads the other processes' reports once, writes its own and sets the limits; true if there are no
    /// others.
    pub fn step(&mut self, connections: &impl LimitedConnections) -> bool {
        let (clients, servers) = connections.held();
        (self.report.clients.held, self.report.servers.held) = (clients, servers);
        self.report.resident_kib = connections.resident_kib();
        let before = self.report;
        let others = self.read_others();
        connections.set_others(others.iter().map(|other| other.resident_kib).sum(), others.len());
        let leaving = connections.is_leaving();
        let sides = |of: fn(&Report) -> Side, others: &[Report]| others.iter().map(of).collect::<Vec<Side>>();
        self.report.clients.claim =
            next_claim(self.total.0, before.clients, &sides(|s| s.clients, &others), leaving);
        // Requests taken before it began to leave may still need servers.
        self.report.servers.claim =
            next_claim(self.total.1, before.servers, &sides(|s| s.servers, &others), false);
        self.write_report();
        let (rises_clients, rises_servers) = (
            self.report.clients.claim > before.clients.claim,
            self.report.servers.claim > before.servers.claim,
        );
        if rises_clients || rises_servers {
            let others = self.read_others();
            let (of_clients, of_servers) = (sides(|s| s.clients, &others), sides(|s| s.servers, &others));
            if rises_clients && !claim_is_valid(self.total.0, self.report.clients.claim, &of_clients) {
                self.report.clients.claim = before.clients.claim;
            }
            if rises_servers && !claim_is_valid(self.total.1, self.report.servers.claim, &of_servers) {
                self.report.servers.claim = before.servers.claim;
            }
            self.write_report();
        }
        let allowed = |total: usize, own: Side, others: &[Side]| {
            limit_of_smaller_total(total, own.held, limit(total, own.claim, others), others)
        };
        connections.allow(
            allowed(self.total.0, self.report.clients, &sides(|s| s.clients, &others)),
            allowed(self.total.1, self.report.servers, &sides(|s| s.servers, &others)),
        );
        others.is_empty()
    }

    fn write_report(&self) {
        if let Some((_, file)) = &self.own {
            // On a full disk the others use the last report that was written.
            let _ = file.write_all_at(&encode(&self.report), 0);
        }
    }

    /// The reports of the other live processes.
    fn read_others(&mut self) -> Vec<Report> {
        let Some((own, _)) = &self.own else { return Vec::new() };
        let Ok(entries) = std::fs::read_dir(&self.folder) else {
            return self.last_reports.values().copied().collect();
        };
        let named = |path: &PathBuf| {
            path.file_name().is_some_and(|name| !name.as_encoded_bytes().starts_with(NEW_PREFIX))
        };
        let paths = entries.filter_map(|e| Some(e.ok()?.path())).filter(|p| named(p) && p != own);
        let paths: Vec<PathBuf> = paths.take(OTHERS_MAX).collect();
        self.last_reports.retain(|path, _| paths.contains(path));
        for path in paths {
            match read(&path) {
                PeerFile::Dead => {
                    self.last_reports.remove(&path);
                    let _ = std::fs::remove_file(&path);
                }
                PeerFile::Live(report) => drop(self.last_reports.insert(path, report)),
                PeerFile::Unreadable => {}
            }
        }
        self.last_reports.values().copied().collect()
    }
}

impl Drop for ConnectionShare {
    fn drop(&mut self) {
        if let Some((path, _)) = &self.own {
            let _ = std::fs::remove_file(path);
        }
    }
}

/// Creates the file of this process. It is renamed to its final name once it is locked and holds a report:
/// before that it would look dead.
fn open(folder: &Path) -> std::io::Result<(PathBuf, File)> {
    std::fs::create_dir_all(folder)?;
    // Process ids are not unique across PID namespaces.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let name = format!("{}-{}", std::process::id(), since.as_nanos());
    let new = folder.join(format!("new-{name}"));
    let file = OpenOptions::new().read(true).write(true).create_new(true).open(&new)?;
    file.try_lock().map_err(std::io::Error::from)?;
    file.write_all_at(&encode(&Report::default()), 0)?;
    let path = folder.join(name);
    std::fs::rename(new, &path)?;
    Ok((path, file))
}

/// The state of another process's file.
enum PeerFile {
    /// Nobody holds its lock.
    Dead,
    /// A valid report of a live process.
    Live(Report),
    /// Half written, of another format, or impossible to open.
    Unreadable,
}

fn read(path: &Path) -> PeerFile {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == ErrorKind::NotFound => return PeerFile::Dead,
        Err(_) => return PeerFile::Unreadable,
    };
    match file.try_lock_shared() {
        Ok(()) => return PeerFile::Dead,
        Err(TryLockError::WouldBlock) => {}
        Err(TryLockError::Error(_)) => return PeerFile::Unreadable,
    }
    let mut bytes = Vec::with_capacity(FILE_LENGTH);
    match file.take(FILE_LENGTH as u64).read_to_end(&mut bytes) {
        Ok(_) => decode(&bytes).map_or(PeerFile::Unreadable, PeerFile::Live),
        Err(_) => PeerFile::Unreadable,
    }
}

fn encode(report: &Report) -> [u8; FILE_LENGTH] {
    let numbers = [report.clients.held, report.clients.claim, report.servers.held, report.servers.claim];
    let numbers = numbers.map(|n| n as u32);
    let mut bytes = [VERSION; FILE_LENGTH];
    let sum = numbers.iter().fold(0, |sum: u32, n| sum.rotate_left(7) ^ n);
    let resident = report.resident_kib as u32;
    for (place, number) in bytes[1..].chunks_exact_mut(4).zip(numbers.iter().chain([&sum, &resident])) {
        place.copy_from_slice(&number.to_le_bytes());
    }
    bytes
}

/// The report in a file; `None` if it is half written. An earlier build doesn't tell its memory.
fn decode(bytes: &[u8]) -> Option<Report> {
    let mut numbers =
        bytes.get(1..)?.chunks_exact(4).map(|b| u32::from_le_bytes([b[0], b[1], b[2], b[3]]) as usize);
    let mut side = || Some(Side { held: numbers.next()?, claim: numbers.next()? });
    let (clients, servers) = (side()?, side()?);
    let resident_kib = numbers.nth(1).unwrap_or_default();
    let report = Report { clients, servers, resident_kib };
    (encode(&report).get(..CHECKED_LENGTH) == bytes.get(..CHECKED_LENGTH)).then_some(report)
}

#[cfg(test)]
mod tests;
