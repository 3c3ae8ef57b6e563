//! Startup and shutdown of a controller.

use std::{sync::Arc, time::Duration};

use host::{
    http::{self, ListenerLimits},
    role::Running,
    settings::Peer as PeerSetting,
    shutdown::StopSignal,
};
use link::{
    Identity, LinkConfig, Peer, Role,
    follower::{Follower, FollowerConfig},
    keepers::Keepers,
};
use tokio::sync::watch;
use uuid::Uuid;

use crate::{
    comparison,
    config::Config,
    endpoints::{self, EndpointSnapshot},
    lease::LeaseHolder,
    pages::{PageState, router},
    reconcile::Reconciler,
};

const HTTP_DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a controller; on shutdown by `stopped` it releases its lease.
pub async fn start(cfg: Config, mut stopped: StopSignal) -> eyre::Result<Running> {
    let bound = http::bind(cfg.http).await?;
    let local = bound.local_addr;
    let (vm, az) = (&cfg.vm.name, &cfg.vm.availability_zone);
    let mut link_cfg = LinkConfig::new(Identity {
        vm: vm.clone(),
        az: az.clone(),
        role: Role::Controller,
        incarnation: Uuid::now_v7(),
    });
    link_cfg.key = cfg.link_key.as_ref().map(|key| key.expose().to_vec());
    let (keepers, gates) = (
        connect(&cfg.keepers, &link_cfg),
        connect(&cfg.gates, &link_cfg),
    );
    let sources = keepers.iter().chain(&gates).cloned().collect();
    let follower = Follower::start(sources, FollowerConfig::default());
    let keepers = Arc::new(Keepers::new(keepers));
    let lease = Arc::new(LeaseHolder::new(keepers, az, vm, cfg.limits.lease_duration));
    let (snapshot_tx, snapshot) = watch::channel(EndpointSnapshot::default());
    let reconciler = Reconciler::new(cfg.limits, lease.state(), follower.in_force(), snapshot);
    let reconciler = Arc::new(reconciler);
    let page_state = Arc::new(PageState {
        vm: vm.clone(),
        az: az.clone(),
        reconciler: Arc::clone(&reconciler),
    });
    let (handle, server) = http::serve(
        bound,
        router(page_state),
        &ListenerLimits::internal("controller", &cfg.resources),
    );
    let polling = comparison::poll_gates(gates.clone(), az.clone(), Arc::clone(&reconciler));
    let polling = tokio::spawn(polling);
    let following_gates = tokio::spawn(endpoints::follow_gates(gates, az.clone(), snapshot_tx));
    let reconciling = tokio::spawn(Arc::clone(&reconciler).run(stopped.clone()));
    let renewing = Arc::clone(&lease);
    let renewing = tokio::spawn(async move { renewing.run().await });
    let task = tokio::spawn(async move {
        stopped.wait().await;
        reconciling.await?;
        renewing.abort();
        // If an order may still reach an endpoint, the lease is left to expire by itself.
        if reconciler.all_deliveries_known() {
            lease.release().await;
        }
        following_gates.abort();
        polling.abort();
        drop(follower);
        handle.stop_graceful(HTTP_DRAIN_TIMEOUT);
        server.await?;
        Ok(())
    });
    Ok(Running {
        http: local,
        link: None,
        task,
    })
}

fn connect(peers: &[PeerSetting], link_cfg: &LinkConfig) -> Vec<Peer> {
    let peers = peers.iter();
    peers
        .map(|peer| Peer::start(&peer.name, peer.address, link_cfg))
        .collect()
}
