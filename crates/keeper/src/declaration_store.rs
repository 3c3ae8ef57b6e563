//! The declaration with its revisions and audit trail.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use declaration::{
    AuditRecord, AuditSection, Change, Declaration, Document, SectionChange, SectionId,
    changes_between, conflicts, inverse,
};
use derives::record;
use link::{
    follow::Revision,
    keeper::{ChangeReply, Replacement},
};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::history::{History, StoredChange};

/// Maximum number of accepted changes whose ids and audit records are kept.
pub const MAX_HISTORY: usize = 16_384;
/// Maximum size of the encoded audit records on any VM, in bytes.
pub const MAX_HISTORY_BYTES: usize = 64 << 20;
const MAX_AUTHOR_BYTES: usize = 128;
const MAX_REASON_BYTES: usize = 4_096;

/// Why a change was refused before the checks for conflicts and faults.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// The base revision is in the future.
    #[error("change: base_revision {base} is later than revision {revision}; read the declaration")]
    FutureBase {
        /// The change's base revision.
        base: u64,
        /// The current revision.
        revision: u64,
    },
    /// The base is older than the history, so a retry could not be recognized.
    #[error(
        "change: base_revision {base} is older than what is remembered, from revision {oldest} on; \
         read the declaration and make the change anew"
    )]
    ForgottenBase {
        /// The change's base revision.
        base: u64,
        /// The oldest accepted base revision.
        oldest: u64,
    },
    /// The id was used for another change.
    #[error("change: the id was used for another change, which made revision {revision}")]
    IdReused {
        /// The revision that the other change made.
        revision: u64,
    },
    /// The change lists a section twice.
    #[error("change: a section stands twice; keep one")]
    DuplicateSection,
    /// The author or the reason is missing or too long.
    #[error(
        "change: author must have 1 to {MAX_AUTHOR_BYTES} bytes and reason 1 to \
         {MAX_REASON_BYTES}"
    )]
    InvalidAuthorOrReason,
}

/// The declaration with its history; clones share the document and the audit records.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclarationStore {
    revision: u64,
    document: Arc<Document>,
    /// The typed document; `None` if it was restored from a snapshot and this version finds it
    /// invalid.
    declaration: Option<Arc<Declaration>>,
    /// The revision that last changed or deleted each section, within the history.
    changed_at: BTreeMap<SectionId, u64>,
    history: History,
}

impl Default for DeclarationStore {
    fn default() -> Self {
        Self {
            revision: 0,
            document: Arc::default(),
            declaration: Some(Arc::default()),
            changed_at: BTreeMap::new(),
            history: History::default(),
        }
    }
}

/// The part of a [`DeclarationStore`] that a snapshot stores; the rest is derived from it.
#[record]
pub struct DeclarationSnapshot {
    revision: u64,
    document: Document,
    changed_at: BTreeMap<SectionId, u64>,
    history: VecDeque<Arc<StoredChange>>,
}

impl DeclarationStore {
    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the current document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Iterates over the kept audit records from `revision` on.
    pub fn audit(&self, revision: u64) -> impl Iterator<Item = AuditRecord> {
        self.history.records_from(revision)
    }

    /// Returns the kept audit records from `revision` on, at most `max_records` and, after the first
    /// one, at most `max_bytes` encoded.
    pub fn audit_page(
        &self,
        revision: u64,
        max_records: usize,
        max_bytes: usize,
    ) -> Vec<AuditRecord> {
        self.history.page(revision, max_records, max_bytes)
    }

    /// Returns the first revision with an audit record, or the next revision if there is none.
    pub fn oldest_audit(&self) -> u64 {
        self.history.oldest().unwrap_or(self.revision + 1)
    }

    /// Returns the estimated memory use of the audit records, in bytes.
    pub fn history_bytes(&self) -> usize {
        self.history.bytes()
    }

    /// Returns the last changes in the form sent to followers, at most `max_bytes` encoded.
    pub fn recent(&self, max_bytes: usize) -> Vec<Revision> {
        let recent = self.history.newest_records(max_bytes);
        recent.into_iter().map(to_revision).collect()
    }

    /// Returns the last change in the form sent to followers.
    pub fn last(&self) -> Option<Revision> {
        let last = self.history.get(self.revision)?;
        Some(to_revision(last.record()))
    }

    /// Returns the document at `revision`; `None` if that is in the future or before the history.
    pub fn document_at(&self, revision: u64) -> Option<Document> {
        if revision > self.revision || revision + 1 < self.oldest_audit() {
            return None;
        }
        let mut document = Document::clone(&self.document);
        for record in self.history.records_from(revision + 1).rev() {
            let undo = |s: AuditSection| SectionChange {
                id: s.id,
                after: s.before,
            };
            document.apply(&record.sections.into_iter().map(undo).collect::<Vec<_>>());
        }
        Some(document)
    }

    /// Returns the reply to a change whose id was applied before; `None` for a new id.
    pub fn reply_to_retry(&self, change: &Change) -> Option<Result<ChangeReply, ChangeError>> {
        let revision = self.history.revision_of(&change.change)?;
        let stored = self.history.get(revision)?;
        let is_same =
            stored.submitted_hash == hash(change) || self.matches_revision(revision, change);
        Some(match is_same {
            true => Ok(ChangeReply::Accepted {
                revision,
                applied: false,
            }),
            false => Err(ChangeError::IdReused { revision }),
        })
    }

    /// Returns true if the document at `revision` has all sections of `change`: a retry may have a
    /// later base than the first submission, since a client that lost the reply fetches the newest
    /// revision.
    fn matches_revision(&self, revision: u64, change: &Change) -> bool {
        let Some(document) = self.document_at(revision) else {
            return false;
        };
        let mut sections = change.sections.iter();
        sections.all(|c| document.sections.get(&c.id) == c.after.as_ref())
    }

