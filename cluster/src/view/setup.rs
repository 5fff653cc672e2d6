//! The parameters with which a member starts.

use crate::member::{Generation, MEMBERS_MAX, Name, Number};
use std::net::SocketAddr;

/// The parameters with which a member starts.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The member's number: its index in `peers`.
    pub number: Number,
    /// The member's name.
    pub name: Name,
    /// The generation to start with; see [`Generation::from_unix_ms`].
    pub generation: Generation,
    /// The address of each member, by number, this one's included.
    pub peers: Vec<SocketAddr>,
    /// The seed of the random choices.
    pub seed: u64,
}

impl Setup {
    /// Checks whether a member can start with these parameters; returns its address if so.
    pub fn check(&self) -> Result<SocketAddr, SetupError> {
        let peers = &self.peers;
        if peers.len() > usize::from(MEMBERS_MAX) {
            return Err(SetupError::TooManyPeers(peers.len()));
        }
        let mut sorted = peers.clone();
        sorted.sort_unstable();
        if let Some(pair) = sorted.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(SetupError::DuplicateAddress(pair[0]));
        }
        peers
            .get(usize::from(self.number.0))
            .copied()
            .ok_or(SetupError::NotAmongPeers(self.number, peers.len()))
    }
}

/// The reason why a member can't start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SetupError {
    /// The number is not an index of `peers`.
    #[error("its number {0} is not among the {1} peers")]
    NotAmongPeers(Number, usize),
    /// There are more peers than a view holds.
    #[error("{0} peers; a view holds at most {MEMBERS_MAX}")]
    TooManyPeers(usize),
    /// Two peers have the same address.
    #[error("the address {0} stands twice among the peers")]
    DuplicateAddress(SocketAddr),
}
