//! Retry budgets shared by all gates, and the share of each gate.

use std::{sync::Arc, time::Duration};

use routing::{RetryBudget, RetryBudgetConfig};

/// Fraction of the allowed retries that gates spend without coordinating with each other.
const UNCOORDINATED_SHARE: f64 = 0.5;

/// Retry budget shared by all gates.
#[derive(Clone, Copy, Debug)]
pub struct SharedBudget {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Retries allowed in addition to the ratio.
    pub slack: f64,
    /// Period over which the slack is replenished.
    pub window: Duration,
}

impl SharedBudget {
    /// The budget of one gate when `gates` gates retry requests of one service.
    fn share_of(&self, gates: usize) -> RetryBudgetConfig {
        let reserve = (self.slack * UNCOORDINATED_SHARE / gates.max(1) as f64).max(1.0);
        RetryBudgetConfig {
            ratio: self.ratio * UNCOORDINATED_SHARE,
            reserve,
            max_balance: reserve,
            refill_interval: self.window.div_f64(reserve),
        }
    }
}

/// The retry budgets of one gate. Clones share state.
#[derive(Clone, Debug)]
pub(crate) struct Budgets {
    shared: SharedBudget,
    /// Budget for requests, which every gate accepts.
    pub(crate) requests: Arc<RetryBudget>,
    /// Budget for items of batched stages, which only a few gates collect.
    pub(crate) items: Arc<RetryBudget>,
}

impl Budgets {
    /// Creates the budgets of a gate that knows no other gates.
    pub(crate) fn new(shared: SharedBudget) -> Self {
        let alone = shared.share_of(1);
        Self {
            shared,
            requests: Arc::new(RetryBudget::new(alone)),
            items: Arc::new(RetryBudget::new(alone)),
        }
    }

    /// Adjusts the budgets to the number of gates and of gates that collect items of one service at
    /// the same time.
    pub(crate) fn update_shares(&self, gates: usize, collectors: usize) {
        self.requests.configure(self.shared.share_of(gates));
        self.items.configure(self.shared.share_of(collectors));
    }
}

#[cfg(test)]
mod tests;
