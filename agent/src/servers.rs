//! The servers by their numeric ids: the address of each, its current generation, and since when it takes no
//! new requests.

use crate::list::{Entries, State, Target};
use crate::log::log;
use crate::permits::attempt::ServerFacts;
use crate::upstream::pool::{Pool, ServerEndpoint};
use ryelead::{CellId, KindId, ServerEntry, ServerId, Span, Status, Time, ZoneId};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Discovery announces every change within this time: the protocol counts a change as received 6 s later at
/// the latest. A start that is claimed to lie further back than this before a list without the server can't
/// be right.
const ANNOUNCED_WITHIN: Span = Span(6_000_000);
/// How long after the drain grace period a removed server is still remembered. Whatever was decided before
/// its removal is over by then.
const FORGET_AFTER: Duration = Duration::from_secs(1);
/// The settings name nearly all zones and kinds; unknown names beyond this number share one id.
const NAMES_MAX: u32 = 4096;

struct Server {
    server_endpoint: ServerEndpoint,
    /// The entry that the decision module was last given.
    listed: ServerEntry,
    serving: bool,
    /// Removed from the list, and not only draining.
    removed: bool,
    /// When it was first listed as draining or removed.
    drain_began_at: Option<Instant>,
    /// When it last started, as its list entry claims; a change of this value means a new process.
    claimed_start: Option<Time>,
    /// The start time that is assumed after checking the claim.
    started: Option<Time>,
    /// Number of attempts and probes in flight to this server.
    in_flight: usize,
}

/// Assigns ids to names in order of first use; the names in the settings come first.
struct NameIds(HashMap<String, u32>);

impl NameIds {
    fn new(names: &[String]) -> Self {
        NameIds(names.iter().zip(0..).map(|(n, i)| (n.clone(), i)).collect())
    }

    fn of(&mut self, name: &str) -> u32 {
        let next = self.0.len() as u32;
        if next > NAMES_MAX && !self.0.contains_key(name) {
            return next;
        }
        *self.0.entry(name.to_string()).or_insert(next)
    }
}

/// All servers that the list has named and that have not been forgotten after their removal.
pub struct Servers {
    servers: HashMap<ServerId, Server>,
    ids: HashMap<String, ServerId>,
    /// Ids are never reused, so that no state of a removed server applies to another one.
    next_server: u32,
    zones: NameIds,
    kinds: NameIds,
    drain_grace: Duration,
    /// When the last answer of discovery was received.
    last_answer_at: Option<Time>,
}

impl Servers {
    /// Creates an empty set of servers; `zones` and `kinds` are the names in the settings.
    pub fn new(zones: &[String], kinds: &[String], drain_grace: Duration) -> Self {
        let (zones, kinds) = (NameIds::new(zones), NameIds::new(kinds));
        let (servers, ids) = Default::default();
        Servers { servers, ids, next_server: 0, zones, kinds, drain_grace, last_answer_at: None }
    }

    /// Whether any server takes requests.
    pub fn any_serving(&self) -> bool {
        self.servers.values().any(|s| s.serving)
    }

    /// The number of servers that take requests.
    pub fn serving_count(&self) -> usize {
        self.servers.values().filter(|s| s.serving).count()
    }

    /// Counts one more attempt or probe in flight to a server. Returns where to connect, or `None` if the
    /// server is not known.
    pub fn add_in_flight(&mut self, server: ServerId) -> Option<ServerEndpoint> {
        self.servers.get_mut(&server).map(|server| {
            server.in_flight += 1;
            server.server_endpoint
        })
    }

