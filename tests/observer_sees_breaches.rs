//! Guards the other tests: the observer must object to a broken decision of each kind.
mod common;
use common::*;
use ryelead::*;

fn watch(effect: Effect) -> (Observer, Time) {
    let settings = Settings {
        classes: vec![class(effect)],
        cold_share: 0.2,
        warm_after: Span::from_ms(10_000.0),
        ..Settings::default()
    };
    let now = Time::from_ms(1000.0);
    let mut observer = Observer::new(&settings);
    observer.event(now, &Event::List(ListUpdate::Complete(fleet(4, 2, 4))));
    observer.event(now, &Event::Request(Request::new(RequestId(1), ClassId(0), Span::from_ms(800.0))));
    (observer, now)
}

fn send(server: u32, now: Time) -> Action {
    {
        let timeout_at = now + Span::from_ms(1.0);
        Action::Send { request: RequestId(1), server: ServerId(server), begin_by: timeout_at, timeout_at }
    }
}

fn ended(outcome: Outcome, attempt: u32) -> Event {
    Event::Outcome {
        request: RequestId(1),
        attempt: AttemptNo(attempt),
        outcome,
        elapsed: Span::from_ms(1.0),
        report: None,
        closed: false,
    }
}

fn objects(observer: &Observer, text: &str) {
    assert!(observer.faults.iter().any(|f| f.contains(text)), "{text}: {:?}", observer.faults);
}

#[test]
fn lost_late_double_and_posthumous() {
    let (mut o, now) = watch(Effect::Idempotent);
    assert_eq!(o.lost(now + Span::from_ms(900.0)), 1);
    o.action(now, &Action::Refuse { request: RequestId(1), retry_after: None, reason: Reason::WaitedOut });
    assert!(o.faults.is_empty());
    o.action(now, &send(0, now));
    objects(&o, "sent after its end");
    o.action(now, &Action::Fail { request: RequestId(1), reason: Reason::FailedLate });
    objects(&o, "ended twice");
    let (mut o, now) = watch(Effect::Idempotent);
    o.action(now + Span::from_ms(850.0), &Action::Fail { request: RequestId(1), reason: Reason::FailedLate });
    objects(&o, "ended too late");
}

#[test]
fn doubled_effects() {
    let (mut o, now) = watch(Effect::AtMostOnce);
    o.action(now, &send(0, now));
    o.action(now, &send(1, now));
    objects(&o, "two attempts at once");
    o.event(now, &ended(Outcome::ServerError, 0));
    objects(&o, "must not go out again");
    o.action(now, &Action::Refuse { request: RequestId(1), retry_after: None, reason: Reason::WaitedOut });
    objects(&o, "refused though it may have run");

    let (mut o, now) = watch(keyed(Group::Zone, 100.0));
    o.action(now, &send(0, now));
    o.event(now, &ended(Outcome::TimedOut, 0));
    o.action(now, &send(2, now));
    assert!(o.faults.is_empty(), "{:?}", o.faults);
    o.event(now, &ended(Outcome::TimedOut, 1));
    o.action(now, &send(1, now));
    objects(&o, "outside the group");
    let late = now + Span::from_ms(150.0);
    o.event(late, &ended(Outcome::TimedOut, 2));
    o.action(late, &send(0, late));
    objects(&o, "must not go out again");
}

#[test]
fn drains_and_cold_servers() {
    let (mut o, now) = watch(Effect::Idempotent);
    let line = Listed { status: Status::Draining, ..Listed::serving(ServerId(0)) };
    o.event(now, &Event::List(ListUpdate::Changes(vec![line])));
    let later = now + Span::from_ms(1100.0);
    o.event(later, &Event::Request(Request::new(RequestId(2), ClassId(0), Span::from_ms(800.0))));
    let timeout_at = later + Span::from_ms(1.0);
    o.action(
        later,
        &Action::Send { request: RequestId(2), server: ServerId(0), begin_by: timeout_at, timeout_at },
    );
    objects(&o, "draining or gone");

    let (mut o, now) = watch(Effect::Idempotent);
    let line = Listed { started: Some(now), ..Listed::serving(ServerId(0)) };
    o.event(now, &Event::List(ListUpdate::Changes(vec![line])));
    let later = now + settings_window();
    for (id, now) in (2..13).map(|id| (id, if id == 2 { now } else { later })) {
        o.event(now, &Event::Request(Request::new(RequestId(id), ClassId(0), Span::from_ms(800.0))));
        o.action(
            now,
            &Action::Send { request: RequestId(id), server: ServerId(0), begin_by: now, timeout_at: now },
        );
    }
    objects(&o, "cold");
}

/// A whole window: the observer judges only once the fleet has been as it is for so long.
fn settings_window() -> Span {
    Settings::default().fall_after
}
