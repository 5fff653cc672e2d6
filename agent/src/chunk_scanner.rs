//! Finds the end of a chunked body in its raw bytes.

/// What the next byte of a chunked body belongs to.
#[derive(Clone, Copy)]
enum Part {
    /// The digits of a chunk's size, with the size so far.
    Size(u64),
    /// What stands behind the digits on the same line.
    Extension(u64),
    /// A chunk of which this number of bytes is still to come.
    Data(u64),
    /// The line end behind a chunk.
    DataEnd,
    /// A line behind the last chunk; whether it is empty so far.
    Trailer { is_empty: bool },
    /// Nothing: the body is complete.
    Ended,
}

/// Follows a chunked body. A malformed one is followed as far as possible; hyper rejects it.
#[derive(Clone)]
pub struct ChunkScanner {
    part: Part,
}

impl Default for ChunkScanner {
    fn default() -> Self {
        ChunkScanner { part: Part::Size(0) }
    }
}

impl ChunkScanner {
    /// Takes in bytes; returns how many of them belong to the body.
    pub fn feed(&mut self, bytes: &[u8]) -> usize {
        let mut used = 0;
        while used < bytes.len() && !self.has_ended() {
            if let Part::Data(left) = self.part {
                let taken = (bytes.len() - used).min(usize::try_from(left).unwrap_or(usize::MAX));
                let left = left - taken as u64;
                self.part = if left == 0 { Part::DataEnd } else { Part::Data(left) };
                used += taken;
            } else {
                self.part = after(self.part, bytes[used]);
                used += 1;
            }
        }
        used
    }

    /// Whether the end of the body has been read.
    pub fn has_ended(&self) -> bool {
        matches!(self.part, Part::Ended)
    }
}

/// The part that follows a byte of a line.
fn after(part: Part, byte: u8) -> Part {
    match (part, byte) {
        (Part::Size(0) | Part::Extension(0), b'\n') => Part::Trailer { is_empty: true },
        (Part::Size(size) | Part::Extension(size), b'\n') => Part::Data(size),
        (Part::Size(size), _) => match char::from(byte).to_digit(16) {
            Some(digit) => Part::Size(size.saturating_mul(16).saturating_add(u64::from(digit))),
            None => Part::Extension(size),
        },
        (Part::DataEnd, b'\n') => Part::Size(0),
        (Part::Trailer { is_empty: true }, b'\n') => Part::Ended,
        (Part::Trailer { .. }, b'\n') => Part::Trailer { is_empty: true },
        (Part::Trailer { is_empty: true }, b'\r') => part,
        (Part::Trailer { .. }, _) => Part::Trailer { is_empty: false },
        _ => part,
    }
}
