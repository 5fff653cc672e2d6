//! Guards the four rules on event orders that nobody thought of, and that equal events give equal actions.
mod common;
use common::*;
use ryelead::*;
use std::collections::BTreeMap;

fn settings(pick: u64) -> Settings {
    Settings {
        balancers: 1 + (pick % 7) as u32,
        classes: vec![
            class(Effect::Idempotent),
            class(Effect::AtMostOnce),
            class(keyed(Group::All, 300.0)),
            class(keyed(Group::Zone, 200.0)),
            class(keyed(Group::Cell, 600.0)),
            Class { late_worth: 0.3, stream: true, ..class(Effect::Idempotent) },
        ],
        second_copies: pick % 2 == 0,
        cancel: pick % 3 != 0,
        retry_after: pick % 5 == 0,
        probes: pick % 4 == 0,
        report_source: if pick % 3 == 0 { ReportSource::None } else { ReportSource::Answers },
        report_fields: vec![ReportField::InFlight, ReportField::ServiceTime],
        discovery: if pick % 2 == 1 { Discovery::OnRequest } else { Discovery::Pushed },
        cold_share: 0.2,
        warm_after: Span::from_ms(4000.0),
        ..Settings::default()
    }
}

struct Out {
    request: RequestId,
    attempt: u32,
    sent: Time,
    deadline: Time,
    streaming: bool,
    /// Its request is still coming.
    coming: bool,
}

/// Plays `steps` random events; all that the balancer did, as text.
fn walk(pick: u64, steps: u32) -> (Rig, Vec<String>) {
    let mut rng = fastrand::Rng::with_seed(pick);
    let settings = settings(pick);
    let classes = settings.classes.clone();
    let mut rig = Rig::new(settings, pick ^ 0x5eed);
    let mut lines = fleet(1 + rng.u32(0..9), 3, 3);
    let mut out: Vec<Out> = Vec::new();
    let mut attempts: BTreeMap<RequestId, u32> = BTreeMap::new();
    let mut said = Vec::new();
    let mut probing: Vec<ServerId> = Vec::new();
    let mut coming: BTreeMap<RequestId, Span> = BTreeMap::new();
    rig.tell(Event::List(ListUpdate::Saved(lines.clone())));
    for step in 0..steps {
        let mut actions = Vec::new();
        match rng.u32(0..100) {
            0..=39 => {
                let class = rng.usize(0..classes.len());
                let left = classes[class].deadline * (rng.f64() * 1.2).min(1.0);
                let mut request = Request::new(RequestId(u64::from(step)), ClassId(class), left);
                request.key = rng.bool().then(|| KeyId(rng.u64(0..5)));
                request.cost_hint = rng.bool().then(|| Span::from_ms(rng.f64() * 80.0));
                request.coming = rng.u32(0..6) == 0;
                if request.coming {
                    coming.insert(request.id, left);
                }
                actions.extend_from_slice(rig.tell(Event::Request(request)));
            }
            40..=79 if !out.is_empty() => {
                let o = out.swap_remove(rng.usize(0..out.len()));
                let outcome = match rng.u32(0..10) {
                    // Half a request is served by nobody.
                    n if o.coming && n > 4 => [Outcome::NotSent, Outcome::ConnectFailed][rng.usize(0..2)],
                    _ if rig.now >= o.deadline && !o.streaming => Outcome::TimedOut,
                    0 => Outcome::ServerError,
                    1 if !o.streaming => Outcome::Rejected,
                    2 if !o.streaming => Outcome::ConnectFailed,
                    3 => Outcome::ConnectionReset,
                    4 if !o.streaming => Outcome::NotSent,
                    _ => Outcome::Success,
                };
                let report =
                    rng.bool().then(|| vec![rng.f64() * 9.0, [f64::NAN, -4.0, 30.0][rng.usize(0..3)]]);
                let closed = outcome == Outcome::Success || o.streaming;
                actions.extend_from_slice(rig.tell(Event::Outcome {
                    request: o.request,
                    attempt: AttemptNo(o.attempt),
                    outcome,
                    elapsed: rig.now.since(o.sent),
                    report,
                    closed,
                }));
            }
            80..=83 if !out.is_empty() && rng.bool() => {
                let i = rng.usize(0..out.len());
                let o = &mut out[i];
                o.streaming = true;
                let event = Event::FirstByte { request: o.request, attempt: AttemptNo(o.attempt) };
                actions.extend_from_slice(rig.tell(event));
            }
            80..=83 if !coming.is_empty() => {
                let (request, left) =
                    coming.iter().nth(rng.usize(0..coming.len())).map(|(r, l)| (*r, *l)).unwrap();
                // A part of it has gone that is not kept; or all of it has come.
                let whole = rng.bool();
                if let Some(o) = out.iter_mut().find(|o| o.request == request) {
                    let event = Event::Bound { request, attempt: AttemptNo(o.attempt) };
                    actions.extend_from_slice(rig.tell(event));
                    if whole {
                        (o.coming, o.deadline) = (false, rig.now + left);
                    }
                }
                if whole {
                    coming.remove(&request);
                    actions.extend_from_slice(rig.tell(Event::Whole { request }));
                }
            }
            84..=86 => {
                let request = RequestId(u64::from(rng.u32(0..step + 1)));
                actions.extend_from_slice(rig.tell(Event::ClientGone { request }));
            }
            87..=90 => {
                let i = rng.usize(0..lines.len());
                lines[i].status =
                    [Status::Serving, Status::Serving, Status::Draining, Status::Gone][rng.usize(0..4)];
                if rng.bool() && lines[i].status == Status::Serving {
                    lines[i].started = Some(rig.now);
                }
                let update = match rng.u32(0..6) {
                    0 => ListUpdate::Failed,
                    1 => ListUpdate::Complete(lines.clone()),
                    _ => ListUpdate::Changes(vec![lines[i].clone()]),
                };
                actions.extend_from_slice(rig.tell(Event::List(update)));
            }
            _ => {
                for server in std::mem::take(&mut probing) {
                    let outcome = [Outcome::Success, Outcome::Success, Outcome::Rejected][rng.usize(0..3)];
                    let report = (outcome == Outcome::Success).then(|| vec![rng.f64() * 4.0, f64::NAN]);
                    let elapsed = Span::from_ms(1.0);
                    let event = Event::Probed { server, outcome, elapsed, report };
                    actions.extend_from_slice(rig.tell(event));
                }
                actions.extend(rig.wait(Span::from_ms(rng.f64() * 15.0)));
            }
        }
        // What has run past its deadline comes back as the caller's network would bring it.
        while let Some(i) = out.iter().position(|o| rig.now >= o.deadline && !o.streaming) {
            let o = out.swap_remove(i);
            actions.extend_from_slice(rig.answer(o.request, o.attempt, Outcome::TimedOut, 800.0));
        }
        for action in &actions {
            match action {
                Action::Send { request, timeout_at, .. } => {
                    let number = attempts.entry(*request).or_insert(0);
                    let coming = coming.contains_key(request);
                    let deadline = if coming { Time(u64::MAX) } else { *timeout_at };
                    let (attempt, sent) = (*number, rig.now);
                    *number += 1;
                    out.push(Out { request: *request, attempt, sent, deadline, streaming: false, coming });
                }
                Action::Cancel { request, attempt } => {
                    let hit = |o: &Out| o.request == *request && o.attempt == attempt.0 && !o.streaming;
                    if let Some(o) = out.iter_mut().find(|o| hit(o)) {
                        // It ends soon, as a time-out would; the outcome's name is all that differs.
                        o.deadline = rig.now;
                    }
                }
                Action::Probe { server } => probing.push(*server),
                _ => {}
            }
        }
        said.push(format!("{actions:?}"));
    }
    (rig, said)
}

