//! Which services are being rolled out: for a while after their declaration changed, and for as
//! long as a controller asks what became of their calls.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use declaration::Service;
use derives::value;
use tokio::time::Instant;

/// Time for which endpoints that still have another version go on serving.
const ROLLOUT_LIMIT: Duration = Duration::from_mins(10);

/// A controller that is rolling a service out asks about it more often than this.
const ASKED_LIMIT: Duration = Duration::from_secs(30);

/// What an endpoint has to have loaded.
#[value]
struct ServedModel {
    model: Option<String>,
    version: Option<u32>,
    adapters: Vec<String>,
}

impl ServedModel {
    fn is_of(&self, service: &Service) -> bool {
        self.model == service.model
            && self.version == service.version
            && self.adapters == service.adapters
    }
}

#[derive(Debug)]
struct DeclaredModel {
    wanted: ServedModel,
    since: Instant,
    asked: Option<Instant>,
}

impl DeclaredModel {
    fn is_under_way(&self) -> bool {
        let is_asked = |at: Instant| at.elapsed() < ASKED_LIMIT;
        self.since.elapsed() < ROLLOUT_LIMIT || self.asked.is_some_and(is_asked)
    }
}

/// What each service was last declared to serve, and since when.
#[derive(Debug, Default)]
pub(crate) struct Rollouts(Mutex<HashMap<String, DeclaredModel>>);

impl Rollouts {
    /// Whether `service`, declared under `name`, changed so recently that its endpoints may not
    /// all have followed.
    pub(crate) fn is_under_way(&self, name: &str, service: &Service) -> bool {
        let mut seen = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match seen.get(name) {
            Some(seen) if seen.wanted.is_of(service) => seen.is_under_way(),
            _ => {
                let wanted = ServedModel {
                    model: service.model.clone(),
                    version: service.version,
                    adapters: service.adapters.clone(),
                };
                let since = Instant::now();
                let asked = None;
                seen.insert(
                    name.to_owned(),
                    DeclaredModel {
                        wanted,
                        since,
                        asked,
                    },
                );
                true
            }
        }
    }

    /// A controller is rolling `services` out.
    pub(crate) fn note_asked(&self, services: &[String]) {
        let mut seen = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for service in services {
            if let Some(seen) = seen.get_mut(service) {
                seen.asked = Some(Instant::now());
            }
        }
    }
}

#[cfg(test)]
mod tests;
