//! Guards decisions about answers that arrive slowly: silence in the middle of an answer ends no attempt. The
//! request is hedged where its class allows that, and its server is neither silent nor full.
mod common;
use common::*;
use ryelead::*;

fn harness(effect: Effect, hedging: bool, servers: u32) -> Harness {
    let settings = Settings { classes: vec![class(effect)], hedging, ..Settings::default() };
    let mut harness = Harness::new(settings, 3);
    harness.deliver_list(fleet(servers, 1, 1));
    harness
}

fn begin(harness: &mut Harness, request: RequestId) -> Vec<Action> {
    harness.advance(Span::from_ms(5.0));
    harness.deliver(Event::AnswerBegun { request, attempt: AttemptNo(0) }).to_vec()
}

fn stall(harness: &mut Harness, request: RequestId, attempt: u32) -> Vec<Action> {
    harness.advance(Span::from_ms(100.0));
    harness.deliver(Event::AnswerStalled { request, attempt: AttemptNo(attempt) }).to_vec()
}

fn finish(harness: &mut Harness, request: RequestId, attempt: u32) -> Vec<Action> {
    let (attempt, outcome) = (AttemptNo(attempt), Outcome::Success);
    let elapsed = Span::from_ms(20.0);
    harness
        .deliver(Event::Outcome { request, attempt, outcome, elapsed, report: None, closed: true })
        .to_vec()
}

fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Send { .. })).count()
}

#[test]
fn a_stalled_answer_is_hedged_once_where_its_class_allows_it() {
    let all = Effect::Deduplicated { group: Group::All, window: Span::from_ms(60_000.0) };
    for (effect, hedging, expected) in [
        (Effect::Idempotent, true, 1),
        (all, true, 1),
        (Effect::AtMostOnce, true, 0),
        (Effect::Idempotent, false, 0),
    ] {
        let mut harness = harness(effect, hedging, 4);
        let (id, sent) = harness.submit(0);
        assert!(sent.is_some());
        assert!(begin(&mut harness, id).is_empty());
        let first = stall(&mut harness, id, 0);
        assert_eq!(sends(&first), expected, "{effect:?}, hedging {hedging}: {first:?}");
        // The hedged attempt has not stalled: no third one goes out.
        let again = stall(&mut harness, id, 0);
        assert_eq!(sends(&again), 0, "{again:?}");
        let ended =
            |a: &Action| matches!(a, Action::Cancel { .. } | Action::Fail { .. } | Action::Refuse { .. });
        assert!(!first.iter().chain(&again).any(ended), "expected the first attempt to go on");
        harness.assert_no_violations();
    }
}

/// Of two attempts the other one is not needed once its request has been answered. What a link holds of it would
/// reach its server after the answer.
#[test]
fn the_other_attempt_is_cancelled_once_its_request_is_answered() {
    for (answered, other) in [(1, 0), (0, 1)] {
        let mut harness = harness(Effect::Idempotent, true, 4);
        let (id, _) = harness.submit(0);
        begin(&mut harness, id);
        assert_eq!(sends(&stall(&mut harness, id, 0)), 1);
        let actions = finish(&mut harness, id, answered);
        assert!(actions.contains(&Action::Cancel { request: id, attempt: AttemptNo(other) }), "{actions:?}");
    }
}

/// A server that has begun to answer is alive, however long the rest takes.
#[test]
fn a_server_that_answers_slowly_is_not_silent_and_not_full() {
    let mut harness = harness(Effect::AtMostOnce, true, 1);
    for n in 0..20 {
        let (id, sent) = harness.submit(0);
        assert!(sent.is_some(), "expected request {n} to be sent");
        begin(&mut harness, id);
        let actions = stall(&mut harness, id, 0);
        assert!(!actions.iter().any(|action| matches!(action, Action::Log { .. })), "{actions:?}");
    }
}
