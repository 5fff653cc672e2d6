//! A word's age, the mean of words, and reports that can't be.

use super::*;

const FIELDS: [ReportField; 4] =
    [ReportField::Rate, ReportField::ServiceTime, ReportField::Errors, ReportField::Queue];

fn at(ms: f64) -> Time {
    Time::from_ms(ms)
}

#[test]
fn a_report_tells_all_that_a_server_holds() {
    let (mut hearsay, mut told) = (Hearsay::default(), Told::default());
    let word = Word::read(&FIELDS, &[50.0, 340.0, 0.0, 5.0]);
    hearsay.hear(at(0.0), &mut told, &word, 2.0, 60.0);
    // 50 a second for 340 ms are 17 there, the 5 that wait among them; 2 are our own.
    assert!((hearsay.others(at(0.0), &told, true) - 15.0).abs() < 1e-9);
    // 340 ms in place of some 60: three work side by side.
    let breadth = hearsay.breadth(&told).expect("told");
    assert!((2.5..3.6).contains(&breadth), "{breadth}");
}

#[test]
fn a_word_ages_towards_the_mean_and_the_mean_towards_nothing() {
    let (mut hearsay, mut busy) = (Hearsay::default(), Told::default());
    let mut random = fastrand::Rng::with_seed(1);
    for n in 0..100 {
        let word = Word { in_flight: Some(10.0 * random.f64()), ..Word::default() };
        hearsay.hear(at(f64::from(n)), &mut Told::default(), &word, 0.0, 60.0);
    }
    let word = Word { in_flight: Some(30.0), ..Word::default() };
    hearsay.hear(at(100.0), &mut busy, &word, 0.0, 60.0);
    let after = |ms: f64| hearsay.others(at(100.0 + ms), &busy, true);
    assert!(after(0.0) > 29.0 && (8.0..20.0).contains(&after(500.0)), "{}", after(500.0));
    assert!(after(10_000.0) < 0.01, "{}", after(10_000.0));
    assert!(hearsay.others(at(100.0), &Told::default(), true) < 9.0);
}

/// What closed agents for good in the lab: odd reports in a row made a server look too narrow for one request.
#[test]
fn no_reports_make_a_server_too_narrow_for_one_request() {
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..1000 {
        let (mut hearsay, mut told) = (Hearsay::default(), Told::default());
        for n in 0..200 {
            let mut figure = || 10f64.powf(12.0 * random.f64() - 6.0);
            let word = Word::read(&FIELDS, &[figure(), figure(), figure(), figure()]);
            hearsay.hear(at(f64::from(n)), &mut told, &word, 3.0, 60.0);
            assert!(hearsay.breadth(&told).is_none_or(|b| b >= BREADTH_LEAST && b.is_finite()));
            assert!((0.0..=2e9).contains(&hearsay.others(at(f64::from(n)), &told, true)));
        }
    }
}

#[test]
fn what_is_no_figure_is_left_out() {
    let word = Word::read(&FIELDS, &[f64::NAN, -3.0, 0.0, f64::INFINITY]);
    assert_eq!(word, Word { service_ms: Some(0.0), ..Word::default() });
    let (mut hearsay, mut told) = (Hearsay::default(), Told::default());
    hearsay.hear(at(0.0), &mut told, &word, 0.0, 60.0);
    assert!(!told.is_fresh(at(0.0), Span(1)) && hearsay.breadth(&told).is_none());
}

/// Where the time is that of the work alone, what waits is not in it.
#[test]
fn what_waits_is_there_whatever_the_time_holds() {
    let (mut hearsay, mut told) = (Hearsay::default(), Told::default());
    let word = Word::read(&FIELDS, &[50.0, 60.0, 0.0, 30.0]);
    hearsay.hear(at(0.0), &mut told, &word, 0.0, 60.0);
    assert!((hearsay.others(at(0.0), &told, true) - 30.0).abs() < 1e-9);
}

/// What kept restarted servers shut in the lab: by the little load that it got a server looked narrow, was sent little for
/// that, and never showed more.
#[test]
fn a_server_that_is_sent_little_does_not_look_narrow_for_that() {
    let (mut hearsay, mut busy, mut fresh) = (Hearsay::default(), Told::default(), Told::default());
    for n in 0..200 {
        let word = Word::read(&FIELDS, &[50.0, 240.0, 0.0, 5.0]);
        hearsay.hear(at(f64::from(n)), &mut busy, &word, 0.0, 60.0);
        let little = Word::read(&FIELDS, &[2.0, 60.0, 0.0, 0.0]);
        hearsay.hear(at(f64::from(n)), &mut fresh, &little, 0.0, 60.0);
    }
    let usual = hearsay.breadth(&Told::default()).unwrap();
    let fresh = hearsay.breadth(&fresh).unwrap();
    assert!((0.7..1.4).contains(&(usual / fresh)), "{fresh} of {usual}");
    // One that takes five times as long for the same is narrow indeed.
    let mut slow = Told::default();
    for n in 0..200 {
        let (now, word) = (at(200.0 + f64::from(n)), Word::read(&FIELDS, &[10.0, 300.0, 0.0, 0.0]));
        hearsay.hear(now, &mut slow, &word, 0.0, 60.0);
        for _ in 0..8 {
            let other = Word::read(&FIELDS, &[50.0, 90.0, 0.0, 0.0]);
            hearsay.hear(now, &mut busy, &other, 0.0, 60.0);
        }
    }
    let (usual, slow) = (hearsay.breadth(&Told::default()).unwrap(), hearsay.breadth(&slow).unwrap());
    assert!(usual / slow > 1.4, "{slow} of {usual}");
}
