use super::*;

#[test]
fn figures_have_three_significant_digits_and_no_more_zeros_than_needed() {
    let cases = [
        (0.0, "0"),
        (-0.0, "0"),
        (4.2, "4.2"),
        (3.0, "3"),
        (0.078_703_7, "0.0787"),
        (0.92, "0.92"),
        (9.996, "10"),
        (999.6, "1,000"),
        (1234.5, "1,230"),
        (218_432.0, "218,000"),
        (-1234.5, "-1,230"),
        (-0.5, "-0.5"),
        (0.000_123_45, "0.000123"),
        (100.0, "100"),
        (99.95, "100"),
        (1e13, "1.00e13"),
        (1e-13, "1.00e-13"),
    ];
    for (number, text) in cases {
        assert_eq!(figure(number).as_deref(), Some(text), "{number}");
    }
}

#[test]
fn counts_are_whole_and_in_full() {
    let cases = [
        (0.0, "0"),
        (-0.3, "0"),
        (999.0, "999"),
        (1600.0, "1,600"),
        (1_953_125.0, "1,953,125"),
        (-1000.0, "-1,000"),
    ];
    for (number, text) in cases {
        assert_eq!(count(number).as_deref(), Some(text), "{number}");
    }
}

#[test]
fn what_is_no_number_has_no_text() {
    for number in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!((figure(number), count(number)), (None, None));
    }
}
