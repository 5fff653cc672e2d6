//! One client connection: its phase, what it owes its client, and which close is due.

use crate::events;
use crate::metered_stream::ConnectionView;
use crate::permits::closing::{close, CloseManner, ClosePermit, CloseReason, ConnectionFacts};
use crate::permits::silence::{silence_max, Need};
use ryelead::AnswerCloseReason;
use std::cell::Cell;
use std::cmp::Reverse;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A new connection must send the first byte of a request within this time.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A request head must be complete this long after its first byte; slow clients take 2 s. The time limit for
/// the body is enforced where the body is read.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2600);
/// Maximum idle time of a connection that has carried a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// An answer moves if the kernel has taken some of it within this time. A client that reads 64 kB a second
/// lets it take some every 2 s at least.
const ANSWER_PROGRESS_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum time until a connection closes after its last answer.
const FINAL_CLOSE_TIMEOUT: Duration = Duration::from_millis(600);
/// A connection that has sent nothing, or only part of a request, for this long is evicted before any
/// connection that has carried a request.
const SILENT_EVICTION_AGE: Duration = Duration::from_millis(50);
const READING_EVICTION_AGE: Duration = Duration::from_millis(150);

/// The largest buffers that Linux gives a socket by default, in bytes: a client's for sending, and the
/// agent's for receiving where its size can't be told.
const SEND_BUFFER_MAX: usize = 4 * 1024 * 1024;
const RECEIVE_BUFFER_MAX: usize = 32 * 1024 * 1024;

/// State of a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    /// No byte of a request has been received.
    AwaitingRequest,
    /// Part of a request head has been received.
    ReadingHead,
    /// The head is complete; the body is being received.
    ReadingBody,
    /// A request is complete and has no answer yet.
    Answering,
    /// The answer has begun, and hyper does not have its last byte yet.
    Streaming,
    /// The last answer has been given; the connection closes after it.
    Closing,
}

/// State of one client connection, shared between its task and the other users of the slots.
pub struct ConnectionSlot {
    number: u64,
    /// Upper bound of the time that the connection spent in the listener's queue, and with it its first
    /// request.
    queue_time: Cell<Duration>,
    view: ConnectionView,
    phase: Cell<Phase>,
    phase_since: Cell<Instant>,
    used: Cell<bool>,
    /// More than one request has been received, so its client may send another.
    reused: Cell<bool>,
    /// Number of bytes received when the last answer was given.
    received_at_answer: Cell<u64>,
    requested_close: Cell<Option<RequestedClose>>,
    close_requested: Notify,
}

/// A close that was requested and permitted.
#[derive(Clone, Copy)]
struct RequestedClose {
    manner: CloseManner,
    reason: CloseReason,
}

impl ConnectionSlot {
    /// A connection that has just been accepted.
    pub fn new(number: u64, view: ConnectionView, queue_time: Duration) -> ConnectionSlot {
        ConnectionSlot {
            number,
            queue_time: Cell::new(queue_time),
            view,
            phase: Cell::new(Phase::AwaitingRequest),
            phase_since: Cell::new(Instant::now()),
            used: Cell::new(false),
            reused: Cell::new(false),
            received_at_answer: Cell::new(0),
            requested_close: Cell::new(None),
            close_requested: Notify::new(),
        }
    }

    /// The view of its socket.
    pub fn view(&self) -> &ConnectionView {
        &self.view
    }

    /// Whether it has carried a request already.
    pub fn is_used(&self) -> bool {
        self.used.get()
    }

    /// Whether it owes an answer, or will once the body is complete.
    pub fn is_busy(&self) -> bool {
        self.is_handling_request() || self.view.is_flush_pending()
    }

    /// Whether the head of a request is complete and its answer is not.
    pub fn is_handling_request(&self) -> bool {
        matches!(self.phase.get(), Phase::ReadingBody | Phase::Answering | Phase::Streaming)
    }

    /// Whether part of a request has been received, read or not. The client may write the rest before it
    /// notices a close.
    pub fn has_partial_request(&self) -> bool {
        let has_input = self.view.received() > self.received_at_answer.get();
        match self.phase.get() {
            Phase::AwaitingRequest => has_input || self.view.has_unread(),
            Phase::ReadingHead | Phase::ReadingBody => true,
            Phase::Answering | Phase::Streaming | Phase::Closing => false,
        }
    }

    fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_since.set(Instant::now());
    }

    /// Records that the head of a request is complete.
    pub fn on_head_complete(&self) {
        self.reused.set(self.used.replace(true));
        self.set_phase(Phase::ReadingBody);
    }

    /// Records that a piece of the body has been received.
    pub fn on_body_data(&self) {
        if self.phase.get() == Phase::ReadingBody {
            self.phase_since.set(Instant::now());
        }
    }

    /// Records that the request is complete.
    pub fn on_request_complete(&self) {
        self.set_phase(Phase::Answering);
    }

    /// Records that the answer has begun.
    pub fn on_answer_begun(&self) {
        self.set_phase(Phase::Streaming);
    }

    /// Records that hyper has the last byte of the answer, or that there will be none if it `is_broken`. The
    /// connection closes after it if `closes` is set.
    pub fn on_answer_ended(&self, closes: bool, is_broken: bool) {
        self.received_at_answer.set(self.view.received());
        self.view.expect_head();
        if !is_broken {
            self.view.expect_flush();
        }
        self.set_phase(if closes { Phase::Closing } else { Phase::AwaitingRequest });
    }

    /// Whether part of the request is missing and nothing of it is unread. `bytes` is its length if its head
    /// states it.
    pub fn nothing_unread_of_incomplete(&self, bytes: Option<u64>) -> bool {
        let head = self.view.head();
        let is_incomplete = bytes.map_or(head.chunked_len().is_none(), |bytes| head.bytes_received() < bytes);
        is_incomplete && !self.view.has_unread()
    }

    /// Whether more of the request is missing than the buffers of the kernel hold, so that its client can't
    /// have written the last byte. `bytes` is its length if its head states it.
    pub fn misses_more_than_buffers_hold(&self, bytes: Option<u64>) -> bool {
        let missing = bytes.map_or(0, |bytes| bytes.saturating_sub(self.view.head().bytes_received()));
        let receive_buffer = self.view.receive_buffer_size().unwrap_or(RECEIVE_BUFFER_MAX);
        missing > (receive_buffer + SEND_BUFFER_MAX) as u64
    }

    /// Upper bound of the time that the first request waited before its connection was accepted. Returns zero
    /// from the second call on.
    pub fn take_queue_time(&self) -> Duration {
        self.queue_time.take()
    }

    /// Identifies the connection in events.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Since when its client has read nothing of its answer, if that is longer than `silence_max`.
    pub fn reader_silent_since(&self, now: Instant, silence_max: Duration) -> Option<Instant> {
        let since = self.view.write_stalled_since()?;
        (now.saturating_duration_since(since) > silence_max).then_some(since)
    }

    /// Whether it is being closed because its client reads nothing of its answer.
    pub fn is_ended_by_silence(&self) -> bool {
        let reason = self.requested_close.get().map(|close| close.reason);
        matches!(reason, Some(CloseReason::StuckReader | CloseReason::SilentAndNeeded))
    }

    /// Whether its client has not closed it.
    pub fn client_is_connected(&self) -> bool {
        self.view.is_open()
    }

    /// Whether a complete request has been received, and the kernel does not have the last byte of its
    /// answer.
    pub fn owes_answer(&self) -> bool {
        matches!(self.phase.get(), Phase::Answering | Phase::Streaming) || self.view.is_flush_pending()
    }

    /// Whether an answer has begun and its client goes on reading it, or has read all that its server has sent.
    pub fn answer_moves(&self, now: Instant) -> bool {
        let is_streaming = self.phase.get() == Phase::Streaming;
        let last_write = self.view.last_write().filter(|_| is_streaming || self.view.is_flush_pending());
        let is_read =
            last_write.is_some_and(|at| now.saturating_duration_since(at) < ANSWER_PROGRESS_TIMEOUT);
        is_read || (is_streaming && self.view.write_stalled_since().is_none() && self.client_is_connected())
    }

    /// Since when it is in its phase; a phase that follows an answer begins when the kernel has all of it.
    pub(super) fn phase_since(&self) -> Instant {
        let since = self.phase_since.get();
        self.view.flushed_at().map_or(since, |at| at.max(since))
    }

    fn close_permit(&self, wanted: CloseManner, reason: CloseReason) -> ClosePermit {
        let facts =
            ConnectionFacts { answer_pending: self.owes_answer(), has_unread: self.view.has_unread() };
        close(facts, wanted, reason)
    }

    /// Asks for a close permit and requests the close that it allows.
    pub(super) fn close(&self, wanted: CloseManner, reason: CloseReason) {
        let before = self.close_manner();
        if before == Some(CloseManner::Immediate) {
            return;
        }
        let permit = self.close_permit(wanted, reason);
        let (manner, reason) = (permit.manner(), permit.reason());
        if before != Some(manner) {
            let at_once = manner == CloseManner::Immediate;
            events::connection_closed(self.number, reason.name(), at_once, self.owes_answer());
        }
        self.requested_close.set(Some(RequestedClose { manner, reason }));
        self.close_requested.notify_one();
    }

    pub(super) fn close_manner(&self) -> Option<CloseManner> {
        self.requested_close.get().map(|requested| requested.manner)
    }

    /// Why the rest of an answer is not forwarded to this client; `None` if nothing speaks against it.
    pub fn answer_close_reason(&self) -> Option<AnswerCloseReason> {
        let requested = self.requested_close.get().filter(|close| close.manner == CloseManner::Immediate);
        match requested.map(|close| close.reason) {
            Some(CloseReason::StuckReader) => Some(AnswerCloseReason::ClientGone),
            Some(CloseReason::Leaving) => Some(AnswerCloseReason::ProcessEnds),
            Some(CloseReason::Overload) => Some(AnswerCloseReason::Overload),
            Some(CloseReason::SilentAndNeeded) => Some(AnswerCloseReason::SilentAndNeeded),
            _ => (!self.client_is_connected()).then_some(AnswerCloseReason::ClientGone),
        }
    }

    /// Waits until a close is requested, or a faster one than before. Its permit is asked for again: a
    /// request may have arrived in the meantime.
    pub async fn wait_for_close(&self) -> CloseManner {
        self.close_requested.notified().await;
        let Some(RequestedClose { manner, reason }) = self.requested_close.get() else {
            return CloseManner::Graceful;
        };
        let manner = self.close_permit(manner, reason).manner();
        self.requested_close.set(Some(RequestedClose { manner, reason }));
        manner
    }

    /// The close that is due now because a timeout has passed. `need` tells whether its slot is needed for others.
    pub(super) fn due_close(&self, now: Instant, need: Need) -> Option<(CloseManner, CloseReason)> {
        let received = self.view.received();
        if self.phase.get() == Phase::AwaitingRequest && received > self.received_at_answer.get() {
            self.phase.set(Phase::ReadingHead);
            self.phase_since.set(now);
        }
        let age = now.saturating_duration_since(self.phase_since());
        match self.phase.get() {
            _ if self.reader_silent_since(now, silence_max(need)).is_some() => {
                Some((CloseManner::Immediate, CloseReason::StuckReader))
            }
            Phase::AwaitingRequest | Phase::Closing if self.owes_answer() => None,
            Phase::AwaitingRequest if self.used.get() => {
                (age > IDLE_TIMEOUT).then_some((CloseManner::Graceful, CloseReason::Idle))
            }
            Phase::AwaitingRequest => {
                (age > FIRST_REQUEST_TIMEOUT).then_some((CloseManner::Immediate, CloseReason::Silent))
            }
            Phase::ReadingHead => {
                (age > HEAD_TIMEOUT).then_some((CloseManner::Immediate, CloseReason::HeadOverdue))
            }
            Phase::Closing => {
                (age > FINAL_CLOSE_TIMEOUT).then_some((CloseManner::Immediate, CloseReason::TurnedAway))
            }
            Phase::ReadingBody | Phase::Answering | Phase::Streaming => None,
        }
    }

    /// Order of eviction, lowest first; `None` if it must not be evicted.
    pub(super) fn eviction_rank(&self, now: Instant) -> Option<(u8, Instant)> {
        let since = self.phase_since();
        let age = now.saturating_duration_since(since);
        let has_input = self.view.received() > self.received_at_answer.get();
        let rank = match self.phase.get() {
            _ if self.close_manner().is_some() || self.owes_answer() => None,
            Phase::Answering | Phase::Streaming => None,
            Phase::Closing => (age > READING_EVICTION_AGE).then_some(0),
            Phase::AwaitingRequest if !self.used.get() && !has_input => {
                (age > SILENT_EVICTION_AGE).then_some(0)
            }
            Phase::AwaitingRequest if self.used.get() && !has_input => Some(2),
            Phase::AwaitingRequest | Phase::ReadingHead | Phase::ReadingBody => {
                (age > READING_EVICTION_AGE).then_some(1)
            }
        };
        rank.map(|rank| (rank, since))
    }

    /// Order in which connections are ended when memory is short, first the lowest; `None` if it holds
    /// little. Connections that owe nothing go first, then requests that are incomplete, those of which most
    /// has arrived before the others, and then answers whose clients have read nothing for the longest time.
    pub(super) fn overload_rank(&self) -> Option<(u8, Reverse<u64>, Option<Instant>)> {
        match self.phase.get() {
            _ if self.close_manner() == Some(CloseManner::Immediate) => None,
            Phase::ReadingHead | Phase::ReadingBody => {
                let received = self.view.received() - self.received_at_answer.get();
                Some((1, Reverse(received), None))
            }
            Phase::Streaming => {
                Some((2, Reverse(0), self.view.write_stalled_since().or(self.view.last_write())))
            }
            Phase::Closing | Phase::AwaitingRequest if !self.owes_answer() => Some((0, Reverse(0), None)),
            Phase::AwaitingRequest | Phase::Answering | Phase::Closing => None,
        }
    }

    /// Whether it is being closed because memory is short.
    pub fn is_ended_by_overload(&self) -> bool {
        self.requested_close.get().is_some_and(|close| close.reason == CloseReason::Overload)
    }

    /// Since when it has been idle after a request; `None` if it is not idle, or is being closed.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        let is_idle = self.phase.get() == Phase::AwaitingRequest
            && self.used.get()
            && !self.owes_answer()
            && self.close_manner().is_none();
        is_idle.then(|| self.phase_since())
    }

    /// Whether more than one request has been received on it.
    pub(super) fn is_reused(&self) -> bool {
        self.reused.get()
    }

    /// Notices bytes that have arrived and that hyper has not read yet; false if there are none, or if its
    /// phase shows them already.
    pub(super) fn notice_unread(&self) -> bool {
        let has_news = self.phase.get() == Phase::AwaitingRequest && self.view.has_unread();
        if has_news {
            self.set_phase(Phase::ReadingHead);
        }
        has_news
    }
}
