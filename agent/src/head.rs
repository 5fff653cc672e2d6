//! What the head of a request says of the request's length, from its raw bytes. hyper drops `Content-Length` where
//! `Transfer-Encoding` stands beside it, in either order, so that nobody can see any more that both were there and
//! that the body may hide another request.

/// Longer than the names that are looked for.
const NAME_MOST: usize = 20;

/// Follows a head byte by byte; hyper still reads it and refuses what is malformed.
#[derive(Clone, Default)]
pub struct Head {
    /// Bytes of the head, and all that have come, those behind it too.
    bytes: u64,
    fed: u64,
    lines: u32,
    ended: bool,
    lengths: u32,
    encodings: u32,
    /// The present line up to its colon, in small letters.
    name: [u8; NAME_MOST],
    name_len: usize,
    in_name: bool,
    line_has_text: bool,
}

impl Head {
    /// Takes in the next bytes; those behind the head's end are left alone.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.fed += bytes.len() as u64;
        for &byte in bytes {
            if self.ended {
                return;
            }
            self.bytes += 1;
            match byte {
                b'\n' => self.end_line(),
                b'\r' => {}
                b':' if self.in_name => {
                    self.in_name = false;
                    match self.name.get(..self.name_len).unwrap_or_default() {
                        b"content-length" => self.lengths += 1,
                        b"transfer-encoding" => self.encodings += 1,
                        _ => {}
                    }
                }
                _ => {
                    if !self.line_has_text {
                        (self.line_has_text, self.in_name, self.name_len) = (true, self.lines > 0, 0);
                    }
                    if self.in_name {
                        if let Some(place) = self.name.get_mut(self.name_len) {
                            *place = byte.to_ascii_lowercase();
                        }
                        self.name_len += 1;
                    }
                }
            }
        }
    }

    fn end_line(&mut self) {
        // Empty lines ahead of the request line are passed over.
        if std::mem::take(&mut self.line_has_text) {
            self.lines += 1;
        } else if self.lines > 0 {
            self.ended = true;
        }
        self.in_name = false;
    }

    /// Its length, once its end has come.
    pub fn len(&self) -> Option<u64> {
        self.ended.then_some(self.bytes)
    }

    /// How many bytes have come in all.
    pub fn fed(&self) -> u64 {
        self.fed
    }

    /// How many lines state a length, and how many a transfer coding.
    pub fn framings(&self) -> (u32, u32) {
        (self.lengths, self.encodings)
    }
}

#[cfg(test)]
mod tests;
