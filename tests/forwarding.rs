//! Guards the decision when an answer that is still arriving is forwarded.
mod common;
use common::*;
use ryelead::*;

const DEADLINE_MS: f64 = 400.0;

fn harness(effect: Effect, hedging: bool) -> Harness {
    let class = Class { deadline: Span::from_ms(9_000.0), ..class(effect) };
    let settings = Settings { classes: vec![class], hedging, ..Settings::default() };
    let mut harness = Harness::new(settings, 3);
    harness.deliver_list(fleet(6, 1, 1));
    harness
}

fn submit(harness: &mut Harness, time_left_ms: f64) -> RequestId {
    submit_as(harness, RequestId(1), time_left_ms)
}

fn submit_as(harness: &mut Harness, id: RequestId, time_left_ms: f64) -> RequestId {
    let actions = harness.deliver(Event::Request(Request::new(id, ClassId(0), Span::from_ms(time_left_ms))));
    assert_eq!(sends(actions), 1);
    id
}

fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Send { .. })).count()
}

fn begin(harness: &mut Harness, request: RequestId, attempt: u32, length: AnswerLength) -> Vec<Action> {
    let attempt = AttemptNo(attempt);
    let mut actions = harness.deliver(Event::AnswerBegun { request, attempt }).to_vec();
    actions.extend_from_slice(harness.deliver(Event::AnswerLength { request, attempt, length }));
    actions
}

/// The attempts whose answers are to be forwarded.
fn forwarded(actions: &[Action]) -> Vec<u32> {
    let of_forward = |action: &Action| match action {
        Action::Forward { attempt, .. } => Some(attempt.0),
        _ => None,
    };
    actions.iter().filter_map(of_forward).collect()
}

#[test]
fn a_long_answer_is_forwarded_at_once_and_a_short_one_never() {
    for (length, expected) in [(AnswerLength::Long, vec![0]), (AnswerLength::Short, vec![])] {
        let mut harness = harness(Effect::Idempotent, true);
        let id = submit(&mut harness, DEADLINE_MS);
        let mut actions = begin(&mut harness, id, 0, length);
        actions.extend(harness.advance(Span::from_ms(DEADLINE_MS - 10.0)));
        actions.extend_from_slice(harness.deliver(Event::AnswerDue { request: id }));
        assert_eq!(forwarded(&actions), expected, "{length:?}");
    }
}

/// Silence before the end decides nothing.
#[test]
fn an_answer_that_is_due_is_forwarded_however_long_it_has_stalled() {
    for (effect, hedging) in
        [(Effect::Idempotent, true), (Effect::Idempotent, false), (Effect::AtMostOnce, true)]
    {
        for stalls in 0..4 {
            let mut harness = harness(effect, hedging);
            let id = submit(&mut harness, DEADLINE_MS);
            let mut actions = begin(&mut harness, id, 0, AnswerLength::Open);
            for _ in 0..stalls {
                actions.extend(harness.advance(Span::from_ms(90.0)));
                let event = Event::AnswerStalled { request: id, attempt: AttemptNo(0) };
                actions.extend_from_slice(harness.deliver(event));
            }
            actions.extend_from_slice(harness.deliver(Event::AnswerDue { request: id }));
            actions.extend_from_slice(harness.deliver(Event::AnswerDue { request: id }));
            assert_eq!(forwarded(&actions), [0], "{effect:?}, hedging {hedging}, {stalls} stalls");
            harness.assert_no_violations();
        }
    }
}

#[test]
fn a_stalled_answer_waits_for_a_hedge_but_no_longer_than_a_second() {
    let mut harness = harness(Effect::Idempotent, true);
    let id = submit(&mut harness, 9_000.0);
    begin(&mut harness, id, 0, AnswerLength::Open);
    let mut actions = harness.advance(Span::from_ms(100.0)).to_vec();
    actions.extend_from_slice(harness.deliver(Event::AnswerStalled { request: id, attempt: AttemptNo(0) }));
    assert_eq!(sends(&actions), 1, "{actions:?}");
    actions.extend(harness.advance(Span::from_ms(850.0)));
    assert_eq!(forwarded(&actions), []);
    actions.extend(harness.advance(Span::from_ms(100.0)));
    assert_eq!(forwarded(&actions), [0]);
}

/// Nothing can replace the answer to a request that must not run twice.
#[test]
fn a_stalled_answer_that_nothing_can_replace_is_not_kept_back() {
    for (effect, hedging) in [(Effect::AtMostOnce, true), (Effect::Idempotent, false)] {
        let mut harness = harness(effect, hedging);
        let id = submit(&mut harness, 9_000.0);
        begin(&mut harness, id, 0, AnswerLength::Open);
        let mut actions = harness.advance(Span::from_ms(100.0)).to_vec();
        actions
            .extend_from_slice(harness.deliver(Event::AnswerStalled { request: id, attempt: AttemptNo(0) }));
        actions.extend(harness.advance(Span::from_ms(60.0)));
        assert_eq!(forwarded(&actions), [0], "{effect:?}, hedging {hedging}");
    }
}

