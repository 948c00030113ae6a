//! Fits of known growths.

use super::*;

const SIZES: [f64; 5] = [100.0, 400.0, 1_000.0, 4_000.0, 10_000.0];

fn fitted(of: impl Fn(f64) -> f64) -> Fit {
    let points: Vec<(f64, f64)> = SIZES.iter().map(|size| (*size, of(*size))).collect();
    Fit::of(&points).expect("enough sizes")
}

#[test]
fn each_growth_is_found_and_told_at_the_target() {
    type Cost = fn(f64) -> f64;
    let cases: [(Growth, Cost); 5] = [
        (Growth::Constant, |_| 7.0),
        (Growth::Logarithmic, |n| 1.0 + 5.0 * n.ln()),
        (Growth::Linear, |n| 3.0 + 2.0 * n),
        (Growth::Linearithmic, |n| 0.5 * n * n.ln()),
        (Growth::Quadratic, |n| 1.0 + n * n),
    ];
    for (growth, of) in cases {
        let fit = fitted(of);
        assert_eq!(fit.growth, growth, "{fit:?}");
        assert!((fit.at(20_000.0) / of(20_000.0) - 1.0).abs() < 0.02, "{fit:?}");
    }
}

#[test]
fn noise_does_not_make_a_line_a_parabola() {
    let noisy = |n: f64| (10.0 + 2.0 * n) * if n > 500.0 { 1.08 } else { 0.93 };
    assert!(matches!(fitted(noisy).growth, Growth::Linear | Growth::Linearithmic));
}

/// Figures that differ by chance alone have no slope that could be followed to the target.
#[test]
fn a_figure_that_stays_within_chance_does_not_grow() {
    let fit = Fit::of(&[(100.0, 1.85), (200.0, 1.88), (400.0, 1.84), (800.0, 2.14)]).expect("enough sizes");
    assert_eq!(fit.growth, Growth::Constant, "{fit:?}");
}

#[test]
fn fewer_than_four_sizes_give_no_slope() {
    assert_eq!(Fit::of(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0), (3.0, 3.1)]), None);
}
