//! The next declaration made from the present one, at the cost of what changes.

use inifile::Faults;

use crate::{
    Declaration, Document, SectionId,
    keys::{Lines, WORKSPACE},
    read, validate,
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
        let may_dangle = |id: &SectionId| id.kind != WORKSPACE && is_deleted(id);
        if touched.clone().any(may_dangle) {
            return Self::from_document(document);
        }
        let mut out = self.clone();
        let mut faults = Faults::default();
        let lines = Lines::new("declaration", &[]);
        for id in touched.clone() {
            match document.sections.get(id) {
                Some(text) => read::section(&mut out, id, text, &lines, &mut faults),
                None => drop(out.workspaces.remove(&id.name)),
            }
        }
        for id in touched {
            validate::section_references(&out, id, &lines, &mut faults);
        }
        match faults.0.is_empty() {
            true => Ok(out),
            false => Self::from_document(document),
        }
    }
}
