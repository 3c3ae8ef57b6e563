//! The console's settings.

use std::net::SocketAddr;

use host::settings::{Operator, Peer, Reader, Secret, Vm};

/// One console's settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// The VM on which it runs.
    pub vm: Vm,
    /// Where it takes HTTP.
    pub http: SocketAddr,
    /// The keepers' links.
    pub keepers: Vec<Peer>,
    /// The gates' links, for what is in force where.
    pub gates: Vec<Peer>,
    /// The controllers' HTTP addresses, for open orders.
    pub controllers: Vec<Peer>,
    /// Key of the links.
    pub link_key: Option<Secret>,
    /// Who may log in; empty where nobody has to.
    pub operators: Vec<Operator>,
}

impl Config {
    /// Takes what the console needs from `reader`.
    pub fn read(reader: &mut Reader) -> Self {
        let security = reader.security();
        Self {
            vm: reader.vm(),
            http: reader.listen("http"),
            keepers: reader.keepers(),
            gates: reader.peers("gates"),
            controllers: reader.peers("controllers"),
            link_key: security.link_key,
            operators: security.operators,
        }
    }
}
