//! Accepted changes of the declaration, kept encoded, since decoded ones take several times the memory.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use declaration::AuditRecord;
use derives::record;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use uuid::Uuid;

/// Estimated memory use of a change besides its encoded record, in bytes.
const CHANGE_OVERHEAD_BYTES: usize = 256;

/// One accepted change as snapshots store it.
#[record]
#[derive(Eq)]
struct HistoryEntry {
    record: AuditRecord,
    /// Hash of the submitted change, to distinguish a retry from another change under the same id.
    #[serde(rename = "submitted")]
    submitted_hash: u64,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct StoredChange {
    revision: u64,
    change: Uuid,
    /// Hash of the submitted change, to distinguish a retry from another change under the same id.
    pub submitted_hash: u64,
    record: Box<[u8]>,
}

impl StoredChange {
    fn new(record: &AuditRecord, submitted_hash: u64) -> Self {
        Self {
            revision: record.revision,
            change: record.change,
            submitted_hash,
            record: link::encode(record).into_boxed_slice(),
        }
    }

    /// Decodes the audit record.
    pub fn record(&self) -> AuditRecord {
        link::decode(&self.record).expect("it was encoded by this process")
    }

    fn bytes(&self) -> usize {
        self.record.len() + CHANGE_OVERHEAD_BYTES
    }
}

impl Serialize for StoredChange {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let entry = HistoryEntry {
            record: self.record(),
            submitted_hash: self.submitted_hash,
        };
        entry.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for StoredChange {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let entry = HistoryEntry::deserialize(deserializer)?;
        Ok(Self::new(&entry.record, entry.submitted_hash))
    }
}

/// The newest accepted changes, in order of their revisions.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct History {
    changes: VecDeque<Arc<StoredChange>>,
    bytes: usize,
    revisions: HashMap<Uuid, u64>,
}

impl History {
    /// Appends a change whose revision follows that of the last one.
    pub fn push(&mut self, record: &AuditRecord, submitted_hash: u64) {
        self.push_stored(Arc::new(StoredChange::new(record, submitted_hash)));
    }

    fn push_stored(&mut self, change: Arc<StoredChange>) {
        self.revisions.insert(change.change, change.revision);
        self.bytes += change.bytes();
        self.changes.push_back(change);
    }

    /// Removes the oldest change unless it is the only one, and returns its record.
    pub fn pop_oldest(&mut self) -> Option<AuditRecord> {
        if self.changes.len() <= 1 {
            return None;
        }
        let change = self.changes.pop_front()?;
        self.bytes -= change.bytes();
        self.revisions.remove(&change.change);
        Some(change.record())
    }

    /// Returns the number of changes.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Returns the estimated memory use in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the oldest revision.
    pub fn oldest(&self) -> Option<u64> {
        self.changes.front().map(|change| change.revision)
    }

    /// Returns the revision that the change `id` made.
    pub fn revision_of(&self, id: &Uuid) -> Option<u64> {
        self.revisions.get(id).copied()
    }

    /// Returns the change that made `revision`.
    pub fn get(&self, revision: u64) -> Option<&StoredChange> {
        let at = revision.checked_sub(self.oldest()?)?;
        self.changes.get(at as usize).map(|change| &**change)
    }

    /// Decodes the records from `revision` on, oldest first.
    pub fn records_from(&self, revision: u64) -> impl DoubleEndedIterator<Item = AuditRecord> {
        let skip = self
            .oldest()
            .map_or(0, |oldest| revision.saturating_sub(oldest));
        self.changes
            .iter()
            .skip(skip as usize)
            .map(|change| change.record())
    }

    /// Decodes the newest records whose encoded size is at most `max_bytes` in total, oldest first.
    pub fn newest_records(&self, max_bytes: usize) -> Vec<AuditRecord> {
        let mut bytes = 0;
        let newest = self.changes.iter().rev().take_while(|change| {
            bytes += change.bytes();
            bytes <= max_bytes
        });
        let first = self.changes.len() - newest.count();
        let newest = self.changes.iter().skip(first);
        newest.map(|change| change.record()).collect()
    }

    /// Decodes records from `revision` on, oldest first: as many as have `max_bytes` encoded, and at
    /// least one if there is one.
    pub fn page(&self, revision: u64, max_records: usize, max_bytes: usize) -> Vec<AuditRecord> {
        let skip = self
            .oldest()
            .map_or(0, |oldest| revision.saturating_sub(oldest));
        let mut bytes = 0;
        let changes = self.changes.iter().skip(skip as usize).take(max_records);
        let changes = changes.take_while(|change| {
            let is_first = bytes == 0;
            bytes += change.bytes();
            is_first || bytes <= max_bytes
        });
        changes.map(|change| change.record()).collect()
    }

    /// Returns the changes in the form that snapshots store; they are shared, not copied.
    pub fn to_snapshot(&self) -> VecDeque<Arc<StoredChange>> {
        self.changes.clone()
    }

    /// Restores what [`Self::to_snapshot`] returned.
    pub fn from_snapshot(changes: VecDeque<Arc<StoredChange>>) -> Self {
        let mut history = Self::default();
        for change in changes {
            history.push_stored(change);
        }
        history
    }
}
