use super::*;
use std::collections::HashSet;

/// Every plan is usable, and the same seed is the same plan.
#[test]
fn a_seed_is_a_plan_and_every_plan_is_usable() {
    let mut kinds = HashSet::new();
    let mut deadlines = [false; 3];
    for seed in 0..300 {
        let plan = draw(seed, 30.0);
        plan.check().unwrap_or_else(|fault| panic!("seed {seed}: {fault:?}"));
        assert_eq!(format!("{plan:?}"), format!("{:?}", draw(seed, 30.0)));
        assert!(AGENTS.contains(&plan.agents) && (250.0..=400.0).contains(&plan.rate));
        let longest = plan.class.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
        deadlines[if longest < 900.0 { 0 } else { usize::from(longest > 3_000.0) + 1 }] = true;
        kinds.extend(plan.fault.iter().map(|fault| format!("{:?}", fault.kind)));
    }
    assert!(deadlines.iter().all(|drawn| *drawn), "short, long, and longer than a shutdown");
    for kind in
        ["Stop", "Kill", "Stall", "Upgrade", "DrainAgent", "ListMoves", "List", "Hang", "Break", "HalfOpen"]
    {
        assert!(kinds.contains(kind), "{kind} is never drawn");
    }
}
