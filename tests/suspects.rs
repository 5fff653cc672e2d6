//! Guards against servers that hang, fail fast or slow down, and against taking a crowd for sick servers.
mod common;
use common::*;
use ryelead::*;

fn settings(effect: Effect) -> Settings {
    Settings { classes: vec![class(effect)], ..Settings::default() }
}

/// Requests one after the other, each answered by `answer`; how many went to each of `n` servers.
fn serve(rig: &mut Rig, n: usize, count: u32, answer: impl Fn(ServerId) -> (Outcome, f64)) -> Vec<u32> {
    let mut sent = vec![0; n];
    for _ in 0..count {
        let (id, mut server) = rig.ask(0);
        let mut attempt = 0;
        while let Some(to) = server {
            sent[to.0 as usize] += 1;
            let (outcome, ms) = answer(to);
            rig.wait(Span::from_ms(ms));
            rig.answer(id, attempt, outcome, ms);
            server = rig.sent_to(id);
            attempt += 1;
        }
        rig.wait(Span::from_ms(5.0));
    }
    rig.assert_rules();
    sent
}

#[test]
fn quick_errors_do_not_draw_traffic() {
    for bad in [Outcome::ServerError, Outcome::ConnectFailed, Outcome::ConnectionReset] {
        let mut rig = Rig::new(settings(Effect::Idempotent), 11);
        rig.list(fleet(5, 1, 1));
        let sick = ServerId(2);
        let sent = serve(&mut rig, 5, 400, |s| if s == sick { (bad, 0.2) } else { (Outcome::Success, 30.0) });
        assert!(sent[2] <= 12, "{bad:?}: {sent:?}, of them trials only");
        assert!(sent[2] >= 3, "{bad:?}: {sent:?}, it is tried again");
        let well = serve(&mut rig, 5, 400, |_| (Outcome::Success, 30.0));
        assert!(well[2] > 30, "{bad:?}: {well:?}, it is taken back");
    }
}

#[test]
fn a_much_slower_server_is_left_and_taken_back() {
    let mut rig = Rig::new(settings(Effect::Idempotent), 11);
    rig.list(fleet(5, 1, 1));
    let sent = serve(&mut rig, 5, 300, |s| (Outcome::Success, if s.0 == 2 { 300.0 } else { 30.0 }));
    assert!(sent[2] < 20, "{sent:?}");
    let well = serve(&mut rig, 5, 600, |_| (Outcome::Success, 30.0));
    assert!(well[2] > 30, "{well:?}");
}

#[test]
fn a_fleet_that_is_slow_together_keeps_all_its_servers() {
    let mut rig = Rig::new(settings(Effect::Idempotent), 11);
    rig.list(fleet(5, 1, 1));
    serve(&mut rig, 5, 100, |_| (Outcome::Success, 30.0));
    let sent = serve(&mut rig, 5, 300, |_| (Outcome::Success, 110.0));
    assert!(sent.iter().all(|n| *n > 20), "{sent:?}");
}

#[test]
fn a_silent_server_is_left_and_its_repeatable_request_called_back() {
    let mut rig = Rig::new(settings(Effect::Idempotent), 5);
    rig.list(fleet(4, 1, 1));
    serve(&mut rig, 4, 40, |_| (Outcome::Success, 20.0));
    // Two requests on one server, none on the others: only there nothing comes back.
    let asked: Vec<_> = (0..8).map(|_| rig.ask(0)).filter_map(|(id, s)| s.map(|s| (id, s))).collect();
    let hung = asked.iter().map(|a| a.1).find(|s| asked.iter().filter(|a| a.1 == *s).count() > 1).unwrap();
    for (id, server) in &asked {
        if *server != hung {
            rig.answer(*id, 0, Outcome::Success, 20.0);
        }
    }
    let actions = rig.wait(Span::from_ms(150.0));
    for &(id, _) in asked.iter().filter(|a| a.1 == hung) {
        assert!(actions.contains(&Action::Cancel { request: id, attempt: AttemptNo(0) }), "{actions:?}");
        rig.answer(id, 0, Outcome::Cancelled, 150.0);
        assert!(rig.sent_to(id).is_some_and(|s| s != hung));
        rig.answer(id, 1, Outcome::Success, 20.0);
    }
    let after = serve(&mut rig, 4, 6, |_| (Outcome::Success, 20.0));
    assert_eq!(after[hung.0 as usize], 0, "not before its first trial");
}

