//! The keeper: declaration, audit trail, at-most-once ledger and leases over the replicated log.

fn main() {}
