//! A short soak of the agent's own program: a few dozen processes under the faults of one seed, checked
//! against the rules.

use dilljunction_lab::soak::{draw::draw, play};
use dilljunction_lab::standins::hand::program;
use dilljunction_lab::world::agents::Subject;

/// `dilljunction-lab soak` runs longer ones, and other seeds.
#[test]
fn a_short_soak_of_one_seed_breaks_no_rule() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    // With events, why each answer was closed is judged too.
    let events = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/events.toml");
    let subject = Subject::Program(program(), ["--with", events].map(String::from).to_vec());
    let report = runtime.expect("a runtime").block_on(play(draw(1, 8.0), subject)).expect("a run");
    // The checker has already allowed for the time by which the lab itself ran late: any breach left is real.
    assert!(report.passed(), "late: {}; {:#?}", report.outcome.late, report.wrong);
    assert!(report.outcome.verdict.looked_at.0 > 500, "{:?}", report.outcome.verdict.looked_at);
}