/// On quiet days costly requests made healthy servers suspect, each a second time in vain.
#[test]
fn a_costly_request_alone_on_its_server_is_no_hang_before_its_aim() {
    let mut rig = Rig::new(settings(Effect::Idempotent), 5);
    rig.list(fleet(4, 1, 1));
    serve(&mut rig, 4, 40, |_| (Outcome::Success, 20.0));
    assert!(rig.ask(0).1.is_some());
    let seen =
        |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. } | Action::Log { .. }));
    assert!(!seen(&rig.wait(Span::from_ms(195.0))));
    assert!(seen(&rig.wait(Span::from_ms(60.0))), "past its aim it counts");
}

#[test]
fn what_must_not_repeat_is_not_called_back() {
    let mut rig = Rig::new(settings(Effect::AtMostOnce), 5);
    rig.list(fleet(4, 1, 1));
    let (id, _) = rig.ask(0);
    let actions = rig.wait(Span::from_ms(790.0));
    assert!(!actions.iter().any(|a| matches!(a, Action::Cancel { .. })), "{actions:?}");
    rig.answer(id, 0, Outcome::TimedOut, 800.0);
    rig.assert_rules();
}

/// Without a safe class nothing would ever try a suspect, so others must after a while.
#[test]
fn a_site_without_safe_classes_takes_servers_back() {
    let mut rig = Rig::new(settings(Effect::AtMostOnce), 11);
    rig.list(fleet(3, 1, 1));
    serve(&mut rig, 3, 100, |s| match s.0 {
        1 => (Outcome::ServerError, 0.2),
        _ => (Outcome::Success, 20.0),
    });
    let well = serve(&mut rig, 3, 400, |_| (Outcome::Success, 20.0));
    assert!(well[1] > 30, "{well:?}");
}

#[test]
fn most_of_the_fleet_out_of_reach_leaves_the_rest_in_use() {
    let mut rig = Rig::new(settings(Effect::Idempotent), 11);
    rig.list(fleet(8, 1, 1));
    let cut = |s: ServerId| if s.0 < 6 { (Outcome::ConnectFailed, 100.0) } else { (Outcome::Success, 20.0) };
    serve(&mut rig, 8, 60, cut);
    let sent = serve(&mut rig, 8, 100, cut);
    assert!(sent[..6].iter().sum::<u32>() < 40, "{sent:?}");
    assert!(sent[6] + sent[7] >= 95, "{sent:?}");
}

#[test]
fn a_whole_fleet_that_fails_is_still_tried() {
    let mut rig = Rig::new(settings(Effect::Idempotent), 11);
    rig.list(fleet(4, 1, 1));
    serve(&mut rig, 4, 40, |_| (Outcome::ServerError, 1.0));
    let sent = serve(&mut rig, 4, 40, |_| (Outcome::Success, 20.0));
    assert!(sent.iter().sum::<u32>() >= 40, "{sent:?}");
}

/// Connections that break everywhere now and then say nothing of any one server: with two breaks in a row taken for a
/// sick server, half of the fleet was out at any moment and requests were refused for want of room.
#[test]
fn breaks_everywhere_make_no_suspects() {
    let mut rig = Rig::new(settings(Effect::Idempotent), 11);
    rig.list(fleet(5, 1, 1));
    let mut suspects = 0;
    let mut count = 0_u32;
    for _ in 0..3000 {
        let (id, mut server) = rig.ask(0);
        let mut attempt = 0;
        while server.is_some() {
            count = count.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let breaks = count >> 24 < 38;
            let (outcome, ms) =
                if breaks { (Outcome::ConnectionReset, 5.0) } else { (Outcome::Success, 30.0) };
            rig.wait(Span::from_ms(ms));
            let actions = rig.answer(id, attempt, outcome, ms);
            suspects += actions.iter().filter(|a| matches!(a, Action::Log { .. })).count();
            server = rig.sent_to(id);
            attempt += 1;
        }
        rig.wait(Span::from_ms(5.0));
    }
    rig.assert_rules();
    assert!(suspects <= 15, "{suspects} times in 3,000 requests of which 15% break");
}

