//! The listening socket that the platform holds and that every process inherits, named in `LB_LISTEN_FD`.

use crate::config_error::ConfigError;
use listenfd::ListenFd;
use std::env;
use std::net::{SocketAddr, TcpListener};

/// The environment variable with the descriptor's number.
const VARIABLE: &str = "LB_LISTEN_FD";

/// Takes over the inherited socket, which must listen at `expected`; `None` if the variable is not set. Works
/// once in a process: the descriptor has one owner from then on.
pub fn listener(expected: SocketAddr) -> Result<Option<TcpListener>, ConfigError> {
    let Some(text) = env::var(VARIABLE).ok().filter(|text| !text.is_empty()) else { return Ok(None) };
    let fault = |reason: String| ConfigError::of_key(VARIABLE, reason);
    let fd: i32 = text.parse().map_err(|_| fault(format!("{text:?} is no number of a file descriptor")))?;
    if fd < 3 {
        return Err(fault(format!("{fd} is not a listening socket: 0 to 2 are the standard streams")));
    }
    // The library reads the variables of the systemd convention.
    env::set_var("LISTEN_FDS", "1");
    env::set_var("LISTEN_FDS_FIRST_FD", &text);
    env::remove_var("LISTEN_PID");
    let taken = ListenFd::from_env().take_tcp_listener(0);
    env::remove_var("LISTEN_FDS_FIRST_FD");
    let listener = taken.map_err(|e| fault(e.to_string()))?.ok_or_else(|| fault(format!("{fd} is taken")))?;
    let address = listener.local_addr().map_err(|e| fault(e.to_string()))?;
    // With port 0 in the configuration, the port of the inherited socket counts.
    let same = address == expected || (expected.port() == 0 && address.ip() == expected.ip());
    if !same {
        return Err(fault(format!("listens at {address}, and the address for clients is {expected}")));
    }
    if !socket2::SockRef::from(&listener).is_listener().unwrap_or(false) {
        return Err(fault(format!("descriptor {fd} does not listen")));
    }
    listener.set_nonblocking(true).map_err(|e| fault(e.to_string()))?;
    Ok(Some(listener))
}
