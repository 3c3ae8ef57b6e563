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
        let is_there = account.used.fetch_add(1, Ordering::Relaxed) < kind.per_second();
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
mod tests {
    use std::time::Duration;

    use proptest::prelude::*;
    use tokio::time::sleep;

    use super::Budgets;
    use crate::kind::Kind;

    #[tokio::test(start_paused = true)]
    async fn a_second_has_its_lines_and_the_rest_is_counted() {
        let budgets = Budgets::new();
        let most = Kind::Failed.per_second();
        let written = (0..most * 10)
            .filter(|_| budgets.take(Kind::Failed))
            .count();
        assert_eq!(written, most as usize);
        assert!(budgets.take(Kind::Served), "other kinds have their own");
        assert_eq!(budgets.left_out(), [(Kind::Failed, u64::from(most) * 9)]);
        assert_eq!(budgets.left_out(), []);
        sleep(Duration::from_secs(1)).await;
        assert!(budgets.take(Kind::Failed));
    }

    #[test]
    fn every_kind_has_its_own_account() {
        for (at, kind) in Kind::ALL.into_iter().enumerate() {
            assert_eq!(kind as usize, at);
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 32, failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn what_is_written_and_what_is_left_out_is_all(lines in proptest::collection::vec(0..25_usize, 0..600)) {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
            runtime.block_on(async {
                let budgets = Budgets::new();
                let written = lines.iter().filter(|at| budgets.take(Kind::ALL[**at])).count();
                let left_out: u64 = budgets.left_out().iter().map(|(_, count)| count).sum();
                assert_eq!(written as u64 + left_out, lines.len() as u64);
                assert_eq!(budgets.total_left_out(), left_out);
            });
        }
    }
}
