//! Guards against a new process that is judged by what the one before it did under the same name.
mod common;
use common::*;
use ryelead::*;

fn started(at: Time) -> ServerEntry {
    ServerEntry { started: Some(at), ..ServerEntry::serving(ServerId(0)) }
}

/// Attempts that were sent to the old process end after the list has told of the new one: their outcomes, and
/// their silence, count for nothing.
#[test]
fn late_outcomes_of_an_earlier_process_do_not_eject_the_new_one() {
    let settings = Settings { classes: vec![class(Effect::AtMostOnce)], ..Settings::default() };
    let mut harness = Harness::new(settings, 3);
    let mut others = fleet(6, 1, 1);
    harness.deliver_list(others.clone());
    let mut to_old: Vec<RequestId> = Vec::new();
    for _ in 0..12 {
        let (id, sent) = harness.submit(0);
        to_old.extend((sent == Some(ServerId(0))).then_some(id));
    }
    assert!(to_old.len() >= 2, "expected two attempts at the old process, got {}", to_old.len());
    others[0] = started(harness.now);
    harness.deliver_list(others);
    for id in to_old {
        let (attempt, outcome) = (AttemptNo(0), Outcome::ConnectionReset);
        let elapsed = Span::from_ms(20.0);
        let event = Event::Outcome { request: id, attempt, outcome, elapsed, report: None, closed: false };
        let actions = harness.deliver(event).to_vec();
        assert!(!actions.iter().any(|a| matches!(a, Action::Log { .. })), "{actions:?}");
    }
    harness.assert_no_violations();
}
