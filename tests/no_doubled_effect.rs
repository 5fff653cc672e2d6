//! Guards rule two: an effect must not happen twice, and a refusal must not be told of what may have run.
mod common;
use common::*;
use ryelead::*;

const OUTCOMES: [Outcome; 7] = [
    Outcome::ServerError,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// The whole table: effect x outcome of the first attempt x group x inside or past the window.
#[test]
fn what_may_follow_a_first_attempt() {
    let effects = [
        Effect::Idempotent,
        Effect::AtMostOnce,
        keyed(Group::All, 100.0),
        keyed(Group::Zone, 100.0),
        keyed(Group::Cell, 100.0),
    ];
    for copies in [false, true] {
        for effect in effects {
            for outcome in OUTCOMES {
                for ms in [5.0, 120.0] {
                    let settings = Settings {
                        classes: vec![class(effect)],
                        second_copies: copies,
                        ..Settings::default()
                    };
                    let mut rig = Rig::new(settings, 3);
                    rig.list(fleet(12, 3, 4));
                    let (id, first) = rig.ask(0);
                    let first = first.expect("an idle fleet takes a request").0;
                    rig.wait(Span::from_ms(ms));
                    rig.answer(id, 0, outcome, ms);
                    let (next, actions) = (rig.sent_to(id), rig.actions.clone());
                    let case = format!("{effect:?} {outcome:?} after {ms} ms, copies {copies}");
                    let proven = outcome.never_ran();
                    let inside = ms < 100.0;
                    match effect {
                        Effect::Idempotent => assert!(next.is_some(), "{case}"),
                        Effect::AtMostOnce => {
                            assert_eq!(next.is_some(), proven, "{case}");
                            assert_eq!(failed(&actions, id), !proven, "{case}");
                        }
                        Effect::Deduplicated { group, .. } => {
                            assert_eq!(next.is_some(), proven || inside, "{case}");
                            let next = next.map_or(first, |s| s.0);
                            match group {
                                _ if proven => {}
                                Group::All => assert_eq!(refused(&actions, id), !inside, "{case}"),
                                Group::Zone => assert_eq!(next % 3, first % 3, "{case}"),
                                Group::Cell => assert_eq!(next % 4, first % 4, "{case}"),
                            }
                            if !proven && !inside && group != Group::All {
                                assert!(failed(&actions, id), "{case}");
                            }
                        }
                    }
                    rig.assert_rules();
                }
            }
        }
    }
}

/// The window and the group are those of the first attempt that may have run, not of the first or the last.
#[test]
fn the_group_is_that_of_the_first_attempt_that_may_have_run() {
    let settings =
        Settings { classes: vec![class(keyed(Group::Zone, 400.0))], max_attempts: 6, ..Settings::default() };
    for seed in 0..40 {
        let mut rig = Rig::new(settings.clone(), seed);
        rig.list(fleet(9, 3, 3));
        let (id, _) = rig.ask(0);
        rig.answer(id, 0, Outcome::ConnectFailed, 1.0);
        let second = rig.sent_to(id).expect("never ran: anywhere").0;
        rig.answer(id, 1, Outcome::ConnectionReset, 1.0);
        let third = rig.sent_to(id).expect("inside the window: same zone").0;
        assert_eq!(third % 3, second % 3);
        rig.assert_rules();
    }
}

/// A proven non-run after one that may have run does not lift the ban.
#[test]
fn a_later_proof_does_not_clear_an_earlier_attempt() {
    let settings = Settings { classes: vec![class(keyed(Group::Cell, 5000.0))], ..Settings::default() };
    let mut rig = Rig::new(settings, 9);
    rig.list(fleet(8, 2, 4));
    let (id, first) = rig.ask(0);
    rig.answer(id, 0, Outcome::ServerError, 1.0);
    assert!(rig.sent_to(id).is_some());
    rig.answer(id, 1, Outcome::Rejected, 1.0);
    let third = rig.sent_to(id).map(|s| s.0 % 4);
    assert_eq!(third.unwrap_or(first.unwrap().0 % 4), first.unwrap().0 % 4);
    assert!(!refused(&rig.actions, id), "it may have run in the first attempt");
    rig.assert_rules();
}
