//! The slope of a cost, fitted to figures at several sizes.

use serde::Serialize;

/// Sizes that a slope has to be fitted to at least.
pub const LEAST_SIZES: usize = 4;

/// How a cost grows with the size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Growth {
    #[serde(rename = "1")]
    Constant,
    #[serde(rename = "log n")]
    Logarithmic,
    #[serde(rename = "n")]
    Linear,
    #[serde(rename = "n log n")]
    Linearithmic,
    #[serde(rename = "n^2")]
    Quadratic,
}

impl Growth {
    const ALL: [Growth; 5] =
        [Growth::Constant, Growth::Logarithmic, Growth::Linear, Growth::Linearithmic, Growth::Quadratic];

    fn of(self, size: f64) -> f64 {
        let size = size.max(1.0);
        match self {
            Growth::Constant => 0.0,
            Growth::Logarithmic => size.ln(),
            Growth::Linear => size,
            Growth::Linearithmic => size * size.ln(),
            Growth::Quadratic => size * size,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Growth::Constant => "1",
            Growth::Logarithmic => "log n",
            Growth::Linear => "n",
            Growth::Linearithmic => "n log n",
            Growth::Quadratic => "n^2",
        }
    }
}

/// `base + per_unit * growth(size)`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    pub growth: Growth,
    pub base: f64,
    pub per_unit: f64,
    /// Root of the mean square of what single figures are off, relative to each.
    pub residual: f64,
}

impl Fit {
    /// The simplest growth whose residual is the least, or close to it. `None` of too few sizes.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        let mut sizes: Vec<u64> = points.iter().map(|(size, _)| size.to_bits()).collect();
        sizes.sort_unstable();
        sizes.dedup();
        if sizes.len() < LEAST_SIZES {
            return None;
        }
        let fits: Vec<Fit> = Growth::ALL.iter().map(|growth| least_squares(*growth, points)).collect();
        let least = fits.iter().map(|fit| fit.residual).fold(f64::INFINITY, f64::min);
        // A more complicated growth has to explain clearly more.
        const CLEARLY: f64 = 1.25;
        // What chance does to a figure of one run: less than that is no growth.
        const CHANCE: f64 = 0.06;
        fits.into_iter().find(|fit| fit.residual <= (least * CLEARLY).max(CHANCE))
    }

    pub fn at(&self, size: f64) -> f64 {
        self.base + self.per_unit * self.growth.of(size)
    }
}

/// Least squares of the relative error, so that small sizes count as much as large ones.
fn least_squares(growth: Growth, points: &[(f64, f64)]) -> Fit {
    let (mut weights, mut x_sum, mut y_sum, mut xx_sum, mut xy_sum) = (0.0, 0.0, 0.0, 0.0, 0.0);
    for (size, value) in points {
        let weight = value.abs().max(f64::MIN_POSITIVE).powi(-2).min(1e18);
        let x = growth.of(*size);
        weights += weight;
        x_sum += weight * x;
        y_sum += weight * value;
        xx_sum += weight * x * x;
        xy_sum += weight * x * value;
    }
    let spread = weights * xx_sum - x_sum * x_sum;
    let flat = growth == Growth::Constant || spread.abs() < 1e-12 * weights * xx_sum;
    let per_unit = if flat { 0.0 } else { (weights * xy_sum - x_sum * y_sum) / spread };
    let base = (y_sum - per_unit * x_sum) / weights;
    let mut fit = Fit { growth, base, per_unit, residual: 0.0 };
    let off = |(size, value): &(f64, f64)| ((fit.at(*size) - value) / value.abs().max(1e-9)).powi(2);
    fit.residual = (points.iter().map(off).sum::<f64>() / points.len() as f64).sqrt();
    fit
}

#[cfg(test)]
#[path = "fit_tests.rs"]
mod tests;
