//! Call results by service and model version, for the controllers that roll out versions.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use derives::value;
use link::calls::{CallCounts, CallsReply, MAX_SERVICES, ReleaseCalls};
use membership::LoadedModel;
use uuid::Uuid;

/// Most versions counted per service.
const MAX_VERSIONS: usize = 8;

/// A version of a model.
#[value]
struct Version {
    model: String,
    number: u32,
}

/// Result of a call, as far as it says something about the model version.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallEnd {
    /// Complete and in time.
    Answered,
    /// Another endpoint answered first, or the deadline passed.
    Late,
    /// Refused, failed or stalled.
    Failed,
}

/// Calls to one version.
#[derive(Debug, Default)]
pub(crate) struct CallCounter {
    answered: AtomicU64,
    late: AtomicU64,
    failed: AtomicU64,
}

impl CallCounter {
    pub(crate) fn record(&self, ended: CallEnd) {
        let counter = match ended {
            CallEnd::Answered => &self.answered,
            CallEnd::Late => &self.late,
            CallEnd::Failed => &self.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn counts(&self) -> CallCounts {
        CallCounts {
            answered: self.answered.load(Ordering::Relaxed),
            late: self.late.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
        }
    }
}

type Versions = BTreeMap<Version, Arc<CallCounter>>;

/// Counters by service and version since the gate's start.
#[derive(Debug)]
pub(crate) struct CallCounters {
    id: Uuid,
    services: Mutex<BTreeMap<String, Versions>>,
}

impl Default for CallCounters {
    fn default() -> Self {
        Self {
            id: Uuid::new_v4(),
            services: Mutex::default(),
        }
    }
}

impl CallCounters {
    /// Returns the counter for a call of `service` to an endpoint that has `models` loaded: that of
    /// the `wanted` version if the endpoint has it, else that of the newest version of the model
    /// that it has.
    pub(crate) fn counter(
        &self,
        service: &str,
        wanted: (&str, u32),
        models: &[LoadedModel],
    ) -> Option<Arc<CallCounter>> {
        let (model, version) = wanted;
        let loaded = models.iter().filter(|m| m.model == model);
        let number = loaded
            .map(|m| m.version)
            .max_by_key(|v| (*v == version, *v))?;
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if !services.contains_key(service) {
            services.insert(service.to_owned(), Versions::new());
        }
        let versions = services.get_mut(service)?;
        let version = Version {
            model: model.to_owned(),
            number,
        };
        if versions.len() >= MAX_VERSIONS && !versions.contains_key(&version) {
            versions.pop_first();
        }
        Some(Arc::clone(versions.entry(version).or_default()))
    }

    /// Returns the results of calls to `services`, bounded by [`MAX_SERVICES`] and
    /// [`MAX_VERSIONS`].
    pub(crate) fn report(&self, services: &[String]) -> CallsReply {
        let known = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let requested = services.iter().take(MAX_SERVICES);
        let found = requested.filter_map(|name| known.get_key_value(name));
        let releases = found.flat_map(|(service, versions)| {
            versions.iter().map(|(version, counter)| ReleaseCalls {
                service: service.clone(),
                model: version.model.clone(),
                version: version.number,
                counts: counter.counts(),
            })
        });
        CallsReply {
            counter: self.id,
            releases: releases.collect(),
        }
    }
}
