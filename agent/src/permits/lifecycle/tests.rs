use super::*;
use std::collections::HashSet;

const LONGEST: Duration = Duration::from_secs(3);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Connections on which no answer moves.
fn connections(open: usize, pending: usize) -> OpenConnections {
    OpenConnections { open, pending, answer_moves: false }
}

/// A process in normal operation.
fn serving(inherited: bool) -> Lifecycle {
    let mut lifecycle = Lifecycle::new(inherited, LONGEST);
    lifecycle.list_usable();
    lifecycle
}

#[test]
fn it_serves_once_the_list_is_usable() {
    let now = Instant::now();
    for inherited in [false, true] {
        let mut lifecycle = Lifecycle::new(inherited, LONGEST);
        assert!(!lifecycle.is_in_service() && !lifecycle.is_ready(false));
        // If a process did not accept on its own socket, clients would be refused; an inherited socket is
        // served by another process meanwhile.
        assert_eq!(lifecycle.accepts(now), !inherited);
        lifecycle.list_usable();
        assert_eq!(lifecycle.phase(), Phase::Serving);
        assert!(lifecycle.is_in_service() && lifecycle.is_ready(true) && lifecycle.accepts(now));
        assert!(!lifecycle.is_ready(false), "a list that has become empty");
        assert!(
            !lifecycle.closes_connections()
                && lifecycle.idle_policy(now) == IdlePolicy::Keep
                && lifecycle.next(now).is_none()
        );
        assert_eq!(lifecycle.answers_by(), None);
    }
}

/// The agent becomes unready at once, serves new connections all along, and keeps no idle connection once the
/// 4 s are over that operators wait for a drain.
#[test]
fn a_drain_empties_the_agent_and_ends_with_ok() {
    let start = Instant::now();
    let mut lifecycle = serving(false);
    lifecycle.fail(start);
    lifecycle.fail(start + ms(900));
    assert_eq!(lifecycle.phase(), Phase::Draining(start), "repeated, counted from the first time");
    assert!(!lifecycle.is_ready(true) && !lifecycle.is_in_service() && lifecycle.closes_connections());
    assert!(
        lifecycle.accepts(start + ms(60_000))
            && lifecycle.exit_permit(start + ms(60_000), connections(0, 0)).is_none()
    );
    assert_eq!(lifecycle.idle_policy(start + ms(300)), IdlePolicy::Keep);
    assert_eq!(lifecycle.next(start), Some(start + DRAIN_IDLE_TIME));
    assert_eq!(lifecycle.idle_policy(start + DRAIN_IDLE_TIME), IdlePolicy::Close);
    assert_eq!(lifecycle.next(start + DRAIN_IDLE_TIME), Some(start + DRAIN_CLOSE_AFTER));
    assert_eq!(lifecycle.idle_policy(start + DRAIN_CLOSE_AFTER), IdlePolicy::CloseImmediately);
    assert!(DRAIN_CLOSE_AFTER < ms(3800) && lifecycle.next(start + DRAIN_CLOSE_AFTER).is_none());
    assert_eq!(lifecycle.ok(true), Ok(()));
    assert!(lifecycle.is_ready(true) && lifecycle.is_in_service() && !lifecycle.closes_connections());
}

#[test]
fn a_drain_before_the_list_is_usable_leads_back_to_the_start() {
    let mut lifecycle = Lifecycle::new(false, LONGEST);
    lifecycle.fail(Instant::now());
    lifecycle.list_usable();
    assert!(!lifecycle.is_ready(true), "a list does not end a drain");
    assert_eq!((lifecycle.ok(false), lifecycle.phase()), (Ok(()), Phase::Starting));
}

#[test]
fn a_shutdown_accepts_for_a_while_and_ends_when_no_answer_is_pending() {
    let start = Instant::now();
    let mut lifecycle = serving(false);
    lifecycle.stop(start);
    assert_eq!(lifecycle.phase(), Phase::Stopping(start));
    assert!(lifecycle.is_ready(true) && lifecycle.closes_connections());
    assert!(lifecycle.accepts(start + ms(499)) && !lifecycle.accepts(start + ms(500)));
    assert_eq!(
        (lifecycle.idle_policy(start), lifecycle.idle_policy(start + ms(500))),
        (IdlePolicy::Keep, IdlePolicy::Close)
    );
    assert!(
        lifecycle.exit_permit(start + ms(499), connections(0, 0)).is_none()
            && lifecycle.exit_permit(start + ms(500), connections(0, 0)).is_some()
    );
    assert!(
        lifecycle.exit_permit(start + ms(899), connections(1, 0)).is_none()
            && lifecycle.exit_permit(start + ms(900), connections(1, 0)).is_some()
    );
    let last = start + LONGEST + ms(600);
    assert!(lifecycle.answers_by().is_some_and(|by| by < last));
    assert!(
        lifecycle.exit_permit(last - ms(1), connections(1, 1)).is_none()
            && lifecycle.exit_permit(last, connections(1, 1)).is_some()
    );
}

