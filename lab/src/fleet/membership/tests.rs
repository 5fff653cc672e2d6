use super::*;

fn campaign(threads: usize) -> Campaign {
    Campaign {
        fitted: vec![3, 4, 5],
        held_out: vec![6],
        fitted_seeds: 2,
        held_out_seeds: 1,
        first_seed: 7,
        threads,
        command: "the command".into(),
    }
}

/// The values of a series, fitted and kept out.
fn values(measurement: &Measurement, key: &str) -> Vec<Vec<f64>> {
    let series = measurement.series.iter().find(|series| series.key == key).expect("the series");
    series.fitted.iter().chain(&series.held_out).map(|point| point.values.clone()).collect()
}

#[test]
fn every_size_has_its_seeds_and_virtual_time_gives_the_same_in_any_order() {
    let told = Mutex::new(Vec::new());
    let one = campaign(1).measure(|timed| told.lock().unwrap().push((timed.size, timed.seed))).unwrap();
    assert_eq!(*told.lock().unwrap(), [(6, 7), (5, 7), (5, 8), (4, 7), (4, 8), (3, 7), (3, 8)]);
    let three = campaign(3).measure(|_| {}).unwrap();
    for key in ["all-start", "crash-known", "heal", "bytes-out", "packets-out"] {
        assert_eq!(values(&one, key), values(&three, key), "{key}");
        let counts: Vec<usize> = values(&one, key).iter().map(Vec::len).collect();
        assert_eq!(counts, [2, 2, 2, 1], "{key}");
    }
    assert!(values(&one, "crash-known").concat().iter().all(|took| *took > 1.0));
    assert_eq!(
        (one.name.as_str(), one.command.as_str(), one.driver.as_str()),
        (NAME, "the command", "members")
    );
}

#[test]
fn a_run_that_never_settled_is_no_figure() {
    let mut never = timed(3, 1);
    never.run.took[HEALED] = f64::INFINITY;
    let error = campaign(1).measurement(&[never]).unwrap_err();
    assert_eq!(error, "3 members, seed 1: not all has settled");
}
