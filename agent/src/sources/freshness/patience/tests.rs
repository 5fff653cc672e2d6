use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A call that was made `ago`, nothing of whose answer has arrived.
fn waiting(now: Instant, ago: Duration) -> CallState {
    CallState { sent_at: now - ago, answer_began_at: None, last_progress_at: now - ago }
}

/// A call whose answer began `ago`, right after it was made, and was silent for the last `silent`.
fn arriving(now: Instant, ago: Duration, silent: Duration) -> CallState {
    CallState { sent_at: now - ago, answer_began_at: Some(now - ago), last_progress_at: now - silent }
}

fn start() -> Instant {
    Instant::now() + Duration::from_secs(10_000)
}

#[test]
fn an_answer_is_overtaken_when_it_stalls_for_longer_than_the_last_one() {
    let (now, mut patience) = (start(), CallPatience::new(false));
    let call = arriving(now, ms(0), ms(0));
    assert_eq!(patience.overtaken_at(call, now), now + ms(250));
    patience.on_accepted(ms(400), ms(0));
    assert_eq!(patience.overtaken_at(call, now), now + ms(600));
    patience.on_accepted(ms(30_000), ms(0));
    assert_eq!(patience.overtaken_at(call, now), now + ms(750), "what a silent answer hides is due");
    let call = waiting(now, ms(0));
    assert_eq!(patience.overtaken_at(call, now + ms(500)), now + ms(500));
}

#[test]
fn each_further_call_waits_longer_for_an_answer_that_arrives() {
    let (now, patience) = (start(), CallPatience::new(false));
    let one = arriving(now, ms(1900), ms(1));
    assert!(patience.arriving_until(now, &[one]).is_some());
    let one = arriving(now, ms(2100), ms(1));
    assert_eq!(patience.arriving_until(now, &[one]), None);
    assert!(patience.arriving_until(now, &[one, one]).is_some());
    assert_eq!(patience.arriving_until(now, &[waiting(now, ms(9000))]), None);
    assert_eq!(patience.arriving_until(now, &[arriving(now, ms(900), ms(300))]), None, "it has stalled");
}

/// Whatever is in flight: no more than the maximum after the next call, and the oldest answer that arrives stays.
#[test]
fn the_call_that_is_protected_is_never_closed_for_another() {
    for seed in 0..2000 {
        let (now, mut random) = (start(), fastrand::Rng::with_seed(seed));
        let mut patience = CallPatience::new(random.bool());
        let mut calls: Vec<CallState> = (0..random.usize(0..12))
            .map(|_| {
                let ago = random.u64(0..1900);
                let silent = random.u64(0..=ago);
                if random.bool() {
                    arriving(now, ms(ago), ms(silent))
                } else {
                    waiting(now, ms(ago))
                }
            })
            .collect();
        calls.sort_by_key(|call| call.sent_at);
        let closed = patience.calls_to_close(now, &calls);
        assert_eq!(calls.len() - closed.len(), calls.len().min(patience.calls_max - 1));
        let oldest_arriving = calls.iter().position(|call| call.answer_began_at.is_some());
        assert!(!closed.contains(&oldest_arriving.unwrap_or(0)), "seed {seed}: {calls:?}, {closed:?}");
    }
}

/// A dead connection must not hold the protected place for ever.
#[test]
fn a_call_loses_its_protection_with_time_and_the_next_is_protected_for_longer() {
    let (now, mut patience) = (start(), CallPatience::new(false));
    let others = [waiting(now, ms(27_000)), waiting(now, ms(9000)), waiting(now, ms(1000))];
    let with_oldest = |ago| [&[waiting(now, ago)], &others[..]].concat();
    assert_eq!(patience.calls_to_close(now, &with_oldest(ms(29_999))), [1]);
    assert_eq!(patience.calls_to_close(now, &with_oldest(ms(30_000))), [0]);
    assert_eq!(patience.calls_to_close(now, &with_oldest(ms(59_999))), [1], "60 s from now on");
    patience.on_accepted(ms(0), ms(0));
    assert_eq!(patience.calls_to_close(now, &with_oldest(ms(30_000))), [0], "30 s again");
}

/// A call is made each second beside a dead one: some call must get as old as any pace, and no pace may make it
/// begin again for ever.
#[test]
fn calls_beside_a_dead_one_grow_older_than_any_pace() {
    for pace_s in [3, 5, 10, 20, 45, 100] {
        let (begin, mut patience) = (start(), CallPatience::new(false));
        let mut calls = vec![waiting(begin, ms(0))];
        let heard_after = (1..10_000).find(|second| {
            let now = begin + Duration::from_secs(*second);
            for closed in patience.calls_to_close(now, &calls) {
                calls.remove(closed);
            }
            calls.push(waiting(now, ms(0)));
            let pace = Duration::from_secs(pace_s);
            calls.iter().any(|call| call.sent_at > begin && now - call.sent_at >= pace)
        });
        assert!(heard_after.is_some_and(|after| after <= 4 * pace_s + 30), "{pace_s} s: {heard_after:?}");
    }
}

/// Late answers are waited for; how late they were is forgotten step by step, and a local source is never waited for.
#[test]
fn calls_to_a_service_whose_answers_come_late_are_fewer() {
    let (usual, local) = (ms(500), true);
    let mut patience = CallPatience::new(!local);
    patience.on_accepted(ms(0), ms(1500));
    assert_eq!((patience.long_poll_slack(usual), patience.interval(usual, 1)), (usual, usual));
    patience.on_accepted(ms(0), ms(3200));
    assert_eq!((patience.long_poll_slack(usual), patience.interval(usual, 1)), (ms(3200), ms(2500)));
    patience.on_accepted(ms(0), ms(0));
    assert_eq!(patience.long_poll_slack(usual), ms(1600));
    patience.on_accepted(ms(0), ms(0));
    assert_eq!((patience.long_poll_slack(usual), patience.interval(usual, 4)), (usual, ms(1000)));
    let mut patience = CallPatience::new(local);
    patience.on_accepted(ms(0), ms(9000));
    assert_eq!((patience.long_poll_slack(usual), patience.interval(usual, 1)), (usual, usual));
}
