//! Clients that do not behave: they stop in the middle of a request and stay, write several requests at once, or connect, rest and
//! wait until they are closed. What they get is written down where the protocol owes them something.

use crate::clock::Clock;
use crate::judge::evidence::{AgentIndex, Book, HalfRequest};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Nobody waits longer than this for a close.
const STAY_MOST: Duration = Duration::from_secs(10);
/// Pause after an agent that can't be reached, and between two clients.
const PAUSE: Duration = Duration::from_millis(150);

/// One rude client after the other at an agent, for as long as this is polled.
pub async fn run(agent: AgentIndex, address: SocketAddr, clock: Clock, book: Book, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    loop {
        sleep(PAUSE.mul_f64(0.5 + random.f64())).await;
        let Ok(Ok(mut stream)) = timeout(PAUSE, TcpStream::connect(address)).await else { continue };
        match random.u8(0..6) {
            0 => {
                let head = b"POST /x HTTP/1.1\r\nHost: a\r\nX-Call-Id: half\r\nContent-Length: 9\r\n\r\n";
                let most = random.usize(1..head.len());
                if stream.write_all(&head[..most]).await.is_err() {
                    continue;
                }
                let from = clock.now();
                hears(&mut stream).await;
                let to = clock.now();
                book.open().half_requests.push(HalfRequest { agent, from, to });
            }
            // Several at once, and a body that never comes.
            1 => {
                let text = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n".repeat(random.usize(2..9));
                let _ = stream.write_all(text.as_bytes()).await;
                let _ = stream.write_all(b"POST /x HTTP/1.1\r\nContent-Length: 99\r\n\r\n").await;
                let _ = timeout(PAUSE, hears(&mut stream)).await;
            }
            // A large request that stops half way, and stays or leaves with much unread.
            4 | 5 => {
                let body = vec![b'x'; random.usize(1_000..200_000)];
                let _ = stream.write_all(&large_head(&mut random)).await;
                let _ = timeout(PAUSE, stream.write_all(&body)).await;
                let _ = timeout(STAY_MOST.mul_f64(random.f64().powi(3)), hears(&mut stream)).await;
            }
            // Gone in the middle.
            2 => drop(stream.write_all(b"GET /x HTTP/1.1\r\nX-Call-").await),
            // Rests until it is closed, or for a while.
            _ => drop(timeout(STAY_MOST.mul_f64(random.f64()), hears(&mut stream)).await),
        }
    }
}

/// The head of an unsafe upload, of which less than a half follows, or one with many short fields.
fn large_head(random: &mut fastrand::Rng) -> Vec<u8> {
    let id = random.u64(..);
    let fields: String = (0..random.usize(0..60)).map(|n| format!("a{n}: b\r\n")).collect();
    let head = format!(
        "POST /unsafe HTTP/1.1\r\nHost: a\r\nX-Call-Id: rude-{id:x}\r\nX-Call-Class: unsafe\r\nX-Budget-Ms: 500\r\n\
         {fields}Content-Length: 400000\r\n\r\n"
    );
    head.into_bytes()
}

/// Waits for an answer or the end of the connection, until the client loses patience.
async fn hears(stream: &mut TcpStream) {
    let _ = timeout(STAY_MOST, stream.read(&mut [0])).await;
}
