//! Starts and stops a keeper.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use host::{
    http::{self, ListenerLimits},
    role::Running,
    shutdown::StopSignal,
};
use link::{Identity, LinkConfig, Peer, Role, serve};
use membership::{Table, TableConfig};
use replica::{Replica, ReplicaConfig};
use spdlog::{error, warn};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinHandle,
    time::{Instant, interval, sleep, timeout},
};
use uuid::Uuid;

use crate::{
    api_state::ApiState, config::Config, group, held_settlements::HeldSettlements,
    http_api::router, request_body, service::Service, shared_state::SharedState, state_changes,
    table_sync::sync_table,
};

/// Folder of the held settlements within the data folder.
const HELD_FOLDER: &str = "held";
/// Maximum time for requests in flight to finish during shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the last replies to be written to their sockets.
const FLUSH_DELAY: Duration = Duration::from_millis(50);
/// Time without a quorum after which a starting keeper publishes the declaration it has on disk.
const PUBLISH_GRACE: Duration = Duration::from_secs(10);
const PUBLISH_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time between checks for a failure of the log.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Binds the listeners, opens the log and serves until stopped, with a table of endpoints of its
/// own.
pub async fn start(cfg: Config, stopped: StopSignal) -> eyre::Result<Running> {
    let mut table_cfg = TableConfig::new(&cfg.vm.name, &cfg.vm.availability_zone);
    table_cfg.spans_zones = true;
    let table = Table::new(table_cfg);
    let (running, service) = start_embedded(cfg, Some(table.clone()), stopped).await?;
    let (service_tx, service_rx) = watch::channel(Some(service));
    let table_sync = tokio::spawn(sync_table(table, service_rx));
    let Running { http, link, task } = running;
    let task = tokio::spawn(async move {
        let ended = task.await?;
        table_sync.abort();
        drop(service_tx);
        ended
    });
    Ok(Running { http, link, task })
}

/// Like [`start`], for use within a larger program: also returns the service, which answers
/// requests for `table` if there is one.
pub async fn start_embedded(
    mut cfg: Config,
    table: Option<Table>,
    stopped: StopSignal,
) -> eyre::Result<(Running, Arc<Service>)> {
    warn_about_missing_security(&cfg);
    let voters = resolve_identity(&mut cfg)?;
    let bound = http::bind(cfg.http).await?;
    let listener = bind_link(cfg.link).await?;
    let (http, link) = (bound.local_addr, listener.local_addr()?);
    let links = link_config(&cfg);
    let own = &cfg.vm.name;
    let others = cfg.keepers.iter().filter(|peer| peer.name != *own);
    let peers: Vec<Peer> = others
        .map(|peer| Peer::start(&peer.name, peer.address, &links))
        .collect();
    let state = Arc::new(SharedState::new());
    let replica = Replica::start(
        replica_config(&cfg, &links, voters),
        peers.clone(),
        state.state_machine(),
    )
    .await?;
    let service = Service::new(
        replica.clone(),
        Arc::clone(&state),
        cfg.limits,
        links.clone(),
        &peers,
        cfg.advertised_link.unwrap_or(link),
        HeldSettlements::open(&cfg.folder.join(HELD_FOLDER))?,
    )?;
    let service = Arc::new(service.with_table(table));
    service.apply_stored_departures();
    let group_task = cfg.group.clone().map(|group| {
        let (service, replica) = (Arc::clone(&service), replica.clone());
        tokio::spawn(group::maintain(
            group,
            service,
            replica,
            links.clone(),
            link,
        ))
    });
    let link_service = Arc::clone(&service);
    let links = serve(listener, links, move |call| {
        let service = Arc::clone(&link_service);
        async move { service.answer(call).await }
    });
    let link_task = tokio::spawn(links);
    let publish_task = tokio::spawn(publish_when_current(Arc::clone(&service)));
    let clock_service = Arc::clone(&service);
    let clock_task = tokio::spawn(async move { clock_service.sync_clock().await });
    let state_log_task = tokio::spawn(state_changes::log_state_changes(replica.clone()));
    let settle_service = Arc::clone(&service);
    let settle_task = tokio::spawn(async move { settle_service.settle_held().await });
    let expiry_service = Arc::clone(&service);
    let expiry_task = tokio::spawn(async move { expiry_service.expire_blocks().await });
    let departing_service = Arc::clone(&service);
    let departures_task = tokio::spawn(async move { departing_service.follow_departures().await });
    let (operators, announce_token) = (cfg.operators, cfg.announce_token);
    let api = ApiState {
        service: Arc::clone(&service),
        operators,
        announce_token,
        bodies: request_body::Budgets::new(&cfg.resources),
    };
    let (handle, serving) = http::serve(
        bound,
        router(api),
        &ListenerLimits::internal("keeper", &cfg.resources),
    );
    let running_service = Arc::clone(&service);
    let task = tokio::spawn(async move {
        let failed = wait_until_stopped(&replica, stopped).await;
        handle.stop_graceful(DRAIN_TIMEOUT);
        replica.stop().await;
        // Clients retry at another keeper whatever is unanswered by then.
        let _ = timeout(DRAIN_TIMEOUT, service.drained()).await;
        sleep(FLUSH_DELAY).await;
        publish_task.abort();
        clock_task.abort();
        settle_task.abort();
        expiry_task.abort();
        departures_task.abort();
        state_log_task.abort();
        link_task.abort();
        group_task.inspect(JoinHandle::abort);
        serving.await?;
        match failed {
            None => Ok(()),
            Some(why) => Err(eyre::eyre!("keep the log: {why}")),
        }
    });
    let running = Running {
        http,
        link: Some(link),
        task,
    };
    Ok((running, running_service))
}

