//! The declaration: types, parsing, canonical text, validation and changes.
//!
//! Operators describe availability zones, services, pipelines, workspaces and routes in one INI
//! document. [`Declaration::read`] parses the text and reports all faults at once; [`Document`] is the
//! same content as plain sections, the unit of changes.

mod amend;
mod audit;
mod change;
mod diff;
mod document;
mod keys;
mod label;
mod lint;
mod read;
mod read_route;
mod route;
mod types;
mod validate;

pub use audit::{AuditRecord, AuditSection};
pub use change::{Change, Conflict, SectionChange, changes_between, conflicts, inverse};
pub use diff::{diff, section_diff};
pub use document::{Document, SectionId, SectionText};
pub use inifile::{Fault, Faults};
pub use label::encode_label;
pub use lint::{Finding, lint};
pub use route::{
    BatchCapacity, CallerLimits, Capacity, RepeatPolicy, ResponseKind, Route, RouteStage,
    WeightedService,
};
pub use types::{
    AvailabilityZone, Declaration, KeyDigest, Pipeline, Priority, RoleShares, Service, ServiceKind,
    Workspace,
};
