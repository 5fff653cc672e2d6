//! A TCP relay between two parts of the world, which fails as networks do: cut without a word, reset, half open, slow,
//! narrow, or cut behind a given byte.
//!
//! While a link is cut, open connections stay open on both sides and silent, and new ones never come up: the listener's
//! queue is filled, so that the kernel answers no further handshake. What waits in a cut link arrives once it is whole
//! again, as TCP would repeat it: also what its sender has closed behind, for a kernel goes on delivering after a plain
//! close (RFC 9293, 3.6). Only a reset (`SO_LINGER` of zero) takes back what has not arrived.

use crate::clock::{At, Clock};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

/// Read at a time.
const CHUNK: usize = 16 * 1024;
/// Chunks that may be on their way in one direction of one connection.
const FLIGHT_MOST: usize = 64;
/// The listener's queue while the link is whole.
const BACKLOG: i32 = 1024;
/// Connections that fill the queue of a cut link.
const FILLERS: usize = 4;

/// Towards the server or back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From the one who connects.
    Out,
    /// To the one who connects.
    Back,
}

/// What a link does to bytes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Manner {
    /// Nothing passes outwards.
    pub cut_out: bool,
    /// Nothing passes back.
    pub cut_back: bool,
    /// Each byte takes this long.
    pub latency: Duration,
    /// And up to this much more, drawn for each chunk; order is kept.
    pub jitter: Duration,
    /// Bytes a second for each direction of each connection; none for no bound.
    pub bandwidth: Option<f64>,
}

impl Manner {
    /// Cut in both directions.
    pub fn cut(self) -> Manner {
        Manner { cut_out: true, cut_back: true, ..self }
    }
}

#[derive(Clone, Default)]
struct Orders {
    manner: Manner,
    /// Counts resets: connections that were open at one end.
    resets: u64,
    /// The link is cut once so many more bytes have gone in a direction.
    cut_after: Option<(Direction, u64)>,
}

/// What all connections over one link share; several relays may.
#[derive(Clone)]
pub struct Link {
    orders: Arc<watch::Sender<Orders>>,
    random: Arc<Mutex<fastrand::Rng>>,
}

impl Link {
    /// A whole link without delay.
    pub fn new(seed: u64) -> Link {
        let random = Arc::new(Mutex::new(fastrand::Rng::with_seed(seed)));
        Link { orders: Arc::new(watch::Sender::new(Orders::default())), random }
    }

    /// Treats bytes so from now on.
    pub fn set(&self, manner: Manner) {
        self.orders.send_modify(|orders| orders.manner = manner);
    }

    /// How bytes are treated now.
    pub fn manner(&self) -> Manner {
        self.orders.borrow().manner
    }

    /// Cut without a word, or whole again.
    pub fn cut(&self, cut: bool) {
        self.orders.send_modify(|orders| {
            (orders.manner.cut_out, orders.manner.cut_back) = (cut, cut);
            if !cut {
                orders.cut_after = None;
            }
        });
    }

    /// Only one direction passes nothing.
    pub fn half_open(&self, cut: Direction) {
        self.orders.send_modify(|orders| {
            orders.manner.cut_out = cut == Direction::Out;
            orders.manner.cut_back = cut == Direction::Back;
        });
    }

    /// Resets all connections that are open.
    pub fn reset(&self) {
        self.orders.send_modify(|orders| orders.resets += 1);
    }

    /// Cuts the link once so many more bytes have gone in a direction, all connections together.
    pub fn cut_after(&self, direction: Direction, bytes: u64) {
        self.orders.send_modify(|orders| orders.cut_after = Some((direction, bytes)));
    }

    /// How many bytes of `wanted` may pass before the cut that is ordered.
    fn pass(&self, direction: Direction, wanted: usize) -> usize {
        let mut passed = wanted;
        self.orders.send_if_modified(|orders| {
            let Some((which, left)) = &mut orders.cut_after else { return false };
            if *which != direction {
                return false;
            }
            passed = wanted.min(*left as usize);
            *left -= passed as u64;
            let over = *left == 0;
            if over {
                orders.cut_after = None;
                (orders.manner.cut_out, orders.manner.cut_back) = (true, true);
            }
            over
        });
        passed
    }

