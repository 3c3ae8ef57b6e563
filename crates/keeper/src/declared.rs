//! The declaration by sections, its revisions and its audit trail.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use declaration::{
    AuditRecord, AuditSection, Change, Declaration, Document, SectionChange, SectionId,
    SectionText, changes_between, conflicts, inverse,
};
use derives::record;
use link::{
    follow::Revision,
    keeper::{ChangeReply, Replacement},
};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

/// Most accepted changes whose ids and audit records are kept.
pub const MAX_HISTORY: usize = 16_384;
/// Most bytes of sections in the audit records.
const MAX_HISTORY_BYTES: usize = 64 << 20;
const MAX_AUTHOR_BYTES: usize = 128;
const MAX_REASON_BYTES: usize = 4_096;

/// One accepted change as it is kept.
#[record]
#[derive(Eq)]
struct Kept {
    record: AuditRecord,
    /// Hash of what was submitted, to tell a resend from another change under the same id.
    submitted: u64,
}

/// Why a change was refused before any conflict or fault was looked for.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// The base revision is not there yet.
    #[error("change: base_revision {base} is later than revision {revision}; read the declaration")]
    FutureBase {
        /// What the change is based on.
        base: u64,
        /// The revision in force.
        revision: u64,
    },
    /// Whether the change was applied before can't be known any more.
    #[error(
        "change: base_revision {base} is older than what is remembered, from revision {oldest} on; \
         read the declaration and make the change anew"
    )]
    ForgottenBase {
        /// What the change is based on.
        base: u64,
        /// The oldest base that is taken.
        oldest: u64,
    },
    /// The id was used for another change.
    #[error("change: the id was used for another change, which made revision {revision}")]
    IdReused {
        /// The revision that the other change made.
        revision: u64,
    },
    /// A section stands twice in the change.
    #[error("change: a section stands twice; keep one")]
    SectionTwice,
    /// Author or reason are missing or too long.
    #[error(
        "change: author must have 1 to {MAX_AUTHOR_BYTES} bytes and reason 1 to \
         {MAX_REASON_BYTES}"
    )]
    AuthorOrReason,
}

/// The declaration with its history; a copy shares the document and the audit records.
#[derive(Clone, Debug, PartialEq)]
pub struct Declared {
    revision: u64,
    document: Arc<Document>,
    /// The document as types; `None` after a restart from a snapshot that this program would refuse.
    declaration: Option<Arc<Declaration>>,
    /// The revision that last changed or deleted a section, as far as history goes back.
    changed_at: BTreeMap<SectionId, u64>,
    history: VecDeque<Arc<Kept>>,
    history_bytes: usize,
    ids: HashMap<Uuid, u64>,
}

impl Default for Declared {
    fn default() -> Self {
        Self {
            revision: 0,
            document: Arc::default(),
            declaration: Some(Arc::default()),
            changed_at: BTreeMap::new(),
            history: VecDeque::new(),
            history_bytes: 0,
            ids: HashMap::new(),
        }
    }
}

/// A [`Declared`] in a snapshot; the rest follows from it.
#[record]
pub struct DeclaredSnapshot {
    revision: u64,
    document: Document,
    changed_at: BTreeMap<SectionId, u64>,
    history: VecDeque<Kept>,
}

impl Declared {
    /// The revision in force.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The document in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The audit records from `revision` on, as far as they are kept.
    pub fn audit(&self, revision: u64) -> impl Iterator<Item = &AuditRecord> {
        let skip = revision.saturating_sub(self.oldest_audit()) as usize;
        self.history.iter().skip(skip).map(|kept| &kept.record)
    }

    /// The first revision whose audit record is kept; one past the last where none is.
    pub fn oldest_audit(&self) -> u64 {
        let first = self.history.front();
        first.map_or(self.revision + 1, |kept| kept.record.revision)
    }

    /// The last `n` changes as followers see them.
    pub fn recent(&self, n: usize) -> Vec<Revision> {
        let skip = self.history.len().saturating_sub(n);
        let recent = self.history.iter().skip(skip);
        recent.map(|kept| as_revision(&kept.record)).collect()
    }

    /// The last change as followers see it.
    pub fn last(&self) -> Option<Revision> {
        self.history.back().map(|kept| as_revision(&kept.record))
    }

    /// The document as of `revision`; `None` where history does not go back that far, or forward.
    pub fn document_at(&self, revision: u64) -> Option<Document> {
        if revision > self.revision || revision + 1 < self.oldest_audit() {
            return None;
        }
        let mut document = Document::clone(&self.document);
        let later = self.history.iter().rev().map(|kept| &kept.record);
        for record in later.take_while(|r| r.revision > revision) {
            let undo = |s: &AuditSection| SectionChange {
                id: s.id.clone(),
                after: s.before.clone(),
            };
            document.apply(&record.sections.iter().map(undo).collect::<Vec<_>>());
        }
        Some(document)
    }

