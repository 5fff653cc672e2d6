//! Follows the raw bytes of a server's answer to find its end, and examines what arrives behind it.
//!
//! hyper stops at the same end, but doesn't tell what has come behind it. The framing is read here only to
//! find that end: hyper still parses the answer and rejects a malformed one.

mod surplus;

pub use self::surplus::{Surplus, SurplusKind, SURPLUS_MAX};
use crate::chunk_scanner::ChunkScanner;

/// Maximum size of the head of an answer in bytes. hyper gets the same limit; with its default a few hundred
/// endless heads would fill the memory.
pub const HEAD_MAX: usize = 16 * 1024;
/// Maximum number of header lines of an answer. hyper gets the same limit.
pub const HEADERS_MAX: usize = 64;

/// What the next byte belongs to.
#[derive(Default)]
enum Position {
    /// No answer is expected.
    #[default]
    Idle,
    /// The head of an answer.
    Head,
    /// A body of which this number of bytes is still to come.
    Length(u64),
    /// A chunked body.
    Chunked(ChunkScanner),
    /// A body that ends with the connection.
    UntilClose,
    /// An answer whose end can't be found; hyper rejects it.
    Malformed,
    /// Nothing: the answer is complete.
    Ended,
}

/// Finds the end of one answer after the other on a connection.
#[derive(Default)]
pub struct AnswerScanner {
    position: Position,
    /// The head of the final answer.
    head: Vec<u8>,
    /// A byte of the body or of its framing has been read.
    has_body: bool,
    surplus: Surplus,
}

impl AnswerScanner {
    /// Starts a new answer with the next byte.
    pub fn expect_answer(&mut self) {
        self.position = Position::Head;
        self.head.clear();
        self.has_body = false;
        self.surplus = Surplus::default();
    }

    /// Frees the memory of the last answer, which has been examined. What still arrives is counted as surplus.
    pub fn release(&mut self) {
        self.head = Vec::new();
    }

    /// Takes in bytes that have been read; returns how many of them lie before the end of the answer. All of
    /// them do if no answer is expected.
    pub fn feed(&mut self, bytes: &[u8]) -> usize {
        let mut used = 0;
        while used < bytes.len() {
            let rest = &bytes[used..];
            used += match &mut self.position {
                Position::Idle | Position::UntilClose | Position::Malformed => rest.len(),
                Position::Head => self.feed_head(rest),
                Position::Length(left) => {
                    self.has_body = true;
                    let taken = rest.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                    *left -= taken as u64;
                    if *left == 0 {
                        self.position = Position::Ended;
                    }
                    taken
                }
                Position::Chunked(chunks) => {
                    self.has_body = true;
                    let taken = chunks.feed(rest);
                    if chunks.has_ended() {
                        self.position = Position::Ended;
                    }
                    taken
                }
                Position::Ended => {
                    self.surplus.feed(rest);
                    break;
                }
            };
        }
        used
    }

    /// What has been read behind the end of the answer.
    pub fn surplus(&self) -> &Surplus {
        &self.surplus
    }

    /// The kind of what has been read behind the end of the answer; `body` is the body of the answer as it
    /// was sent, or empty if that isn't known.
    pub fn surplus_kind(&self, body: &[u8]) -> SurplusKind {
        match self.position {
            // Whatever has come belongs to this body, but no server puts the head of an answer into it.
            Position::UntilClose if self.is_repeated_in(body) => SurplusKind::Other,
            _ => self.surplus.kind(&self.head, body),
        }
    }

    /// Whether a body contains the head of its answer.
    fn is_repeated_in(&self, body: &[u8]) -> bool {
        body.windows(self.head.len().max(1)).any(|part| part == self.head)
    }

    /// Whether the end of the answer has been read.
    pub fn has_ended(&self) -> bool {
        matches!(self.position, Position::Ended)
    }

    /// Whether the end of the answer has been read, and its body is empty.
    pub fn has_ended_without_body(&self) -> bool {
        self.has_ended() && !self.has_body
    }

    /// Takes in bytes of a head up to its end; returns their number.
    fn feed_head(&mut self, bytes: &[u8]) -> usize {
        for (index, &byte) in bytes.iter().enumerate() {
            self.head.push(byte);
            let at_empty_line =
                byte == b'\n' && (self.head.ends_with(b"\n\r\n") || self.head.ends_with(b"\n\n"));
            if at_empty_line {
                if let Some(position) = position_after(&self.head) {
                    self.position = position;
                    if matches!(self.position, Position::Head) {
                        // A 1xx answer: the head of the final answer follows.
                        self.head.clear();
                    }
                    return index + 1;
                }
            }
            if self.head.len() >= HEAD_MAX {
                self.position = Position::Malformed;
                return index + 1;
            }
        }
        bytes.len()
    }
}

/// What follows a head; `None` if it isn't complete, because only empty lines have come so far.
fn position_after(head: &[u8]) -> Option<Position> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut answer = httparse::Response::new(&mut headers);
    match answer.parse(head) {
        Ok(httparse::Status::Partial) => return None,
        Ok(httparse::Status::Complete(_)) => {}
        Err(_) => return Some(Position::Malformed),
    }
    Some(match answer.code {
        Some(101) | None => Position::Malformed,
        Some(100..=199) => Position::Head,
        Some(204 | 304) => Position::Ended,
        Some(_) => position_of_body(answer.headers),
    })
}

/// The body that headers announce.
fn position_of_body(headers: &[httparse::Header<'_>]) -> Position {
    let values = |name: &str| {
        let mut found = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value);
        (found.next(), found.next())
    };
    match (values("content-length"), values("transfer-encoding")) {
        ((Some(length), None), (None, _)) => {
            let length = std::str::from_utf8(length).ok().and_then(|length| length.trim().parse().ok());
            match length {
                Some(0) => Position::Ended,
                Some(length) => Position::Length(length),
                None => Position::Malformed,
            }
        }
        ((None, _), (Some(coding), None)) if coding.eq_ignore_ascii_case(b"chunked") => {
            Position::Chunked(ChunkScanner::default())
        }
        ((None, _), (None, _)) => Position::UntilClose,
        _ => Position::Malformed,
    }
}

#[cfg(test)]
mod tests;
