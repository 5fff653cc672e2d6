use super::*;

/// A quantity as a function of its driver.
type Value = fn(f64) -> f64;

/// Three repeats at each size, the second and third a little off on both sides.
fn points(sizes: &[f64], noise: f64, value: impl Fn(f64) -> f64) -> Vec<Point> {
    let repeats = |size: f64| vec![value(size), value(size) - noise, value(size) + noise];
    sizes.iter().map(|size| Point { size: *size, values: repeats(*size) }).collect()
}

const SIZES: [f64; 4] = [100.0, 200.0, 400.0, 800.0];

fn close(a: f64, b: f64) {
    assert!((a - b).abs() <= 1e-6 * (1.0 + b.abs()), "{a} is not {b}");
}

#[test]
fn a_line_gives_back_its_intercept_and_slope_and_the_residuals_of_all_repeats() {
    let fit = line(&points(&SIZES, 0.5, |size| 3.0 + 0.25 * size)).expect("fits");
    close(fit.intercept, 3.0);
    close(fit.slope, 0.25);
    close(fit.at(1600.0), 403.0);
    // Two of three repeats are off by 0.5: 8 squares of 0.25 over 12 - 2.
    close(fit.spread, 0.2f64.sqrt());
    assert!(fit.is_line() && fit.r_squared < 1.0, "{fit:?}");
}

#[test]
fn each_value_counts_by_itself_and_not_each_size() {
    let uneven = [
        Point { size: 0.0, values: vec![0.0, 0.0, 0.0, 0.0] },
        Point { size: 1.0, values: vec![1.0] },
        Point { size: 2.0, values: vec![8.0] },
    ];
    // By hand: means 0.5 and 1.5, sum of products 12.5, of squares 3.5.
    let fit = line(&uneven).expect("fits");
    close(fit.slope, 12.5 / 3.5);
    close(fit.intercept, 1.5 - 0.5 * 12.5 / 3.5);
}

#[test]
fn a_curve_is_not_called_a_line_and_its_shape_is_found() {
    let cases: [(Shape, Value); 3] = [
        (Shape::Logarithm, |size| 1.0 + 2.0 * size.ln()),
        (Shape::Root, |size| 5.0 + 3.0 * size.sqrt()),
        (Shape::Square, |size| 2.0 + 0.001 * size * size),
    ];
    for (shape, value) in cases {
        let points = points(&SIZES, 0.01, value);
        assert!(!line(&points).expect("fits").is_line(), "{shape:?}");
        let found = curve(&points).expect("fits");
        assert_eq!(found.shape, shape);
        assert!(found.fits());
        assert!((found.at(1600.0) / value(1600.0) - 1.0).abs() < 0.01, "{found:?}");
    }
}

#[test]
fn a_line_stays_a_line_where_another_shape_is_hardly_better() {
    let line = points(&SIZES, 0.1, |size| 1.0 + 0.01 * size);
    assert_eq!(curve(&line).expect("fits").shape, Shape::Line);
    // A zigzag: no shape explains it, and the result says so.
    let zigzag = points(&SIZES, 0.1, |size| if size == 200.0 || size == 800.0 { 10.0 } else { 20.0 });
    let found = curve(&zigzag).expect("fits");
    assert_eq!((found.shape, found.fits()), (Shape::Line, false));
}

#[test]
fn values_that_do_not_depend_on_the_driver_are_a_line() {
    let constant = line(&points(&SIZES, 0.0, |_| 7.5)).expect("fits");
    assert_eq!(
        (constant.intercept, constant.slope, constant.r_squared, constant.spread),
        (7.5, 0.0, 1.0, 0.0)
    );
    let zero = line(&points(&SIZES, 0.0, |_| 0.0)).expect("fits");
    assert!(zero.is_line() && zero.at(1600.0) == 0.0, "{zero:?}");
    // Repeats differ more than the sizes do: r² is near 0, and still no other curve is better.
    let noise = line(&points(&SIZES, 5.0, |_| 10.0)).expect("fits");
    assert!(noise.r_squared < 0.1 && noise.is_line(), "{noise:?}");
    close(noise.repeat_spread, 5.0);
    // One step of a coarse counter, the same in each repeat.
    let step = line(&points(&SIZES, 0.0, |size| if size == 200.0 { 10.1 } else { 10.0 })).expect("fits");
    assert!(step.r_squared < LINE_R_SQUARED && step.is_line(), "{step:?}");
}

#[test]
fn a_size_of_zero_keeps_the_logarithm_out_and_nothing_else() {
    let found = curve(&points(&[0.0, 10.0, 20.0, 40.0], 0.0, |size| size * size)).expect("fits");
    assert_eq!(found.shape, Shape::Square);
}

#[test]
fn degenerate_points_are_typed_errors() {
    let point = |size, values: &[f64]| Point { size, values: values.to_vec() };
    assert_eq!(line(&[]), Err(FitError::TooFewValues { have: 0 }));
    assert_eq!(line(&[point(1.0, &[]), point(2.0, &[])]), Err(FitError::TooFewValues { have: 0 }));
    assert_eq!(line(&[point(1.0, &[1.0]), point(2.0, &[2.0])]), Err(FitError::TooFewValues { have: 2 }));
    assert_eq!(line(&[point(5.0, &[1.0, 2.0, 3.0])]), Err(FitError::OneSize { size: 5.0 }));
    for bad in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        let value = [point(1.0, &[1.0, 2.0]), point(2.0, &[bad])];
        assert_eq!(line(&value), Err(FitError::NotFinite { size: 2.0 }));
        let size = [point(1.0, &[1.0, 2.0]), point(bad, &[1.0])];
        assert!(matches!(line(&size), Err(FitError::NotFinite { .. })));
        assert!(curve(&value).is_err() && curve(&size).is_err());
    }
}

#[test]
fn numbers_at_the_edge_of_the_type_give_an_error_or_finite_results() {
    for size in [1e-300, 1.0, 1e150, 1e300] {
        for value in [1e-300, 1.0, 1e150, 1e300] {
            let points =
                points(&[size, 2.0 * size, 4.0 * size, 8.0 * size], value * 0.1, |s| value * (s / size));
            for fit in [line(&points), curve(&points).map(|curve| curve.line)].into_iter().flatten() {
                assert!(is_finite(&fit), "{size} {value} {fit:?}");
            }
        }
    }
}
