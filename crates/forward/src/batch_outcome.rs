//! Outcomes of a batched call and of its items.

use std::collections::BTreeMap;

use crate::messages::StageFailure;

/// Outcome of a batched call.
#[derive(Debug)]
pub(crate) enum BatchOutcome {
    /// The endpoint returned a result or failure for each item.
    Answered(Vec<Result<String, ItemFailure>>),
    /// The endpoint did not run the call.
    NotRun,
    /// The call was not sent, for this reason.
    Unsent(String),
    /// No connection could be opened, for this reason.
    Unreached(String),
    /// Another endpoint has the address; the call did not run.
    Misplaced,
    /// The call may have run but returned no results, for this reason.
    Failed(String),
}

impl BatchOutcome {
    /// Returns why some or all items have no result, or `None` if every item has one.
    pub(crate) fn failure(&self) -> Option<&str> {
        match self {
            Self::Answered(results) => {
                let is_failed = |r: &Result<_, ItemFailure>| r.is_err();
                results
                    .iter()
                    .any(is_failed)
                    .then_some("some items have no results")
            }
            Self::NotRun => Some("the endpoint did not run it"),
            Self::Misplaced => Some("another endpoint has its address"),
            Self::Unsent(why) | Self::Unreached(why) | Self::Failed(why) => Some(why),
        }
    }
}

impl BatchOutcome {
    /// Counts those of the call's `items` that have no result, by the cause label of the metrics.
    pub(crate) fn items_without_result(&self, items: usize) -> BTreeMap<&'static str, u64> {
        let cause = match self {
            Self::Answered(results) => {
                let mut causes = BTreeMap::new();
                for failure in results.iter().filter_map(|r| r.as_ref().err()) {
                    *causes.entry(failure.cause()).or_default() += 1;
                }
                return causes;
            }
            Self::NotRun => "full",
            Self::Unsent(_) | Self::Unreached(_) => "unsent",
            Self::Misplaced => "misplaced",
            Self::Failed(_) => "lost",
        };
        BTreeMap::from([(cause, items as u64)])
    }
}

/// Why one item has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ItemFailure {
    /// The item failed and may be retried.
    Retry,
    /// The endpoint had no free space for the result.
    NoCapacity,
    /// The stage of the item failed.
    Stage(StageFailure),
}

impl ItemFailure {
    fn cause(&self) -> &'static str {
        match self {
            Self::Retry => "failed",
            Self::NoCapacity => "room",
            Self::Stage(StageFailure::InputGone) => "input_gone",
            Self::Stage(_) => "late",
        }
    }
}

#[cfg(test)]
mod tests;