    /// Applies a change atomically.
    pub fn apply(&mut self, time_ms: u64, change: &Change) -> Result<ChangeReply, ChangeError> {
        if let Some(reply) = self.reply_to_retry(change) {
            return reply;
        }
        self.validate(change)?;
        let base = change.base_revision;
        let conflicts = conflicts(&self.document, &change.sections, base, |id| {
            self.changed_at(id)
        });
        if !conflicts.is_empty() {
            return Ok(ChangeReply::Conflict(conflicts));
        }
        let effective: Vec<SectionChange> = change
            .sections
            .iter()
            .filter(|c| self.document.sections.get(&c.id) != c.after.as_ref())
            .cloned()
            .collect();
        if effective.is_empty() {
            // No change now or on a retry: a section that changes later conflicts with it.
            return Ok(ChangeReply::Accepted {
                revision: self.revision,
                applied: false,
            });
        }
        let mut document = Document::clone(&self.document);
        document.apply(&effective);
        let touched = effective.iter().map(|c| &c.id);
        let amended = match &self.declaration {
            Some(declaration) => declaration.amended(&document, touched),
            None => Declaration::from_document(&document),
        };
        match amended {
            Ok(declaration) => self.declaration = Some(Arc::new(declaration)),
            Err(faults) => return Ok(ChangeReply::Invalid(faults.0)),
        }
        self.accept(time_ms, change, effective, document);
        Ok(ChangeReply::Accepted {
            revision: self.revision,
            applied: true,
        })
    }

    /// Replaces the document by that of `replacement`, as one change of the sections that differ.
    pub fn replace(
        &mut self,
        time_ms: u64,
        replacement: &Replacement,
    ) -> Result<ChangeReply, ChangeError> {
        let version = replacement.version;
        let change = Change {
            change: Uuid::from_u64_pair(xxh3_64(&replacement.original), version),
            base_revision: self.revision,
            author: replacement.author.clone(),
            reason: format!("version {version}"),
            sections: changes_between(&self.document, &replacement.document),
        };
        self.apply(time_ms, &change)
    }

    fn validate(&self, change: &Change) -> Result<(), ChangeError> {
        let (base, revision) = (change.base_revision, self.revision);
        let oldest = self.oldest_audit() - 1;
        if base > revision {
            return Err(ChangeError::FutureBase { base, revision });
        }
        if base < oldest {
            return Err(ChangeError::ForgottenBase { base, oldest });
        }
        let mut ids: Vec<&SectionId> = change.sections.iter().map(|c| &c.id).collect();
        ids.sort();
        if ids.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(ChangeError::DuplicateSection);
        }
        let author = 1..=MAX_AUTHOR_BYTES;
        let reason = 1..=MAX_REASON_BYTES;
        if !author.contains(&change.author.len()) || !reason.contains(&change.reason.len()) {
            return Err(ChangeError::InvalidAuthorOrReason);
        }
        Ok(())
    }

    fn changed_at(&self, id: &SectionId) -> u64 {
        self.changed_at.get(id).copied().unwrap_or(0)
    }

    fn accept(
        &mut self,
        time_ms: u64,
        change: &Change,
        effective: Vec<SectionChange>,
        document: Document,
    ) {
        self.revision += 1;
        let before = inverse(&self.document, &effective);
        let sections = before.into_iter().zip(effective);
        let sections = sections.map(|(before, after)| AuditSection {
            id: after.id,
            before: before.after,
            after: after.after,
        });
        let record = AuditRecord {
            revision: self.revision,
            time_ms,
            author: change.author.clone(),
            reason: change.reason.clone(),
            change: change.change,
            sections: sections.collect(),
        };
        for section in &record.sections {
            self.changed_at.insert(section.id.clone(), self.revision);
        }
        self.document = Arc::new(document);
        self.history.push(&record, hash(change));
        self.limit_history(MAX_HISTORY_BYTES);
    }

    /// Drops the oldest audit records beyond `max_bytes`, but never the last one.
    pub fn limit_history(&mut self, max_bytes: usize) {
        while self.history.len() > MAX_HISTORY || self.history.bytes() > max_bytes {
            let Some(record) = self.history.pop_oldest() else {
                break;
            };
            for section in &record.sections {
                let is_last = self.changed_at.get(&section.id) == Some(&record.revision);
                // Bases before this record are refused from now on, so it can't conflict again.
                if is_last {
                    self.changed_at.remove(&section.id);
                }
            }
        }
    }

    /// Returns the part that a snapshot stores.
    pub fn to_snapshot(&self) -> DeclarationSnapshot {
        DeclarationSnapshot {
            revision: self.revision,
            document: Document::clone(&self.document),
            changed_at: self.changed_at.clone(),
            history: self.history.to_snapshot(),
        }
    }

    /// Restores a store from a snapshot.
    pub fn from_snapshot(snapshot: DeclarationSnapshot) -> Self {
        Self {
            revision: snapshot.revision,
            declaration: Declaration::from_document(&snapshot.document)
                .ok()
                .map(Arc::new),
            document: Arc::new(snapshot.document),
            changed_at: snapshot.changed_at,
            history: History::from_snapshot(snapshot.history),
        }
    }
}

/// Hashes the base and sections of a change.
fn hash(change: &Change) -> u64 {
    xxh3_64(&link::encode(&(change.base_revision, &change.sections)))
}

fn to_revision(record: AuditRecord) -> Revision {
    let sections = record.sections.into_iter().map(|s| SectionChange {
        id: s.id,
        after: s.after,
    });
    Revision {
        revision: record.revision,
        sections: sections.collect(),
    }
}
