//! Splits the content of an entry into pieces and reassembles it.

use super::entry::{CONTENT_MAX, Entry};
use super::wire::{Missing, PIECE_MAX, Piece};

/// The requested pieces of an entry.
pub fn split(entry: &Entry, missing: Missing) -> impl Iterator<Item = Piece> {
    let length = entry.bytes().len() as u16;
    let chunks = entry.bytes().chunks(PIECE_MAX).enumerate();
    chunks.filter(move |(index, _)| missing.contains(*index)).map(move |(index, chunk)| Piece {
        label: entry.label().clone(),
        length,
        index: index as u8,
        bytes: chunk.to_vec(),
    })
}

/// The pieces of one entry received so far. The caller makes sure that they belong to the same entry.
#[derive(Debug)]
pub struct Assembly {
    length: usize,
    pieces: Vec<Option<Vec<u8>>>,
}

impl Assembly {
    /// Starts the assembly of a content of `length` bytes; `None` if no content has this length.
    pub fn new(length: u16) -> Option<Assembly> {
        let length = usize::from(length);
        let fits = (1..=CONTENT_MAX).contains(&length);
        fits.then(|| Assembly { length, pieces: vec![None; length.div_ceil(PIECE_MAX)] })
    }

    /// Adds a piece; false if it does not belong to this content, or is a duplicate.
    pub fn add(&mut self, piece: Piece) -> bool {
        let index = usize::from(piece.index);
        let expected = self.length.saturating_sub(index * PIECE_MAX).min(PIECE_MAX);
        if usize::from(piece.length) != self.length || piece.bytes.len() != expected {
            return false;
        }
        match self.pieces.get_mut(index) {
            Some(slot @ None) => {
                *slot = Some(piece.bytes);
                true
            }
            _ => false,
        }
    }

    /// The pieces that are still missing.
    pub fn missing(&self) -> Missing {
        let pending = self.pieces.iter().enumerate().filter(|(_, piece)| piece.is_none());
        Missing(pending.fold(0_u32, |bits, (index, _)| bits | 1 << index).to_le_bytes())
    }

    /// Whether all pieces have been received.
    pub fn is_complete(&self) -> bool {
        self.pieces.iter().all(Option::is_some)
    }

    /// The content; pieces that are missing are left out.
    pub fn into_bytes(self) -> Vec<u8> {
        self.pieces.into_iter().flatten().flatten().collect()
    }

    /// The content with zeros in place of missing pieces; used by a mutant.
    #[cfg(test)]
    pub fn into_padded_bytes(self) -> Vec<u8> {
        let mut bytes = vec![0; self.length];
        for (index, piece) in self.pieces.into_iter().enumerate() {
            let piece = piece.unwrap_or_default();
            bytes[index * PIECE_MAX..][..piece.len()].copy_from_slice(&piece);
        }
        bytes
    }
}
