use super::*;

#[test]
fn a_sound_tier_makes_about_one_attempt_for_a_call_and_a_troubled_one_more_within_the_settings() {
    let sound = attempts_per_call(Trouble::Gone, 0.0, 1, 2.0).expect("a run");
    let gone = attempts_per_call(Trouble::Gone, 50.0, 1, 2.0).expect("a run");
    let hung = attempts_per_call(Trouble::Hung, 50.0, 1, 2.0).expect("a run");
    let slow = attempts_per_call(Trouble::Slow, 50.0, 1, 2.0).expect("a run");
    let most = f64::from(max_attempts().expect("stated"));
    assert!((0.9..1.2).contains(&sound), "{sound}");
    assert!(gone > sound && gone <= most, "{sound} {gone} {most}");
    assert!(slow > sound && slow <= most, "{sound} {slow} {most}");
    assert!(hung > sound && hung <= most, "{sound} {hung} {most}");
    assert_eq!(gone, attempts_per_call(Trouble::Gone, 50.0, 1, 2.0).expect("a run"), "a seed gives the same");
}

#[test]
fn the_share_in_trouble_is_a_share_of_the_servers() {
    let faults = |percent| world(Trouble::Slow, percent, 1, 1.0).expect("a world").fault;
    assert!(faults(0.0).is_empty());
    assert_eq!(faults(30.0)[0].servers.len(), 6);
    assert_eq!(faults(30.0)[0].factor, Some(SLOWER));
}
