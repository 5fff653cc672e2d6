use super::*;
use std::time::Duration;

#[test]
fn what_is_over_the_allowance_is_counted_and_refused() {
    let start = Instant::now();
    let mut allowance = Allowance::new(100.0, 10.0, start);
    let taken = (0..1000).filter(|_| allowance.take(start).is_some()).count();
    assert_eq!(taken, 100);
    assert_eq!(allowance.take(start + Duration::from_secs(1)), Some(900));
}
