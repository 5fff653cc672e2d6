//! Stand-in servers that answer at once, always the same, and a discovery that lists them.
//!
//! The servers are as cheap and as constant as they can be, on a thread of their own: what is measured is the agent in
//! front of them. Each has its own loopback address, as servers on machines of their own would.

use crate::clock::Clock;
use crate::judge::evidence::{Book, Word};
use crate::standins::discovery::{Entry, Registry, View};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::thread::JoinHandle;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

/// The most servers that are started: two bytes of an address tell them apart.
const SERVERS_MOST: usize = 50_000;
/// Servers that differ in the last byte of their address only.
const A_BLOCK: usize = 250;
/// The largest head of a request that is read.
const HEAD_MOST: usize = 8 * 1024;
/// Zones at the target size.
pub const ZONES: usize = 16;

/// What every request is answered with.
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\
    X-Load-Report: qps=1.00,latency_ms=1.00,eps=0.00,queue=0\r\nContent-Length: 13\r\n\r\nsession notes";
/// What a probe is answered with.
const STATS: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Length: 41\r\n\r\nqps=1.00,latency_ms=1.00,eps=0.00,queue=0";

/// Servers on a thread of their own; they end when this is dropped.
pub struct Servers {
    addresses: Vec<SocketAddr>,
    _end: oneshot::Sender<()>,
    _thread: JoinHandle<()>,
}

impl Servers {
    /// Starts so many servers.
    pub async fn start(count: usize) -> Result<Servers, String> {
        if count > SERVERS_MOST {
            return Err(format!("{count} servers; at most {SERVERS_MOST} can be told apart"));
        }
        let (end, ended) = oneshot::channel();
        let (tell, told) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build();
        let runtime = runtime.map_err(|e| format!("no runtime for servers: {e}"))?;
        let thread = std::thread::spawn(move || runtime.block_on(serve(count, tell, ended)));
        let addresses = told.await.map_err(|_| "the servers' thread has ended".to_string())??;
        Ok(Servers { addresses, _end: end, _thread: thread })
    }

    /// Where they listen.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }
}

async fn serve(
    count: usize,
    tell: oneshot::Sender<Result<Vec<SocketAddr>, String>>,
    ended: oneshot::Receiver<()>,
) {
    let (mut addresses, mut tasks) = (Vec::new(), tokio::task::JoinSet::new());
    for number in 0..count {
        match listen(number).await {
            Ok((listener, address)) => {
                addresses.push(address);
                tasks.spawn(accept(listener));
            }
            Err(fault) => {
                let _ = tell.send(Err(fault));
                return;
            }
        }
    }
    if tell.send(Ok(addresses)).is_ok() {
        let _ = ended.await;
    }
}

async fn listen(number: usize) -> Result<(TcpListener, SocketAddr), String> {
    let (block, last) = ((number / A_BLOCK) as u8, (number % A_BLOCK) as u8 + 1);
    let listener = TcpListener::bind((Ipv4Addr::new(127, 10, block, last), 0)).await;
    let listener = listener.map_err(|e| format!("server {number} cannot listen: {e}"))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    Ok((listener, address))
}

async fn accept(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        // The connection ends with its peer, or with the runtime.
        tokio::spawn(converse(stream));
    }
}

async fn converse(mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::with_capacity(HEAD_MOST);
    loop {
        let end = loop {
            if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            let read = stream.read_buf(&mut buffer).await;
            if buffer.len() > HEAD_MOST || !matches!(read, Ok(bytes) if bytes > 0) {
                return;
            }
        };
        let answer = if buffer.starts_with(b"GET /stats") { STATS } else { ANSWER };
        buffer.drain(..end);
        if stream.write_all(answer).await.is_err() {
            return;
        }
    }
}

/// A discovery that lists the first `count` of some servers, spread over the zones.
pub async fn discovery(addresses: &[SocketAddr], count: usize) -> Result<(Registry, View), String> {
    let registry = Registry::default();
    let mut endpoints = HashMap::new();
    for (server, address) in addresses.iter().take(count).enumerate() {
        endpoints.insert(server, *address);
        registry.set(entry(server, Word::Serving(0)));
    }
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let view = View::start(0, registry.clone(), endpoints, any, Clock::start(), Book::default()).await;
    Ok((registry, view.map_err(|e| format!("no discovery: {e}"))?))
}

/// A line of the list.
pub fn entry(server: usize, word: Word) -> Entry {
    let building = zone(server % ZONES);
    Entry { server, uid: format!("booking-{building}-{server:05}"), building, word, boot_ms: 0 }
}

/// The name of a zone.
pub fn zone(number: usize) -> String {
    format!("zone-{number:02}")
}

#[cfg(test)]
mod tests;