/// A release under which one class failed on half of the fleet had those servers out for every class, and requests of the
/// others were refused for want of room.
#[test]
fn a_class_that_fails_on_a_server_leaves_it_to_the_others() {
    let two = vec![class(Effect::Idempotent), class(Effect::AtMostOnce)];
    let mut rig = Rig::new(Settings { classes: two, ..Settings::default() }, 11);
    rig.list(fleet(4, 1, 1));
    let (mut failed, mut sent) = ([0; 4], [0; 4]);
    for turn in 0..600 {
        let class = usize::from(turn % 3 == 0);
        let (id, server) = rig.ask(class);
        let to = server.expect("half of the fleet serves it").0 as usize;
        rig.wait(Span::from_ms(20.0));
        // Servers 0 and 1 fail the second class, and that alone.
        if class == 1 && to < 2 {
            failed[to] += 1;
            rig.answer(id, 0, Outcome::ServerError, 20.0);
        } else {
            sent[to] += u32::from(class == 0);
            rig.answer(id, 0, Outcome::Success, 20.0);
        }
    }
    rig.assert_rules();
    assert!(failed[..2].iter().all(|n| (2..=12).contains(n)), "{failed:?}: trials only");
    assert!(sent.iter().all(|n| *n > 50), "{sent:?}: the other class goes on everywhere");
}

/// Asks every 10 ms, 2,500 times; an attempt is answered after 20 ms, every fifth never. How many of the last 1,000
/// requests were served, and how many attempts called back.
fn lose(rig: &mut Rig) -> (u32, u32) {
    let (mut served, mut called_back, mut sends) = (0, 0, 0_u32);
    // Request, attempt, when sent, when over, whether lost.
    let mut out: Vec<(RequestId, u32, Time, Time, bool)> = Vec::new();
    let mut attempts = std::collections::BTreeMap::new();
    for turn in 0..2500 {
        rig.ask(0);
        let mut actions = std::mem::take(&mut rig.actions);
        actions.extend(rig.wait(Span::from_ms(10.0)));
        while !actions.is_empty() {
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Send { request, timeout_at, .. } => {
                        let attempt = attempts.entry(request).and_modify(|n| *n += 1).or_insert(0);
                        sends += 1;
                        let lost = sends % 5 == 0;
                        let end = if lost { timeout_at } else { rig.now + Span::from_ms(20.0) };
                        out.push((request, *attempt, rig.now, end, lost));
                    }
                    Action::Cancel { request, attempt } => {
                        called_back += 1;
                        out.retain(|o| (o.0, o.1) != (request, attempt.0));
                        actions.extend_from_slice(rig.answer(request, attempt.0, Outcome::Cancelled, 150.0));
                    }
                    _ => {}
                }
            }
            let now = rig.now;
            let (over, still): (Vec<_>, Vec<_>) = out.into_iter().partition(|o| o.3 <= now);
            out = still;
            for end in over {
                let outcome = if end.4 { Outcome::TimedOut } else { Outcome::Success };
                served += u32::from(!end.4 && turn >= 1500);
                actions.extend_from_slice(rig.answer(end.0, end.1, outcome, now.since(end.2).ms()));
            }
        }
    }
    (served, called_back)
}

/// Where answers got lost, each held its place to a deadline far beyond the aim: a few of them shut a server that answered
/// all others at once, and most requests were refused.
#[test]
fn lost_answers_do_not_shut_their_servers() {
    for effect in [Effect::Idempotent, Effect::AtMostOnce] {
        let patient = Class { deadline: Span::from_ms(5100.0), ..class(effect) };
        let mut rig = Rig::new(Settings { classes: vec![patient], ..Settings::default() }, 11);
        rig.list(fleet(4, 1, 1));
        let (served, called_back) = lose(&mut rig);
        assert!(rig.observer.faults.is_empty(), "{effect:?}: {:#?}", rig.observer.faults);
        assert!(served > 700, "{effect:?}: {served} of 1000 served");
        assert_eq!(called_back > 20, effect == Effect::Idempotent, "{called_back} called back");
    }
}
