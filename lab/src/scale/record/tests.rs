use super::*;
use crate::scale::measure::Used;
use crate::scale::share::Share;

fn window(members: f64) -> Window {
    let used = Used { agents: 1, cpu_ms: 2.0 + members / 100.0, packets_out: 10.0, ..Used::default() };
    Window { seconds: 10.0, real: used, hollow: used, rig: Share::default() }
}

fn measured() -> Measurement {
    let text = r#"{"name":"scale","about":"x","command":"x","build":"x","machine":"x","date":"x","driver":"members","series":[]}"#;
    let mut measurement = serde_json::from_str(text).unwrap();
    for size in [100, 200, 400, 800] {
        add(&mut measurement, size, &[window(size as f64); 3], false);
    }
    measurement
}

#[test]
fn a_size_is_predicted_from_those_that_are_fitted_and_judged_by_a_quarter() {
    let mut measurement = measured();
    // Far from the line: it must not be heard.
    add(&mut measurement, 1_600, &[window(90_000.0)], true);
    let of = |cpu: f64| {
        let found = predictions(&measurement, 1_600, &[window((cpu - 2.0) * 100.0)]).unwrap();
        found.into_iter().find(|p| p.key == "real-cpu").unwrap()
    };
    assert!((of(18.0).predicted - 18.0).abs() < 1e-6);
    assert!(of(18.0).holds() && of(22.4).holds() && of(13.6).holds());
    assert!(!of(22.6).holds() && !of(13.4).holds());
    assert!(!Prediction { measured: f64::NAN, ..of(18.0) }.holds(), "nothing was measured");
}

#[test]
fn a_size_that_is_measured_again_stands_once() {
    let mut measurement = measured();
    add(&mut measurement, 400, &[window(1.0)], false);
    add(&mut measurement, 800, &[window(1.0)], true);
    let series = &measurement.series[0];
    let sizes: Vec<(f64, usize)> =
        series.fitted.iter().map(|point| (point.size, point.values.len())).collect();
    assert_eq!(sizes, [(100.0, 3), (200.0, 3), (400.0, 1)]);
    assert_eq!(series.held_out.len(), 1);
}

#[test]
fn too_few_sizes_predict_nothing() {
    let mut measurement = measured();
    measurement.series.iter_mut().for_each(|series| series.fitted.truncate(1));
    assert!(predictions(&measurement, 1_600, &[window(1.0)]).is_err());
}
