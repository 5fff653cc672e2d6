//! The page about a run stands by itself, and tells what was found.

use dilljunction_lab::judge::checker::Rule;
use dilljunction_lab::show::live::verdict;
use dilljunction_lab::show::report::page;
use dilljunction_lab::world::agents::Subject;
use dilljunction_lab::world::broken::Flaw;
use dilljunction_lab::world::run::{run, Outcome};
use dilljunction_lab::world::World;

const WORLD: &str = "about = 'one & <two>'
seconds = 1.2
rate = 60
agents = 2
[[building]]
name = 'a'
servers = 2
[[fault]]
kind = 'slow'
at = 0.3
for = 0.4
servers = ['a-1']
factor = 3
";

fn play(flaw: Flaw) -> Outcome {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let world = World::parse(WORLD, "small").unwrap();
    let mut frames = 0;
    let outcome = runtime.block_on(run(world, Subject::Broken(flaw), |_, _| frames += 1)).unwrap();
    assert_eq!(frames, outcome.frames.len());
    outcome
}

#[test]
fn a_page_stands_by_itself_and_shows_all_pictures() {
    let mut outcome = play(Flaw::None);
    outcome.late = false;
    let page = page(&outcome).unwrap();
    assert_eq!(page.matches("<svg").count(), 6);
    assert!(page.contains("one &amp; &lt;two&gt;") && page.contains("slow a-1 x3"));
    for outside in ["<script", "<link", "src=", "href="] {
        assert!(!page.contains(outside), "{outside}");
    }
    assert_eq!(page.matches(">kept<").count(), Rule::ALL.len());
    assert!(verdict(&outcome).contains("no double effect   kept"));
}

#[test]
fn a_broken_rule_is_told_with_its_evidence() {
    let outcome = play(Flaw::DropsAnswers);
    assert!(!outcome.passed());
    let (page, words) = (page(&outcome).unwrap(), verdict(&outcome));
    assert!(page.contains("class=\"broken\"") && page.contains("no whole answer"));
    assert!(words.contains("one answer         BROKEN") && words.contains("sent to agent"), "{words}");
}

/// What the lab could not do in time is no figure of the agents'.
#[test]
fn a_lab_that_ran_late_gives_no_figure() {
    let mut outcome = play(Flaw::None);
    outcome.late = false;
    assert!(verdict(&outcome).contains("service "));
    outcome.late = true;
    let words = verdict(&outcome);
    assert!(words.contains("ran late") && !words.contains("service "), "{words}");
    let page = page(&outcome).unwrap();
    assert!(!page.contains("Worth answered") && !page.contains("Latency from") && page.contains("ran late"));
}
