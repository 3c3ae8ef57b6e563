//! The next declaration made from the present one, at the cost of what changes.

use inifile::Faults;

use crate::{
    Declaration, Document, SectionId,
    keys::{Lines, WORKSPACE},
    read,
    read_route::ROUTE,
    validate,
};

impl Declaration {
    /// Types and validates `document` like [`Declaration::from_document`], but only the sections
    /// `touched`. `self` is the declaration of the document from which `document` was made by
    /// changing, adding or deleting those sections and no others.
    ///
    /// All of the document is looked at where a section was deleted that others may refer to, and
    /// where there are faults, so that all of them are listed with their lines.
    pub fn amended<'a>(
        &self,
        document: &Document,
        touched: impl Iterator<Item = &'a SectionId> + Clone,
    ) -> Result<Self, Faults> {
        let is_deleted = |id: &SectionId| !document.sections.contains_key(id);
        let may_dangle = |id: &SectionId| !is_unreferenced(&id.kind) && is_deleted(id);
        if touched.clone().any(may_dangle) {
            return Self::from_document(document);
        }
        let mut out = self.clone();
        let mut faults = Faults::default();
        let lines = Lines::new("declaration", &[]);
        for id in touched.clone() {
            match document.sections.get(id) {
                Some(text) => read::section(&mut out, id, text, &lines, &mut faults),
                None => delete(&mut out, id),
            }
        }
        validate::touched_references(&out, touched, &lines, &mut faults);
        match faults.0.is_empty() {
            true => Ok(out),
            false => Self::from_document(document),
        }
    }
}

/// Whether no section refers to sections of `kind`, so that one can be deleted without a look at the
/// others.
fn is_unreferenced(kind: &str) -> bool {
    matches!(kind, WORKSPACE | ROUTE)
}

/// Deletes a section to which no other refers.
fn delete(out: &mut Declaration, id: &SectionId) {
    match id.kind.as_str() {
        WORKSPACE => drop(out.workspaces.remove(&id.name)),
        _ => drop(out.routes.remove(&id.name)),
    }
}
