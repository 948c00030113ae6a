//! A budget that its owner earns with some events and spends on others.

/// Points that are earned up to a limit and spent only while there are enough.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    points: f64,
}

impl Budget {
    /// A budget that starts with so many points.
    pub fn with_balance(points: f64) -> Budget {
        Budget { points }
    }

    /// Adds points, up to the limit.
    pub fn earn(&mut self, points: f64, limit: f64) {
        self.points = (self.points + points).min(limit);
    }

    /// Whether there are as many points as that costs.
    pub fn can_afford(&self, cost: f64) -> bool {
        self.points >= cost
    }

    /// Pays the cost if there are enough points; whether it was paid.
    pub fn try_spend(&mut self, cost: f64) -> bool {
        let affordable = self.can_afford(cost);
        if affordable {
            self.points -= cost;
        }
        affordable
    }
}
