use super::super::fixture::{measurement, measurements};
use super::*;

fn refused(change: impl FnOnce(&mut Measurement)) -> String {
    let mut changed = measurement("idle");
    change(&mut changed);
    Measurements::default().add(changed).expect_err("refused").to_string()
}

#[test]
fn what_is_asked_for_and_not_there_is_named() {
    let all = measurements();
    assert_eq!(all.median("busy", "cpu", 1.0).expect_err("none").to_string(), "no measurement `busy`");
    let series = all.curve("idle", "memory").expect_err("none").to_string();
    assert_eq!(series, "idle: no series `memory`; it has cpu, list");
    let size = all.median("idle", "cpu", 300.0).expect_err("none").to_string();
    assert_eq!(size, "idle: cpu: not measured at 300");
}

#[test]
fn the_median_is_of_one_size_fitted_or_held_out() {
    let all = measurements();
    assert_eq!(all.median("idle", "cpu", 100.0), Ok(3.2));
    assert_eq!(all.median("idle", "cpu", 1600.0), Ok(6.2));
    assert_eq!(median(&[4.0, 1.0, 3.0, 2.0]), 2.5);
}

#[test]
fn held_out_sizes_change_no_curve() {
    let mut changed = measurement("idle");
    changed.series[0].held_out[0].values = vec![1e6];
    let mut all = Measurements::default();
    all.add(changed).expect("usable");
    assert_eq!(all.curve("idle", "cpu"), measurements().curve("idle", "cpu"));
}

#[test]
fn unusable_measurements_are_refused_with_name_and_place() {
    assert_eq!(refused(|m| m.build = " ".into()), "idle: build is empty");
    assert_eq!(refused(|m| m.date.clear()), "idle: date is empty");
    assert_eq!(refused(|m| m.series.clear()), "idle: series is empty");
    assert_eq!(refused(|m| m.series[0].unit.clear()), "idle: unit is empty");
    assert_eq!(refused(|m| m.series[1].key = "cpu".into()), "idle: the series `cpu` stands twice");
    let twice = refused(|m| m.series[0].held_out[0].size = 400.0);
    assert_eq!(twice, "idle: cpu: size 400 stands twice; a held-out size is never fitted");
    for break_it in
        [|point: &mut Point| point.values.clear(), |point: &mut Point| point.values.push(f64::NAN)]
    {
        let reason = refused(|m| break_it(&mut m.series[1].fitted[2]));
        assert_eq!(reason, "idle: list: size 400 has no values, or one that is no finite number");
    }
}

#[test]
fn what_a_slope_lacks_is_said_and_refuses_nothing() {
    let mut short = measurement("idle");
    assert!(shortfalls(&short).is_empty());
    short.series[0].fitted.truncate(3);
    short.series[0].held_out.clear();
    short.series[1].fitted[0].values.truncate(2);
    let lacks = ["cpu: 3 fitted sizes", "cpu: no held-out size", "list: 2 repeats at a fitted size"];
    assert_eq!(shortfalls(&short), lacks);
    Measurements::default().add(short).expect("usable all the same");
}

#[test]
fn no_more_than_a_bounded_number_is_taken_in() {
    let mut all = Measurements::default();
    for number in 0..FILES_MOST {
        all.add(measurement(&format!("idle-{number}"))).expect("usable");
    }
    assert_eq!(all.add(measurement("one-more")), Err(MeasurementError::TooMany));
}
