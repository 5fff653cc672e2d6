//! The clients' connections: which may stay, and which must go to make room or because nothing comes of them.

use crate::events;
use crate::permits::closing::{close, CloseManner, ClosePermit, CloseReason, ConnectionFacts};
use crate::wire::View;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A new connection must have begun its first request within this.
const FIRST_WAIT: Duration = Duration::from_secs(2);
/// A head must be whole this long after its first byte; slow clients take 2 s. How long a body may take is for those who
/// read it.
const HEAD_WAIT: Duration = Duration::from_millis(2600);
/// An idle connection that has carried a request may stay this long.
const IDLE_WAIT: Duration = Duration::from_secs(60);
/// Where there are many, only this long.
const CROWD_WAIT: Duration = Duration::from_secs(2);
/// A client that takes nothing of its answer for this long gets no more of it. One that reads 64 kB a second makes room
/// in steps of up to 2 s, by the buffers of the two sockets.
const STUCK_WAIT: Duration = Duration::from_secs(5);
/// How long a connection that has been turned away may take to end.
const LEAVE_WAIT: Duration = Duration::from_millis(600);
/// A connection that has said nothing, or only half of a request, for this long makes room before any that has
/// carried a request does.
const SILENT_FAIR: Duration = Duration::from_millis(50);
const READING_FAIR: Duration = Duration::from_millis(150);

/// What a connection is doing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    /// Nothing of a request has come.
    Waiting,
    /// The head of a request has begun to come.
    Reading,
    /// The head is whole, and the body comes.
    Taking,
    /// A request is whole and owed its answer.
    Busy,
    /// It has been turned away.
    Leaving,
}

/// What a connection shows of itself to the others.
pub struct Seat {
    number: u64,
    /// How long it may have waited in the listener's queue; its first request has waited with it.
    queued: Cell<Duration>,
    view: View,
    phase: Cell<Phase>,
    since: Cell<Instant>,
    used: Cell<bool>,
    /// It has been used more than once, so its client may come back.
    reused: Cell<bool>,
    /// What had been received when the last answer was given.
    mark: Cell<u64>,
    end: Cell<Option<CloseManner>>,
    ending: Notify,
}

impl Seat {
    /// The socket below it.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// It has carried a request already.
    pub fn is_used(&self) -> bool {
        self.used.get()
    }

    /// It owes an answer, or will when the body has come.
    pub fn is_busy(&self) -> bool {
        matches!(self.phase.get(), Phase::Taking | Phase::Busy)
    }