/// The platform may leave a process more time than it guarantees; an answer that a client still reads uses it.
#[test]
fn a_shutdown_waits_for_an_answer_that_moves() {
    let start = Instant::now();
    for inherited in [false, true] {
        let mut lifecycle = serving(inherited);
        lifecycle.stop(start);
        let moving = OpenConnections { open: 1, pending: 1, answer_moves: true };
        for seconds in [3, 4, 60] {
            assert!(lifecycle.exit_permit(start + Duration::from_secs(seconds), moving).is_none());
        }
        assert!(lifecycle.exit_permit(start + Duration::from_secs(4), connections(1, 1)).is_some());
    }
}

#[test]
fn a_handover_leaves_queued_connections_to_the_next_process_at_once() {
    let start = Instant::now();
    let mut lifecycle = serving(true);
    lifecycle.stop(start);
    assert_eq!(lifecycle.phase(), Phase::HandingOver(start));
    assert!(!lifecycle.accepts(start) && lifecycle.exit_permit(start, connections(0, 0)).is_some());
    assert_eq!(
        (lifecycle.idle_policy(start), lifecycle.idle_policy(start + HANDOVER_IDLE_TIME)),
        (IdlePolicy::Keep, IdlePolicy::Close)
    );
    assert!(
        lifecycle.exit_permit(start + ms(1399), connections(1, 0)).is_none()
            && lifecycle.exit_permit(start + ms(1400), connections(1, 0)).is_some()
    );
}

#[test]
fn a_shutdown_is_final() {
    let start = Instant::now();
    for inherited in [false, true] {
        for drained in [false, true] {
            let mut lifecycle = serving(inherited);
            if drained {
                lifecycle.fail(start);
            }
            lifecycle.stop(start + ms(10));
            let stopped = lifecycle.phase();
            lifecycle.fail(start + ms(20));
            lifecycle.list_usable();
            lifecycle.stop(start + ms(30));
            assert_eq!((lifecycle.ok(true), lifecycle.phase()), (Err(ShuttingDown), stopped));
        }
    }
}

/// Compares 4,000 random sequences of orders with the rules, restated here as simply as possible: the last
/// order that counts decides.
#[test]
fn random_sequences_of_orders_keep_the_rules() {
    let mut reached = HashSet::new();
    for seed in 0..4000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let inherited = random.bool();
        let mut lifecycle = Lifecycle::new(inherited, LONGEST);
        let start = Instant::now();
        let (mut now, mut usable) = (start, false);
        let (mut drain, mut stop): (Option<Instant>, Option<Instant>) = (None, None);
        let (mut was_next, mut was) = (None, None);
        for _ in 0..30 {
            now += ms(random.u64(0..900));
            let order = random.u8(0..8);
            match order {
                0 => {
                    usable = true;
                    lifecycle.list_usable();
                }
                1 => {
                    lifecycle.fail(now);
                    if stop.is_none() {
                        drain = drain.or(Some(now));
                    }
                }
                2 => {
                    assert_eq!(lifecycle.ok(usable).is_ok(), stop.is_none());
                    if stop.is_none() {
                        drain = None;
                    }
                }
                3 if random.u8(0..4) == 0 => {
                    lifecycle.stop(now);
                    stop = stop.or(Some(now));
                }
                _ => {}
            }
            reached.insert(lifecycle.phase().name());
            if stop.is_none() {
                assert_eq!(lifecycle.is_ready(true), drain.is_none());
                assert!(
                    lifecycle.exit_permit(now, connections(0, 0)).is_none(),
                    "only a shutdown ends the process"
                );
                assert!(lifecycle.accepts(now) || (inherited && !usable));
                let rests = drain.is_none_or(|since| now < since + DRAIN_IDLE_TIME);
                assert_eq!(lifecycle.idle_policy(now) == IdlePolicy::Keep, rests);
            }
            if let Some(since) = stop {
                assert!(lifecycle.closes_connections() && !lifecycle.is_in_service());
                assert!(!(inherited && lifecycle.accepts(now)));
                let is_over = now >= since + LONGEST + ms(600);
                let moving = OpenConnections { open: 9, pending: 9, answer_moves: true };
                assert_eq!(lifecycle.exit_permit(now, connections(9, 9)).is_some(), is_over);
                assert!(lifecycle.exit_permit(now, moving).is_none());
            }
            let answers = (
                lifecycle.accepts(now),
                lifecycle.idle_policy(now),
                lifecycle.exit_permit(now, connections(9, 0)).is_some(),
            );
            // Without an order, the decisions change only at the instants that `next` announced.
            let quiet = order > 3 && was_next.is_none_or(|at| now < at);
            if quiet {
                assert_eq!(was, Some(answers).filter(|_| was.is_some()), "seed {seed}");
            }
            (was_next, was) = (lifecycle.next(now), Some(answers));
        }
    }
    assert_eq!(reached.len(), 5, "{reached:?}");
}
