//! The processes of one agent tell each other through small files in the platform's folder for temporary files: a folder there for
//! each clients' socket, in it a file for each process, locked as long as that lives. A file that can be opened and that nobody locks is a
//! dead process's, and is removed; whatever can't be opened or read, for want of descriptors above all, says what it said last. Where
//! the folder is of no use the process keeps its whole share, as where it is alone.

use super::{limit, limit_of_smaller_whole, may_stand, next_claim, Said, Side};
use crate::log::log;
use std::collections::HashMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How often the others are looked for while there are none, and how often while there are some.
const LOOK_ALONE: Duration = Duration::from_millis(100);
const LOOK_TOGETHER: Duration = Duration::from_millis(20);
/// Processes that are listened to: the platform runs two.
const OTHERS_MOST: usize = 8;
/// Bytes of a file: the version, four numbers, and their sum.
const LENGTH: usize = 1 + 5 * 4;
const VERSION: u8 = 1;
/// How names of files begin that are not ready yet.
const NEW: &[u8] = b"new-";

/// What connections a process may hold, and does.
pub trait Holds {
    /// How many are open to clients and to servers.
    fn held(&self) -> (usize, usize);
    /// No more than so many from now on.
    fn allow(&self, clients: usize, servers: usize);
    /// Whether this process takes no clients any more.
    fn is_leaving(&self) -> bool;
}

/// This process's place among those of its agent.
pub struct Share {
    folder: PathBuf,
    own: Option<(PathBuf, File)>,
    said: Said,
    whole: (usize, usize),
    last: HashMap<PathBuf, Said>,
}

impl Share {
    /// A place in `folder` beside other processes that take clients at `listen`, of so many connections to clients and to servers.
    pub fn new(folder: &Path, listen: SocketAddr, whole: (usize, usize)) -> Share {
        let folder = folder.join(format!("dilljunction-{}-{}", listen.ip(), listen.port()).replace(':', "_"));
        let own = open(&folder).inspect_err(|e| {
            log(&format!("{}: {e}: another process of this agent is not noticed", folder.display()));
        });
        Share { folder, own: own.ok(), said: Said::default(), whole, last: HashMap::new() }
    }

    /// From the next step on so many connections to clients and to servers are shared.
    pub fn set_whole(&mut self, whole: (usize, usize)) {
        self.whole = whole;
    }

    /// How long to wait for the next step, after one that found the process `alone` or not.
    pub fn pause(alone: bool) -> Duration {
        if alone {
            LOOK_ALONE
        } else {
            LOOK_TOGETHER
        }
    }

    /// Looks at the others once; true if there are none.
    pub fn step(&mut self, holds: &impl Holds) -> bool {
        let (clients, servers) = holds.held();
        (self.said.clients.held, self.said.servers.held) = (clients, servers);
        let before = self.said;
        let others = self.others();
        let leaving = holds.is_leaving();
        let sides = |of: fn(&Said) -> Side, others: &[Said]| others.iter().map(of).collect::<Vec<Side>>();
        self.said.clients.claim =
            next_claim(self.whole.0, before.clients, &sides(|s| s.clients, &others), leaving);
        // What it owes on its way out may still have to ask a server.
        self.said.servers.claim =
            next_claim(self.whole.1, before.servers, &sides(|s| s.servers, &others), false);
        self.say();
        let (rises_clients, rises_servers) =
            (self.said.clients.claim > before.clients.claim, self.said.servers.claim > before.servers.claim);
        if rises_clients || rises_servers {
            let others = self.others();
            let (of_clients, of_servers) = (sides(|s| s.clients, &others), sides(|s| s.servers, &others));
            if rises_clients && !may_stand(self.whole.0, self.said.clients.claim, &of_clients) {
                self.said.clients.claim = before.clients.claim;
            }
            if rises_servers && !may_stand(self.whole.1, self.said.servers.claim, &of_servers) {
                self.said.servers.claim = before.servers.claim;
            }
            self.say();
        }
        let allowed = |whole: usize, own: Side, others: &[Side]| {
            limit_of_smaller_whole(whole, own.held, limit(whole, own.claim, others), others)
        };
        holds.allow(
            allowed(self.whole.0, self.said.clients, &sides(|s| s.clients, &others)),
            allowed(self.whole.1, self.said.servers, &sides(|s| s.servers, &others)),
        );
        others.is_empty()
    }

