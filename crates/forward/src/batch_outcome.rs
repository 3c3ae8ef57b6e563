//! How a batched call and its items ended.

use std::collections::BTreeMap;

use crate::messages::StageFailure;

/// How a call ended.
#[derive(Debug)]
pub(crate) enum BatchOutcome {
    /// With a result for each item.
    Answered(Vec<Result<String, ItemFailure>>),
    /// It did not run.
    NotRun,
    /// It was not sent, and why: the endpoint could not be reached.
    Unsent(String),
    /// No connection was made, and why.
    Unreached(String),
    /// Another endpoint has the address; it did not run.
    Misplaced,
    /// It may have run, and gave nothing.
    Failed(String),
}

impl BatchOutcome {
    /// Why it gave nothing, or less than was asked for.
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
    /// How many of a call's `items` have no result, by cause as metrics name it.
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
    /// It may be made once more.
    Retry,
    /// There was no room for its result.
    NoCapacity,
    /// Its stage has failed.
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
