//! Records of the audit trail.

use derives::record;
use uuid::Uuid;

use crate::{SectionId, SectionText};

/// One accepted change.
#[record]
#[derive(Eq)]
pub struct AuditRecord {
    /// The revision that the change created.
    pub revision: u64,
    /// Time of acceptance by the leader's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Author of the change.
    pub author: String,
    /// Reason given by the author.
    pub reason: String,
    /// Id of the change.
    pub change: Uuid,
    /// The changed sections.
    pub sections: Vec<AuditSection>,
}

/// One section before and after a change.
#[record]
#[derive(Eq)]
pub struct AuditSection {
    /// Id of the section.
    pub id: SectionId,
    /// Content before the change; `None` if the section was added.
    pub before: Option<SectionText>,
    /// Content after the change; `None` if the section was deleted.
    pub after: Option<SectionText>,
}
