//! Retry budgets per service, as a ratio of first attempts.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use tokio::time::Instant;

/// Configuration of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetConfig {
    /// Retries and hedges earned by each first attempt.
    pub ratio: f64,
    /// Initial balance of a service in retries, and the most that `refill_interval` restores.
    pub reserve: f64,
    /// Highest balance of a service in retries.
    pub max_balance: f64,
    /// Time in which a service regains one retry, up to `reserve`.
    pub refill_interval: Duration,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            reserve: 10.0,
            max_balance: 100.0,
            refill_interval: Duration::from_secs(2),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Account {
    balance: f64,
    updated_at: Instant,
}

/// Retry budgets by service.
#[derive(Debug)]
pub struct RetryBudget {
    cfg: Mutex<RetryBudgetConfig>,
    accounts: Mutex<HashMap<String, Account>>,
}

/// Tolerance for rounding errors of many small deposits when one retry is withdrawn.
const ROUNDING_TOLERANCE: f64 = 1e-9;

impl RetryBudget {
    /// Creates a budget in which each service starts with `cfg.reserve` retries.
    pub fn new(cfg: RetryBudgetConfig) -> Self {
        Self {
            cfg: Mutex::new(cfg),
            accounts: Mutex::default(),
        }
    }

    /// Replaces the configuration. Gates that share a budget each get a smaller part as more gates
    /// join.
    pub fn configure(&self, cfg: RetryBudgetConfig) {
        *self.cfg.lock().expect("no holder of this lock panics") = cfg;
    }

    fn cfg(&self) -> RetryBudgetConfig {
        *self.cfg.lock().expect("no holder of this lock panics")
    }

    /// Records the first attempt of a call to `service`, which adds `ratio` to its balance.
    pub fn record_first_attempt(&self, service: &str) {
        self.record_first_attempts(service, 1);
    }

    /// Records the first attempts of `count` calls to `service`.
    pub fn record_first_attempts(&self, service: &str, count: u32) {
        let RetryBudgetConfig {
            ratio, max_balance, ..
        } = self.cfg();
        self.with_account(service, |account| {
            account.balance = (account.balance + ratio * f64::from(count)).min(max_balance);
        });
    }

    /// Returns true if the budget of `service` has a retry left.
    pub fn can_spend(&self, service: &str) -> bool {
        self.can_spend_many(service, 1)
    }

    /// Returns true if the budget of `service` has `count` retries left.
    pub fn can_spend_many(&self, service: &str, count: u32) -> bool {
        self.remaining(service) + ROUNDING_TOLERANCE >= f64::from(count)
    }

    /// Withdraws one retry or hedge from the budget of `service`. Returns false if none remains.
    pub fn try_spend(&self, service: &str) -> bool {
        self.with_account(service, |account| {
            let is_affordable = account.balance + ROUNDING_TOLERANCE >= 1.0;
            if is_affordable {
                account.balance -= 1.0;
            }
            is_affordable
        })
    }

    /// Gives back a retry of `service` that was withdrawn and not sent.
    pub fn refund(&self, service: &str) {
        let most = self.cfg().max_balance;
        self.with_account(service, |account| {
            account.balance = (account.balance + 1.0).min(most);
        });
    }

    /// Returns the balance of `service` in retries.
    pub fn remaining(&self, service: &str) -> f64 {
        self.with_account(service, |account| account.balance)
    }

    fn with_account<T>(&self, service: &str, f: impl FnOnce(&mut Account) -> T) -> T {
        let now = Instant::now();
        let cfg = self.cfg();
        let accounts = self.accounts.lock();
        let mut accounts = accounts.expect("no holder of this lock panics");
        if !accounts.contains_key(service) {
            let account = Account {
                balance: cfg.reserve,
                updated_at: now,
            };
            accounts.insert(service.to_owned(), account);
        }
        let account = accounts.get_mut(service).expect("it was just inserted");
        let idle = now
            .saturating_duration_since(account.updated_at)
            .as_secs_f64();
        let regained = account.balance + idle / cfg.refill_interval.as_secs_f64();
        account.balance = regained
            .min(cfg.reserve)
            .max(account.balance)
            .min(cfg.max_balance);
        account.updated_at = now;
        f(account)
    }
}
