//! The declaration: types, reading, canonical writing, validation, changes.
//!
//! Operators describe availability zones, services, pipelines and workspaces in one INI document.
//! [`Declaration::read`] turns the text into types and lists every fault at once;
//! [`Document`] is the same content as plain sections, the unit in which changes are made.

mod amend;
mod audit;
mod change;
mod diff;
mod document;
mod keys;
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
pub use route::{
    BatchCapacity, CallerLimits, Capacity, RepeatPolicy, ResponseKind, Route, RouteStage,
    WeightedService,
};
pub use types::{
    AvailabilityZone, Declaration, KeyDigest, Pipeline, Priority, RoleShares, Service, ServiceKind,
    Workspace,
};
