//! How a batched call and its items ended.

use crate::messages::StageFailure;

/// How a call ended.
#[derive(Debug)]
pub(crate) enum Ended {
    /// With a result for each item.
    Answered(Vec<Result<String, ItemFailure>>),
    /// It did not run.
    NotRun,
    /// Another endpoint has the address; it did not run.
    Misplaced,
    /// It may have run, and gave nothing.
    Failed,
}

impl Ended {
    /// A word for logs.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Answered(results) if results.iter().all(Result::is_ok) => "answered",
            Self::Answered(_) => "answered in part",
            Self::NotRun => "not run",
            Self::Misplaced => "misplaced",
            Self::Failed => "failed",
        }
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
