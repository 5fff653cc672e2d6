use super::*;
use crate::fleet::plan::Kind;

#[test]
fn what_does_not_matter_is_taken_out_and_what_does_stays() {
    let plan = (0..200).map(|seed| Plan::draw(seed, 9)).find(|p| p.fault.len() == 8).unwrap();
    let (a, b) = (plan.fault[2].clone(), plan.fault[5].clone());
    let fails = |p: &Plan| p.fault.contains(&a) && p.fault.contains(&b);
    let small = shrink(&plan, 100, fails);
    assert_eq!(small.fault, [a.clone(), b.clone()]);
    assert!(small.check().is_ok());
    // The bound on tries holds, and what comes out then still fails.
    let mut asked = 0;
    let some = shrink(&plan, 3, |p| {
        asked += 1;
        fails(p)
    });
    assert!(asked == 3 && fails(&some));
    assert!(shrink(
        &Plan {
            fault: vec![Fault { kind: Kind::Storm, at: 0.0, lasts: 0.0, members: vec![], amount: 0.0 }],
            ..plan
        },
        9,
        |_| true
    )
    .fault
    .is_empty());
}
