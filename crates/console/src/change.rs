//! From a filled form to a change: validation as a whole, and sending it.

use std::time::Duration;

use declaration::{
    Change, Conflict, Declaration, Document, Fault, Faults, SectionChange, SectionText,
};
use link::{
    keeper::{ChangeReply, KeeperReply, KeeperRequest},
    keepers::{Keepers, KeepersError},
};
use uuid::Uuid;

use crate::fields::Filled;

/// Bound on one submission.
const SUBMIT_LIMIT: Duration = Duration::from_secs(8);

/// A form on its way to the keepers.
#[derive(Clone, Debug)]
pub(crate) struct Draft {
    /// The change id, made when the difference was first shown.
    pub(crate) change: Uuid,
    /// The revision that was in force when the form was opened.
    pub(crate) base_revision: u64,
    /// The section as it was then.
    pub(crate) base: Option<SectionText>,
    /// What was filled in.
    pub(crate) filled: Filled,
    /// Who.
    pub(crate) author: String,
    /// Why.
    pub(crate) reason: String,
}

/// What became of a submission.
#[derive(Debug)]
pub(crate) enum Submitted {
    Accepted { revision: u64, applied: bool },
    Conflict(Vec<Conflict>),
    Invalid(Vec<Fault>),
    Refused(String),
    Unavailable(KeepersError),
}

impl Draft {
    fn sections(&self) -> Vec<SectionChange> {
        vec![SectionChange {
            id: self.filled.id.clone(),
            after: self.filled.after(),
        }]
    }

    /// The document after the change, as far as what is in force here tells.
    pub(crate) fn result(&self, in_force: &Document) -> Document {
        let mut document = in_force.clone();
        document.apply(&self.sections());
        document
    }

    /// Every fault that the document would have.
    pub(crate) fn faults(&self, in_force: &Document) -> Vec<Fault> {
        let mut faults = match Declaration::from_document(&self.result(in_force)) {
            Ok(_) => Vec::new(),
            Err(Faults(faults)) => faults,
        };
        let id = &self.filled.id;
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

    /// Sends the change; safe to repeat, since the change id stays.
    pub(crate) async fn submit(&self, keepers: &Keepers) -> Submitted {
        let req = KeeperRequest::Change(Change {
            change: self.change,
            base_revision: self.base_revision,
            author: self.author.clone(),
            reason: self.reason.clone(),
            sections: self.sections(),
        });
        match keepers.request(&req, SUBMIT_LIMIT).await {
            Ok(KeeperReply::Change(ChangeReply::Accepted { revision, applied })) => {
                Submitted::Accepted { revision, applied }
            }
            Ok(KeeperReply::Change(ChangeReply::Conflict(conflicts))) => {
                Submitted::Conflict(conflicts)
            }
            Ok(KeeperReply::Change(ChangeReply::Invalid(faults))) => Submitted::Invalid(faults),
            Ok(KeeperReply::Invalid(what)) => Submitted::Refused(what),
            Ok(_) => {
                Submitted::Refused("a keeper answered something else than was asked".to_owned())
            }
            Err(e) => Submitted::Unavailable(e),
        }
    }
}
