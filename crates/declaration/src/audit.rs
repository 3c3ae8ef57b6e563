//! The audit trail's records.

use derives::record;
use uuid::Uuid;

use crate::{SectionId, SectionText};

/// One accepted change.
#[record]
#[derive(Eq)]
pub struct AuditRecord {
    /// The revision that the change made.
    pub revision: u64,
    /// When it was accepted, in milliseconds since the Unix epoch by the leader's clock.
    pub time_ms: u64,
    /// Who made it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// The change id.
    pub change: Uuid,
    /// What it did to each section.
    pub sections: Vec<AuditSection>,
}

/// One section before and after a change.
#[record]
#[derive(Eq)]
pub struct AuditSection {
    /// Which section.
    pub id: SectionId,
    /// Its content before; `None` where it was new.
    pub before: Option<SectionText>,
    /// Its content after; `None` where it was deleted.
    pub after: Option<SectionText>,
}
