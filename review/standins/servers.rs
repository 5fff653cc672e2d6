//! Booking servers, and a link with delay before each.

use crate::net::{Conn, Head};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{mpsc, Arc};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The body that every server makes for a request: its id, and what follows from the id alone.
pub fn schedule(id: &str, bytes: usize) -> Vec<u8> {
    let mut text = format!("{{\"call\":\"{id}\",\"sessions\":[");
    let mut n = 0;
    while text.len() < bytes {
        text.push_str(&format!("\"{id}-{n}\","));
        n += 1;
    }
    text.push_str("\"end\"]}");
    text.into_bytes()
}

/// A whole good answer.
pub fn good(body: &[u8]) -> Vec<u8> {
    let mut answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Load-Report: qps=20,latency_ms=25,eps=0,queue=0\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    answer.extend_from_slice(body);
    answer
}

/// What a server does with a request that it has read whole. Returns false if the connection is of no further
/// use.
pub type Handler = dyn Fn(usize, &Head, &mut Conn) -> bool + Send + Sync;

/// Starts a server; probes are answered here, all else by `handler`.
pub fn server(number: usize, handler: &Arc<Handler>) -> Result<String, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?.to_string();
    let handler = Arc::clone(handler);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            spawn(move || serve(number, Conn::new(stream), &*handler));
        }
    });
    Ok(address)
}

fn serve(number: usize, mut conn: Conn, handler: &Handler) {
    while let Ok(Some(head)) = conn.head() {
        if conn.body(&head).is_err() {
            return;
        }
        if matches!(head.path(), "/stats" | "/health/live") {
            let answer = good(b"qps=20,latency_ms=25,eps=0,queue=0");
            if conn.stream.write_all(&answer).is_err() {
                return;
            }
            continue;
        }
        if head.header("x-call-id").is_none() {
            let _ = conn.stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if !handler(number, &head, &mut conn) {
            // The connection stays open, and nothing that is written to it is read.
            sleep(Duration::from_secs(60));
            return;
        }
    }
}

/// A link of this one-way delay before a server.
pub fn link(to: String, delay: Duration) -> Result<String, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?.to_string();
    spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(&to) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            if let (Ok(a), Ok(b)) = (near.try_clone(), far.try_clone()) {
                carry(a, b, delay);
                carry(far, near, delay);
            }
        }
    });
    Ok(address)
}

fn carry(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, pieces) = mpsc::channel::<(Instant, Vec<u8>)>();
    spawn(move || {
        let mut piece = [0; 16 * 1024];
        while let Ok(n) = from.read(&mut piece) {
            if n == 0 || sender.send((Instant::now() + delay, piece[..n].to_vec())).is_err() {
                return;
            }
        }
    });
    spawn(move || {
        for (due, piece) in pieces {
            sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&piece).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}
