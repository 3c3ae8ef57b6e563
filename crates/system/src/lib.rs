//! Tests of the whole system: real processes behind the fault-injecting proxy.
//!
//! [`Env`] starts keepers, gates, controllers and a console of three availability zones. Every link
//! from one availability zone to a process runs through a proxy of its own, so that an availability
//! zone can be cut off and addresses are known before processes start.

mod browser;
mod caller;
mod env;
mod settings;
mod wait;

pub use browser::{Browser, Fields, Page};
pub use caller::{CallerRequest, CallerResponse, booking, new_key};
pub use env::{Env, KEEPER_VMS, VM_NAMES, Vm};
pub use wait::wait_until;