    /// Counts one attempt or probe less in flight to a server.
    pub fn remove_in_flight(&mut self, server: ServerId) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.in_flight -= 1;
        }
    }

    /// What decides whether an attempt may begin at this generation of a server; `None` if the server is not
    /// known.
    pub fn facts(&self, server: ServerId, generation: u64) -> Option<ServerFacts> {
        let known = self.servers.get(&server)?;
        let takes_new_work = self.is_current(server, generation);
        Some(ServerFacts { takes_new_work, zone: known.listed.zone, cell: known.listed.cell })
    }

    /// Since when a server takes no new requests; `None` if it takes them or is not known.
    pub fn drain_began_at(&self, server: ServerId) -> Option<Instant> {
        self.servers.get(&server)?.drain_began_at
    }

    /// How long sends to a draining server may continue, as set in the settings.
    pub fn drain_grace(&self) -> Duration {
        self.drain_grace
    }

    /// Whether this generation of a server takes new requests, and connections to it may be kept. The
    /// configured grace period is not used here: it is left as a margin for a list that was delayed on the
    /// network or by a busy processor, and that already counted as received for part of that delay.
    pub fn is_current(&self, server: ServerId, generation: u64) -> bool {
        self.servers.get(&server).is_some_and(|s| s.serving && s.server_endpoint.generation == generation)
    }

    /// Records that an answer of discovery was received and applied.
    pub fn record_answer(&mut self, now: Time) {
        self.last_answer_at = Some(now);
    }

    /// Applies the addresses and states of a list or of a change; returns its entries in the types of the
    /// decision module.
    pub fn apply_list(&mut self, now: Time, all: bool, entries: &Entries, pool: &Pool) -> Vec<ServerEntry> {
        let unreadable = entries
            .unreadable
            .iter()
            .filter_map(|uid| Some(self.servers.get(self.ids.get(uid)?)?.listed.clone()));
        let unreadable: Vec<ServerEntry> = unreadable.collect();
        let read = entries.read.iter().map(|target| self.apply_target(now, target, pool));
        let mut entries: Vec<ServerEntry> = unreadable.into_iter().chain(read).collect();
        self.remove_superseded(&mut entries, pool);
        if all {
            let named: HashSet<ServerId> = entries.iter().map(|line| line.server).collect();
            for (id, server) in &mut self.servers {
                if !named.contains(id) {
                    server.mark_removed(pool);
                }
            }
        }
        entries
    }

    /// Removes servers whose address belongs to another one that has started later: only one process listens on
    /// an address, so the earlier one is gone, and what is meant for it would reach the other. `entries` are those
    /// of the list; superseded ones among them are changed, others are added.
    fn remove_superseded(&mut self, entries: &mut Vec<ServerEntry>, pool: &Pool) {
        let mut latest: HashMap<SocketAddr, Time> = HashMap::new();
        for server in self.servers.values().filter(|server| !server.removed) {
            let Some(start) = server.claimed_start else { continue };
            let latest = latest.entry(server.server_endpoint.address).or_insert(start);
            *latest = start.max(*latest);
        }
        for (id, server) in &mut self.servers {
            let start = server.claimed_start.unwrap_or(Time(0));
            let is_superseded =
                latest.get(&server.server_endpoint.address).is_some_and(|latest| *latest > start);
            if !is_superseded || server.removed {
                continue;
            }
            log(&format!("server {} is gone: another has started at its address", id.0));
            server.mark_removed(pool);
            match entries.iter_mut().find(|entry| entry.server == *id) {
                Some(entry) => entry.status = Status::Gone,
                None => entries.push(server.listed.clone()),
            }
        }
    }

    /// Forgets removed servers once the grace period is over and nothing is in flight to them. Without this,
    /// servers that are replaced under ever new names would fill the memory.
    pub fn forget_removed(&mut self) {
        let after = self.drain_grace + FORGET_AFTER;
        let before = self.servers.len();
        self.servers.retain(|_, s| {
            !(s.removed && s.in_flight == 0 && s.drain_began_at.is_some_and(|since| since.elapsed() >= after))
        });
        if self.servers.len() < before {
            self.ids.retain(|_, id| self.servers.contains_key(id));
        }
    }

    /// Checks the start that is claimed for a server that the last answer did not list as this process. The
    /// start can't lie in the future. It can't lie more than [`ANNOUNCED_WITHIN`] before the last answer
    /// either, whatever the wall clocks say, since that answer would have announced it. In both cases the
    /// current time is used.
    fn checked_start(&self, now: Time, claimed: Time) -> Time {
        let earliest =
            self.last_answer_at.map_or(Time(0), |last_answer_at| last_answer_at - ANNOUNCED_WITHIN);
        if claimed > now || claimed < earliest {
            now
        } else {
            claimed
        }
    }

    fn apply_target(&mut self, now: Time, target: &Target, pool: &Pool) -> ServerEntry {
        let claimed_start = (target.boot_ms > 0.0).then(|| Time::from_ms(target.boot_ms));
        let believed = claimed_start.map(|claimed| self.checked_start(now, claimed));
        let next = ServerId(self.next_server);
        let id = *self.ids.entry(target.uid.clone()).or_insert(next);
        self.next_server += u32::from(id == next);
        let server = self.servers.entry(id).or_insert_with(|| {
            let server_endpoint = ServerEndpoint { server: id, address: target.endpoint, generation: 0 };
            let listed = ServerEntry::serving(id);
            Server {
                server_endpoint,
                listed,
                serving: false,
                removed: false,
                drain_began_at: None,
                claimed_start,
                started: believed,
                in_flight: 0,
            }
        });
        if server.server_endpoint.address != target.endpoint || server.claimed_start != claimed_start {
            // A new process: connections to the previous one are useless.
            server.server_endpoint = ServerEndpoint {
                address: target.endpoint,
                generation: server.server_endpoint.generation + 1,
                ..server.server_endpoint
            };
            if server.claimed_start != claimed_start {
                (server.claimed_start, server.started) = (claimed_start, believed);
            }
            pool.close_idle(id);
        }
        server.removed = target.state == State::Deleted;
        match target.state {
            State::Serving => (server.serving, server.drain_began_at) = (true, None),
            State::Draining | State::Deleted => server.stop_new_requests(pool),
        }
        server.listed = ServerEntry {
            server: id,
            zone: ZoneId(self.zones.of(&target.az)),
            kind: KindId(self.kinds.of(&target.model)),
            cell: CellId(target.pod_group),
            status: match target.state {
                State::Serving => Status::Serving,
                State::Draining => Status::Draining,
                State::Deleted => Status::Gone,
            },
            weight: target.capacity_hint.filter(|w| w.is_finite()).unwrap_or(1.0),
            started: server.started,
        };
        server.listed.clone()
    }
}

impl Server {
    /// Marks a server as removed because a complete list no longer names it.
    fn mark_removed(&mut self, pool: &Pool) {
        self.stop_new_requests(pool);
        self.removed = true;
        self.listed.status = Status::Gone;
    }

    fn stop_new_requests(&mut self, pool: &Pool) {
        self.serving = false;
        self.drain_began_at.get_or_insert_with(Instant::now);
        pool.close_idle(self.server_endpoint.server);
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
impl Servers {
    /// The ids of the known servers, and the number of records about them.
    pub fn known(&self) -> (&HashMap<String, ServerId>, usize) {
        (&self.ids, self.servers.len())
    }
}
