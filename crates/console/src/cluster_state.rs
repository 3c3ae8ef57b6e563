//! Queries every gate for its revision in force and every controller for its status.

use std::time::Duration;

use futures_util::future::join_all;
use link::{
    Channel, LinkError, Peer,
    follow::{FollowReply, FollowRequest},
};
use membership::{Reply, Request, UnavailableEndpoint};
use serde_json::Value;

use crate::app::App;

/// Timeout of one query to a gate.
const GATE_QUERY_TIMEOUT: Duration = Duration::from_millis(800);

/// Result of the queries to one gate.
#[derive(Debug)]
pub(crate) struct GateState {
    pub(crate) name: String,
    pub(crate) revision: Result<u64, String>,
    /// Endpoints to which it sends no new work.
    pub(crate) unavailable: Vec<UnavailableEndpoint>,
}

/// Result of the query to one controller.
#[derive(Debug)]
pub(crate) struct ControllerState {
    pub(crate) name: String,
    pub(crate) status: Result<Value, String>,
}

/// Queries all gates concurrently.
pub(crate) async fn query_gates(app: &App) -> Vec<GateState> {
    join_all(app.gates.iter().map(query_gate)).await
}

async fn query_gate(peer: &Peer) -> GateState {
    // No revision follows the highest one, so the reply contains no changes.
    let req = FollowRequest {
        after: u64::MAX,
        wait: Duration::ZERO,
    };
    let reply: Result<FollowReply, LinkError> =
        peer.call(Channel::Follow, &req, GATE_QUERY_TIMEOUT).await;
    let revision = match reply {
        Ok(FollowReply::Unchanged { revision } | FollowReply::Snapshot { revision, .. }) => {
            Ok(revision)
        }
        Ok(FollowReply::Unavailable) => Err("has no declaration yet".to_owned()),
        Ok(FollowReply::Changes(_)) => Err("sent a response of an unexpected kind".to_owned()),
        Err(e) => Err(e.to_string()),
    };
    let unavailable = peer
        .call(
            Channel::Membership,
            &Request::Unavailable,
            GATE_QUERY_TIMEOUT,
        )
        .await;
    GateState {
        name: peer.name().to_owned(),
        revision,
        // An unreachable gate already shows the error as its revision.
        unavailable: match unavailable {
            Ok(Reply::Unavailable(unavailable)) => unavailable,
            _ => Vec::new(),
        },
    }
}

/// Queries all controllers concurrently.
pub(crate) async fn query_controllers(app: &App) -> Vec<ControllerState> {
    let queries = app.controllers.iter().map(|controller| async move {
        let url = format!("http://{}/v1/status", controller.address);
        let status = match app.client.get(&url).await {
            Ok(response) => serde_json::from_slice(&response.body).map_err(|e| e.to_string()),
            Err(e) => Err(e.to_string()),
        };
        ControllerState {
            name: controller.name.clone(),
            status,
        }
    });
    join_all(queries).await
}
