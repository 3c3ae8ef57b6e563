//! Placement of calls with prompts by one gate of each availability zone, the placement coordinator of
//! their service.
//!
//! [`Coordinator`] holds the tables of the services that a gate coordinates, [`Outbox`] what a gate
//! has not yet told the coordinator of a service. Neither does I/O; `forward` carries the messages.

mod coordinator;
mod messages;
mod mode;
mod outbox;

pub use coordinator::{Coordinator, Sender};
pub use messages::{
    Call, FirstEventReport, Placed, PlacementReply, PlacementRequest, Reports, StartedCall,
};
pub use mode::EnginePlacement;
pub use outbox::Outbox;

#[cfg(test)]
mod tests;
