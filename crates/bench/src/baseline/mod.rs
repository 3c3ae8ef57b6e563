//! A simple gate to compare with: no retries, no hedging, no limits, no ledger.
//!
//! It accepts the same HTTP requests and announcements as the project's gate. All baseline gates of
//! a run share one table of endpoints, so that discovery does not affect the comparison.

mod pipeline;
mod server;
mod table;

use std::{net::SocketAddr, sync::Arc};

use declaration::Declaration;
use derives::token;
use eyre::WrapErr;
use tokio::{net::TcpListener, task::JoinSet};

pub use self::table::EndpointTable;
use crate::client::Client;

/// Load-balancing policy of a baseline gate.
#[token]
#[serde(rename_all = "kebab-case")]
pub enum PickPolicy {
    /// Endpoints in rotation.
    RoundRobin,
    /// The endpoint with the fewest calls in flight from all gates that share the table.
    LeastInFlight,
}

/// A running baseline gate; dropping it stops it at once.
#[derive(Debug)]
pub struct BaselineGate {
    address: SocketAddr,
    _tasks: JoinSet<()>,
}

/// State shared by the connections of one baseline gate.
#[derive(Debug)]
struct GateState {
    az: String,
    policy: PickPolicy,
    declaration: Declaration,
    table: Arc<EndpointTable>,
    client: Client,
}

impl BaselineGate {
    /// Starts a gate in availability zone `az` on a free local port.
    pub async fn start(
        az: &str,
        policy: PickPolicy,
        declaration: Declaration,
        table: Arc<EndpointTable>,
    ) -> eyre::Result<Self> {
        let bound = TcpListener::bind(("127.0.0.1", 0)).await;
        let listener = bound.wrap_err("bind a baseline gate")?;
        let address = listener.local_addr()?;
        let gate = Arc::new(GateState {
            az: az.to_owned(),
            policy,
            declaration,
            table,
            client: Client::default(),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(server::serve(gate, listener));
        Ok(Self {
            address,
            _tasks: tasks,
        })
    }

    /// Returns the address of its HTTP listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
