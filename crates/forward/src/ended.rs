//! How a batched call and its items ended.

use std::collections::BTreeMap;

use crate::messages::StageFailure;

/// How a call ended.
#[derive(Debug)]
pub(crate) enum Ended {
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

impl Ended {
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

impl Ended {
    /// How many of a call's `items` have no result, by cause as metrics name it.
    pub(crate) fn unmade(&self, items: usize) -> BTreeMap<&'static str, u64> {
        let whole = match self {
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
        BTreeMap::from([(whole, items as u64)])
    }
}

/// Why one item has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ItemFailure {
    /// It may be made once more.
    Again,
    /// There was no room for its result.
    NoRoom,
    /// Its stage has failed.
    Ended(StageFailure),
}

impl ItemFailure {
    fn cause(&self) -> &'static str {
        match self {
            Self::Again => "failed",
            Self::NoRoom => "room",
            Self::Ended(StageFailure::InputGone) => "input_gone",
            Self::Ended(_) => "late",
        }
    }
}

#[cfg(test)]
mod tests;
