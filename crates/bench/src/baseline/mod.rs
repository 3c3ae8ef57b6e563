//! A plain gate to compare with: no retries, no hedges, no limits, no ledger.
//!
//! It takes the same HTTP from callers and the same announcements. All baseline gates of a run
//! share one table of endpoints, so that a comparison is not decided by how they learn of them.

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

/// How a baseline gate picks an endpoint.
#[token]
#[serde(rename_all = "kebab-case")]
pub enum PickPolicy {
    /// In turn.
    RoundRobin,
    /// The one with the fewest calls in flight from this gate.
    LeastInFlight,
}

/// A running baseline gate; dropping it ends it at once.
#[derive(Debug)]
pub struct BaselineGate {
    address: SocketAddr,
    _tasks: JoinSet<()>,
}

/// What the connections of one baseline gate share.
#[derive(Debug)]
struct GateState {
    az: String,
    policy: PickPolicy,
    declaration: Declaration,
    table: Arc<EndpointTable>,
    client: Client,
}

impl BaselineGate {
    /// Starts a gate of availability zone `az`.
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

    /// Where it takes HTTP.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
