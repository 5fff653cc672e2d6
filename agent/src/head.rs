//! Scans the raw bytes of a request head for the headers that state the body length. hyper drops
//! `Content-Length` if `Transfer-Encoding` is present too, in either order, and so hides that both were there
//! and that the body may hide another request. Follows a chunked body to its end, too: hyper doesn't tell what
//! has come behind it.

use crate::chunk_scanner::ChunkScanner;

/// Longer than the header names that are searched for.
const NAME_MAX: usize = 20;

/// Scans a head byte by byte. hyper still parses it and rejects malformed heads.
#[derive(Clone, Default)]
pub struct HeadScanner {
    /// Bytes of the head, and all bytes received, including those after the head.
    bytes: u64,
    bytes_received: u64,
    lines: u32,
    ended: bool,
    lengths: u32,
    encodings: u32,
    /// The name of the current header line up to its colon, in lower case.
    name: [u8; NAME_MAX],
    name_len: usize,
    in_name: bool,
    line_has_text: bool,
    chunks: ChunkScanner,
    /// Bytes of the chunked body.
    chunk_bytes: u64,
}

impl HeadScanner {
    /// Takes in the next bytes; those of a body that isn't chunked are only counted.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes_received += bytes.len() as u64;
        let head_bytes = self.feed_head(bytes);
        if self.encodings > 0 {
            self.chunk_bytes += self.chunks.feed(&bytes[head_bytes..]) as u64;
        }
    }

    /// Takes in bytes up to the end of the head; returns their number.
    fn feed_head(&mut self, bytes: &[u8]) -> usize {
        for (index, &byte) in bytes.iter().enumerate() {
            if self.ended {
                return index;
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
                        if let Some(letter) = self.name.get_mut(self.name_len) {
                            *letter = byte.to_ascii_lowercase();
                        }
                        self.name_len += 1;
                    }
                }
            }
        }
        bytes.len()
    }

    fn end_line(&mut self) {
        // Empty lines before the request line are skipped.
        if std::mem::take(&mut self.line_has_text) {
            self.lines += 1;
        } else if self.lines > 0 {
            self.ended = true;
        }
        self.in_name = false;
    }

    /// The length of the head in bytes, once its end has been received.
    pub fn len(&self) -> Option<u64> {
        self.ended.then_some(self.bytes)
    }

    /// The length of a chunked request in bytes, head included, once its end has been received.
    pub fn chunked_len(&self) -> Option<u64> {
        (self.encodings > 0 && self.chunks.has_ended()).then_some(self.bytes + self.chunk_bytes)
    }

    /// Number of bytes received in all.
    pub fn bytes_received(&self) -> u64 {
        self.bytes_received
    }

    /// Number of `Content-Length` lines, and of `Transfer-Encoding` lines.
    pub fn framing_counts(&self) -> (u32, u32) {
        (self.lengths, self.encodings)
    }
}

#[cfg(test)]
mod tests;
