//! Refuses requests that a gate that shuts down could not complete.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use tokio::time::Instant;

use crate::error::{ForwardError, Refusal};

/// Fraction of the shutdown that must be left for a request that may last longer than that.
const MIN_SHARE: f64 = 2.0 / 3.0;

/// The end of the process, once it shuts down. Clones share state.
#[derive(Clone, Debug)]
pub(crate) struct Shutdown {
    duration: Duration,
    ends_at: Arc<OnceLock<Instant>>,
}

impl Shutdown {
    /// Creates the state of a gate whose shutdown takes `duration` at most.
    pub(crate) fn new(duration: Duration) -> Self {
        Self {
            duration,
            ends_at: Arc::default(),
        }
    }

    /// Starts the shutdown. Only the first start counts.
    pub(crate) fn start(&self) {
        self.ends_at.get_or_init(|| Instant::now() + self.duration);
    }

    /// Returns a refusal for a request that would probably be cut by the end of the process. Other
    /// gates can serve it.
    pub(crate) fn check(&self, deadline: Instant) -> Result<(), ForwardError> {
        let Some(ends_at) = self.ends_at.get() else {
            return Ok(());
        };
        let remaining = ends_at.saturating_duration_since(Instant::now());
        match deadline > *ends_at && remaining < self.duration.mul_f64(MIN_SHARE) {
            true => Err(ForwardError::retry_later(
                Refusal::ShuttingDown,
                Duration::ZERO,
            )),
            false => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
