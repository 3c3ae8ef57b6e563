//! What is in force where: the revision of every gate and the orders of every controller.

use std::time::Duration;

use futures_util::future::join_all;
use link::{
    Channel, LinkError, Peer,
    follow::{FollowReply, FollowRequest},
};
use membership::{Reply, Request, UnavailableEndpoint};
use serde_json::Value;

use crate::app::App;

/// Bound on one gate's answer.
const ASK_LIMIT: Duration = Duration::from_millis(800);

/// One gate's answer.
#[derive(Debug)]
pub(crate) struct GateState {
    pub(crate) name: String,
    pub(crate) revision: Result<u64, String>,
    /// Endpoints that get no new work from it.
    pub(crate) absent: Vec<UnavailableEndpoint>,
}

/// One controller's answer.
#[derive(Debug)]
pub(crate) struct ControllerState {
    pub(crate) name: String,
    pub(crate) status: Result<Value, String>,
}

/// Asks every gate at once.
pub(crate) async fn gates(app: &App) -> Vec<GateState> {
    join_all(app.gates.iter().map(gate)).await
}

async fn gate(peer: &Peer) -> GateState {
    // Nothing can come after the highest revision, so that the answer is only the one in force.
    let req = FollowRequest {
        after: u64::MAX,
        wait: Duration::ZERO,
    };
    let reply: Result<FollowReply, LinkError> = peer.call(Channel::Follow, &req, ASK_LIMIT).await;
    let revision = match reply {
        Ok(FollowReply::Unchanged { revision } | FollowReply::Snapshot { revision, .. }) => {
            Ok(revision)
        }
        Ok(FollowReply::Unavailable) => Err("has no declaration yet".to_owned()),
        Ok(FollowReply::Changes(_)) => Err("answered something else than was asked".to_owned()),
        Err(e) => Err(e.to_string()),
    };
    let absent = peer
        .call(Channel::Membership, &Request::Unavailable, ASK_LIMIT)
        .await;
    GateState {
        name: peer.name().to_owned(),
        revision,
        // One that tells nothing of endpoints tells so by its revision.
        absent: match absent {
            Ok(Reply::Unavailable(absent)) => absent,
            _ => Vec::new(),
        },
    }
}

/// Asks every controller at once.
pub(crate) async fn controllers(app: &App) -> Vec<ControllerState> {
    let ask = app.controllers.iter().map(|controller| async move {
        let url = format!("http://{}/v1/status", controller.address);
        let status = match app.client.get(&url).await {
            Ok(answer) => serde_json::from_slice(&answer.body).map_err(|e| e.to_string()),
            Err(e) => Err(e.to_string()),
        };
        ControllerState {
            name: controller.name.clone(),
            status,
        }
    });
    join_all(ask).await
}
