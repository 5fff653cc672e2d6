use super::*;

/// STANDING: "for 6 s a zone is partitioned"; the site files: cuts of up to 20 s; PROTOCOL: a watch is held for 60 s
/// at most.
#[test]
fn no_silence_that_the_pages_name_ends_a_connection_that_nobody_needs() {
    for named_s in [5, 6, 20, 60] {
        assert!(silence_max(Need::None) > Duration::from_secs(named_s));
    }
    assert!(silence_max(Need::Others) < silence_max(Need::None));
}
