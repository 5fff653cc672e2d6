//! Guards against blind picks where balancers are many and each sees almost nothing of the servers' load.
mod common;
use common::*;
use ryelead::*;

fn settings() -> Settings {
    Settings {
        balancers: 100,
        probes: true,
        report_source: ReportSource::Probes,
        report_fields: vec![ReportField::InFlight],
        classes: vec![class(Effect::Idempotent)],
        ..Settings::default()
    }
}

fn probes(actions: &[Action]) -> Vec<ServerId> {
    let probe = |a: &Action| match a {
        Action::Probe { server } => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(probe).collect()
}

/// A request of a light balancer whose probes find `load` requests at each server (`None`: no answer): the
/// servers first probed, where it was sent, and whether it was refused.
fn look(load: impl Fn(ServerId) -> Option<f64>) -> (Vec<ServerId>, Option<ServerId>, bool) {
    let mut rig = Rig::new(settings(), 11);
    rig.list(fleet(6, 1, 1));
    let (id, at_once) = rig.ask(0);
    assert_eq!(at_once, None, "it looks before it sends");
    let first = probes(&rig.actions);
    let (mut asked, mut all) = (first.clone(), Vec::new());
    for _ in 0..150 {
        for server in std::mem::take(&mut asked) {
            let Some(held) = load(server) else { continue };
            let (outcome, elapsed, report) = (Outcome::Success, Span::from_ms(1.0), Some(vec![held]));
            all.extend_from_slice(rig.tell(Event::Probed { server, outcome, elapsed, report }));
            asked.extend(probes(&rig.actions));
        }
        let later = rig.wait(Span::from_ms(1.0));
        asked.extend(probes(&later));
        all.extend(later);
    }
    assert!(rig.observer.faults.is_empty(), "{:?}", rig.observer.faults);
    (first, sent_in(&all, id), refused(&all, id))
}

#[test]
fn the_lighter_of_the_probed_candidates_is_sent_to() {
    let (first, sent, _) = look(|s| Some(1.0 + f64::from(s.0) * 0.6));
    assert!(first.len() > 1, "two draws of six servers: {first:?}");
    assert_eq!(sent, first.iter().min().copied());
}

#[test]
fn a_candidate_that_does_not_answer_steps_back() {
    let silent = look(|_| Some(2.0)).0[0];
    let (first, sent, _) = look(|s| (s != silent).then_some(3.0));
    assert!(first.contains(&silent), "the same seed draws the same servers");
    assert!(sent.is_some_and(|s| s != silent), "{sent:?}");
}

#[test]
fn probes_that_all_stay_out_hold_no_request_back() {
    assert!(look(|_| None).1.is_some(), "sent when the look is over");
}

/// What a server reports that holds this much: three work side by side, and 60 ms are usual.
fn report(load: f64) -> Option<Vec<f64>> {
    let (running, stretch) = (load.min(12.0), (load.min(12.0) / 3.0).max(1.0));
    Some(vec![running / (0.06 * stretch), 60.0 * stretch, (load - 12.0).max(0.0)])
}

fn told() -> Settings {
    let report_fields = vec![ReportField::Rate, ReportField::ServiceTime, ReportField::Queue];
    Settings { report_source: ReportSource::Answers, report_fields, retry_after: true, ..settings() }
}

/// Answers all probes that are out as servers of this load do, and all timers, for a while; everything that was done.
fn go_on(rig: &mut Rig, load: f64, ms: u32) -> Vec<Action> {
    let (mut asked, mut all) = (probes(&rig.actions), Vec::new());
    for _ in 0..ms {
        for server in std::mem::take(&mut asked) {
            let (outcome, elapsed) = (Outcome::Success, Span::from_ms(1.0));
            all.extend_from_slice(rig.tell(Event::Probed { server, outcome, elapsed, report: report(load) }));
            asked.extend(probes(&rig.actions));
        }
        let later = rig.wait(Span::from_ms(1.0));
        asked.extend(probes(&later));
        all.extend(later);
    }
    all
}

/// Sheds without a cliff: a request is refused for want of room where servers tell that it would come too late, and the
/// reason says so; the same request is taken by servers that have room.
#[test]
fn a_fleet_told_full_is_not_pushed_further() {
    for (load, full) in [(0.0, false), (4.0, false), (60.0, true)] {
        let mut rig = Rig::new(told(), 11);
        rig.list(fleet(6, 1, 1));
        let (id, _) = rig.ask(0);
        let all = go_on(&mut rig, load, 150);
        assert_eq!(sent_in(&all, id).is_some(), !full, "load {load}");
        let reason = all.iter().find_map(|a| match a {
            Action::Refuse { request, reason, .. } if *request == id => Some(*reason),
            _ => None,
        });
        assert_eq!(reason, full.then_some(Reason::WaitedOut), "load {load}");
    }
}

/// What closed agents for good in the lab: an estimate that refuses everything, and hears nothing more because it does.
#[test]
fn no_estimate_keeps_a_fleet_shut_that_tells_nothing_more() {
    let mut rig = Rig::new(Settings { probes: false, ..told() }, 11);
    rig.list(fleet(6, 1, 1));
    for server in 0..6 {
        for _ in 0..50 {
            let (server, outcome, elapsed) = (ServerId(server), Outcome::Success, Span::from_ms(1.0));
            rig.tell(Event::Probed { server, outcome, elapsed, report: report(400.0) });
        }
    }
    let (id, at_once) = rig.ask(0);
    let all = go_on(&mut rig, 400.0, 200);
    assert!(at_once.is_none() && refused(&all, id), "told full");
    rig.wait(Span::from_ms(5000.0));
    assert!(rig.ask(0).1.is_some(), "five seconds on nobody knows, and one is tried");
}

/// Balancers whose own answers tell of the servers send no probe.
#[test]
fn few_balancers_go_by_their_counts_and_send_no_probe() {
    let mut rig = Rig::new(Settings { balancers: 4, ..told() }, 5);
    rig.list(fleet(6, 1, 1));
    let (first, _) = rig.ask(0);
    let mut sent = sent_in(&go_on(&mut rig, 1.0, 20), first).expect("looked, and sent");
    let mut last = first;
    for _ in 0..200 {
        let (request, attempt, outcome) = (last, AttemptNo(0), Outcome::Success);
        let elapsed = Span::from_ms(40.0);
        rig.tell(Event::Outcome { request, attempt, outcome, elapsed, report: report(1.0), closed: true });
        rig.wait(Span::from_ms(10.0));
        let (id, at) = rig.ask(0);
        assert!(probes(&rig.actions).is_empty(), "{:?} has just answered", sent);
        (last, sent) = (id, at.expect("sent at once"));
    }
}

/// What is called off goes on at its server: an attempt keeps its deadline, however many balancers there are.
#[test]
fn an_attempt_keeps_the_deadline() {
    let mut rig = Rig::new(settings(), 5);
    rig.list(fleet(6, 1, 1));
    let (id, start) = (rig.ask(0).0, rig.now);
    let later = rig.wait(Span::from_ms(20.0));
    let until = later.iter().find_map(|a| match a {
        Action::Send { request, timeout_at, .. } if *request == id => Some(*timeout_at),
        _ => None,
    });
    let deadline = class(Effect::Idempotent).deadline;
    assert_eq!(until, Some(start + deadline));
}

/// What is worth next to nothing found servers that work on one request at a time full with nothing there.
#[test]
fn an_idle_server_is_full_for_nobody() {
    let worth = |worth| Class { worth, ..class(Effect::Idempotent) };
    let mut rig = Rig::new(Settings { classes: vec![worth(1000.0), worth(0.001)], ..told() }, 11);
    rig.list(fleet(6, 1, 1));
    for server in (0..6).map(ServerId) {
        // One request there takes nearly four usual times: it is narrow. Then it is idle.
        for report in [[6.7, 150.0, 0.0], [6.7, 150.0, 0.0], [0.0, 0.0, 0.0]] {
            let (outcome, elapsed, report) = (Outcome::Success, Span::from_ms(1.0), Some(report.to_vec()));
            rig.tell(Event::Probed { server, outcome, elapsed, report });
        }
    }
    assert!(rig.ask(1).1.is_some());
}
