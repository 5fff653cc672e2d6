//! HTTP/1.1 as the lab speaks it: whole messages with a `Content-Length`, with the times of their first and last byte.
//! Written out here, since stand-ins must be able to stop at any byte; it is no server or client for other uses.

use crate::clock::{At, Clock};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// The largest head and the largest body that are read, in bytes.
const HEAD_MOST: usize = 64 * 1024;
const BODY_MOST: usize = 48 * 1024 * 1024;
/// The first head of a connection is seldom longer.
const CHUNK: usize = 2048;

/// A message as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// The request or status line.
    pub line: String,
    /// Names and values in their order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Path and query of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    fn head(text: &[u8]) -> Message {
        let text = String::from_utf8_lossy(text);
        let mut lines = text.lines();
        let line = lines.next().unwrap_or_default().trim_end().to_string();
        let headers = lines
            .filter_map(|l| l.split_once(':'))
            .map(|(n, v)| (n.trim().to_string(), v.trim().to_string()))
            .collect();
        Message { line, headers, body: Vec::new() }
    }

    /// Reads a whole message out of a text.
    pub fn of_text(text: &str) -> Message {
        let end = text.find("\r\n\r\n").map_or(text.len(), |at| at + 4);
        Message { body: text.as_bytes()[end..].to_vec(), ..Message::head(&text.as_bytes()[..end]) }
    }
}

/// How far a message has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its first byte is there.
    Begun,
    /// Its head is whole.
    Head,
}

/// A whole message and the times of its ends.
#[derive(Debug)]
pub struct Incoming {
    /// The message.
    pub message: Message,
    /// When its first byte was read.
    pub first: At,
    /// When its last byte was read.
    pub last: At,
}

/// Why there is no whole message.
#[derive(Debug)]
pub enum Broken {
    /// The peer closed before its first byte.
    Closed,
    /// It ended, or broke, after so many bytes had come.
    Midway(At, usize),
    /// The peer broke the connection before the first byte.
    Reset(io::Error),
    /// Whoever follows the message wants no more of it.
    Stopped(At),
}

/// Reads messages one after the other.
pub struct Reader<R> {
    input: R,
    clock: Clock,
    buffer: Vec<u8>,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Nothing read yet.
    pub fn new(input: R, clock: Clock) -> Self {
        Reader { input, clock, buffer: Vec::new() }
    }

    /// What the messages come from.
    pub fn input(&self) -> &R {
        &self.input
    }

    /// Bytes that have been read and belong to no message yet.
    pub fn unread(&self) -> usize {
        self.buffer.len()
    }

    async fn more(&mut self) -> io::Result<usize> {
        self.buffer.reserve(CHUNK);
        self.input.read_buf(&mut self.buffer).await
    }

