//! What became of calls by model version: what a controller asks a gate, and the answer.

use derives::{record, token};
use uuid::Uuid;

/// Most services about which one request may ask; further ones are left out of the answer.
pub const MAX_SERVICES: usize = 64;

/// Most endpoints that drain at one time; further ones go on getting calls.
pub const MAX_DRAINING: usize = 64;

/// Asks on `Channel::Calls` about services that are being rolled out.
#[record]
pub struct CallsRequest {
    /// The services.
    pub services: Vec<String>,
    /// Endpoints that are to get no new calls for now.
    pub draining: Vec<String>,
}

/// The answer to [`CallsRequest`].
#[record]
pub struct CallsReply {
    /// Distinguishes counters: those of a restarted gate start from zero.
    pub counter: Uuid,
    /// What became of calls, for each version that was called.
    pub releases: Vec<ReleaseCalls>,
}

/// What became of the calls that one version of a service's model took.
#[record]
pub struct ReleaseCalls {
    /// The service.
    pub service: String,
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: u32,
    /// Calls since the counter's start.
    pub counts: CallCounts,
}

/// Calls by result; those that ended for reasons of the caller are not counted.
#[token]
#[derive(Default)]
pub struct CallCounts {
    /// Answered whole and in time.
    pub answered: u64,
    /// Overtaken by a hedge, or ended by the request's deadline.
    pub late: u64,
    /// Refused, failed or stalled.
    pub failed: u64,
}

impl CallCounts {
    /// All calls.
    pub fn total(&self) -> u64 {
        self.answered + self.late + self.failed
    }

    /// What came since `before`; everything, where the counter has started anew.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        let is_anew = self.answered < before.answered
            || self.late < before.late
            || self.failed < before.failed;
        match is_anew {
            true => *self,
            false => Self {
                answered: self.answered - before.answered,
                late: self.late - before.late,
                failed: self.failed - before.failed,
            },
        }
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.late += other.late;
        self.failed += other.failed;
    }
}
