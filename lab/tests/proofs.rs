//! The judge is proved on agents that break a rule on purpose: each is found, by the right rule, and the same forwarder
//! without its flaw passes the same world.

use dilljunction_lab::judge::checker::Rule;
use dilljunction_lab::world::agents::Subject;
use dilljunction_lab::world::broken::Flaw;
use dilljunction_lab::world::proofs::PROOFS;
use dilljunction_lab::world::run::{run_on_time, Outcome};
use std::sync::{Mutex, PoisonError};

async fn play(flaw: Flaw, n: usize) -> Outcome {
    run_on_time(PROOFS[n].world(), Subject::Broken(flaw), 4).await.unwrap()
}

/// One proof at a time: a busy machine makes the judge milder.
static ALONE: Mutex<()> = Mutex::new(());

fn prove(n: usize) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let (flaw, rule) = (PROOFS[n].flaw, PROOFS[n].rule);
    let (broken, sound) = runtime.block_on(async { tokio::join!(play(flaw, n), play(Flaw::None, n)) });
    assert!(sound.verdict.kept(), "the control is accused: {:#?}", sound.verdict.breaches);
    assert!(sound.evidence.tries.len() > 20, "too little was played to prove anything");
    assert!(broken.verdict.count(rule) > 0, "{flaw:?} is not found: {:?}", broken.verdict.counts);
    let others: Vec<Rule> = broken.verdict.counts.keys().copied().filter(|r| *r != rule).collect();
    assert!(others.is_empty(), "{flaw:?} is also accused of {others:?}: {:#?}", broken.verdict.breaches);
    let breach = &broken.verdict.breaches[0];
    assert!(!breach.subject.is_empty() && breach.evidence.contains(" s"), "{breach:?}");
}

#[test]
fn an_agent_that_answers_twice_is_found() {
    prove(0);
}

#[test]
fn an_agent_that_drops_answers_is_found() {
    prove(1);
}

#[test]
fn an_agent_that_repeats_an_unsafe_request_after_a_reset_is_found() {
    prove(2);
}

#[test]
fn an_agent_that_repeats_a_keyed_request_outside_its_building_is_found() {
    prove(3);
}

#[test]
fn an_agent_that_repeats_a_keyed_request_after_its_window_is_found() {
    prove(4);
}

#[test]
fn an_agent_that_refuses_what_may_have_run_is_found() {
    prove(5);
}

#[test]
fn an_agent_that_goes_on_sending_past_the_drains_grace_is_found() {
    prove(6);
}

#[test]
fn an_agent_that_pushes_a_cold_server_over_is_found() {
    prove(7);
}

#[test]
fn an_agent_that_holds_refusals_back_is_found() {
    prove(8);
}