    /// The next message; `follow` is told of its stages and may stop it.
    pub async fn next(
        &mut self,
        mut follow: impl FnMut(Stage, &Message) -> bool,
    ) -> Result<Incoming, Broken> {
        if self.buffer.is_empty() {
            match self.more().await {
                Ok(0) => return Err(Broken::Closed),
                Ok(_) => {}
                Err(e) => return Err(Broken::Reset(e)),
            }
        }
        let first = self.clock.now();
        if !follow(Stage::Begun, &Message::default()) {
            return Err(Broken::Stopped(first));
        }
        let head_end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if self.buffer.len() > HEAD_MOST || !matches!(self.more().await, Ok(n) if n > 0) {
                return Err(Broken::Midway(first, self.buffer.len()));
            }
        };
        let mut message = Message::head(&self.buffer[..head_end]);
        if !follow(Stage::Head, &message) {
            return Err(Broken::Stopped(first));
        }
        if message.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
            self.buffer.drain(..head_end);
            while self.chunk(&mut message.body).await.ok_or(Broken::Midway(first, self.buffer.len()))? {}
        } else {
            let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0usize);
            while self.buffer.len() < head_end.saturating_add(length) {
                if length > BODY_MOST || !matches!(self.more().await, Ok(n) if n > 0) {
                    return Err(Broken::Midway(first, self.buffer.len()));
                }
            }
            message.body = self.buffer[head_end..head_end + length].to_vec();
            self.buffer.drain(..head_end + length);
        }
        if self.buffer.is_empty() && self.buffer.capacity() > 4 * CHUNK {
            self.buffer = Vec::new();
        }
        Ok(Incoming { message, first, last: self.clock.now() })
    }

    /// A line, without its end; `None` if the peer ends it otherwise or it is too long.
    async fn line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Some(line);
            }
            if self.buffer.len() > HEAD_MOST || !matches!(self.more().await, Ok(n) if n > 0) {
                return None;
            }
        }
    }

    /// Adds the next chunk to a body; false after the last one and its trailers, `None` if it is none.
    async fn chunk(&mut self, body: &mut Vec<u8>) -> Option<bool> {
        let line = self.line().await?;
        let digits = line.split(';').next().unwrap_or_default().trim();
        let length = usize::from_str_radix(digits, 16).ok()?;
        if length == 0 {
            while !self.line().await?.is_empty() {}
            return Some(false);
        }
        if length > BODY_MOST - body.len() {
            return None;
        }
        while self.buffer.len() < length + 2 {
            if !matches!(self.more().await, Ok(n) if n > 0) {
                return None;
            }
        }
        body.extend_from_slice(&self.buffer[..length]);
        let ends = &self.buffer[length..length + 2] == b"\r\n";
        self.buffer.drain(..length + 2);
        ends.then_some(true)
    }
}

/// An answer with a body.
pub fn answer(status: u16, headers: &str, body: &str) -> String {
    let reason = match status {
        200 => "OK",
        404 => "Not Found",
        503 => "Service Unavailable",
        _ => "X",
    };
    format!("HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn chunks_are_put_together_and_bad_ones_are_no_message() {
        let head = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (chunks, expected) in [
            ("4;x=y\r\nbody\r\nA\r\n0123456789\r\n0\r\nX-Sum: 1\r\n\r\n", Some("body0123456789")),
            ("0\r\n\r\n", Some("")),
            ("4\r\nbody0\r\n\r\n", None),
            ("zz\r\n", None),
            ("ffffffffffffffff\r\nbody", None),
            ("4\r\nbo", None),
        ] {
            let text = format!("{head}{chunks}");
            let mut reader = Reader::new(text.as_bytes(), Clock::start());
            let body = reader.next(|_, _| true).await.ok().map(|read| read.message.body);
            assert_eq!(body.as_deref(), expected.map(str::as_bytes), "{chunks:?}");
        }
    }

    #[tokio::test]
    async fn messages_are_told_apart_however_they_come() {
        let text =
            "POST /a?b=1 HTTP/1.1\r\nX-A: b: c\r\ncontent-length: 4\r\n\r\nbodyGET / HTTP/1.1\r\n\r\nHTT";
        for step in [1, 3, 1000] {
            let (client, server) = tokio::io::duplex(step);
            let writer = tokio::spawn(async move {
                let mut client = client;
                tokio::io::AsyncWriteExt::write_all(&mut client, text.as_bytes()).await.unwrap();
            });
            let mut reader = Reader::new(server, Clock::start());
            let mut stages = Vec::new();
            let first = reader
                .next(|stage, _| {
                    stages.push(stage);
                    true
                })
                .await
                .unwrap()
                .message;
            assert_eq!(
                (first.path(), first.header("x-a"), first.body.as_slice()),
                ("/a?b=1", Some("b: c"), &b"body"[..])
            );
            assert_eq!(stages, [Stage::Begun, Stage::Head]);
            assert_eq!(reader.next(|_, _| true).await.unwrap().message.method(), "GET");
            assert!(matches!(reader.next(|_, _| true).await, Err(Broken::Midway(_, 3))));
            writer.await.unwrap();
        }
        let (client, server) = tokio::io::duplex(9);
        drop(client);
        assert!(matches!(Reader::new(server, Clock::start()).next(|_, _| true).await, Err(Broken::Closed)));
    }
}
