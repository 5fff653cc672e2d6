//! Changes of configuration in virtual time, on regions and zones: the real state machines under loss, cuts, stopped processes and
//! restarts. No test here looks at real time.

use dilljunction_lab::configuration::fleet::Fleet;
use dilljunction_lab::configuration::spread::{spread, Run};
use dilljunction_lab::configuration::tree::{self, Shape};
use std::time::Duration;

/// What the operators need.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);
const MEMBERS: usize = 120;
const SECOND: Duration = Duration::from_secs(1);

fn run(loss: f64) -> Run {
    Run { members: MEMBERS, loss, seed: 3, changes: 4, apart: 3 * SECOND, services: 2, value: 400 }
}

#[test]
fn changes_are_in_force_everywhere_in_time_at_any_loss_that_is_planned_for() {
    for loss in [0.0, 0.01, 0.1] {
        let shown = spread(run(loss)).expect("a run");
        assert_eq!(shown.missing, 0);
        assert!(shown.within(1.0) <= IN_FORCE_WITHIN.as_secs_f64(), "{loss}: {}", shown.within(1.0));
    }
}

#[test]
fn a_run_is_the_same_every_time() {
    let (one, other) = (spread(run(0.01)).expect("a run"), spread(run(0.01)).expect("a run"));
    assert_eq!((one.took, one.out), (other.took, other.out));
}

#[test]
fn a_region_that_was_cut_off_has_three_changes_in_force_in_time_after_the_heal() {
    let mut fleet = Fleet::new(MEMBERS, 0.01, 5);
    fleet.publish("before", b"before").expect("published");
    fleet.run(5 * SECOND);
    fleet.cut(3, true);
    fleet.tell_members();
    for value in [b"a", b"b", b"c"] {
        fleet.publish("during", value).expect("published");
        fleet.run(5 * SECOND);
    }
    let there = fleet.changes().last().expect("a change").took.len();
    assert!(there < MEMBERS, "the region is cut off");
    let healed = fleet.now();
    fleet.cut(3, false);
    fleet.tell_members();
    fleet.run(IN_FORCE_WITHIN);
    let last = fleet.changes().last().expect("a change");
    assert_eq!(last.took.len(), MEMBERS);
    let latest = last.took.iter().max().expect("members");
    assert!(last.at + *latest <= healed + IN_FORCE_WITHIN);
}

#[test]
fn members_that_were_stopped_or_restarted_catch_up_and_the_writer_hears_of_it() {
    let mut fleet = Fleet::new(MEMBERS, 0.01, 6);
    fleet.publish("one", b"a").expect("published");
    fleet.run(5 * SECOND);
    fleet.pause(7, 30 * SECOND);
    for number in 20..36 {
        fleet.restart(number);
    }
    fleet.publish("one", b"b").expect("published");
    fleet.run(10 * SECOND);
    let lagging: Vec<u16> = fleet.lagging().iter().map(|lagging| lagging.number.0).collect();
    assert_eq!(lagging, [7], "the one that is stopped");
    fleet.run(30 * SECOND);
    assert_eq!(fleet.lagging(), []);
    assert_eq!(fleet.changes().last().expect("a change").took.len(), MEMBERS);
}

#[test]
fn a_tree_reaches_all_and_its_busiest_sender_sends_most() {
    let shown = tree::spread(Shape::ControlMachines(16), 400, 0.1, 430, 1);
    assert_eq!((shown.missing, shown.took.len()), (0, 400));
    assert!(shown.busiest_out() > 10.0 * shown.mean_out());
}
