//! Lines a second by kind, and how many were left out.

use std::sync::{
    LazyLock, Mutex,
    atomic::{AtomicU32, AtomicU64, Ordering},
};

use tokio::time::Instant;

use crate::kind::Kind;

/// One kind's lines of the present second.
#[derive(Debug, Default)]
struct Account {
    second: AtomicU64,
    used: AtomicU32,
    left_out: AtomicU64,
}

/// The accounts of all kinds.
#[derive(Debug)]
pub(crate) struct Budgets {
    start: Mutex<Option<Instant>>,
    accounts: [Account; Kind::ALL.len()],
    left_out: AtomicU64,
}

/// The process's accounts.
pub(crate) static BUDGETS: LazyLock<Budgets> = LazyLock::new(Budgets::new);

impl Budgets {
    pub(crate) fn new() -> Self {
        Self {
            start: Mutex::new(None),
            accounts: std::array::from_fn(|_| Account::default()),
            left_out: AtomicU64::new(0),
        }
    }

    /// Whether one more line of `kind` may be written now; it counts as left out otherwise.
    pub(crate) fn take(&self, kind: Kind) -> bool {
        let second = self.second();
        let account = &self.accounts[kind as usize];
        if account.second.swap(second, Ordering::Relaxed) != second {
            account.used.store(0, Ordering::Relaxed);
        }
        let is_there = account.used.fetch_add(1, Ordering::Relaxed) < kind.max_per_second();
        if !is_there {
            self.leave_out(kind);
        }
        is_there
    }

    /// Counts a line that is left out.
    pub(crate) fn leave_out(&self, kind: Kind) {
        let account = &self.accounts[kind as usize];
        account.left_out.fetch_add(1, Ordering::Relaxed);
        self.left_out.fetch_add(1, Ordering::Relaxed);
    }

    /// How many lines of each kind were left out since the last question.
    pub(crate) fn left_out(&self) -> Vec<(Kind, u64)> {
        let counted = Kind::ALL.into_iter().map(|kind| {
            let account = &self.accounts[kind as usize];
            (kind, account.left_out.swap(0, Ordering::Relaxed))
        });
        counted.filter(|(_, count)| *count > 0).collect()
    }

    /// How many lines were left out since the start.
    pub(crate) fn total_left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }

    fn second(&self) -> u64 {
        let mut start = self.start.lock().expect("no holder of this lock panics");
        let start = *start.get_or_insert_with(Instant::now);
        // 0 is the second of an account that was never used.
        start.elapsed().as_secs() + 1
    }
}

#[cfg(test)]
mod tests;
