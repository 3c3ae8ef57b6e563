//! The replicated log: storage and agreement.
//!
//! [`Replica`] keeps a log in step with other voters and hands committed entries to a
//! [`StateMachine`] in order, the same on every replica.

mod machine;

pub use machine::StateMachine;
