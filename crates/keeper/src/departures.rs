//! The replicated record of endpoints that are leaving or gone, so that no keeper takes an earlier
//! announcement of them for a sign of life, whichever processes have restarted since.

use std::time::Duration;

use derives::record;
use imbl::OrdMap;
use link::keeper::Departure;
use uuid::Uuid;

/// Time after which a departure is forgotten, by the stamps of entries. Exceeds the time for which a
/// connection can hold back an announcement.
pub const DEPARTURE_RETENTION: Duration = Duration::from_hours(1);
/// Maximum number of departures; the oldest one is dropped first.
pub const MAX_DEPARTURES: usize = 16_384;

/// A recorded departure.
#[record]
#[derive(Eq)]
struct Record {
    #[serde(rename = "d")]
    departure: Departure,
    /// Time of the entry, in milliseconds since the Unix epoch.
    #[serde(rename = "t")]
    recorded_ms: u64,
}

/// The departures; deterministic for the same calls. Clones share their content.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Departures {
    version: u64,
    /// Records by the version at which they were added.
    records: OrdMap<u64, Record>,
    /// Versions by the names of endpoints.
    versions: OrdMap<String, u64>,
}

/// Encoded form of [`Departures`], which shares their content.
#[record]
#[derive(Default, Eq)]
pub struct DeparturesSnapshot {
    version: u64,
    records: OrdMap<u64, Record>,
}

impl Departures {
    /// Returns the version, which increases with each departure.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of recorded departures.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if no departure is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns true if this departure, or that of a later incarnation, is recorded.
    pub fn covers(&self, departure: &Departure) -> bool {
        let known = self.incarnation(&departure.endpoint);
        known.is_some_and(|known| departure.incarnation <= known)
    }

    fn incarnation(&self, endpoint: &str) -> Option<Uuid> {
        let version = self.versions.get(endpoint)?;
        let record = self.records.get(version)?;
        Some(record.departure.incarnation)
    }

    /// Records `departure` at `now_ms` unless it is known, and drops what is too old or too much.
    pub fn record(&mut self, now_ms: u64, departure: &Departure) {
        if self.covers(departure) {
            return;
        }
        self.version += 1;
        let earlier = self
            .versions
            .insert(departure.endpoint.clone(), self.version);
        if let Some(earlier) = earlier {
            self.records.remove(&earlier);
        }
        let record = Record {
            departure: departure.clone(),
            recorded_ms: now_ms,
        };
        self.records.insert(self.version, record);
        self.drop_oldest(now_ms);
    }

    fn drop_oldest(&mut self, now_ms: u64) {
        let retention_ms = DEPARTURE_RETENTION.as_millis() as u64;
        while let Some((version, oldest)) = self.records.get_min() {
            let is_expired = now_ms.saturating_sub(oldest.recorded_ms) >= retention_ms;
            if !is_expired && self.records.len() <= MAX_DEPARTURES {
                return;
            }
            let version = *version;
            self.versions.remove(&oldest.departure.endpoint);
            self.records.remove(&version);
        }
    }

    /// Returns the departures that were recorded after `version` with their versions, oldest first;
    /// all of them if `version` is not of this record.
    pub fn since(&self, version: u64) -> impl Iterator<Item = (u64, &Departure)> {
        let first = match version <= self.version {
            true => version + 1,
            false => 0,
        };
        let records = self.records.range(first..);
        records.map(|(version, record)| (*version, &record.departure))
    }

    /// Returns the encoded form.
    pub fn to_snapshot(&self) -> DeparturesSnapshot {
        DeparturesSnapshot {
            version: self.version,
            records: self.records.clone(),
        }
    }

    /// Restores what [`Self::to_snapshot`] returned.
    pub fn from_snapshot(snapshot: DeparturesSnapshot) -> Self {
        let names = snapshot.records.iter();
        Self {
            version: snapshot.version,
            versions: names
                .map(|(version, record)| (record.departure.endpoint.clone(), *version))
                .collect(),
            records: snapshot.records,
        }
    }
}
