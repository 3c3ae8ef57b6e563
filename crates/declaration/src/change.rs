//! Changes by section: differences, inverses and conflicts.

use derives::record;
use uuid::Uuid;

use crate::{Document, SectionId, SectionText, document::section_bytes};

/// One section's new content; `after: None` deletes the section.
#[record]
#[derive(Eq)]
pub struct SectionChange {
    /// Id of the section.
    pub id: SectionId,
    /// Content after the change.
    pub after: Option<SectionText>,
}

impl SectionChange {
    /// Returns the approximate encoded size in bytes.
    pub fn approximate_bytes(&self) -> usize {
        section_bytes(&self.id, self.after.as_ref())
    }
}

/// A change submitted by an operator; idempotent by its id `change`.
#[record]
#[derive(Eq)]
pub struct Change {
    /// Id of the change; unchanged when it is resent.
    pub change: Uuid,
    /// The revision that the change is based on.
    pub base_revision: u64,
    /// Author of the change.
    pub author: String,
    /// Reason given by the author.
    pub reason: String,
    /// The changed sections.
    pub sections: Vec<SectionChange>,
}

/// A section of a refused change that was modified since the base revision.
#[record]
#[derive(Eq)]
pub struct Conflict {
    /// Id of the section.
    pub id: SectionId,
    /// The revision that last modified the section.
    pub revision: u64,
    /// Content in force; `None` if the section is deleted.
    pub current: Option<SectionText>,
    /// Content in the refused change; `None` to delete the section.
    pub proposed: Option<SectionText>,
}

/// Returns the section changes that turn `before` into `after`.
pub fn changes_between(before: &Document, after: &Document) -> Vec<SectionChange> {
    let deleted = before
        .sections
        .keys()
        .filter(|id| !after.sections.contains_key(*id))
        .map(|id| SectionChange {
            id: id.clone(),
            after: None,
        });
    let written = after
        .sections
        .iter()
        .filter(|(id, text)| before.sections.get(*id) != Some(*text))
        .map(|(id, text)| SectionChange {
            id: id.clone(),
            after: Some(text.clone()),
        });
    deleted.chain(written).collect()
}

/// Returns the section changes that undo `changes`, which are applied to `before`.
pub fn inverse(before: &Document, changes: &[SectionChange]) -> Vec<SectionChange> {
    changes
        .iter()
        .map(|change| SectionChange {
            id: change.id.clone(),
            after: before.sections.get(&change.id).cloned(),
        })
        .collect()
}

/// Returns the conflicts of `changes`: sections whose last revision, given by `changed_at`, is later
/// than `base`.
pub fn conflicts(
    current: &Document,
    changes: &[SectionChange],
    base: u64,
    changed_at: impl Fn(&SectionId) -> u64,
) -> Vec<Conflict> {
    changes
        .iter()
        .filter(|change| changed_at(&change.id) > base)
        .map(|change| Conflict {
            id: change.id.clone(),
            revision: changed_at(&change.id),
            current: current.sections.get(&change.id).cloned(),
            proposed: change.after.clone(),
        })
        .collect()
}

impl Document {
    /// Applies `changes` in place.
    pub fn apply(&mut self, changes: &[SectionChange]) {
        for change in changes {
            match &change.after {
                Some(text) => self.sections.insert(change.id.clone(), text.clone()),
                None => self.sections.remove(&change.id),
            };
        }
    }
}
