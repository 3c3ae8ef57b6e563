//! Retries allowed over all gates together, and each gate's share of them.

use std::{sync::Arc, time::Duration};

use routing::{BudgetConfig, RetryBudget};

/// Share of the retries allowed that gates take without asking each other.
const UNCOORDINATED_SHARE: f64 = 0.5;

/// Retries allowed over all gates together.
#[derive(Clone, Copy, Debug)]
pub struct SharedBudget {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that.
    pub slack: f64,
    /// Time in which they are counted.
    pub window: Duration,
}

impl SharedBudget {
    /// The share of one of `gates` that repeat requests of one service.
    fn share_of(&self, gates: usize) -> BudgetConfig {
        let reserve = (self.slack * UNCOORDINATED_SHARE / gates.max(1) as f64).max(1.0);
        BudgetConfig {
            share: self.ratio * UNCOORDINATED_SHARE,
            reserve,
            max_saved: reserve,
            idle: self.window.div_f64(reserve),
        }
    }
}

/// One gate's budgets; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Budgets {
    shared: SharedBudget,
    /// Of requests, which every gate takes.
    pub(crate) requests: Arc<RetryBudget>,
    /// Of items of batched stages, which few gates collect.
    pub(crate) items: Arc<RetryBudget>,
}

impl Budgets {
    /// Those of a gate that knows no other.
    pub(crate) fn new(shared: SharedBudget) -> Self {
        let alone = shared.share_of(1);
        Self {
            shared,
            requests: Arc::new(RetryBudget::new(alone)),
            items: Arc::new(RetryBudget::new(alone)),
        }
    }

    /// Takes how many gates there are, and how many of them may collect one service's items at a time.
    pub(crate) fn update_shares(&self, gates: usize, collectors: usize) {
        self.requests.configure(self.shared.share_of(gates));
        self.items.configure(self.shared.share_of(collectors));
    }
}

#[cfg(test)]
mod tests;
