//! The network between real agents: a public address for each, behind which the switch carries every datagram on. Agent i
//! binds an address of its own and sends to j's public one; the switch knows i by where the packet came from, and hands it on
//! from i's public address, as the platform does.

use crate::fleet::flaw::{Broken, Flaw, BROKEN};
use crate::fleet::net::{Net, Packet};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

/// How often garbage is sent while some is to come.
const GARBAGE_EVERY: Duration = Duration::from_millis(10);
/// How far apart packets go that are sent besides.
const SENT_EVERY: Duration = Duration::from_micros(500);
/// Larger than any datagram that an agent may send, so that one that is too long is carried on as it is.
const DATAGRAM_MOST: usize = 2_048;

/// What goes on in place of a packet.
type Change = Box<dyn FnMut(Vec<u8>) -> Vec<u8> + Send>;

/// What the switch has carried for one member, in packets and bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Packets that came from it.
    pub packets_out: u64,
    /// Their bytes.
    pub bytes_out: u64,
    /// Packets that were handed on to it.
    pub packets_in: u64,
    /// Their bytes.
    pub bytes_in: u64,
}

/// Where members listen at present, by number and by address, and what was carried for each.
struct Members {
    addresses: Vec<Option<SocketAddr>>,
    numbers: HashMap<SocketAddr, usize>,
    traffic: Vec<Traffic>,
}

impl Members {
    fn place(&mut self, member: usize, address: SocketAddr) {
        if let Some(old) = self.addresses[member].replace(address) {
            // Another member may have got that address since.
            if self.numbers.get(&old) == Some(&member) {
                self.numbers.remove(&old);
            }
        }
        self.numbers.insert(address, member);
    }

    /// The member that has sent so many bytes from there.
    fn sent(&mut self, source: SocketAddr, bytes: usize) -> Option<usize> {
        let from = *self.numbers.get(&source)?;
        self.traffic[from].packets_out += 1;
        self.traffic[from].bytes_out += bytes as u64;
        Some(from)
    }

    /// Where a member listens to whom so many bytes are handed on.
    fn received(&mut self, to: usize, bytes: usize) -> Option<SocketAddr> {
        let address = self.addresses[to]?;
        self.traffic[to].packets_in += 1;
        self.traffic[to].bytes_in += bytes as u64;
        Some(address)
    }
}

struct Inner {
    net: Mutex<Net>,
    publics: Vec<UdpSocket>,
    members: Mutex<Members>,
    /// The one that is broken on purpose: here its packets are changed.
    broken: Mutex<Option<Broken>>,
    /// What is sent in place of a member's packets.
    changed: Mutex<Option<(usize, Change)>>,
    start: Instant,
}

/// A switch; it carries until it is dropped.
pub struct Switch {
    inner: Arc<Inner>,
    _tasks: JoinSet<()>,
}

