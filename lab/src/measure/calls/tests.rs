use super::*;
use hdrhistogram::Histogram;

fn run_of(calls: u64, failed: u64, late_ms: u64) -> Run {
    let mut agent = Histogram::new(3).expect("a histogram");
    (0..calls).for_each(|_| agent.record(500_000).expect("in range"));
    let mut late = Histogram::new(3).expect("a histogram");
    late.record(late_ms * 1_000_000).expect("in range");
    let latencies = Latencies { direct: agent.clone(), agent, failed, late };
    let before = Reading { cpu_ns: 1_000_000, waits: 0, resident_kib: 0 };
    let after = Reading { cpu_ns: 101_000_000, waits: 0, resident_kib: 0 };
    Run { latencies, before, after, seconds: 10.0 }
}

#[test]
fn cpu_is_shared_by_the_calls_through_the_agent() {
    let per_call = run_of(1000, 0, 1).cpu_per_call_us();
    assert!((per_call - 100.0).abs() < 1e-6, "100 ms for 1000 calls: {per_call}");
}

#[test]
fn runs_with_failed_calls_or_on_a_busy_machine_are_void() {
    assert_eq!(run_of(1000, 2, 1).fault(), None);
    let failed = run_of(1000, 3, 1).fault().expect("void");
    assert!(failed.contains("3 of 2003"), "{failed}");
    assert!(run_of(1000, 0, 30).fault().expect("void").contains("busy"));
}

#[tokio::test]
async fn a_void_run_is_taken_again_and_told_and_too_many_fail() {
    let setup = |voids| Setup {
        program: "x".into(),
        folder: "x".into(),
        repeats: 1,
        seconds: None,
        sizes: None,
        tell: false,
        voids,
    };
    let (voids, mut late) = (Voids::default(), [30, 1].into_iter());
    let run = voids.take(&setup(true), async || Ok(run_of(1000, 0, late.next().expect("two runs")))).await;
    assert!(run.is_ok() && voids.note().expect("a note").starts_with("1 runs were void"));
    let run = voids.take(&setup(true), async || Ok(run_of(1000, 0, 30))).await;
    assert!(run.err().expect("void").contains("in a row"));
    let run = Voids::default().take(&setup(false), async || Ok(run_of(1000, 0, 30))).await;
    assert!(run.is_ok(), "it stands where nobody asks");
}
