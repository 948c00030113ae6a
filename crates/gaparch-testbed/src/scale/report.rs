//! What a run of `gaparch lab scale` found: figures by size, their slopes and their worth at the target.

use super::fit::Fit;
use super::Row;
use serde::Serialize;
use std::fmt;

/// How a figure was got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// Processes of the built program, on loopback sockets, by this machine's clock.
    RealProcesses,
    /// Decision modules with their full state, in virtual time; processor time by this machine's clock.
    HollowRouters,
    /// Clients of a catalogue that only watch, on loopback sockets.
    HollowWatchers,
}

/// What a figure's sizes count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Axis {
    Workers,
    Watches,
}

impl Axis {
    /// Its size in the fleet that is designed for.
    fn target(self) -> usize {
        match self {
            Axis::Workers => super::target::WORKERS,
            Axis::Watches => super::target::ROUTERS,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    pub size: usize,
    pub seed: u64,
    pub value: f64,
}

/// What every point of a figure has to keep, whatever its slope says.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Bound {
    AtMost(f64),
    AtLeast(f64),
}

impl Bound {
    fn holds(self, value: f64) -> bool {
        match self {
            Bound::AtMost(most) => value <= most,
            Bound::AtLeast(least) => value >= least,
        }
    }
}

/// One figure at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    pub row: Row,
    pub name: &'static str,
    pub unit: &'static str,
    pub way: Way,
    pub axis: Axis,
    pub points: Vec<Point>,
    /// What the target allows, where it says so.
    pub budget: Option<f64>,
    pub bound: Option<Bound>,
}

/// A figure with what follows from it.
#[derive(Clone, Debug, Serialize)]
pub struct Found {
    #[serde(flatten)]
    pub figure: Figure,
    pub fit: Option<Fit>,
    /// By the fit; `None` of too few sizes.
    pub at_target: Option<f64>,
    /// Of the budget, so many times as much at the target; over 1 it is broken.
    pub factor: Option<f64>,
    /// The size from which on the budget is broken, by the fit.
    pub breaks_at: Option<u64>,
}

impl Figure {
    /// One by workers, without points yet.
    pub fn new(row: Row, name: &'static str, unit: &'static str, way: Way, budget: Option<f64>) -> Figure {
        let points = Vec::new();
        Figure { row, name, unit, way, axis: Axis::Workers, points, budget, bound: None }
    }

    /// The point that is furthest beyond the bound, in words.
    pub fn short(&self) -> Option<String> {
        let bound = self.bound?;
        let broken = self.points.iter().filter(|point| !bound.holds(point.value));
        let worst = broken.max_by(|a, b| a.value.abs().total_cmp(&b.value.abs()))?;
        let Point { size, value, .. } = worst;
        Some(format!("{}: {}: {value:.3} at {size}, wanted {bound:?}", self.row, self.name))
    }

    pub fn found(self) -> Found {
        let points: Vec<(f64, f64)> = self.points.iter().map(|p| (p.size as f64, p.value)).collect();
        let fit = Fit::of(&points);
        let at_target = fit.map(|fit| fit.at(self.axis.target() as f64));
        let factor = at_target.zip(self.budget).map(|(worth, budget)| worth / budget);
        let breaks_at = fit.zip(self.budget).and_then(|(fit, budget)| first_over(&fit, budget));
        Found { figure: self, fit, at_target, factor, breaks_at }
    }
}

/// The first size at which a growing cost is over its budget; `None` below ten times the largest target.
fn first_over(fit: &Fit, budget: f64) -> Option<u64> {
    const MOST: u64 = 100_000;
    if fit.at(MOST as f64) <= budget {
        return None;
    }
    let (mut low, mut high) = (0, MOST);
    while low + 1 < high {
        let middle = (low + high) / 2;
        if fit.at(middle as f64) > budget {
            high = middle;
        } else {
            low = middle;
        }
    }
    Some(high)
}

/// All that a run found.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    pub seed: u64,
    pub quick: bool,
    pub cores: usize,
    pub took_s: f64,
    pub found: Vec<Found>,
    /// What fell short of what a run itself checks.
    pub short: Vec<String>,
}

impl ScaleReport {
    /// # Errors
    /// Never of its own types; whatever the serializer says.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }
}

impl fmt::Display for ScaleReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Found { figure, fit, at_target, factor, .. } in &self.found {
            write!(f, "{:<11} {:<44}", figure.row.to_string(), figure.name)?;
            for (size, value) in by_size(&figure.points) {
                write!(f, "  {size}: {value:.4}")?;
            }
            write!(f, " {}", figure.unit)?;
            if let (Some(fit), Some(worth)) = (fit, at_target) {
                write!(f, "; grows with {} (off {:.0} %)", fit.growth.name(), fit.residual * 100.0)?;
                write!(f, "; at the target {worth:.4}")?;
            }
            if let (Some(factor), Some(budget)) = (factor, figure.budget) {
                write!(f, " of {budget} allowed, {factor:.2} times")?;
            }
            writeln!(f)?;
        }
        for short in &self.short {
            writeln!(f, "SHORT: {short}")?;
        }
        write!(f, "scale: {} figures in {:.0} s, seed {}", self.found.len(), self.took_s, self.seed)
    }
}

/// The mean of each size.
pub fn by_size(points: &[Point]) -> Vec<(usize, f64)> {
    let mut sizes: Vec<usize> = points.iter().map(|p| p.size).collect();
    sizes.sort_unstable();
    sizes.dedup();
    let mean = |size: usize| {
        let of: Vec<f64> = points.iter().filter(|p| p.size == size).map(|p| p.value).collect();
        (size, of.iter().sum::<f64>() / of.len() as f64)
    };
    sizes.into_iter().map(mean).collect()
}
