//! Guards what is decided of bodies that are passed on as they come: a request is bound to the attempt that has a part of
//! it or of its answer, and a server that only gives the rest of an answer is not held for full or silent.
mod common;
use common::*;
use ryelead::*;

/// One server, and requests that it may be sent several of.
fn one_server(effect: Effect) -> Rig {
    let mut rig = Rig::new(Settings { classes: vec![class(effect)], ..Settings::default() }, 3);
    rig.list(fleet(1, 1, 1));
    rig
}

fn first_byte(rig: &mut Rig, request: RequestId) -> Vec<Action> {
    rig.tell(Event::FirstByte { request, attempt: AttemptNo(0) }).to_vec()
}

fn ended(rig: &mut Rig, request: RequestId, outcome: Outcome) -> Vec<Action> {
    let (attempt, elapsed) = (AttemptNo(0), Span::from_ms(20.0));
    rig.tell(Event::Outcome { request, attempt, outcome, elapsed, report: None, closed: true }).to_vec()
}

#[test]
fn a_server_whose_answers_are_on_their_way_has_room() {
    let mut rig = one_server(Effect::Idempotent);
    // Each is answered at once, and the rest of the answer takes for ever.
    for n in 0..50 {
        let (id, sent) = rig.ask(0);
        assert!(sent.is_some(), "request {n} is not sent");
        rig.wait(Span::from_ms(5.0));
        first_byte(&mut rig, id);
    }
    // Without the first bytes the server is soon full.
    let mut rig = one_server(Effect::Idempotent);
    assert!((0..50).filter(|_| rig.ask(0).1.is_some()).count() < 10);
}

#[test]
fn a_server_that_gives_the_rest_of_an_answer_is_not_silent_and_nothing_is_called_back() {
    let mut rig = one_server(Effect::Idempotent);
    let (id, _) = rig.ask(0);
    rig.wait(Span::from_ms(5.0));
    first_byte(&mut rig, id);
    let actions = rig.wait(Span::from_ms(60_000.0));
    let suspected =
        |a: &Action| matches!(a, Action::Log { .. } | Action::Cancel { .. } | Action::Fail { .. });
    assert!(!actions.iter().any(suspected), "{actions:?}");
    assert!(ended(&mut rig, id, Outcome::Success).is_empty());
    assert!(rig.ask(0).1.is_some());
}

/// Half an answer is with the client: whatever the class allows, nobody else may give it another.
#[test]
fn an_answer_that_breaks_off_is_not_begun_again_and_tells_of_its_server() {
    let mut rig = Rig::new(Settings { classes: vec![class(Effect::Idempotent)], ..Settings::default() }, 3);
    rig.list(fleet(4, 1, 1));
    let mut suspects = 0;
    for _ in 0..40 {
        let (id, sent) = rig.ask(0);
        if sent.is_none() {
            continue;
        }
        rig.wait(Span::from_ms(5.0));
        first_byte(&mut rig, id);
        // Server 0 breaks off all that it begins.
        let outcome = if sent == Some(ServerId(0)) { Outcome::ConnectionReset } else { Outcome::Success };
        let actions = ended(&mut rig, id, outcome);
        assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. })), "{actions:?}");
        suspects += actions.iter().filter(|a| matches!(a, Action::Log { .. })).count();
    }
    assert_eq!(suspects, 1, "the one that breaks off is found, and no other");
    rig.assert_rules();
}

/// A long request comes for as long as its client takes; its time and its server's run from its end.
#[test]
fn the_time_of_a_request_that_is_coming_runs_from_its_end() {
    let mut rig = Rig::new(Settings { classes: vec![class(Effect::AtMostOnce)], ..Settings::default() }, 3);
    rig.list(fleet(6, 1, 1));
    let (id, left) = (RequestId(7000), Span::from_ms(800.0));
    rig.tell(Event::Request(Request { coming: true, ..Request::new(id, ClassId(0), left) }));
    assert!(rig.sent_to(id).is_some());
    rig.tell(Event::Bound { request: id, attempt: AttemptNo(0) });
    let actions = rig.wait(Span::from_ms(5_000.0));
    let news = |a: &Action| !matches!(a, Action::SetTimer { .. });
    assert!(!actions.iter().any(news), "nothing is late while it comes: {actions:?}");
    rig.tell(Event::Whole { request: id });
    assert!(!rig.wait(Span::from_ms(100.0)).iter().any(news));
    // From here on the server's silence counts.
    let actions = rig.wait(Span::from_ms(600.0));
    assert!(actions.iter().any(|a| matches!(a, Action::Log { .. })), "{actions:?}");
}

