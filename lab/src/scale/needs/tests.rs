use super::*;

const ROOM: Room = Room { memory_mb: 24_000.0, descriptors: 20_000 };

#[test]
fn the_target_fits_a_machine_of_24_gb() {
    let needs = Needs::of(1_600, 25).unwrap();
    assert_eq!(needs.check(ROOM), Ok(()), "{needs:?}");
    assert!(needs.processes < 50, "{needs:?}");
}

#[test]
fn what_does_not_fit_is_refused_before_anything_is_started() {
    let needs = Needs::of(1_600, 25).unwrap();
    let small = Room { memory_mb: 4_000.0, ..ROOM };
    assert!(matches!(needs.check(small), Err(NoRoom::Memory { allowed, .. }) if allowed == 2_000.0));
    let few = Room { descriptors: 1_024, ..ROOM };
    let said = needs.check(few).unwrap_err().to_string();
    assert!(said.contains("descriptors are needed") && said.contains("the limit is 1024"), "{said}");
    assert!(matches!(Needs::of(1_600, 400).unwrap().check(ROOM), Err(NoRoom::Processes(_))));
    assert_eq!(Needs::of(3, 1), Err(NoRoom::Members(3)));
    assert_eq!(Needs::of(40, 41), Err(NoRoom::Real { real: 41, members: 40 }));
}
