//! Turns a submitted form into a change, validates it and sends it to the keepers.

use std::time::Duration;

use declaration::{
    Change, Conflict, Declaration, Document, Fault, Faults, SectionChange, SectionText,
};
use link::{
    keeper::{ChangeReply, KeeperReply, KeeperRequest},
    keepers::{Keepers, KeepersError},
};
use uuid::Uuid;

use crate::fields::FormContent;

/// Timeout of one submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(8);

/// A change to one section that was not accepted yet.
#[derive(Clone, Debug)]
pub(crate) struct Draft {
    /// Change id, generated when the form is first opened.
    pub(crate) change: Uuid,
    /// Revision that was in force when the form was opened.
    pub(crate) base_revision: u64,
    /// Content of the section in that revision.
    pub(crate) base: Option<SectionText>,
    /// Content of the form.
    pub(crate) form: FormContent,
    /// Author of the change.
    pub(crate) author: String,
    /// Reason for the change, for the audit trail.
    pub(crate) reason: String,
}

/// Result of a submission.
#[derive(Debug)]
pub(crate) enum SubmitResult {
    Accepted { revision: u64, applied: bool },
    Conflict(Vec<Conflict>),
    Invalid(Vec<Fault>),
    Refused(String),
    Unavailable(KeepersError),
}

impl Draft {
    fn sections(&self) -> Vec<SectionChange> {
        vec![SectionChange {
            id: self.form.id.clone(),
            after: self.form.section_after(),
        }]
    }

    /// Returns `in_force` with the change applied.
    pub(crate) fn apply_to(&self, in_force: &Document) -> Document {
        let mut document = in_force.clone();
        document.apply(&self.sections());
        document
    }

    /// Returns all faults of the document after the change, and of the form's own fields.
    pub(crate) fn faults(&self, in_force: &Document) -> Vec<Fault> {
        let mut faults = match Declaration::from_document(&self.apply_to(in_force)) {
            Ok(_) => Vec::new(),
            Err(Faults(faults)) => faults,
        };
        let id = &self.form.id;
        let mut require = |key: &str, value: &str, what: &str| {
            if value.trim().is_empty() {
                faults.push(Fault {
                    file: String::new(),
                    line: 0,
                    section: id.to_string(),
                    key: key.to_owned(),
                    what: what.to_owned(),
                });
            }
        };
        require("name", &id.name, "missing; give the section a name");
        require("author", &self.author, "missing; say who makes the change");
        require(
            "reason",
            &self.reason,
            "missing; say why, for the audit trail",
        );
        faults
    }

    /// Sends the change. Safe to repeat because the change id stays the same.
    pub(crate) async fn submit(&self, keepers: &Keepers) -> SubmitResult {
        let req = KeeperRequest::Change(Change {
            change: self.change,
            base_revision: self.base_revision,
            author: self.author.clone(),
            reason: self.reason.clone(),
            sections: self.sections(),
        });
        match keepers.request(&req, SUBMIT_TIMEOUT).await {
            Ok(KeeperReply::Change(ChangeReply::Accepted { revision, applied })) => {
                SubmitResult::Accepted { revision, applied }
            }
            Ok(KeeperReply::Change(ChangeReply::Conflict(conflicts))) => {
                SubmitResult::Conflict(conflicts)
            }
            Ok(KeeperReply::Change(ChangeReply::Invalid(faults))) => SubmitResult::Invalid(faults),
            Ok(KeeperReply::Invalid(what)) => SubmitResult::Refused(what),
            Ok(_) => {
                SubmitResult::Refused("a keeper sent a response of an unexpected kind".to_owned())
            }
            Err(e) => SubmitResult::Unavailable(e),
        }
    }
}
