use std::time::Duration;

use super::{Budgets, SharedBudget};

const SHARED: SharedBudget = SharedBudget {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};

fn spendable(budget: &routing::RetryBudget) -> usize {
    (0..1_000).take_while(|_| budget.try_spend("ice")).count()
}

#[tokio::test(start_paused = true)]
async fn a_collecting_gate_gets_a_larger_item_budget() {
    let budgets = Budgets::new(SHARED);
    budgets.update_shares(8, 3);
    let (requests, items) = (spendable(&budgets.requests), spendable(&budgets.items));
    assert_eq!((requests, items), (3, 9));
}

#[tokio::test(start_paused = true)]
async fn all_gates_together_stay_within_the_slack() {
    for (gates, collectors) in [(1, 1), (3, 3), (8, 3), (16, 3), (400, 12)] {
        let budgets = Budgets::new(SHARED);
        budgets.update_shares(gates, collectors);
        assert!(spendable(&budgets.items) * collectors <= SHARED.slack as usize);
    }
}
