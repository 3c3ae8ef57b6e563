//! The endpoints whose departures are confirmed, and which of their announcements no longer count.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;
use uuid::Uuid;

use crate::{Announcement, Readiness, TableConfig};

/// Endpoints that departed for good, each up to and including an incarnation.
#[derive(Debug)]
pub(crate) struct DepartedEndpoints {
    by_name: HashMap<String, Departed>,
    max_len: usize,
    retention: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Departed {
    /// The last incarnation that departed.
    incarnation: Uuid,
    recorded: Instant,
}

impl DepartedEndpoints {
    /// Creates an empty record with the limits of `cfg`.
    pub(crate) fn new(cfg: &TableConfig) -> Self {
        Self {
            by_name: HashMap::new(),
            max_len: cfg.max_endpoints,
            retention: cfg.departure_retention,
        }
    }

    /// Returns true if `a` says ready although its incarnation or a later one has departed.
    pub(crate) fn has_departed(&self, a: &Announcement) -> bool {
        let departed = self.by_name.get(&a.endpoint);
        a.state == Readiness::Ready && departed.is_some_and(|d| a.incarnation <= d.incarnation)
    }

    /// Records that `incarnation` of `endpoint` and all earlier ones have departed. Returns true if
    /// this was not known.
    pub(crate) fn record(&mut self, endpoint: &str, incarnation: Uuid, now: Instant) -> bool {
        let known = self.by_name.get(endpoint);
        if known.is_some_and(|known| incarnation <= known.incarnation) {
            return false;
        }
        if self.by_name.len() >= self.max_len {
            self.drop_oldest();
        }
        let departed = Departed {
            incarnation,
            recorded: now,
        };
        self.by_name.insert(endpoint.to_owned(), departed);
        true
    }

    fn drop_oldest(&mut self) {
        let oldest = self.by_name.iter().min_by_key(|(_, d)| d.recorded);
        let oldest = oldest.map(|(name, _)| name.clone());
        oldest.and_then(|name| self.by_name.remove(&name));
    }

    /// Drops departures that are older than the retention.
    pub(crate) fn drop_old(&mut self, now: Instant) {
        let retention = self.retention;
        self.by_name
            .retain(|_, d| now.saturating_duration_since(d.recorded) < retention);
    }
}
