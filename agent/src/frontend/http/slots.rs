//! The slots of all client connections: the sweep of their timeouts, idle-connection eviction, and close on
//! shutdown.

use super::connection_slot::ConnectionSlot;
use crate::metered_stream::ConnectionView;
use crate::permits::closing::{CloseManner, CloseReason};
use crate::permits::silence::{Need, NEEDED_SILENCE_MIN};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum idle time while more connections are open than the idle-eviction limit.
const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The slots of all client connections.
#[derive(Default)]
pub struct ConnectionSlots {
    slots: RefCell<HashMap<u64, Rc<ConnectionSlot>>>,
    next_number: Cell<u64>,
    /// Notified when the first connection is registered after there was none.
    non_empty: Notify,
    slot_freed: Notify,
}

/// Registration of a connection; dropping it frees the slot.
pub struct SlotGuard<'a> {
    slots: &'a ConnectionSlots,
    number: u64,
    /// The state of the connection.
    pub slot: Rc<ConnectionSlot>,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.slots.slots.borrow_mut().remove(&self.number);
        self.slots.slot_freed.notify_one();
    }
}

impl ConnectionSlots {
    /// Registers a connection. `queue_time` is an upper bound of its time in the listener's queue.
    pub fn register(&self, view: ConnectionView, queue_time: Duration) -> SlotGuard<'_> {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let slot = Rc::new(ConnectionSlot::new(number, view, queue_time));
        let mut slots = self.slots.borrow_mut();
        if slots.is_empty() {
            self.non_empty.notify_one();
        }
        slots.insert(number, Rc::clone(&slot));
        SlotGuard { slots: self, number, slot }
    }

    /// Waits until at least one connection is open, so that the sweep does not run without connections.
    /// Supports one caller at a time.
    pub async fn non_empty(&self) {
        while self.slots.borrow().is_empty() {
            self.non_empty.notified().await;
        }
    }

    /// Waits until a connection is removed.
    pub async fn slot_freed(&self) {
        self.slot_freed.notified().await;
    }

    /// Closes the connection that is lowest in the order of eviction; false if none may be evicted.
    pub fn evict_one(&self) -> bool {
        let (now, slots) = (Instant::now(), self.slots.borrow());
        loop {
            let ranked = slots.values().filter_map(|slot| Some((slot.eviction_rank(now)?, slot)));
            let Some(((rank, _), slot)) = ranked.min_by_key(|(rank, _)| *rank) else { return false };
            if rank == 0 && slot.notice_unread() {
                continue;
            }
            // The client of a connection that has been used may just be sending a request on it.
            let wanted = if rank == 2 { CloseManner::Graceful } else { CloseManner::Immediate };
            slot.close(wanted, CloseReason::Evicted);
            return true;
        }
    }

    /// Since when the client has read nothing of its answer that has done so for longest, if its connection may be
    /// closed for others.
    pub fn longest_silent_since(&self) -> Option<Instant> {
        self.longest_silent().map(|(since, _)| since)
    }

    /// Closes the connection whose client has read nothing of its answer for longest; false if none may be.
    pub fn close_longest_silent(&self) -> bool {
        let longest = self.longest_silent();
        longest.map(|(_, slot)| slot.close(CloseManner::Immediate, CloseReason::SilentAndNeeded)).is_some()
    }

    fn longest_silent(&self) -> Option<(Instant, Rc<ConnectionSlot>)> {
        let (now, slots) = (Instant::now(), self.slots.borrow());
        let open = slots.values().filter(|slot| slot.close_manner() != Some(CloseManner::Immediate));
        let silent = open.filter_map(|slot| Some((slot.reader_silent_since(now, NEEDED_SILENCE_MIN)?, slot)));
        silent.min_by_key(|(since, _)| *since).map(|(since, slot)| (since, Rc::clone(slot)))
    }

    /// Closes connections whose timeout has passed. If more than `max_open` are open, also closes idle ones,
    /// starting with those that carried one request only. `need` tells whether slots are needed for others.
    pub fn sweep(&self, max_open: usize, need: Need) {
        let (now, slots) = (Instant::now(), self.slots.borrow());
        for slot in slots.values() {
            if let Some((manner, reason)) = slot.due_close(now, need) {
                slot.close(manner, reason);
            }
        }
        let is_idle = |slot: &&Rc<ConnectionSlot>| {
            slot.idle_since().is_some_and(|since| now.saturating_duration_since(since) > CROWDED_IDLE_TIMEOUT)
        };
        let mut idle_slots: Vec<_> =
            if slots.len() > max_open { slots.values().filter(is_idle).collect() } else { Vec::new() };
        idle_slots.sort_by_key(|slot| (slot.is_reused(), slot.phase_since()));
        for slot in idle_slots.into_iter().take(slots.len().saturating_sub(max_open)) {
            slot.close(CloseManner::Graceful, CloseReason::Crowded);
        }
    }

    /// Closes connections that are idle after a request.
    pub fn close_idle(&self) {
        let slots = self.slots.borrow();
        let idle = slots.values().filter(|slot| slot.idle_since().is_some());
        idle.for_each(|slot| slot.close(CloseManner::Graceful, CloseReason::Overload));
    }

    /// Ends up to `number` connections that hold the most memory.
    pub fn end_largest(&self, number: usize) {
        let slots = self.slots.borrow();
        let mut ranked: Vec<_> =
            slots.values().filter_map(|slot| Some((slot.overload_rank()?, slot))).collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        for (_, slot) in ranked.into_iter().take(number) {
            slot.close(CloseManner::Immediate, CloseReason::Overload);
        }
    }

    /// Closes idle connections now, and the others after their answer.
    pub fn close_all(&self) {
        let slots = self.slots.borrow();
        slots
            .values()
            .filter(|slot| slot.close_manner().is_none())
            .for_each(|slot| slot.close(CloseManner::Graceful, CloseReason::Leaving));
    }

    /// Closes at once all connections that owe no answer, except those with an unread request.
    pub fn close_all_at_once(&self) {
        for slot in self.slots.borrow().values() {
            // The body of a request that is being received has its own time limit.
            let wanted = if slot.is_busy() { CloseManner::Graceful } else { CloseManner::Immediate };
            slot.close(wanted, CloseReason::Leaving);
        }
    }

    /// Number of connections that owe an answer, or may soon because part of a request has been received.
    pub fn owed(&self) -> usize {
        self.slots.borrow().values().filter(|slot| slot.is_busy() || slot.has_partial_request()).count()
    }

    /// Number of connections that owe the answer to a complete request.
    pub fn unanswered(&self) -> usize {
        self.slots.borrow().values().filter(|slot| slot.owes_answer()).count()
    }

    /// Whether a client goes on reading an answer that has begun.
    pub fn any_answer_moves(&self) -> bool {
        let now = Instant::now();
        self.slots.borrow().values().any(|slot| slot.answer_moves(now))
    }
}

#[cfg(test)]
mod tests;
