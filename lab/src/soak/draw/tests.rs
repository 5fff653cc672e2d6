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
    for kind in [
        "Stop",
        "Kill",
        "Stall",
        "Upgrade",
        "DrainAgent",
        "ListMoves",
        "List",
        "ListPace",
        "Hang",
        "Break",
        "HalfOpen",
    ] {
        assert!(kinds.contains(kind), "{kind} is never drawn");
    }
}

/// Cuts are drawn from a moment to longer than any time limit of the agent, and every plan has slow sources.
#[test]
fn cuts_of_all_lengths_and_slow_sources_are_drawn() {
    let mut cuts = Vec::new();
    for seed in 0..300 {
        let plan = draw(seed, 30.0);
        let lasting = |kind| plan.fault.iter().filter(move |fault| fault.kind == kind);
        cuts.extend(lasting(Kind::Cut).filter_map(|fault| fault.lasts));
        let mut paces = lasting(Kind::ListPace).map(|fault| fault.latency_ms.unwrap_or(0.0));
        assert!(
            paces.all(|latency_ms| latency_ms <= LIST_ANSWER_MOST_MS) && lasting(Kind::ListPace).count() > 0
        );
    }
    assert!(cuts.iter().all(|lasts| *lasts <= CUT_S.1));
    for range in [0.0..1.0, 5.0..6.0, 6.0..10.0, 10.0..15.0, 15.0..20.0] {
        assert!(cuts.iter().any(|lasts| range.contains(lasts)), "{range:?}");
    }
}
