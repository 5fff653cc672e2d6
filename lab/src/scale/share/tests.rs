use super::*;

const SOUND: Share = Share {
    lab_cores: 0.8,
    lab_threads: 4,
    late_ms: 12.0,
    host_late_ms: 30.0,
    carried: 100_000,
    dropped: 3,
    idle: 0.4,
};

#[test]
fn each_bottleneck_is_named_and_a_sound_rig_has_none() {
    let bounds = Bounds::default();
    assert_eq!(SOUND.bottleneck(&bounds), None);
    for (share, word) in [
        (Share { lab_cores: 3.5, ..SOUND }, "threads busy"),
        (Share { late_ms: 400.0, ..SOUND }, "timer of the lab was 400 ms"),
        (Share { host_late_ms: 201.0, ..SOUND }, "hollow agents was 201 ms"),
        (Share { dropped: 500, ..SOUND }, "500 of 100000 datagrams"),
        (Share { idle: 0.01, ..SOUND }, "1.0% idle"),
    ] {
        let said = share.bottleneck(&bounds).unwrap_or_else(|| panic!("{word}: counts"));
        assert!(said.contains(word), "{said}");
        assert!(SOUND.with(&share).bottleneck(&bounds).is_some(), "{word}: hidden by a sound stretch");
    }
}