    /// Starts a relay over this link to a target; its address.
    pub async fn relay(&self, target: SocketAddr, clock: Clock) -> std::io::Result<SocketAddr> {
        self.relay_at(SocketAddr::from(([127, 0, 0, 1], 0)), target, clock).await
    }

    /// Starts one that listens at an address.
    pub async fn relay_at(
        &self,
        listen: SocketAddr,
        target: SocketAddr,
        clock: Clock,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        tokio::spawn(self.clone().accept(listener, address, target, clock));
        Ok(address)
    }

    async fn accept(self, listener: TcpListener, address: SocketAddr, target: SocketAddr, clock: Clock) {
        let mut orders = self.orders.subscribe();
        let socket = socket2::SockRef::from(&listener);
        loop {
            if orders.borrow_and_update().manner.cut_out {
                // A queue of none that is full: no handshake is answered any more.
                let _ = socket.listen(0);
                let fillers = fill(address).await;
                let _ = orders.wait_for(|o| !o.manner.cut_out).await;
                let ours: Vec<SocketAddr> = fillers.iter().filter_map(|s| s.local_addr().ok()).collect();
                drop(fillers);
                let _ = socket.listen(BACKLOG);
                // The fillers come first; whoever has waited comes as its kernel asks again.
                while let Ok(Ok((stream, peer))) = timeout(Duration::from_millis(5), listener.accept()).await
                {
                    // One that slipped into the queue ahead of the fillers and was reset since has sent nothing.
                    let taken_back = !matches!(stream.take_error(), Ok(None));
                    if !ours.contains(&peer) && !taken_back {
                        tokio::spawn(self.clone().carry(stream, target, clock));
                    }
                }
                continue;
            }
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => { tokio::spawn(self.clone().carry(stream, target, clock)); }
                    Err(_) => sleep(Duration::from_millis(10)).await,
                },
                _ = orders.changed() => {}
            }
        }
    }

    async fn carry(self, near: TcpStream, target: SocketAddr, clock: Clock) {
        let resets = self.orders.borrow().resets;
        let far = tokio::select! {
            far = TcpStream::connect(target) => far,
            () = ended(&near) => return,
        };
        let Ok(far) = far else {
            let _ = socket2::SockRef::from(&near).set_linger(Some(Duration::ZERO));
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let mut orders = self.orders.subscribe();
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        let mut out = tokio::spawn(self.clone().pump(near_in, far_out, Direction::Out, clock));
        let mut back = tokio::spawn(self.clone().pump(far_in, near_out, Direction::Back, clock));
        // Ends with both directions, at once on a reset of either side, and when the link itself is reset.
        let both = async {
            let mut over = [false, false];
            while over != [true, true] {
                let (side, end) = tokio::select! {
                    end = &mut out, if !over[0] => (0, end),
                    end = &mut back, if !over[1] => (1, end),
                };
                over[side] = true;
                if !matches!(end, Ok(End::Closed)) {
                    return;
                }
            }
        };
        tokio::select! {
            () = both => {}
            _ = orders.wait_for(|o| o.resets != resets) => {}
        }
        out.abort();
        back.abort();
    }

    async fn pump(
        self,
        mut input: OwnedReadHalf,
        output: OwnedWriteHalf,
        direction: Direction,
        clock: Clock,
    ) -> End {
        let (sender, mut chunks) = mpsc::channel::<(At, Vec<u8>)>(FLIGHT_MOST);
        let mut orders = self.orders.subscribe();
        let is_cut = move |orders: &Orders| match direction {
            Direction::Out => orders.manner.cut_out,
            Direction::Back => orders.manner.cut_back,
        };
        let read = async {
            let (mut last, mut free) = (At(0), At(0));
            let mut buffer = vec![0; CHUNK];
            loop {
                let n = match input.read(&mut buffer).await {
                    Ok(0) => break,
                    Ok(n) => n,
                    Err(_) => return End::Broken,
                };
                let manner = self.manner();
                let jitter = {
                    let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
                    manner.jitter.mul_f64(random.f64())
                };
                let mut due = clock.now().plus(manner.latency + jitter).max(last);
                if let Some(bandwidth) = manner.bandwidth {
                    free = free.max(clock.now()).plus(Duration::from_secs_f64(n as f64 / bandwidth.max(1.0)));
                    due = due.max(free);
                }
                last = due;
                if sender.send((due, buffer[..n].to_vec())).await.is_err() {
                    return End::Broken;
                }
            }
            drop(sender);
            // Its own end: the writer's answer decides.
            std::future::pending().await
        };
        let write = async {
            let mut output = output;
            while let Some((due, bytes)) = chunks.recv().await {
                clock.until(due).await;
                let mut rest = &bytes[..];
                while !rest.is_empty() {
                    let _ = orders.wait_for(|o| !is_cut(o)).await;
                    let part = self.pass(direction, rest.len());
                    if part > 0 && output.write_all(&rest[..part]).await.is_err() {
                        return End::Broken;
                    }
                    rest = &rest[part..];
                }
            }
            // The end passes no cut link either.
            let _ = orders.wait_for(|o| !is_cut(o)).await;
            let _ = output.shutdown().await;
            End::Closed
        };
        tokio::select! {
            biased;
            // A reset behind the bytes that it takes back must be seen before they are written.
            end = read => end,
            end = write => end,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Closed,
    Broken,
}

async fn ended(stream: &TcpStream) {
    while matches!(stream.peek(&mut [0; 1]).await, Ok(n) if n > 0) {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Fills a queue of none.
async fn fill(address: SocketAddr) -> Vec<TcpStream> {
    let mut fillers = Vec::new();
    for _ in 0..FILLERS {
        match timeout(Duration::from_millis(20), TcpStream::connect(address)).await {
            Ok(Ok(stream)) => fillers.push(stream),
            _ => break,
        }
    }
    fillers
}

/// Links by name.
#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<Vec<(String, Link)>>>);

impl Links {
    /// The link of this name, new if there is none.
    pub fn named(&self, name: &str, seed: u64) -> Link {
        let mut links = self.all();
        if let Some((_, link)) = links.iter().find(|(n, _)| n == name) {
            return link.clone();
        }
        let link = Link::new(seed ^ crate::judge::evidence::fingerprint(name.as_bytes()));
        links.push((name.to_string(), link.clone()));
        link
    }

    fn all(&self) -> MutexGuard<'_, Vec<(String, Link)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Those whose name a pattern meets, and their names.
    pub fn matching(&self, matches: impl Fn(&str) -> bool) -> Vec<(String, Link)> {
        self.all().iter().filter(|(name, _)| matches(name)).cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    async fn pair() -> (Link, SocketAddr, TcpListener) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link = Link::new(1);
        let address = link.relay(listener.local_addr().unwrap(), Clock::start()).await.unwrap();
        (link, address, listener)
    }

    async fn both(address: SocketAddr, listener: &TcpListener) -> (TcpStream, TcpStream) {
        let near = TcpStream::connect(address).await.unwrap();
        (near, listener.accept().await.unwrap().0)
    }

    async fn quiet(stream: &mut TcpStream) -> bool {
        timeout(Duration::from_millis(60), stream.read(&mut [0; 1])).await.is_err()
    }

    /// The hard case: cut in the middle of a body, neither end learns of it, and both sockets stay open.
    #[tokio::test]
    async fn a_cut_in_the_middle_of_a_body_is_silent_on_both_sides_and_heals() {
        let (link, address, listener) = pair().await;
        let (mut near, mut far) = both(address, &listener).await;
        link.cut_after(Direction::Out, 4);
        near.write_all(b"one body").await.unwrap();
        let mut half = [0; 4];
        far.read_exact(&mut half).await.unwrap();
        assert_eq!(&half, b"one ");
        far.write_all(b"back").await.unwrap();
        assert!(quiet(&mut far).await && quiet(&mut near).await);
        link.cut(false);
        far.read_exact(&mut half).await.unwrap();
        assert_eq!(&half, b"body");
        near.read_exact(&mut half).await.unwrap();
        assert_eq!(&half, b"back");
    }

    #[tokio::test]
    async fn while_it_is_cut_no_new_connection_comes_up() {
        let (link, address, listener) = pair().await;
        drop(both(address, &listener).await);
        link.cut(true);
        // The relay fills its queue in a moment.
        let mut refused = false;
        for _ in 0..100 {
            let connect = timeout(Duration::from_millis(30), TcpStream::connect(address)).await;
            refused |= connect.is_err();
            if refused {
                break;
            }
        }
        assert!(refused, "connections still come up");
        link.cut(false);
        let mut near = TcpStream::connect(address).await.unwrap();
        near.write_all(b"x").await.unwrap();
        // Some that gave up while the link was cut may come first, and end at once.
        while listener.accept().await.unwrap().0.read_u8().await.ok() != Some(b'x') {}
    }

    /// What a kernel does: a plain close leaves the bytes on their way, a reset takes them back.
    #[tokio::test]
    async fn what_is_stuck_arrives_after_a_close_and_never_after_a_reset() {
        for reset in [false, true] {
            let (link, address, listener) = pair().await;
            let (mut near, mut far) = both(address, &listener).await;
            link.cut(true);
            near.write_all(b"stuck").await.unwrap();
            assert!(quiet(&mut far).await);
            if reset {
                socket2::SockRef::from(&near).set_linger(Some(Duration::ZERO)).unwrap();
            }
            drop(near);
            sleep(Duration::from_millis(30)).await;
            link.cut(false);
            let mut rest = Vec::new();
            let _ = timeout(Duration::from_secs(10), far.read_to_end(&mut rest)).await.unwrap();
            assert_eq!(rest, if reset { &b""[..] } else { b"stuck" });
        }
    }

    #[tokio::test]
    async fn half_open_resets_and_closes_reach_the_right_side() {
        let (link, address, listener) = pair().await;
        let (mut near, mut far) = both(address, &listener).await;
        link.half_open(Direction::Back);
        near.write_all(b"x").await.unwrap();
        far.write_all(b"y").await.unwrap();
        assert_eq!(far.read_u8().await.unwrap(), b'x');
        assert!(quiet(&mut near).await);
        link.cut(false);
        assert_eq!(near.read_u8().await.unwrap(), b'y');
        near.shutdown().await.unwrap();
        assert_eq!(far.read(&mut [0; 1]).await.unwrap(), 0);
        far.write_all(b"z").await.unwrap();
        assert_eq!(near.read_u8().await.unwrap(), b'z', "a half close leaves the way back open");
        let (mut near, mut far) = both(address, &listener).await;
        far.write_all(b"!").await.unwrap();
        assert_eq!(near.read_u8().await.unwrap(), b'!');
        link.reset();
        assert!(matches!(near.read(&mut [0; 1]).await, Ok(0) | Err(_)));
    }

    #[tokio::test]
    async fn latency_and_bandwidth_hold_bytes_back() {
        let (link, address, listener) = pair().await;
        let (mut near, mut far) = both(address, &listener).await;
        let latency = Duration::from_millis(50);
        link.set(Manner { latency, bandwidth: Some(100_000.0), ..Manner::default() });
        let start = tokio::time::Instant::now();
        near.write_all(&[7; 10_000]).await.unwrap();
        far.read_exact(&mut [0; 10_000]).await.unwrap();
        assert!(start.elapsed() >= Duration::from_millis(95), "{:?}", start.elapsed());
    }

    /// Thousands of descriptors: each connection holds two here, and two at its ends.
    #[tokio::test]
    async fn a_thousand_connections_are_carried_and_reset_together() {
        let (link, address, listener) = pair().await;
        let mut pairs = Vec::new();
        for _ in 0..1000 {
            pairs.push(both(address, &listener).await);
        }
        for (n, (near, far)) in pairs.iter_mut().enumerate() {
            near.write_all(&[n as u8]).await.unwrap();
            assert_eq!(far.read_u8().await.unwrap(), n as u8);
        }
        link.reset();
        for (near, _) in &mut pairs {
            assert!(matches!(near.read(&mut [0; 1]).await, Ok(0) | Err(_)));
        }
    }
}