#[test]
fn the_rules_hold_on_random_walks() {
    for pick in 0..120 {
        let (rig, said) = walk(pick, 1500);
        assert!(rig.observer.faults.is_empty(), "walk {pick}: {:#?}", rig.observer.faults);
        assert_eq!(rig.observer.lost(rig.now), 0, "walk {pick}");
        let sends = said.iter().filter(|s| s.contains("Send")).count();
        assert!(sends > 50, "walk {pick} sent only {sends} times and so shows little");
    }
}

#[test]
fn equal_events_give_equal_actions() {
    for pick in 0..10 {
        assert_eq!(walk(pick, 800).1, walk(pick, 800).1);
    }
}

#[test]
fn seeds_matter() {
    let with = |seed| {
        let mut rig = Rig::new(settings(2), seed);
        rig.list(fleet(9, 3, 3));
        (0..20).map(|_| rig.ask(0).1).collect::<Vec<_>>()
    };
    assert_ne!(with(1), with(2));
}

/// Two balancers fed in turn act as each does alone: they share nothing.
#[test]
fn interleaved_balancers_act_as_if_apart() {
    let step = |rig: &mut Rig, i: u32| {
        let (id, sent) = rig.ask((i % 3) as usize);
        let mut actions = rig.actions.clone();
        actions.extend(rig.wait(Span::from_ms(3.0)));
        if sent.is_some() && i % 4 != 0 {
            actions.extend_from_slice(rig.answer(id, 0, Outcome::Success, 3.0));
        }
        actions
    };
    let start = |seed| {
        let mut rig = Rig::new(settings(seed), seed);
        rig.list(fleet(7, 3, 3));
        rig
    };
    let alone = |seed| {
        let mut rig = start(seed);
        (0..300).map(|i| step(&mut rig, i)).collect::<Vec<_>>()
    };
    let (mut a, mut b) = (start(3), start(8));
    let (mut from_a, mut from_b) = (Vec::new(), Vec::new());
    for i in 0..300 {
        from_a.push(step(&mut a, i));
        from_b.push(step(&mut b, i));
    }
    assert_eq!((from_a, from_b), (alone(3), alone(8)));
}
