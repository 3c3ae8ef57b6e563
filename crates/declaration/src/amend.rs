//! Incremental update of a declaration, at a cost proportional to the change.

use inifile::Faults;

use crate::{
    Declaration, Document, SectionId,
    keys::{SourceLines, WORKSPACE},
    read,
    read_route::ROUTE,
    validate,
};

impl Declaration {
    /// Parses and validates `document` like [`Declaration::from_document`], but only its `changed`
    /// sections. `self` must be the declaration of a document that differs from `document` in no
    /// other sections.
    ///
    /// The whole document is parsed if a section was deleted that others may refer to, and if there
    /// are faults, so that all of them are reported with their lines.
    pub fn amended<'a>(
        &self,
        document: &Document,
        changed: impl Iterator<Item = &'a SectionId> + Clone,
    ) -> Result<Self, Faults> {
        let is_deleted = |id: &SectionId| !document.sections.contains_key(id);
        let may_be_referenced = |id: &SectionId| !is_unreferenced(&id.kind) && is_deleted(id);
        if changed.clone().any(may_be_referenced) {
            return Self::from_document(document);
        }
        let mut out = self.clone();
        let mut faults = Faults::default();
        let lines = SourceLines::new("declaration", &[]);
        for id in changed.clone() {
            match document.sections.get(id) {
                Some(text) => read::parse_section(&mut out, id, text, &lines, &mut faults),
                None => delete_unreferenced(&mut out, id),
            }
        }
        validate::changed_references(&out, changed, &lines, &mut faults);
        match faults.0.is_empty() {
            true => Ok(out),
            false => Self::from_document(document),
        }
    }
}

/// Returns true if no section refers to sections of `kind`, so that one can be deleted without
/// checking the others.
fn is_unreferenced(kind: &str) -> bool {
    matches!(kind, WORKSPACE | ROUTE)
}

/// Deletes a section of a kind that no other section refers to.
fn delete_unreferenced(out: &mut Declaration, id: &SectionId) {
    match id.kind.as_str() {
        WORKSPACE => drop(out.workspaces.remove(&id.name)),
        _ => drop(out.routes.remove(&id.name)),
    }
}
