//! A budget that is earned by some events and spent on others.

/// A balance of points that is earned up to a limit and never overdrawn.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    balance: f64,
}

impl Budget {
    /// A budget with an initial balance.
    pub fn with_balance(balance: f64) -> Budget {
        Budget { balance }
    }

    /// Adds points, up to the limit.
    pub fn earn(&mut self, points: f64, limit: f64) {
        self.balance = (self.balance + points).min(limit);
    }

    /// Whether the balance covers `cost`.
    pub fn can_afford(&self, cost: f64) -> bool {
        self.balance >= cost
    }

    /// Spends `cost` if the balance covers it; returns whether it was spent.
    pub fn try_spend(&mut self, cost: f64) -> bool {
        let affordable = self.can_afford(cost);
        if affordable {
            self.balance -= cost;
        }
        affordable
    }
}
