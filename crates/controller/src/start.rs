//! Brings a controller up.

use std::{sync::Arc, time::Duration};

use host::{http, role::Running, settings::Peer as PeerSetting, shutdown::StopSignal};
use link::{
    Identity, LinkConfig, Peer, Role,
    follower::{Follower, FollowerConfig},
    keepers::Keepers,
};
use tokio::sync::watch;
use uuid::Uuid;

use crate::{
    calls,
    config::Config,
    endpoints::{self, Known},
    lease::Leaseholder,
    pages::{Shown, router},
    reconcile::Reconciler,
};

const DRAIN: Duration = Duration::from_secs(2);

/// Brings a controller up; it gives its lease up after the order of `stopped`.
pub async fn start(cfg: Config, mut stopped: StopSignal) -> eyre::Result<Running> {
    let bound = http::bind(cfg.http).await?;
    let local = bound.local_addr;
    let (vm, az) = (&cfg.vm.name, &cfg.vm.availability_zone);
    let mut links = LinkConfig::new(Identity {
        vm: vm.clone(),
        az: az.clone(),
        role: Role::Controller,
        incarnation: Uuid::now_v7(),
    });
    links.key = cfg.link_key.as_ref().map(|key| key.expose().to_vec());
    let (keepers, gates) = (connect(&cfg.keepers, &links), connect(&cfg.gates, &links));
    let sources = keepers.iter().chain(&gates).cloned().collect();
    let follower = Follower::start(sources, FollowerConfig::default());
    let keepers = Arc::new(Keepers::new(keepers));
    let lease = Arc::new(Leaseholder::new(keepers, az, vm, cfg.bounds.lease));
    let (known_tx, known) = watch::channel(Known::default());
    let reconciler = Reconciler::new(cfg.bounds, lease.state(), follower.in_force(), known);
    let reconciler = Arc::new(reconciler);
    let shown = Arc::new(Shown {
        vm: vm.clone(),
        az: az.clone(),
        reconciler: Arc::clone(&reconciler),
    });
    let (handle, server) = http::serve(bound, router(shown));
    let counting = calls::follow(gates.clone(), az.clone(), Arc::clone(&reconciler));
    let counting = tokio::spawn(counting);
    let following = tokio::spawn(endpoints::follow(gates, az.clone(), known_tx));
    let reconciling = tokio::spawn(Arc::clone(&reconciler).run(stopped.clone()));
    let asking = Arc::clone(&lease);
    let asking = tokio::spawn(async move { asking.run().await });
    let task = tokio::spawn(async move {
        stopped.wait().await;
        reconciling.await?;
        asking.abort();
        // An order that may still arrive at an endpoint keeps the lease until its own end.
        if reconciler.is_certain() {
            lease.end().await;
        }
        following.abort();
        counting.abort();
        drop(follower);
        handle.stop_graceful(DRAIN);
        server.await?;
        Ok(())
    });
    Ok(Running {
        http: local,
        link: None,
        task,
    })
}

fn connect(peers: &[PeerSetting], links: &LinkConfig) -> Vec<Peer> {
    let peers = peers.iter();
    peers
        .map(|peer| Peer::start(&peer.name, peer.address, links))
        .collect()
}
