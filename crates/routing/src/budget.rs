//! Retry budgets: a share of first tries, by service.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use tokio::time::Instant;

/// How much may be retried.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetConfig {
    /// Retries and hedges for each first try.
    pub ratio: f64,
    /// Retries that a service may have before any first try, and most that it may save from `idle`.
    pub reserve: f64,
    /// Most retries saved up.
    pub max_balance: f64,
    /// Time in which an idle service regains one retry of its reserve.
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

/// A retry costs one, whatever the rounding of many small deposits.
const ROUNDING_TOLERANCE: f64 = 1e-9;

impl RetryBudget {
    /// Budgets that all start with their reserve.
    pub fn new(cfg: RetryBudgetConfig) -> Self {
        Self {
            cfg: Mutex::new(cfg),
            accounts: Mutex::default(),
        }
    }

    /// Bounds what may be retried from now on: gates that share a budget have less each as they
    /// become more.
    pub fn configure(&self, cfg: RetryBudgetConfig) {
        *self.cfg.lock().expect("no holder of this lock panics") = cfg;
    }

    fn cfg(&self) -> RetryBudgetConfig {
        *self.cfg.lock().expect("no holder of this lock panics")
    }

    /// Notes a first try of a call to `service`.
    pub fn record_first_attempt(&self, service: &str) {
        let RetryBudgetConfig {
            ratio,
            max_balance: max,
            ..
        } = self.cfg();
        self.with_account(service, |account| {
            account.balance = (account.balance + ratio).min(max);
        });
    }

    /// Takes one retry or hedge of `service` from its budget; false where there is none left.
    pub fn try_spend(&self, service: &str) -> bool {
        self.with_account(service, |account| {
            let is_affordable = account.balance + ROUNDING_TOLERANCE >= 1.0;
            if is_affordable {
                account.balance -= 1.0;
            }
            is_affordable
        })
    }

    /// What is left to `service`.
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