    /// A request has begun to come, read or not, and is not whole: its client may write the rest before it sees a close.
    pub fn has_begun(&self) -> bool {
        let heard = self.view.received() > self.mark.get();
        match self.phase.get() {
            Phase::Waiting => heard || self.view.has_unread(),
            Phase::Reading | Phase::Taking => true,
            Phase::Busy | Phase::Leaving => false,
        }
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// The head of a request has come.
    pub fn begin(&self) {
        self.reused.set(self.used.replace(true));
        self.enter(Phase::Taking);
    }

    /// A piece of the body has come.
    pub fn advance(&self) {
        if self.phase.get() == Phase::Taking {
            self.since.set(Instant::now());
        }
    }

    /// The request is whole.
    pub fn take(&self) {
        self.enter(Phase::Busy);
    }

    /// It has its answer; the connection ends with it if it `leaves`.
    pub fn answer(&self, leaves: bool) {
        self.mark.set(self.view.received());
        self.view.expect_head();
        self.enter(if leaves { Phase::Leaving } else { Phase::Waiting });
    }

    /// How long the request that has just come may have waited before its connection was accepted; asked once for each.
    pub fn take_queued(&self) -> Duration {
        self.queued.take()
    }

    /// Which connection this is, in events.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Its client takes nothing of its answer for longer than it may.
    pub fn is_stuck(&self) -> bool {
        let now = Instant::now();
        self.view.stuck_since().is_some_and(|since| now.saturating_duration_since(since) > STUCK_WAIT)
    }

    /// Its client has not closed it.
    pub fn client_stays(&self) -> bool {
        self.view.is_open()
    }

    /// A whole request has come, and has no answer.
    pub fn owes_answer(&self) -> bool {
        self.phase.get() == Phase::Busy
    }

    /// Asks how it may be closed, and closes it so.
    fn close(&self, wanted: CloseManner, reason: CloseReason) {
        let facts =
            ConnectionFacts { answer_is_owed: self.owes_answer(), has_unread: self.view.has_unread() };
        self.tell(close(facts, wanted, reason));
    }

    fn tell(&self, permit: ClosePermit) {
        let before = self.end.get();
        if before == Some(CloseManner::AtOnce) {
            return;
        }
        let manner = permit.manner();
        if before != Some(manner) {
            let at_once = manner == CloseManner::AtOnce;
            events::connection_closed(self.number, permit.reason().name(), at_once);
        }
        self.end.set(Some(manner));
        self.ending.notify_one();
    }

    /// Comes back when it is told to end, or to end sooner.
    pub async fn ended(&self) -> CloseManner {
        self.ending.notified().await;
        self.end.get().unwrap_or(CloseManner::Gently)
    }

    /// Whether its time is over.
    fn overdue(&self, now: Instant) -> Option<(CloseManner, CloseReason)> {
        let received = self.view.received();
        if self.phase.get() == Phase::Waiting && received > self.mark.get() {
            self.phase.set(Phase::Reading);
            self.since.set(now);
        }
        let age = now.saturating_duration_since(self.since.get());
        match self.phase.get() {
            _ if self.is_stuck() => Some((CloseManner::AtOnce, CloseReason::StuckReader)),
            Phase::Waiting if self.used.get() => {
                (age > IDLE_WAIT).then_some((CloseManner::Gently, CloseReason::Idle))
            }
            Phase::Waiting => (age > FIRST_WAIT).then_some((CloseManner::AtOnce, CloseReason::Silent)),
            Phase::Reading => (age > HEAD_WAIT).then_some((CloseManner::AtOnce, CloseReason::HeadOverdue)),
            Phase::Leaving => (age > LEAVE_WAIT).then_some((CloseManner::AtOnce, CloseReason::TurnedAway)),
            Phase::Taking | Phase::Busy => None,
        }
    }

    /// How readily it makes room for another, the lowest first; `None` if it must not.
    fn rank(&self, now: Instant) -> Option<(u8, Instant)> {
        let since = self.since.get();
        let age = now.saturating_duration_since(since);
        let heard = self.view.received() > self.mark.get();
        let rank = match self.phase.get() {
            _ if self.end.get().is_some() => None,
            Phase::Busy => None,
            Phase::Leaving => (age > READING_FAIR).then_some(0),
            Phase::Waiting if !self.used.get() && !heard => (age > SILENT_FAIR).then_some(0),
            Phase::Waiting if self.used.get() && !heard => Some(2),
            Phase::Waiting | Phase::Reading | Phase::Taking => (age > READING_FAIR).then_some(1),
        };
        rank.map(|rank| (rank, since))
    }
}

/// All connections of clients.
#[derive(Default)]
pub struct Seats {
    seats: RefCell<HashMap<u64, Rc<Seat>>>,
    next: Cell<u64>,
    /// The first one has come after a time with none.
    occupied: Notify,
    left: Notify,
}

/// A connection's place among the others, given up when dropped.
pub struct Taken<'a> {
    seats: &'a Seats,
    number: u64,
    /// What it shows of itself.
    pub seat: Rc<Seat>,
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.seats.seats.borrow_mut().remove(&self.number);
        self.seats.left.notify_one();
    }
}

