//! What a server has sent behind the end of an answer.

/// Number of bytes that are kept; a copy is recognized by its head.
pub const SURPLUS_MAX: usize = super::HEAD_MAX;

/// What the bytes behind an answer are, as far as they have come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SurplusKind {
    /// There are none.
    None,
    /// The beginning of the head of the same answer: it may become a copy.
    Partial,
    /// The same answer once more, at least its complete head.
    Copy,
    /// Anything else. It may be the rest of a body whose stated length is too short.
    Other,
}

impl SurplusKind {
    /// The name in the log.
    pub fn name(self) -> &'static str {
        match self {
            SurplusKind::None => "none",
            SurplusKind::Partial => "partial",
            SurplusKind::Copy => "copy",
            SurplusKind::Other => "other",
        }
    }
}

/// The bytes behind an answer, of which the first are kept.
#[derive(Default)]
pub struct Surplus {
    bytes: u64,
    kept: Vec<u8>,
}

impl Surplus {
    /// Takes in further bytes.
    pub(super) fn feed(&mut self, bytes: &[u8]) {
        self.bytes += bytes.len() as u64;
        let kept = bytes.len().min(SURPLUS_MAX - self.kept.len());
        self.kept.extend_from_slice(&bytes[..kept]);
    }

    /// Number of bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The first bytes.
    pub fn kept(&self) -> &[u8] {
        &self.kept
    }

    /// Compares the bytes with the answer before them, as far as it is known: its head and, unless it is
    /// streamed or chunked, its body.
    pub(super) fn kind(&self, head: &[u8], body: &[u8]) -> SurplusKind {
        let answer = head.iter().chain(body);
        let equal = self.kept.iter().zip(answer).take_while(|(byte, expected)| byte == expected).count();
        let compared = self.kept.len().min(head.len() + body.len());
        match compared {
            _ if self.bytes == 0 => SurplusKind::None,
            _ if equal < compared => SurplusKind::Other,
            _ if equal < head.len() => SurplusKind::Partial,
            _ => SurplusKind::Copy,
        }
    }
}
