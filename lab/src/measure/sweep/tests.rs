use super::*;

const CPU: Quantity = Quantity::new("cpu", "ms/s");
const RESIDENT: Quantity = Quantity::new("resident", "MB");

#[tokio::test]
async fn every_size_is_run_in_every_repeat_and_the_held_out_one_stands_apart() {
    let sweep = Sweep::new(&[1.0, 2.0], 4.0, 3, None);
    let mut seen = Vec::new();
    let series = sweep
        .take(&[CPU, RESIDENT], async |repeat, size| {
            seen.push((repeat, size));
            Ok(vec![size * 10.0 + repeat as f64, 1.0 / 3.0])
        })
        .await
        .expect("a full sweep");
    let order = [(0, 1.0), (0, 2.0), (0, 4.0), (1, 1.0), (1, 2.0), (1, 4.0), (2, 1.0), (2, 2.0), (2, 4.0)];
    assert_eq!(seen, order);
    assert_eq!((series[0].key.as_str(), series[0].unit.as_str()), ("cpu", "ms/s"));
    assert_eq!(series[0].fitted[1], Point { size: 2.0, values: vec![20.0, 21.0, 22.0] });
    assert_eq!(series[0].held_out, [Point { size: 4.0, values: vec![40.0, 41.0, 42.0] }]);
    assert_eq!(series[1].fitted[0].values, [0.33333, 0.33333, 0.33333]);
}

#[tokio::test]
async fn a_run_that_fails_or_gives_no_number_ends_the_sweep() {
    let sweep = Sweep::new(&[1.0], 2.0, 1, None);
    let failed = sweep.take(&[CPU], async |_, _| Err("no agent".into())).await;
    assert_eq!(failed.unwrap_err(), "no agent");
    let odd = sweep.take(&[CPU], async |_, _| Ok(vec![f64::NAN])).await.unwrap_err();
    assert!(odd.contains("cpu is NaN at size 1"), "{odd}");
    let few = sweep.take(&[CPU, RESIDENT], async |_, _| Ok(vec![1.0])).await.unwrap_err();
    assert!(few.contains("1 values for 2"), "{few}");
}

#[test]
fn sizes_of_a_caller_take_the_place_of_the_usual_ones() {
    let sweep = Sweep::new(&[1.0, 2.0], 4.0, 3, Some(&[7.0, 8.0, 9.0]));
    assert_eq!((sweep.fitted, sweep.held_out), (vec![7.0, 8.0], vec![9.0]));
}