/// Returns the names of the first voters. In a group that manages itself, this keeper's name comes
/// from the data folder.
fn resolve_identity(cfg: &mut Config) -> eyre::Result<Vec<String>> {
    let Some(group) = &cfg.group else {
        return Ok(cfg.keepers.iter().map(|peer| peer.name.clone()).collect());
    };
    let identity = group::load_or_create_identity(&cfg.folder, cfg.link, &group.founders);
    let identity = identity.map_err(|e| {
        let folder = cfg.folder.display();
        eyre::eyre!("read the member's name in {folder}: {e}; make the folder writable")
    })?;
    cfg.vm.name = identity.name;
    cfg.folder = cfg.folder.join(group::LOG_FOLDER);
    Ok(identity.voters)
}

/// Waits until stopped, or until the log fails, and then returns the reason.
async fn wait_until_stopped(replica: &Replica, mut stopped: StopSignal) -> Option<String> {
    let mut poll = interval(STATUS_POLL_INTERVAL);
    loop {
        tokio::select! {
            () = stopped.wait() => return None,
            _ = poll.tick() => {}
        }
        if let Some(why) = replica.status().failed {
            error!("the log has stopped", kv: { step = "keep the log", why = why.clone() });
            return Some(why);
        }
    }
}

/// Publishes the declaration to followers once a quorum has confirmed that it is current. The one
/// on disk is committed but may be old, so it is published only after [`PUBLISH_GRACE`].
async fn publish_when_current(service: Arc<Service>) {
    let start = Instant::now();
    loop {
        let has_declaration = || {
            service
                .state()
                .read(|state| state.declaration.revision() > 0)
        };
        let is_overdue = start.elapsed() > PUBLISH_GRACE && has_declaration();
        if is_overdue || service.is_current().await {
            service.apply_stored_departures();
            return service.state().publish();
        }
        sleep(PUBLISH_RETRY_INTERVAL).await;
    }
}

async fn bind_link(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|e| {
        eyre::eyre!("bind link listener on {address}: {e}; free the port or set [listen] link")
    })
}

fn link_config(cfg: &Config) -> LinkConfig {
    let mut links = LinkConfig::new(Identity {
        vm: cfg.vm.name.clone(),
        az: cfg.vm.availability_zone.clone(),
        role: Role::Keeper,
        incarnation: Uuid::now_v7(),
    });
    links.key = cfg.link_key.as_ref().map(|key| key.expose().to_vec());
    links.max_unverified = ListenerLimits::internal("link", &cfg.resources).max_connections;
    links
}

fn replica_config(cfg: &Config, links: &LinkConfig, voters: Vec<String>) -> ReplicaConfig {
    let mut replica = ReplicaConfig::new(&cfg.vm.name, cfg.folder.clone(), voters);
    replica.timing = cfg.timing;
    replica.group_commit = cfg.group_commit;
    replica.snapshot_after = cfg.snapshot_after;
    replica.snapshot_bytes = cfg.snapshot_bytes;
    replica.segment_bytes = replica.segment_bytes.min(cfg.snapshot_bytes / 2);
    replica.max_entry_bytes = cfg.max_entry_bytes;
    replica.link = Some(links.clone());
    replica
}

fn warn_about_missing_security(cfg: &Config) {
    if cfg.operators.is_empty() && !cfg.http.ip().is_loopback() {
        warn!("no [security] operator_tokens_file: anyone who reaches this address can change the declaration", kv: { step = "start", http = cfg.http.to_string() });
    }
    if cfg.link_key.is_none() && !cfg.link.ip().is_loopback() {
        warn!("no [security] link_key_file: anyone who reaches this address can act as a keeper", kv: { step = "start", link = cfg.link.to_string() });
    }
}
