//! Tracks which services are being rolled out: for some time after their declaration changed, and
//! for as long as a controller queries their call results.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use declaration::Service;
use derives::value;
use tokio::time::Instant;

/// Time after a change during which endpoints with another version are still used.
const ROLLOUT_GRACE: Duration = Duration::from_mins(10);

/// Time after a controller's query during which its rollout counts as in progress; controllers
/// query more often than this.
const QUERY_TTL: Duration = Duration::from_secs(30);

/// Model, version and adapters that an endpoint of a service must have loaded.
#[value]
struct ServedModel {
    model: Option<String>,
    version: Option<u32>,
    adapters: Vec<String>,
}

impl ServedModel {
    fn matches(&self, service: &Service) -> bool {
        self.model == service.model
            && self.version == service.version
            && self.adapters == service.adapters
    }
}

#[derive(Debug)]
struct DeclaredModel {
    served: ServedModel,
    since: Instant,
    last_query: Option<Instant>,
}

impl DeclaredModel {
    fn is_in_progress(&self) -> bool {
        let is_recent = |at: Instant| at.elapsed() < QUERY_TTL;
        self.since.elapsed() < ROLLOUT_GRACE || self.last_query.is_some_and(is_recent)
    }
}

/// What each service was last declared to serve, and since when.
#[derive(Debug, Default)]
pub(crate) struct Rollouts(Mutex<HashMap<String, DeclaredModel>>);

impl Rollouts {
    /// Returns true if `service`, declared under `name`, changed so recently that some endpoints
    /// may not have followed.
    pub(crate) fn is_in_progress(&self, name: &str, service: &Service) -> bool {
        let mut declared = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match declared.get(name) {
            Some(declared) if declared.served.matches(service) => declared.is_in_progress(),
            _ => {
                let served = ServedModel {
                    model: service.model.clone(),
                    version: service.version,
                    adapters: service.adapters.clone(),
                };
                let since = Instant::now();
                let last_query = None;
                declared.insert(
                    name.to_owned(),
                    DeclaredModel {
                        served,
                        since,
                        last_query,
                    },
                );
                true
            }
        }
    }

    /// Records that a controller is rolling out `services`.
    pub(crate) fn record_query(&self, services: &[String]) {
        let mut declared = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for service in services {
            if let Some(declared) = declared.get_mut(service) {
                declared.last_query = Some(Instant::now());
            }
        }
    }
}

#[cfg(test)]
mod tests;
