//! An entry's content cut into pieces, and put together again.

use super::entry::{CONTENT_MOST, Entry};
use super::wire::{Missing, PIECE_MOST, Piece};

/// The pieces of an entry that are asked for.
pub fn cut(entry: &Entry, missing: Missing) -> impl Iterator<Item = Piece> {
    let length = entry.bytes().len() as u16;
    let chunks = entry.bytes().chunks(PIECE_MOST).enumerate();
    chunks.filter(move |(index, _)| missing.holds(*index)).map(move |(index, chunk)| Piece {
        label: entry.label().clone(),
        length,
        index: index as u8,
        bytes: chunk.to_vec(),
    })
}

/// The pieces of one entry that have come so far. Whose entry they are of is for the caller to see to.
#[derive(Debug)]
pub struct Assembly {
    length: usize,
    pieces: Vec<Option<Vec<u8>>>,
}

impl Assembly {
    /// Of a content of so many bytes; `None` if none can be as long.
    pub fn new(length: u16) -> Option<Assembly> {
        let length = usize::from(length);
        let fits = (1..=CONTENT_MOST).contains(&length);
        fits.then(|| Assembly { length, pieces: vec![None; length.div_ceil(PIECE_MOST)] })
    }

    /// One piece; false if it is none of this content, or has come before.
    pub fn add(&mut self, piece: Piece) -> bool {
        let index = usize::from(piece.index);
        let expected = self.length.saturating_sub(index * PIECE_MOST).min(PIECE_MOST);
        if usize::from(piece.length) != self.length || piece.bytes.len() != expected {
            return false;
        }
        match self.pieces.get_mut(index) {
            Some(place @ None) => {
                *place = Some(piece.bytes);
                true
            }
            _ => false,
        }
    }

    /// Those that have not come.
    pub fn missing(&self) -> Missing {
        let absent = self.pieces.iter().enumerate().filter(|(_, piece)| piece.is_none());
        Missing(absent.fold(0_u32, |bits, (index, _)| bits | 1 << index).to_le_bytes())
    }

    /// Whether all have come.
    pub fn is_whole(&self) -> bool {
        self.pieces.iter().all(Option::is_some)
    }

    /// The content, with nothing in place of pieces that have not come.
    pub fn into_bytes(self) -> Vec<u8> {
        self.pieces.into_iter().flatten().flatten().collect()
    }

    /// The content with zeros in place of pieces that have not come: what a mutant makes of it.
    #[cfg(test)]
    pub fn into_padded_bytes(self) -> Vec<u8> {
        let mut bytes = vec![0; self.length];
        for (index, piece) in self.pieces.into_iter().enumerate() {
            let piece = piece.unwrap_or_default();
            bytes[index * PIECE_MOST..][..piece.len()].copy_from_slice(&piece);
        }
        bytes
    }
}
