//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A head: the first line, and the headers with their names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection, and what has been read of it and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, rest: Vec::new() }
    }

    /// Reads once; `Ok(0)` at the end.
    pub fn more(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 * 1024];
        let n = self.stream.read(&mut piece)?;
        self.rest.extend_from_slice(&piece[..n]);
        Ok(n)
    }

    /// Reads a head; `None` if the peer has closed before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.rest.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.more()? == 0 {
                return if self.rest.is_empty() { Ok(None) } else { Err(ended()) };
            }
        };
        let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_string();
        let headers = lines.filter_map(|l| l.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_string())).collect();
        Ok(Some(Head { line, headers }))
    }

    fn take(&mut self, bytes: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < bytes {
            if self.more()? == 0 {
                return Err(ended());
            }
        }
        Ok(self.rest.drain(..bytes).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.rest.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.rest.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.more()? == 0 {
                return Err(ended());
            }
        }
    }

    /// Reads the body that a head announces: by length, in chunks, or none.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.take(size)?);
                self.take(2)?;
            }
        }
        let length = head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.take(length)
    }
}

/// One call on a connection of its own.
pub fn call(address: &str, method: &str, path: &str) -> io::Result<u16> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let mut conn = Conn::new(stream);
    let text =
        format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    conn.stream.write_all(text.as_bytes())?;
    Ok(conn.head()?.ok_or_else(ended)?.status())
}
