//! Brings a keeper up.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use host::{http, role::Running, shutdown::Stopped};
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
    config::Config,
    group,
    held_settlements::HeldSettlements,
    http_api::{ApiState, router},
    service::Service,
    shared_state::SharedState,
    state_changes,
    table_sync::sync_table,
};

/// Folder of settlements that wait for a quorum, within the data folder.
const HELD_FOLDER: &str = "held";
/// Longest time for requests in flight to end after the order to stop.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);
/// Time for the last replies to leave their sockets.
const FLUSH_PAUSE: Duration = Duration::from_millis(50);
/// Without a quorum for this long after its start, a keeper lets followers see what it holds.
const PUBLISH_GRACE: Duration = Duration::from_secs(10);
const PUBLISH_PAUSE: Duration = Duration::from_millis(50);
/// Time between looks at whether the log has stopped.
const WATCH_EVERY: Duration = Duration::from_millis(200);

/// Binds the listeners, opens the log and serves until stopped.
pub async fn start(cfg: Config, stopped: Stopped) -> eyre::Result<Running> {
    let mut table_cfg = TableConfig::new(&cfg.vm.name, &cfg.vm.availability_zone);
    table_cfg.spans_zones = true;
    let table = Table::new(table_cfg);
    let (running, service) = start_embedded(cfg, Some(table.clone()), stopped).await?;
    let (answering, answers) = watch::channel(Some(service));
    let sharing = tokio::spawn(sync_table(table, answers));
    let Running { http, link, task } = running;
    let task = tokio::spawn(async move {
        let ended = task.await?;
        sharing.abort();
        drop(answering);
        ended
    });
    Ok(Running { http, link, task })
}

/// Like [`start`], as a part of a program: gives the answering side as well, which also answers for
/// `table` where there is one.
pub async fn start_embedded(
    mut cfg: Config,
    table: Option<Table>,
    stopped: Stopped,
) -> eyre::Result<(Running, Arc<Service>)> {
    warn_of_missing_security(&cfg);
    let voters = name_member(&mut cfg)?;
    let bound = http::bind(cfg.http).await?;
    let listener = bind_link(cfg.link).await?;
    let (http, link) = (bound.local, listener.local_addr()?);
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
    let tending = cfg.group.clone().map(|group| {
        let (service, replica) = (Arc::clone(&service), replica.clone());
        tokio::spawn(group::maintain(
            group,
            service,
            replica,
            links.clone(),
            link,
        ))
    });
    let answering = Arc::clone(&service);
    let links = serve(listener, links, move |call| {
        let service = Arc::clone(&answering);
        async move { service.answer(call).await }
    });
    let links = tokio::spawn(links);
    let publishing = tokio::spawn(publish(Arc::clone(&service)));
    let timing = Arc::clone(&service);
    let timing = tokio::spawn(async move { timing.keep_clock().await });
    let telling = tokio::spawn(state_changes::log_state_changes(replica.clone()));
    let settling = Arc::clone(&service);
    let settling = tokio::spawn(async move { settling.settle_held().await });
    let (operators, announce_token) = (cfg.operators, cfg.announce_token);
    let api = ApiState {
        service: Arc::clone(&service),
        operators,
        announce_token,
    };
    let (handle, serving) = http::serve(bound, router(api));
    let answering = Arc::clone(&service);
    let task = tokio::spawn(async move {
        let failed = run(&replica, stopped).await;
        handle.stop_graceful(DRAIN_LIMIT);
        replica.stop().await;
        // What is not answered by then is asked again at another keeper.
        let _ = timeout(DRAIN_LIMIT, service.drained()).await;
        sleep(FLUSH_PAUSE).await;
        publishing.abort();
        timing.abort();
        settling.abort();
        telling.abort();
        links.abort();
        tending.inspect(JoinHandle::abort);
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
    Ok((running, answering))
}

/// In a group that forms itself, takes the member's name from the data folder; the first voters.
fn name_member(cfg: &mut Config) -> eyre::Result<Vec<String>> {
    let Some(group) = &cfg.group else {
        return Ok(cfg.keepers.iter().map(|peer| peer.name.clone()).collect());
    };
    let named = group::load_or_create_identity(&cfg.folder, cfg.link, &group.founders);
    let named = named.map_err(|e| {
        let folder = cfg.folder.display();
        eyre::eyre!("read the member's name in {folder}: {e}; make the folder writable")
    })?;
    cfg.vm.name = named.name;
    cfg.folder = cfg.folder.join(group::LOG_FOLDER);
    Ok(named.voters)
}

/// Waits for the order to stop, or for the log to stop by itself, and then says why.
async fn run(replica: &Replica, mut stopped: Stopped) -> Option<String> {
    let mut looks = interval(WATCH_EVERY);
    loop {
        tokio::select! {
            () = stopped.wait() => return None,
            _ = looks.tick() => {}
        }
        if let Some(why) = replica.status().failed {
            error!("the log has stopped", kv: { step = "keep the log", why = why.clone() });
            return Some(why);
        }
    }
}

/// Lets followers see the declaration once a quorum has confirmed that it is the current one. What
/// is on disk is committed but may be old, so it is shown only after a while without a quorum.
async fn publish(service: Arc<Service>) {
    let start = Instant::now();
    loop {
        let has_some = || {
            service
                .state()
                .read(|state| state.declaration.revision() > 0)
        };
        let is_overdue = start.elapsed() > PUBLISH_GRACE && has_some();
        if is_overdue || service.is_current().await {
            return service.state().publish();
        }
        sleep(PUBLISH_PAUSE).await;
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
    links
}

fn replica_config(cfg: &Config, links: &LinkConfig, voters: Vec<String>) -> ReplicaConfig {
    let mut replica = ReplicaConfig::new(&cfg.vm.name, cfg.folder.clone(), voters);
    replica.timing = cfg.timing;
    replica.group_commit = cfg.group_commit;
    replica.snapshot_after = cfg.snapshot_after;
    replica.snapshot_bytes = cfg.snapshot_bytes;
    replica.max_entry = cfg.max_entry_bytes;
    replica.link = Some(links.clone());
    replica
}

fn warn_of_missing_security(cfg: &Config) {
    if cfg.operators.is_empty() && !cfg.http.ip().is_loopback() {
        warn!("no [security] operator_tokens_file: anyone who reaches this address can change the declaration", kv: { step = "start", http = cfg.http.to_string() });
    }
    if cfg.link_key.is_none() && !cfg.link.ip().is_loopback() {
        warn!("no [security] link_key_file: anyone who reaches this address can act as a keeper", kv: { step = "start", link = cfg.link.to_string() });
    }
}
