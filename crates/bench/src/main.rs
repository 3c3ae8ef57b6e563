//! Stand-ins, fault-injecting proxy, load and experiments for development.

fn main() {}
