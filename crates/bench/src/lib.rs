//! Development tools: endpoint stand-ins, a fault-injecting proxy, load generation and experiments.

pub mod baseline;
pub mod check;
pub mod client;
pub mod deployment;
pub mod experiment;
pub mod load;
pub mod output;
pub mod processes;
pub mod proxy;
pub mod rate_check;
pub mod raw_endpoint;
pub mod stand_in;