/// Of two answers the one that is still being written is forwarded, and never both.
#[test]
fn of_two_answers_the_one_that_makes_progress_is_forwarded() {
    for resumed in [0, 1] {
        let mut harness = harness(Effect::Idempotent, true);
        let id = submit(&mut harness, DEADLINE_MS);
        begin(&mut harness, id, 0, AnswerLength::Open);
        harness.advance(Span::from_ms(100.0));
        let stalled = harness.deliver(Event::AnswerStalled { request: id, attempt: AttemptNo(0) });
        assert_eq!(sends(stalled), 1);
        harness.advance(Span::from_ms(20.0));
        begin(&mut harness, id, 1, AnswerLength::Open);
        harness.advance(Span::from_ms(120.0));
        harness.deliver(Event::AnswerStalled { request: id, attempt: AttemptNo(1) });
        harness.advance(Span::from_ms(50.0));
        harness.deliver(Event::AnswerProgressed { request: id, attempt: AttemptNo(resumed) });
        harness.advance(Span::from_ms(90.0));
        let due = harness.deliver(Event::AnswerDue { request: id }).to_vec();
        assert_eq!(forwarded(&due), [resumed]);
        let long =
            Event::AnswerLength { request: id, attempt: AttemptNo(1 - resumed), length: AnswerLength::Long };
        assert_eq!(forwarded(harness.deliver(long)), []);
    }
}

/// What a process that ends could not finish is not begun in its last moment.
#[test]
fn nothing_is_forwarded_at_the_moment_at_which_the_process_ends() {
    let mut harness = harness(Effect::Idempotent, true);
    let id = submit(&mut harness, DEADLINE_MS);
    begin(&mut harness, id, 0, AnswerLength::Open);
    let answers_by = harness.now + Span::from_ms(100.0);
    harness.deliver(Event::Shutdown { answers_by });
    harness.advance(Span::from_ms(99.0));
    assert_eq!(forwarded(harness.deliver(Event::AnswerDue { request: id })), []);
}

/// The time for which an answer was kept back is not taken for its server's.
#[test]
fn an_answer_that_was_kept_back_does_not_count_as_a_slow_one() {
    let mut harness = harness(Effect::Idempotent, true);
    for number in 1..200 {
        let request = RequestId(number);
        let time_left = Span::from_ms(DEADLINE_MS);
        let sent = harness.deliver(Event::Request(Request::new(request, ClassId(0), time_left)));
        assert_eq!(sends(sent), 1, "request {number} is refused or waits");
        harness.advance(Span::from_ms(2.0));
        begin(&mut harness, request, 0, AnswerLength::Open);
        harness.deliver(Event::FirstByte { request, attempt: AttemptNo(0) });
    }
    harness.assert_no_violations();
}

/// Answers that are still arriving, stalled or not, hold no place at their servers.
#[test]
fn answers_without_a_length_that_are_still_arriving_leave_room_for_others() {
    for stalls in [false, true] {
        let mut harness = harness(Effect::AtMostOnce, true);
        for number in 1..100 {
            let request = RequestId(number);
            let attempt = AttemptNo(0);
            let time_left = Span::from_ms(9_000.0);
            let sent = harness.deliver(Event::Request(Request::new(request, ClassId(0), time_left)));
            assert_eq!(sends(sent), 1, "request {number} is refused or waits");
            if stalls {
                harness.deliver(Event::AnswerBegun { request, attempt: AttemptNo(0) });
                harness.deliver(Event::AnswerStalled { request, attempt: AttemptNo(0) });
            }
            let (begun, length) = (Event::AnswerBegun { request, attempt }, AnswerLength::Open);
            let length = Event::AnswerLength { request, attempt, length };
            // In either order.
            let both = if number % 2 == 0 { [begun, length] } else { [length, begun] };
            for event in both {
                harness.deliver(event);
            }
            harness.deliver(Event::AnswerStalled { request, attempt });
        }
    }
}

/// Review case 9: the timer of held answers panicked at a request whose client had left, and held the others back.
#[test]
fn an_answer_whose_client_has_left_holds_no_other_back() {
    for hedging in [true, false] {
        let mut harness = harness(Effect::Idempotent, hedging);
        let left = submit_as(&mut harness, RequestId(1), 4_000.0);
        let waiting = submit_as(&mut harness, RequestId(2), 4_000.0);
        for id in [left, waiting] {
            begin(&mut harness, id, 0, AnswerLength::Open);
        }
        harness.deliver(Event::ClientGone { request: left });
        let mut actions = harness.advance(Span::from_ms(60.0)).to_vec();
        for _ in 0..3 {
            let event = Event::AnswerProgressed { request: waiting, attempt: AttemptNo(0) };
            actions.extend_from_slice(harness.deliver(event));
            actions.extend(harness.advance(Span::from_ms(60.0)));
        }
        assert_eq!(forwarded(&actions).len(), 1, "hedging {hedging}: {actions:?}");
    }
}
