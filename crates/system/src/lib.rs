//! Tests of the whole system: real processes behind the fault-injecting proxy.
//!
//! [`Env`] starts keepers, gates, controllers and a console in three availability zones. Each pair
//! of an availability zone and a process with a link listener has its own proxy, so that a zone can
//! be cut off and addresses are known before processes start.

mod blocked;
mod browser;
mod caller;
mod env;
mod settings;
mod wait;

pub use blocked::block_part;
pub use browser::{Browser, Fields, Page};
pub use caller::{CallerRequest, CallerResponse, booking, new_key};
pub use env::{Env, KEEPER_VMS, VM_NAMES, Vm};
pub use wait::wait_until;
