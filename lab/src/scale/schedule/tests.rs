use super::*;

#[test]
fn every_schedule_can_be_played_at_every_size() {
    for members in [40, 100, 400, 1_600] {
        for name in NAMES {
            let plan = schedule(name, members, 1).unwrap();
            check(&plan).unwrap();
            assert!(plan.fault.iter().all(|fault| !fault.members.is_empty()), "{name} at {members}");
        }
    }
    assert!(schedule("flood", 40, 1).unwrap_err().contains("no such schedule (start, "));
}

#[test]
fn the_target_has_its_machine_its_rack_and_its_restarts() {
    let all = schedule("all", 1_600, 1).unwrap();
    let sizes: Vec<usize> = all.fault.iter().map(|fault| fault.members.len()).collect();
    assert_eq!(sizes, [MACHINE, RESTARTED, RACK, 100, 200]);
}

#[test]
fn what_hollow_agents_cannot_do_is_refused() {
    let plan = Plan::find("stop-one").unwrap();
    assert!(check(&plan).unwrap_err().contains("stop-one: stop happens to processes"));
}
