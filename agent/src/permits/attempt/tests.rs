use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use ryelead::Span;

/// The random history of one request, in milliseconds.
#[derive(Clone, Debug)]
struct History {
    effect: u8,
    hedging: bool,
    window_ms: u64,
    deadline_ms: u64,
    answered_ms: u64,
    drained_ms: u64,
    closed_ms: u64,
    /// For each attempt: when it asks to begin, the zone of its server, how long it lasts, and whether its
    /// outcome proves that it never ran.
    attempts: Vec<(u64, u32, u64, bool)>,
}

fn history() -> impl Strategy<Value = History> {
    let attempt = (0..400u64, 0..2u32, 0..200u64, any::<bool>());
    let attempts = proptest::collection::vec(attempt, 1..6);
    (0..4u8, any::<bool>(), 1..300u64, 1..400u64, 1..600u64, (1..600u64, 1..900u64), attempts).prop_map(|drawn| {
        let (effect, hedging, window_ms, deadline_ms, answered_ms, (drained_ms, closed_ms), mut attempts) = drawn;
        attempts.sort_unstable();
        History { effect, hedging, window_ms, deadline_ms, answered_ms, drained_ms, closed_ms, attempts }
    })
}

impl History {
    fn effect(&self) -> Effect {
        let window = Span(self.window_ms * 1000);
        match self.effect {
            0 => Effect::Idempotent,
            1 => Effect::AtMostOnce,
            2 => Effect::Deduplicated { group: Group::All, window },
            _ => Effect::Deduplicated { group: Group::Zone, window },
        }
    }

    /// The rules of the protocol, one after the other, for an attempt that asks at `at_ms` after the attempts
    /// in `begun`: (when, zone, end, never ran).
    fn is_permitted(&self, at_ms: u64, zone: u32, begun: &[(u64, u32, u64, bool)]) -> bool {
        // No attempt begins for a client that has closed its connection.
        if at_ms >= self.closed_ms {
            return false;
        }
        // No attempt begins after the answer or the deadline.
        if at_ms >= self.answered_ms || at_ms >= self.deadline_ms {
            return false;
        }
        // No attempt goes to a server that is known to be draining or removed; none of the grace period is
        // used.
        if at_ms >= self.drained_ms {
            return false;
        }
        // Without hedging, a request never has two attempts in flight at the same time.
        if !self.hedging && begun.iter().any(|(_, _, end, _)| at_ms < *end) {
            return false;
        }
        let might_have_run: Vec<_> =
            begun.iter().filter(|(_, _, end, never_ran)| at_ms < *end || !never_ran).collect();
        match self.effect {
            0 => true,
            // At most once: every earlier attempt has an outcome that proves that it never ran.
            1 => might_have_run.is_empty(),
            // Deduplicated: the server is in the same group, and the window since the earlier attempt is not
            // over.
            effect => might_have_run.iter().all(|(sent, first_zone, _, _)| {
                at_ms < sent + self.window_ms && (effect == 2 || *first_zone == zone)
            }),
        }
    }
}

/// Compares the decision with the rules of the protocol on 20,000 random histories: it permits what they
/// permit, no more and no less.
#[test]
fn an_attempt_may_begin_exactly_when_the_rules_permit_it() {
    let start = Instant::now();
    let instant = |ms: u64| start + Duration::from_millis(ms);
    let config = Config { cases: 20_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let result = TestRunner::new_with_rng(config, rng).run(&history(), |history| {
        let mut begun: Vec<(u64, u32, u64, bool)> = Vec::new();
        for (at_ms, zone, lasts_ms, never_ran) in history.attempts.clone() {
            let earlier: Vec<EarlierAttempt> = begun
                .iter()
                .map(|(began_ms, zone, end_ms, never_ran)| EarlierAttempt {
                    zone: ZoneId(*zone),
                    cell: CellId(0),
                    begun: instant(*began_ms),
                    state: match (at_ms < *end_ms, never_ran) {
                        (true, _) => AttemptState::InFlight,
                        (false, true) => AttemptState::NeverRan,
                        (false, false) => AttemptState::MayHaveRun,
                    },
                })
                .collect();
            let takes_new_work = at_ms < history.drained_ms;
            let asked = attempt(&AttemptFacts {
                now: instant(at_ms),
                answer_pending: at_ms < history.answered_ms,
                client_gone: at_ms >= history.closed_ms,
                deadline: Some(instant(history.deadline_ms)),
                begin_by: None,
                server: ServerFacts { takes_new_work, zone: ZoneId(zone), cell: CellId(0) },
                effect: history.effect(),
                hedging: history.hedging,
                earlier: &earlier,
            });
            // Two attempts that began in different zones have no common first attempt; the rules never let
            // that happen.
            prop_assert_eq!(asked.is_ok(), history.is_permitted(at_ms, zone, &begun), "{:?}", asked);
            if let Ok(permit) = asked {
                prop_assert!(permit.is_valid(instant(at_ms)));
                prop_assert!(!permit.is_valid(instant(at_ms) + PERMIT_VALIDITY));
                prop_assert!(!permit.is_valid(instant(history.deadline_ms)));
                begun.push((at_ms, zone, at_ms + lasts_ms, never_ran));
            }
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn a_probe_permit_is_valid_at_once_and_expires() {
    let now = Instant::now();
    let permit = AttemptPermit::for_probe(now);
    let first_byte = permit.first_byte();
    assert!(
        permit.is_valid(now) && !permit.is_valid(now + PERMIT_VALIDITY) && first_byte.written_at().is_none()
    );
    permit.record_first_byte(now);
    assert_eq!(first_byte.written_at(), Some(now));
}
