use super::*;

#[test]
fn days_are_counted_over_leap_years_and_centuries() {
    for (days, date) in [
        (0, "1970-01-01"),
        (58, "1970-02-28"),
        (59, "1970-03-01"),
        (789, "1972-02-29"),
        (11_016, "2000-02-29"),
        (20_788, "2026-12-01"),
        (20_818, "2026-12-31"),
        (20_819, "2027-01-01"),
    ] {
        assert_eq!(day(days), date);
    }
}

#[test]
fn the_head_of_a_file_names_build_and_machine() {
    let profile = if cfg!(debug_assertions) { "dev" } else { "release" };
    assert!(build().ends_with(profile), "{}", build());
    assert!(description().contains("cores"), "{}", description());
}
