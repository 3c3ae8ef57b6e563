//! Endpoints to which a controller wants no new calls for now.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use link::calls::MAX_DRAINING;
use tokio::time::Instant;

/// A controller that drains an endpoint says so more often than this.
const DRAIN_TTL: Duration = Duration::from_secs(5);

/// Endpoints drained, and until when without further word.
#[derive(Debug, Default)]
pub(crate) struct DrainingEndpoints(Mutex<HashMap<String, Instant>>);

impl DrainingEndpoints {
    /// A controller drains `endpoints` now.
    pub(crate) fn record(&self, endpoints: Vec<String>) {
        let now = Instant::now();
        let mut draining = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        draining.retain(|_, until| *until > now);
        for endpoint in endpoints.into_iter().take(MAX_DRAINING) {
            draining.insert(endpoint, now + DRAIN_TTL);
        }
    }

    /// The endpoints to avoid beside `avoid`; `None` where no endpoint drains.
    pub(crate) fn with_draining(&self, avoid: &[String]) -> Option<Vec<String>> {
        let now = Instant::now();
        let draining = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let drained = draining.iter().filter(|(_, until)| **until > now);
        let drained: Vec<String> = drained.map(|(name, _)| name.clone()).collect();
        (!drained.is_empty()).then(|| [avoid, &drained].concat())
    }
}
