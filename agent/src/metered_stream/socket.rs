//! What the kernel knows of a socket, apart from the runtime.

use std::io;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Whether an error says nothing about the connection: no data at present, or a signal. The call is repeated
/// when the runtime reports the socket as ready, or at once, respectively.
pub fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// The number of unread bytes, 1 at most; `Ok(0)` means that the peer has closed.
pub fn peek(stream: &TcpStream) -> io::Result<usize> {
    loop {
        match socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Whether nothing has arrived on a socket: no bytes, close or error.
pub fn is_quiet(stream: &TcpStream) -> bool {
    matches!(peek(stream), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
