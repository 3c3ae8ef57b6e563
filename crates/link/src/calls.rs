//! Outcomes of calls by model version, which controllers request from gates.

use derives::{record, token};
use uuid::Uuid;

/// Maximum number of services in one request; further ones are ignored.
pub const MAX_SERVICES: usize = 64;

/// Maximum number of endpoints that drain at the same time; further ones keep getting calls.
pub const MAX_DRAINING: usize = 64;

/// Request on `Channel::Calls` for the outcomes of calls to services that are being rolled out.
#[record]
pub struct CallsRequest {
    /// Names of the services.
    pub services: Vec<String>,
    /// Names of endpoints that get no new calls for now.
    pub draining: Vec<String>,
}

/// The reply to [`CallsRequest`].
#[record]
pub struct CallsReply {
    /// Id of the counters; a restarted gate has new ones, which start from zero.
    pub counter: Uuid,
    /// Outcomes for each version that was called.
    pub releases: Vec<ReleaseCalls>,
}

/// Outcomes of the calls to one version of a service's model.
#[record]
pub struct ReleaseCalls {
    /// Name of the service.
    pub service: String,
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: u32,
    /// Calls since the counter's start.
    pub counts: CallCounts,
}

/// Number of calls by outcome; those that ended for reasons of the caller are not counted.
#[token]
#[derive(Default)]
pub struct CallCounts {
    /// Complete response in time.
    pub answered: u64,
    /// Superseded by a hedge, or ended by the request's deadline.
    pub late: u64,
    /// Refused, failed or stalled.
    pub failed: u64,
}

impl CallCounts {
    /// Returns the number of all calls.
    pub fn total(&self) -> u64 {
        self.answered + self.late + self.failed
    }

    /// Returns the calls since `before`; all of them if the counters have been reset.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        let is_reset = self.answered < before.answered
            || self.late < before.late
            || self.failed < before.failed;
        match is_reset {
            true => *self,
            false => Self {
                answered: self.answered - before.answered,
                late: self.late - before.late,
                failed: self.failed - before.failed,
            },
        }
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.late += other.late;
        self.failed += other.failed;
    }
}
