//! Endpoints that controllers are draining and that should get no new calls.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use link::calls::MAX_DRAINING;
use tokio::time::Instant;

/// Time after which an endpoint no longer counts as draining. Controllers repeat the request more
/// often.
const DRAIN_TTL: Duration = Duration::from_secs(5);

/// Draining endpoints, and when each expires unless a controller repeats the request.
#[derive(Debug, Default)]
pub(crate) struct DrainingEndpoints(Mutex<HashMap<String, Instant>>);

impl DrainingEndpoints {
    /// Records that a controller is draining `endpoints`.
    pub(crate) fn record(&self, endpoints: Vec<String>) {
        let now = Instant::now();
        let mut draining = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        draining.retain(|_, until| *until > now);
        for endpoint in endpoints.into_iter().take(MAX_DRAINING) {
            draining.insert(endpoint, now + DRAIN_TTL);
        }
    }

    /// Returns `avoid` and the draining endpoints, or `None` if no endpoint is draining.
    pub(crate) fn with_draining(&self, avoid: &[String]) -> Option<Vec<String>> {
        let now = Instant::now();
        let draining = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let drained = draining.iter().filter(|(_, until)| **until > now);
        let drained: Vec<String> = drained.map(|(name, _)| name.clone()).collect();
        (!drained.is_empty()).then(|| [avoid, &drained].concat())
    }
}
