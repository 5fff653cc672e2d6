use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The page's own figures: the longest deadline, but no more than 3 s of it, and 0.7 s.
#[test]
fn the_kill_is_counted_as_the_platform_counts_it() {
    let stopped = Instant::now();
    for (longest, kill) in
        [(0, 700), (300, 1_000), (2_999, 3_699), (3_000, 3_700), (4_047, 3_700), (60_000, 3_700)]
    {
        assert_eq!(ProcessEnd::new(stopped, ms(longest)).kill, stopped + ms(kill), "{longest} ms");
    }
}

/// Answers come before the process ends, that comes before the kill, and a process that is held up for 0.15 s is still in time.
#[test]
fn answers_then_exit_then_kill_whatever_the_classes_say() {
    let stopped = Instant::now();
    for longest in (0..20_000).step_by(37) {
        let end = ProcessEnd::new(stopped, ms(longest));
        assert!(stopped < end.answers_by() && end.answers_by() < end.exit() && end.exit() < end.kill);
        assert!(end.answers_by() + ms(150) < end.kill);
    }
}