/// Requests that come slowly are no work for their server yet.
#[test]
fn a_server_that_is_sent_long_requests_has_room_until_they_are_whole() {
    let mut rig = one_server(Effect::Idempotent);
    let ask = |rig: &mut Rig, n: u64| {
        let request = Request::new(RequestId(7000 + n), ClassId(0), Span::from_ms(800.0));
        rig.tell(Event::Request(Request { coming: true, ..request }));
        rig.sent_to(RequestId(7000 + n)).is_some()
    };
    assert!((0..50).all(|n| ask(&mut rig, n)), "none fills it");
    for n in 0..50 {
        rig.tell(Event::Whole { request: RequestId(7000 + n) });
    }
    assert!(!ask(&mut rig, 50), "all at once do");
    for n in 0..50 {
        ended(&mut rig, RequestId(7000 + n), Outcome::Success);
    }
    assert!(ask(&mut rig, 51), "and leave it free");
}

/// A suspect is tried by what has an answer soon: a slow client must not keep it out for as long as it sends.
#[test]
fn a_request_that_comes_slowly_does_not_keep_a_suspect_out() {
    let mut rig = Rig::new(Settings { classes: vec![class(Effect::Idempotent)], ..Settings::default() }, 3);
    rig.list(fleet(3, 1, 1));
    let suspect = ServerId(0);
    let mut logged = false;
    for _ in 0..60 {
        let (id, sent) = rig.ask(0);
        let outcome = if sent == Some(suspect) { Outcome::ConnectFailed } else { Outcome::Success };
        rig.answer(id, 0, outcome, 10.0);
        logged |= rig.actions.iter().any(|a| matches!(a, Action::Log { .. }));
        if logged {
            break;
        }
    }
    assert!(logged, "server 0 is suspect");
    // One slow upload after the other, until one is the suspect's trial; none of them ever ends.
    let uploads: Vec<RequestId> = (0..400).map(|n| RequestId(7000 + n)).collect();
    let tried = uploads.into_iter().any(|id| {
        rig.wait(Span::from_ms(20.0));
        let left = Span::from_ms(800.0);
        rig.tell(Event::Request(Request { coming: true, ..Request::new(id, ClassId(0), left) }));
        rig.sent_to(id) == Some(suspect)
    });
    assert!(tried, "an upload is its trial");
    let again = (0..2000).any(|_| {
        rig.wait(Span::from_ms(20.0));
        let (id, sent) = rig.ask(0);
        rig.answer(id, 0, Outcome::Success, 10.0);
        sent == Some(suspect)
    });
    assert!(again, "it is tried again though the upload has not ended");
}

/// A part of the request has gone and is not kept: no other attempt can have it whole, even where none of it ran.
#[test]
fn a_bound_request_is_not_sent_again() {
    for effect in [Effect::Idempotent, Effect::AtMostOnce, keyed(Group::All, 5000.0)] {
        for outcome in
            [Outcome::ConnectFailed, Outcome::ConnectionReset, Outcome::ServerError, Outcome::NotSent]
        {
            for bound in [false, true] {
                let mut rig = Rig::new(Settings { classes: vec![class(effect)], ..Settings::default() }, 3);
                rig.list(fleet(6, 1, 1));
                let id = RequestId(7000);
                let request = Request::new(id, ClassId(0), Span::from_ms(800.0));
                rig.tell(Event::Request(Request { coming: true, ..request }));
                if bound {
                    rig.tell(Event::Bound { request: id, attempt: AttemptNo(0) });
                }
                rig.answer(id, 0, outcome, 20.0);
                let again = rig.sent_to(id).is_some();
                let lawful = effect != Effect::AtMostOnce || outcome.never_ran();
                assert_eq!(again, lawful && !bound, "{effect:?} {outcome:?} bound {bound}");
                assert_eq!(failed(&rig.actions, id), !again, "answered at once");
                rig.assert_rules();
            }
        }
    }
}

/// Words about attempts that there are none of, or too many of them, change nothing.
#[test]
fn words_out_of_turn_change_nothing() {
    let mut rig = one_server(Effect::Idempotent);
    let (id, _) = rig.ask(0);
    for n in [0, 1, 9] {
        for request in [id, RequestId(999)] {
            rig.tell(Event::Whole { request });
            rig.tell(Event::FirstByte { request, attempt: AttemptNo(n) });
            rig.tell(Event::FirstByte { request, attempt: AttemptNo(n) });
            rig.tell(Event::Bound { request, attempt: AttemptNo(n) });
        }
    }
    ended(&mut rig, id, Outcome::Cancelled);
    ended(&mut rig, id, Outcome::Success);
    rig.list(Vec::new());
    rig.wait(Span::from_ms(60_000.0));
    rig.assert_rules();
}