fn lock<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Switch {
    /// One for so many agents, of which one may be broken.
    pub async fn start(agents: usize, seed: u64, flaw: Option<Flaw>) -> Result<Switch, String> {
        let mut publics = Vec::new();
        for _ in 0..agents {
            publics
                .push(UdpSocket::bind("127.0.0.1:0").await.map_err(|e| format!("no public address: {e}"))?);
        }
        let (addresses, traffic) = (vec![None; agents], vec![Traffic::default(); agents]);
        let members = Mutex::new(Members { addresses, numbers: HashMap::new(), traffic });
        let (net, broken) = (Mutex::new(Net::new(agents, seed)), Mutex::new(flaw.map(Broken::new)));
        let changed = Mutex::new(None);
        let inner = Arc::new(Inner { net, publics, members, broken, changed, start: Instant::now() });
        let mut tasks = JoinSet::new();
        for to in 0..agents {
            tasks.spawn(carry(Arc::clone(&inner), to));
        }
        tasks.spawn(garbage(Arc::clone(&inner), seed));
        Ok(Switch { inner, _tasks: tasks })
    }

    /// The public addresses, by number.
    pub fn addresses(&self) -> Result<Vec<SocketAddr>, String> {
        self.inner.publics.iter().map(|p| p.local_addr().map_err(|e| e.to_string())).collect()
    }

    /// A member listens there from now on.
    pub fn place(&self, member: usize, address: SocketAddr) {
        lock(&self.inner.members).place(member, address);
    }

    /// What was carried for each member so far.
    pub fn traffic(&self) -> Vec<Traffic> {
        lock(&self.inner.members).traffic.clone()
    }

    /// What the network does, and has carried.
    pub fn net(&self) -> MutexGuard<'_, Net> {
        lock(&self.inner.net)
    }

    /// The one that is broken on purpose, if this is it.
    pub fn broken<T>(&self, member: usize, act: impl FnOnce(&mut Broken) -> T) -> Option<T> {
        self.inner.broken(member, act)
    }

    /// From now on the packets of this member are changed on their way.
    pub fn change_packets(&self, member: usize, change: impl FnMut(Vec<u8>) -> Vec<u8> + Send + 'static) {
        *lock(&self.inner.changed) = Some((member, Box::new(change)));
    }

    /// The seconds since the switch was started, by which faults of the network are timed.
    pub fn now(&self) -> f64 {
        self.inner.start.elapsed().as_secs_f64()
    }

    /// Hands on what comes besides, such as a replay, one packet after the other.
    pub fn send(&self, packets: Vec<Packet>) {
        let inner = Arc::clone(&self.inner);
        tokio::spawn(async move {
            for packet in packets {
                inner.hand_on(&packet).await;
                tokio::time::sleep(SENT_EVERY).await;
            }
        });
    }
}

impl Inner {
    fn broken<T>(&self, member: usize, act: impl FnOnce(&mut Broken) -> T) -> Option<T> {
        lock(&self.broken).as_mut().filter(|_| member == BROKEN).map(act)
    }

    async fn hand_on(&self, packet: &Packet) {
        self.broken(packet.to, |broken| broken.hears(&packet.bytes));
        let to = lock(&self.members).received(packet.to, packet.bytes.len());
        if let Some(to) = to {
            // A member that does not listen is no fault of the switch.
            let _ = self.publics[packet.from].send_to(&packet.bytes, to).await;
        }
    }
}

async fn carry(inner: Arc<Inner>, to: usize) {
    let mut bytes = [0; DATAGRAM_MOST];
    loop {
        // An error is a member's that has gone meanwhile.
        let Ok((length, source)) = inner.publics[to].recv_from(&mut bytes).await else { continue };
        let Some(from) = lock(&inner.members).sent(source, length) else { continue };
        let sent = &bytes[..length];
        let changed = inner.broken(from, |broken| broken.sends(sent.to_vec()));
        let mut bytes = changed.unwrap_or_else(|| sent.to_vec());
        if let Some((_, change)) = lock(&inner.changed).as_mut().filter(|(member, _)| *member == from) {
            bytes = change(bytes);
        }
        let packet = Packet { from, to, bytes };
        let copies = lock(&inner.net).carry(&packet, inner.start.elapsed().as_secs_f64());
        for late in copies {
            if late.is_zero() {
                inner.hand_on(&packet).await;
            } else {
                let (inner, packet) = (Arc::clone(&inner), packet.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(late).await;
                    inner.hand_on(&packet).await;
                });
            }
        }
    }
}

async fn garbage(inner: Arc<Inner>, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut ticks = tokio::time::interval(GARBAGE_EVERY);
    loop {
        ticks.tick().await;
        let floods = lock(&inner.net).garbage();
        for (to, per_second) in floods {
            for _ in 0..(per_second * GARBAGE_EVERY.as_secs_f64()).ceil() as usize {
                let bytes = (0..random.usize(0..300)).map(|_| random.u8(..)).collect();
                inner.hand_on(&Packet { from: random.usize(0..inner.publics.len()), to, bytes }).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