    fn say(&self) {
        if let Some((_, file)) = &self.own {
            // A full disk: the others go by what was said last.
            let _ = file.write_all_at(&encode(&self.said), 0);
        }
    }

    /// What the others that live say.
    fn others(&mut self) -> Vec<Said> {
        let Some((own, _)) = &self.own else { return Vec::new() };
        let Ok(entries) = std::fs::read_dir(&self.folder) else {
            return self.last.values().copied().collect();
        };
        let named =
            |path: &PathBuf| path.file_name().is_some_and(|name| !name.as_encoded_bytes().starts_with(NEW));
        let paths = entries.filter_map(|e| Some(e.ok()?.path())).filter(|p| named(p) && p != own);
        let paths: Vec<PathBuf> = paths.take(OTHERS_MOST).collect();
        self.last.retain(|path, _| paths.contains(path));
        for path in paths {
            match read(&path) {
                Found::Dead => {
                    self.last.remove(&path);
                    let _ = std::fs::remove_file(&path);
                }
                Found::Says(said) => drop(self.last.insert(path, said)),
                Found::Unreadable => {}
            }
        }
        self.last.values().copied().collect()
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        if let Some((path, _)) = &self.own {
            let _ = std::fs::remove_file(path);
        }
    }
}

/// A new file of this process. It gets its name once it is locked and says something: before that it would look dead.
fn open(folder: &Path) -> std::io::Result<(PathBuf, File)> {
    std::fs::create_dir_all(folder)?;
    // Numbers of processes are not unique where each has its own list of them.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let name = format!("{}-{}", std::process::id(), since.as_nanos());
    let new = folder.join(format!("new-{name}"));
    let file = OpenOptions::new().read(true).write(true).create_new(true).open(&new)?;
    file.try_lock().map_err(std::io::Error::from)?;
    file.write_all_at(&encode(&Said::default()), 0)?;
    let path = folder.join(name);
    std::fs::rename(new, &path)?;
    Ok((path, file))
}

enum Found {
    /// Nobody holds it.
    Dead,
    Says(Said),
    /// Half written, or of another kind.
    Unreadable,
}

fn read(path: &Path) -> Found {
    let mut file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == ErrorKind::NotFound => return Found::Dead,
        Err(_) => return Found::Unreadable,
    };
    match file.try_lock_shared() {
        Ok(()) => return Found::Dead,
        Err(TryLockError::WouldBlock) => {}
        Err(TryLockError::Error(_)) => return Found::Unreadable,
    }
    let mut bytes = [0; LENGTH];
    match file.read_exact(&mut bytes) {
        Ok(()) => decode(&bytes).map_or(Found::Unreadable, Found::Says),
        Err(_) => Found::Unreadable,
    }
}

fn encode(said: &Said) -> [u8; LENGTH] {
    let numbers = [said.clients.held, said.clients.claim, said.servers.held, said.servers.claim];
    let numbers = numbers.map(|n| n as u32);
    let mut bytes = [VERSION; LENGTH];
    let sum = numbers.iter().fold(0, |sum: u32, n| sum.rotate_left(7) ^ n);
    for (place, number) in bytes[1..].chunks_exact_mut(4).zip(numbers.iter().chain([&sum])) {
        place.copy_from_slice(&number.to_le_bytes());
    }
    bytes
}

fn decode(bytes: &[u8; LENGTH]) -> Option<Said> {
    let mut numbers =
        bytes[1..].chunks_exact(4).map(|b| u32::from_le_bytes([b[0], b[1], b[2], b[3]]) as usize);
    let mut side = || Some(Side { held: numbers.next()?, claim: numbers.next()? });
    let said = Said { clients: side()?, servers: side()? };
    (encode(&said) == *bytes).then_some(said)
}

#[cfg(test)]
mod tests;
