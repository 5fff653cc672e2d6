//! What a member is told at its start.

use crate::member::{Life, MEMBERS_MOST, Name, Number};
use std::net::SocketAddr;

/// What a member is told at its start.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Its number: its place among `peers`.
    pub number: Number,
    /// Its name.
    pub name: Name,
    /// The life to begin with; see [`Life::from_unix_ms`].
    pub life: Life,
    /// Where each member is reached, by number, its own among them.
    pub peers: Vec<SocketAddr>,
    /// For random choices.
    pub seed: u64,
}

impl Setup {
    /// Whether a member can start with this; where it is reached, if so.
    pub fn check(&self) -> Result<SocketAddr, BadSetup> {
        let peers = &self.peers;
        if peers.len() > usize::from(MEMBERS_MOST) {
            return Err(BadSetup::TooMany(peers.len()));
        }
        let mut sorted = peers.clone();
        sorted.sort_unstable();
        if let Some(pair) = sorted.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(BadSetup::Twice(pair[0]));
        }
        peers
            .get(usize::from(self.number.0))
            .copied()
            .ok_or(BadSetup::NotAmongPeers(self.number, peers.len()))
    }
}

/// Why a member can't start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BadSetup {
    /// Its number is not that of one of the peers.
    #[error("its number {0} is not among the {1} peers")]
    NotAmongPeers(Number, usize),
    /// More peers than a view holds.
    #[error("{0} peers; a view holds at most {MEMBERS_MOST}")]
    TooMany(usize),
    /// Two peers have one address.
    #[error("the address {0} stands twice among the peers")]
    Twice(SocketAddr),
}
