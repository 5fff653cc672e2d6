use super::*;

#[test]
fn days_are_those_of_the_calendar() {
    for (days, date) in [
        (0, (1970, 1, 1)),
        (31 + 28, (1970, 3, 1)),
        (11_016, (2000, 2, 29)),
        (19_782, (2024, 2, 29)),
        (19_783, (2024, 3, 1)),
        (20_088, (2024, 12, 31)),
    ] {
        assert_eq!(civil(days), date);
    }
}
