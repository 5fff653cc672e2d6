//! The sockets of this machine, as the kernel's table has them.

use super::hand::BOUND;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// A socket as the machine's own table has it.
pub struct KernelSocket {
    /// Its own address.
    pub local: SocketAddr,
    /// The address of its peer.
    pub remote: SocketAddr,
    /// The state in the words of the table: `01` is established, `02` has asked and was not answered.
    pub state: String,
}

impl KernelSocket {
    /// Reads a line of the table; `None` for its heading.
    fn parse(line: &str) -> Option<KernelSocket> {
        let mut words = line.split_ascii_whitespace().skip(1);
        let mut address = || {
            let (ip, port) = words.next()?.split_once(':')?;
            let ip = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
            Some(SocketAddr::from((ip, u16::from_str_radix(port, 16).ok()?)))
        };
        let (local, remote) = (address()?, address()?);
        Some(KernelSocket { local, remote, state: words.next()?.to_string() })
    }
}

/// Waits until the machine's table of sockets is as wanted.
pub fn wait_for_sockets(complaint: &str, is_wanted: impl Fn(&[KernelSocket]) -> bool) {
    let start = Instant::now();
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
        let sockets: Vec<KernelSocket> = table.lines().filter_map(KernelSocket::parse).collect();
        if is_wanted(&sockets) {
            return;
        }
        assert!(start.elapsed() < BOUND, "{complaint}");
        thread::sleep(Duration::from_millis(1));
    }
}
