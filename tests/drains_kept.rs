//! Guards rule three: nothing new goes to a server that drains or is gone.
mod common;
use common::*;
use ryelead::*;

fn drained(update: impl Fn(Vec<Listed>) -> ListUpdate) {
    let settings = Settings { classes: vec![class(Effect::Idempotent)], ..Settings::default() };
    let mut rig = Rig::new(settings, 2);
    rig.list(fleet(2, 1, 1));
    rig.tell(Event::List(update(fleet(2, 1, 1))));
    for _ in 0..50 {
        let (id, sent) = rig.ask(0);
        assert_eq!(sent, Some(ServerId(1)));
        rig.wait(Span::from_ms(10.0));
        rig.answer(id, 0, Outcome::Success, 10.0);
    }
    rig.assert_rules();
}

#[test]
fn draining_and_gone_by_change() {
    for status in [Status::Draining, Status::Gone] {
        drained(|lines| ListUpdate::Changes(vec![Listed { status, ..lines[0].clone() }]));
    }
}

#[test]
fn left_out_of_a_complete_list() {
    drained(|lines| ListUpdate::Complete(lines[1..].to_vec()));
}

#[test]
fn the_last_of_two_lines_for_a_server_counts() {
    drained(|lines| {
        let gone = Listed { status: Status::Draining, ..lines[0].clone() };
        ListUpdate::Complete(vec![lines[0].clone(), lines[1].clone(), gone])
    });
}

#[test]
fn a_failed_call_for_the_list_is_repeated_and_the_old_list_stands() {
    let settings = Settings {
        discovery: Discovery::OnRequest,
        classes: vec![class(Effect::Idempotent)],
        ..Settings::default()
    };
    let mut rig = Rig::new(settings, 2);
    let start = rig.wait(Span::from_ms(50.0));
    assert!(start.contains(&Action::Follow { active: true }), "followed from the start");
    rig.list(fleet(2, 1, 1));
    let mut asked = 0;
    for _ in 0..5 {
        rig.tell(Event::List(ListUpdate::Failed));
        let (id, sent) = rig.ask(0);
        assert!(sent.is_some());
        rig.answer(id, 0, Outcome::Success, 10.0);
        let actions = rig.wait(Span::from_ms(5000.0));
        asked += actions.iter().filter(|a| **a == Action::Follow { active: true }).count();
    }
    assert_eq!(asked, 5, "one more call after each failure, within half of what the site asks");
    rig.assert_rules();
}
