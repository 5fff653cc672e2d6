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

#[test]
fn a_fleet_told_full_is_not_pushed_further() {
    let (_, sent, refused) = look(|_| Some(50.0));
    assert_eq!((sent, refused), (None, true), "refused once looks found no room");
}

#[test]
fn few_balancers_go_by_their_counts_and_send_no_probe() {
    let mut rig = Rig::new(Settings { balancers: 4, ..settings() }, 5);
    rig.list(fleet(6, 1, 1));
    let (_, sent) = rig.ask(0);
    assert!(sent.is_some());
    assert!(probes(&rig.actions).is_empty());
}

/// Late answers are worth nothing here: work that waits past the aim only holds the queue up.
#[test]
fn a_light_balancers_attempt_times_out_at_the_aim() {
    let mut rig = Rig::new(settings(), 5);
    rig.list(fleet(6, 1, 1));
    let (id, start) = (rig.ask(0).0, rig.now);
    let later = rig.wait(Span::from_ms(20.0));
    let until = later.iter().find_map(|a| match a {
        Action::Send { request, timeout_at, .. } if *request == id => Some(*timeout_at),
        _ => None,
    });
    assert_eq!(until, Some(start + Span::from_ms(200.0)));
}
