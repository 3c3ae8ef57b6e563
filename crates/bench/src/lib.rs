//! Stand-ins, fault-injecting proxy, load and experiments for development.

pub mod check;
pub mod client;
pub mod output;
pub mod proxy;
pub mod stand_in;