impl Seats {
    /// One more.
    /// `queued`: how long it may have waited in the listener's queue.
    pub fn enter(&self, view: View, queued: Duration) -> Taken<'_> {
        let number = self.next.replace(self.next.get() + 1);
        let seat = Rc::new(Seat {
            number,
            queued: Cell::new(queued),
            view,
            phase: Cell::new(Phase::Waiting),
            since: Cell::new(Instant::now()),
            used: Cell::new(false),
            reused: Cell::new(false),
            mark: Cell::new(0),
            end: Cell::new(None),
            ending: Notify::new(),
        });
        let mut seats = self.seats.borrow_mut();
        if seats.is_empty() {
            self.occupied.notify_one();
        }
        seats.insert(number, Rc::clone(&seat));
        Taken { seats: self, number, seat }
    }

    /// Comes back when there is one: nobody has to look after none. For one caller at a time.
    pub async fn occupied(&self) {
        while self.seats.borrow().is_empty() {
            self.occupied.notified().await;
        }
    }

    /// Comes back when one has left.
    pub async fn left(&self) {
        self.left.notified().await;
    }

    /// Tells the one that can best be spared to go.
    pub fn make_room(&self) {
        let (now, seats) = (Instant::now(), self.seats.borrow());
        loop {
            let ranked = seats.values().filter_map(|seat| Some((seat.rank(now)?, seat)));
            let Some(((rank, _), seat)) = ranked.min_by_key(|(rank, _)| *rank) else { return };
            if rank == 0 && seat.phase.get() == Phase::Waiting && seat.view.has_unread() {
                // It has spoken, and hyper has not come round to it.
                seat.enter(Phase::Reading);
                continue;
            }
            // A request may just be on its way on one that has been used.
            let wanted = if rank == 2 { CloseManner::Gently } else { CloseManner::AtOnce };
            seat.close(wanted, CloseReason::Evicted);
            return;
        }
    }

    /// Ends those whose time is over, and of more than `most` those that rest, first those that asked once only.
    pub fn sweep(&self, most: usize) {
        let (now, seats) = (Instant::now(), self.seats.borrow());
        for seat in seats.values() {
            if let Some((end, reason)) = seat.overdue(now) {
                seat.close(end, reason);
            }
        }
        let rests = |seat: &&Rc<Seat>| {
            let idle = seat.phase.get() == Phase::Waiting && seat.used.get() && seat.end.get().is_none();
            idle && now.saturating_duration_since(seat.since.get()) > CROWD_WAIT
        };
        let mut resting: Vec<_> =
            if seats.len() > most { seats.values().filter(rests).collect() } else { Vec::new() };
        resting.sort_by_key(|seat| (seat.reused.get(), seat.since.get()));
        for seat in resting.into_iter().take(seats.len().saturating_sub(most)) {
            seat.close(CloseManner::Gently, CloseReason::Crowded);
        }
    }

    /// Ends the connections that are idle, and the others after their answer.
    pub fn end_all(&self) {
        let seats = self.seats.borrow();
        seats
            .values()
            .filter(|seat| seat.end.get().is_none())
            .for_each(|seat| seat.close(CloseManner::Gently, CloseReason::Leaving));
    }

    /// Ends now all that owe no answer, but for those whose request has come unread.
    pub fn end_all_at_once(&self) {
        for seat in self.seats.borrow().values() {
            // The body of a request that comes is waited for as long as that may take.
            let wanted = if seat.is_busy() { CloseManner::Gently } else { CloseManner::AtOnce };
            seat.close(wanted, CloseReason::Leaving);
        }
    }

    /// How many owe an answer, or may owe one soon since a request has begun to come.
    pub fn owed(&self) -> usize {
        self.seats.borrow().values().filter(|seat| seat.is_busy() || seat.has_begun()).count()
    }
}

impl Seats {
    /// How many owe the answer to a whole request.
    pub fn owing(&self) -> usize {
        self.seats.borrow().values().filter(|seat| seat.owes_answer()).count()
    }
}

#[cfg(test)]
mod tests;