    /// What became of a change that was applied before.
    pub fn resent(&self, change: &Change) -> Option<Result<ChangeReply, ChangeError>> {
        let revision = *self.ids.get(&change.change)?;
        let skip = (revision - self.oldest_audit()) as usize;
        let kept = self.history.get(skip)?;
        let is_same = kept.submitted == hash(change) || self.is_made_by(revision, change);
        Some(match is_same {
            true => Ok(ChangeReply::Accepted {
                revision,
                applied: false,
            }),
            false => Err(ChangeError::IdReused { revision }),
        })
    }

    /// Whether every section of `change` stood so at `revision`: a resend may be based on a later
    /// revision than the first submission, since a client that lost the answer asks for the newest.
    fn is_made_by(&self, revision: u64, change: &Change) -> bool {
        let Some(made) = self.document_at(revision) else {
            return false;
        };
        let mut sections = change.sections.iter();
        sections.all(|c| made.sections.get(&c.id) == c.after.as_ref())
    }

    /// Applies a change whole, or not at all.
    pub fn apply(&mut self, time_ms: u64, change: &Change) -> Result<ChangeReply, ChangeError> {
        if let Some(reply) = self.resent(change) {
            return reply;
        }
        self.check(change)?;
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
            // Nothing to do, now or on a resend: a section that changes later conflicts with it.
            return Ok(ChangeReply::Accepted {
                revision: self.revision,
                applied: false,
            });
        }
        let mut document = Document::clone(&self.document);
        document.apply(&effective);
        let touched = effective.iter().map(|c| &c.id);
        let typed = match &self.declaration {
            Some(declaration) => declaration.amended(&document, touched),
            None => Declaration::from_document(&document),
        };
        match typed {
            Ok(declaration) => self.declaration = Some(Arc::new(declaration)),
            Err(faults) => return Ok(ChangeReply::Invalid(faults.0)),
        }
        self.accept(time_ms, change, effective, document);
        Ok(ChangeReply::Accepted {
            revision: self.revision,
            applied: true,
        })
    }

    /// Makes the whole document that of `replacement`, as one change of the sections that differ.
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

    fn check(&self, change: &Change) -> Result<(), ChangeError> {
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
            return Err(ChangeError::SectionTwice);
        }
        let author = 1..=MAX_AUTHOR_BYTES;
        let reason = 1..=MAX_REASON_BYTES;
        if !author.contains(&change.author.len()) || !reason.contains(&change.reason.len()) {
            return Err(ChangeError::AuthorOrReason);
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
        let submitted = hash(change);
        self.remember(Kept { record, submitted });
        self.forget();
    }

    fn remember(&mut self, kept: Kept) {
        self.ids.insert(kept.record.change, kept.record.revision);
        self.history_bytes += size(&kept.record);
        self.history.push_back(Arc::new(kept));
    }

    /// Drops the oldest history beyond the bounds. The last record always stays.
    fn forget(&mut self) {
        while self.history.len() > 1
            && (self.history.len() > MAX_HISTORY || self.history_bytes > MAX_HISTORY_BYTES)
        {
            let Some(kept) = self.history.pop_front() else {
                return;
            };
            let record = &kept.record;
            self.history_bytes -= size(record);
            self.ids.remove(&record.change);
            for section in &record.sections {
                let is_last = self.changed_at.get(&section.id) == Some(&record.revision);
                // No base before this record is taken any more, so it can't conflict again.
                if is_last {
                    self.changed_at.remove(&section.id);
                }
            }
        }
    }

    /// The part that a snapshot holds.
    pub fn to_snapshot(&self) -> DeclaredSnapshot {
        DeclaredSnapshot {
            revision: self.revision,
            document: Document::clone(&self.document),
            changed_at: self.changed_at.clone(),
            history: self.history.iter().map(|kept| Kept::clone(kept)).collect(),
        }
    }

    /// The state that a snapshot holds.
    pub fn from_snapshot(snapshot: DeclaredSnapshot) -> Self {
        let mut declared = Self {
            revision: snapshot.revision,
            declaration: Declaration::from_document(&snapshot.document)
                .ok()
                .map(Arc::new),
            document: Arc::new(snapshot.document),
            changed_at: snapshot.changed_at,
            ..Self::default()
        };
        for kept in snapshot.history {
            declared.remember(kept);
        }
        declared
    }
}

/// Hash of what a change asks for.
fn hash(change: &Change) -> u64 {
    xxh3_64(&link::encode(&(change.base_revision, &change.sections)))
}

fn as_revision(record: &AuditRecord) -> Revision {
    let sections = record.sections.iter().map(|s| SectionChange {
        id: s.id.clone(),
        after: s.after.clone(),
    });
    Revision {
        revision: record.revision,
        sections: sections.collect(),
    }
}

/// Bytes that a record takes, roughly.
fn size(record: &AuditRecord) -> usize {
    let text = |t: &Option<SectionText>| match t {
        None => 0,
        Some(t) => {
            let entries = t.entries.iter().map(|(k, v)| k.len() + v.len() + 48);
            let comments = t.comments.iter().map(|c| c.len() + 24);
            entries.sum::<usize>() + comments.sum::<usize>()
        }
    };
    let section = |s: &AuditSection| {
        s.id.kind.len() + s.id.name.len() + text(&s.before) + text(&s.after) + 96
    };
    let sections: usize = record.sections.iter().map(section).sum();
    record.author.len() + record.reason.len() + sections + 128
}
