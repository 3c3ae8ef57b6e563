//! Retries allowed over all gates together, and each gate's share of them.

use std::{sync::Arc, time::Duration};

use routing::{RetryBudget, RetryBudgetConfig};

/// Share of the retries allowed that gates take without asking each other.
const SHARE: f64 = 0.5;

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
    /// The share of one of `spenders` that repeat requests of one service.
    fn share_of(&self, spenders: usize) -> RetryBudgetConfig {
        let reserve = (self.slack * SHARE / spenders.max(1) as f64).max(1.0);
        RetryBudgetConfig {
            ratio: self.ratio * SHARE,
            reserve,
            max_balance: reserve,
            refill_interval: self.window.div_f64(reserve),
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
    pub(crate) fn divide(&self, gates: usize, collectors: usize) {
        self.requests.configure(self.shared.share_of(gates));
        self.items.configure(self.shared.share_of(collectors));
    }
}

#[cfg(test)]
mod tests;
