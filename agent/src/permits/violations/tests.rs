use super::*;
use ryelead::{CellId, Span, ZoneId};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An attempt that is right: 100 ms after another one of a keyed request, in the same zone.
fn sound(start: Instant) -> BegunAttempt {
    let earlier = |at: u64| EarlierAttempt {
        zone: ZoneId(1),
        cell: CellId(0),
        begun: start + ms(at),
        state: AttemptState::MayHaveRun,
    };
    BegunAttempt {
        first_byte: start + ms(100),
        answered_at: None,
        deadline: Some(start + ms(1_000)),
        server_off_since: None,
        drain_grace: ms(2_000),
        effect: Effect::Deduplicated { group: Group::Zone, window: Span(500_000) },
        itself: earlier(100),
        before: vec![earlier(0)],
    }
}

#[test]
fn a_sound_attempt_breaks_nothing_and_one_fault_breaks_one_rule() {
    let start = Instant::now();
    assert_eq!(found(&sound(start)), []);
    let late = BegunAttempt { first_byte: start + ms(400), ..sound(start) };
    let other_zone = EarlierAttempt { zone: ZoneId(2), ..sound(start).before[0] };
    for (begun, violation) in [
        (BegunAttempt { answered_at: Some(start + ms(200)), ..late.clone() }, Violation::AttemptAfterAnswer),
        (BegunAttempt { deadline: Some(start + ms(200)), ..late.clone() }, Violation::AttemptAfterDeadline),
        (
            BegunAttempt { server_off_since: Some(start), drain_grace: ms(399), ..late.clone() },
            Violation::AttemptToLeftServer,
        ),
        (BegunAttempt { before: vec![other_zone], ..sound(start) }, Violation::DoubleEffect),
        (BegunAttempt { first_byte: start + ms(700), ..sound(start) }, Violation::DoubleEffect),
        (BegunAttempt { effect: Effect::AtMostOnce, ..sound(start) }, Violation::DoubleEffect),
    ] {
        assert_eq!(found(&begun), [violation], "{begun:?}");
    }
    let never_ran = EarlierAttempt { state: AttemptState::NeverRan, ..sound(start).before[0] };
    let harmless = BegunAttempt { effect: Effect::AtMostOnce, before: vec![never_ran], ..sound(start) };
    assert_eq!(found(&harmless), []);
}

/// A process may be held up between the permit and the write.
#[test]
fn what_a_held_up_process_could_not_help_is_no_violation() {
    let start = Instant::now();
    let begun = BegunAttempt { first_byte: start + ms(340), ..sound(start) };
    for edge in [start + ms(190), start + ms(340)] {
        let answered = BegunAttempt { answered_at: Some(edge), deadline: Some(edge), ..begun.clone() };
        assert_eq!(found(&answered), []);
    }
}

#[test]
fn violations_are_counted_by_their_words() {
    let violations = Violations::default();
    assert_eq!((violations.total(), violations.counts().len()), (0, 0));
    violations.clone().record(Violation::ExitOwing, "1 answers");
    violations.record(Violation::ExitOwing, "2 answers");
    violations.record(Violation::ClosedOwing, "connection 3");
    assert_eq!(violations.total(), 3);
    assert_eq!(violations.counts()["exit-owing"], 2);
}
