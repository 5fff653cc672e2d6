//! The exchanges with servers that are under way, and since when the server of each is silent. When what they
//! hold is needed for others, the one that has been silent for longest is given up.

use crate::permits::silence::NEEDED_SILENCE_MIN;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use tokio::time::Instant;

/// One exchange with a server.
#[derive(Default)]
pub struct SilentPeer {
    /// Since when the server is silent while the agent waits for it; `None` if it is not.
    silent_since: Cell<Option<Instant>>,
    is_given_up: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl SilentPeer {
    /// Records since when the server is silent, or that it is not.
    pub fn set_silent_since(&self, since: Option<Instant>) {
        self.silent_since.set(since);
    }

    /// Ready once the exchange has been given up for others.
    pub fn poll_given_up(&self, context: &mut Context<'_>) -> Poll<()> {
        if self.is_given_up.get() {
            return Poll::Ready(());
        }
        self.waker.replace(Some(context.waker().clone()));
        Poll::Pending
    }

    /// Waits until the exchange is given up for others.
    pub async fn given_up(&self) {
        poll_fn(|context| self.poll_given_up(context)).await
    }

    fn give_up(&self) {
        self.is_given_up.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Since when it could be given up; `None` if it can't be now.
    fn needless_since(&self, now: Instant) -> Option<Instant> {
        let since = self.silent_since.get().filter(|_| !self.is_given_up.get())?;
        (now.saturating_duration_since(since) >= NEEDED_SILENCE_MIN).then_some(since)
    }
}

/// All exchanges with servers that are under way, bounded by the connections to servers.
#[derive(Default)]
pub struct SilentPeers {
    peers: RefCell<Vec<Weak<SilentPeer>>>,
}

impl SilentPeers {
    /// Registers an exchange, until it is dropped.
    pub fn register(&self) -> Rc<SilentPeer> {
        let peer = Rc::<SilentPeer>::default();
        let mut peers = self.peers.borrow_mut();
        peers.retain(|peer| peer.strong_count() > 0);
        peers.push(Rc::downgrade(&peer));
        peer
    }

    /// Since when the server is silent that has been for longest, if its exchange may be given up.
    pub fn longest_silent_since(&self) -> Option<Instant> {
        self.longest_silent().map(|(since, _)| since)
    }

    /// Gives up the exchange whose server has been silent for longest; false if none may be given up.
    pub fn give_up_longest(&self) -> bool {
        let longest = self.longest_silent();
        longest.map(|(_, peer)| peer.give_up()).is_some()
    }

    fn longest_silent(&self) -> Option<(Instant, Rc<SilentPeer>)> {
        let (now, peers) = (Instant::now(), self.peers.borrow());
        let silent = peers.iter().filter_map(Weak::upgrade);
        let silent = silent.filter_map(|peer| Some((peer.needless_since(now)?, peer)));
        silent.min_by_key(|(since, _)| *since)
    }
}

#[cfg(test)]
mod tests;
