//! Settings of the console.

use std::net::SocketAddr;

use host::{
    resources::Resources,
    settings::{Operator, Peer, Reader, Secret, Vm},
};

/// Settings of one console.
#[derive(Clone, Debug)]
pub struct Config {
    /// VM on which the console runs.
    pub vm: Vm,
    /// Address of the HTTP listener.
    pub http: SocketAddr,
    /// Link addresses of the keepers.
    pub keepers: Vec<Peer>,
    /// Link addresses of the gates, which the status page queries.
    pub gates: Vec<Peer>,
    /// HTTP addresses of the controllers, which the status page queries.
    pub controllers: Vec<Peer>,
    /// What the VM has; the limits on clients are derived from it.
    pub resources: Resources,
    /// Key that authenticates links.
    pub link_key: Option<Secret>,
    /// Operators who may log in; if empty, no login is required.
    pub operators: Vec<Operator>,
}

impl Config {
    /// Reads the console's settings; `reader` collects the faults.
    pub fn read(reader: &mut Reader) -> Self {
        let security = reader.security();
        Self {
            vm: reader.vm(),
            resources: Resources::read(reader),
            http: reader.listen("http"),
            keepers: reader.keepers(),
            gates: reader.peers("gates"),
            controllers: reader.peers("controllers"),
            link_key: security.link_key,
            operators: security.operators,
        }
    }
}
