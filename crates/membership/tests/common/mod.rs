//! Announcements and tables for tests.

use membership::{Announcement, Load, LoadedModel, Readiness, StageRole, Table, TableConfig};
use uuid::Uuid;

/// A later `life` has a greater incarnation.
pub fn incarnation(life: u8) -> Uuid {
    Uuid::from_u128(0x0190_0000_0000_7000_8000_0000_0000_0000 + u128::from(life))
}

/// What `endpoint` says in its `life` under `seq`.
pub fn announcement(endpoint: &str, life: u8, seq: u64) -> Announcement {
    Announcement {
        endpoint: endpoint.to_owned(),
        service: "appraise-llm".to_owned(),
        az: "sousse-a".to_owned(),
        address: "http://127.0.0.1:9000".to_owned(),
        incarnation: incarnation(life),
        seq,
        state: Readiness::Ready,
        models: vec![LoadedModel {
            model: "appraise-7b".to_owned(),
            version: 3,
            adapters: Vec::new(),
        }],
        role: StageRole::Both,
        checks_fencing: false,
        slots: None,
        load: Load::default(),
    }
}

/// An empty table of a gate in sousse-a.
pub fn table(gate: &str) -> Table {
    Table::new(TableConfig::new(gate, "sousse-a"))
}
