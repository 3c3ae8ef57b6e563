//! Changes by section: what differs, what undoes it, what conflicts.

use derives::record;
use uuid::Uuid;

use crate::{Document, SectionId, SectionText};

/// One section's new content; `after: None` deletes the section.
#[record]
#[derive(Eq)]
pub struct SectionChange {
    /// Which section.
    pub id: SectionId,
    /// Its content after the change.
    pub after: Option<SectionText>,
}

/// A change as operators submit it, idempotent by `change`.
#[record]
#[derive(Eq)]
pub struct Change {
    /// The change id: a resend carries the same one.
    pub change: Uuid,
    /// The revision on which the author based it.
    pub base_revision: u64,
    /// Who made it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// The sections that it touches.
    pub sections: Vec<SectionChange>,
}

/// A section that changed since the base of a change that touches it too.
#[record]
#[derive(Eq)]
pub struct Conflict {
    /// Which section.
    pub id: SectionId,
    /// The revision that last changed it.
    pub revision: u64,
    /// What is in force.
    pub current: Option<SectionText>,
    /// What the refused change asked for.
    pub proposed: Option<SectionText>,
}

/// The section changes that turn `before` into `after`.
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

/// The section changes that undo `changes` on `before`, the document they are applied to.
pub fn inverse(before: &Document, changes: &[SectionChange]) -> Vec<SectionChange> {
    changes
        .iter()
        .map(|change| SectionChange {
            id: change.id.clone(),
            after: before.sections.get(&change.id).cloned(),
        })
        .collect()
}

/// The sections of `changes` that `changed_at` says were changed after `base`.
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
