//! Brings a gate up, and down again without cutting anything off.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use host::{
    http::{self, Bounds},
    role::Running,
    settings::Peer as PeerSetting,
    shutdown::Stopped,
};
use link::{
    Channel, Identity, Incoming, LinkConfig, Peer, Role,
    follower::{Follower, FollowerConfig},
    keepers::Keepers,
};
use membership::{Table, TableConfig};
use outbound::{Pool, PoolConfig};
use salvo::Router;
use spdlog::{info, warn};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinHandle,
    time::{sleep, timeout},
};
use uuid::Uuid;

use crate::{
    beliefs,
    body::Budget,
    callers::{Pipelines, Requests},
    config::Config,
    endpoints::{Announce, Cache, List},
    gate::Gate,
    head::{HeadBound, LIBRARY_FACTOR},
    inflight::Inflight,
    ledger::{Ledger, LedgerConfig},
    metrics::Metrics,
    pace::Paces,
    pages,
    route::Route,
};

/// Gates of the availability zone up to which links are kept to all of them.
const MOST_LINKED_TO_ALL: usize = 8;

/// Brings a gate up; it stops after the order of `stopped`.
pub async fn start(cfg: Config, stopped: Stopped) -> eyre::Result<Running> {
    warn_of_missing_secrets(&cfg);
    let identity = Identity {
        vm: cfg.vm.name.clone(),
        az: cfg.vm.availability_zone.clone(),
        role: Role::Gate,
        incarnation: Uuid::now_v7(),
    };
    let mut links = LinkConfig::new(identity);
    links.key = cfg
        .security
        .link_key
        .as_ref()
        .map(|key| key.expose().to_vec());
    let listener = TcpListener::bind(cfg.link).await.map_err(|e| {
        let address = cfg.link;
        eyre::eyre!("bind link listener on {address}: {e}; free the port or set [listen] link")
    })?;
    let link = listener.local_addr()?;
    let bound = http::bind(cfg.http).await?;
    let local = bound.local;
    let gates = connect(&linked(&cfg), &links);
    let gate = Arc::new(build(cfg, &links, &gates));
    let warming = tokio::spawn(warm(Arc::clone(&gate), gates));
    let serving = serve_links(&gate, listener, links);
    let bounds = bounds(&gate.cfg);
    let (handle, server) = http::serve_within(bound, router(&gate), &bounds);
    let reaper = tokio::spawn(gate.pool.clone().reap());
    let telling = tokio::spawn(beliefs::tell(gate.route.table().clone()));
    let task = tokio::spawn(drain(
        gate,
        stopped,
        handle,
        server,
        vec![serving, reaper, warming, telling],
    ));
    Ok(Running {
        http: local,
        link: Some(link),
        task,
    })
}

/// The gates to which links are kept: all of few, a logarithmic number of many, so that links cost
/// no more as the availability zone grows.
fn linked(cfg: &Config) -> Vec<PeerSetting> {
    if cfg.gates.len() <= MOST_LINKED_TO_ALL {
        return cfg.gates.clone();
    }
    let names: Vec<String> = cfg.gates.iter().map(|gate| gate.name.clone()).collect();
    let wanted = membership::neighbours(&cfg.vm.name, &names);
    let gates = cfg.gates.iter().filter(|gate| wanted.contains(&gate.name));
    gates.cloned().collect()
}

/// Starts a link to each of `peers`.
fn connect(peers: &[PeerSetting], links: &LinkConfig) -> Vec<Peer> {
    let peers = peers.iter();
    peers
        .map(|peer| Peer::start(&peer.name, peer.address, links))
        .collect()
}

/// Takes over what a neighbour knows of endpoints, so that a restarted gate is useful at once; one
/// whose neighbours do not answer goes on without.
async fn warm(gate: Arc<Gate>, gates: Vec<Peer>) {
    if !gates.is_empty() {
        gate.route.table().bootstrap(&gates).await;
    }
    gate.is_warm.store(true, Ordering::Release);
}

fn build(cfg: Config, links: &LinkConfig, gates: &[Peer]) -> Gate {
    let keepers = connect(&cfg.keepers, links);
    let sources = keepers.iter().chain(gates).cloned().collect();
    let follower = Follower::start(sources, FollowerConfig::default());
    let (vm, az) = (&cfg.vm.name, &cfg.vm.availability_zone);
    let table = Table::new(TableConfig::new(vm, az));
    let mut names: Vec<String> = cfg.gates.iter().map(|gate| gate.name.clone()).collect();
    names.push(vm.clone());
    table.start_gossip(gates.to_vec());
    let inflight = Inflight::new();
    let ledger_cfg = LedgerConfig {
        intent: cfg.timing.intent,
        settle: cfg.timing.settle,
        max_output: cfg.limits.stored_output_bytes,
    };
    let incarnation = links.identity.incarnation;
    let keepers = Keepers::new(keepers);
    Gate {
        declared: follower.in_force(),
        follower,
        route: Route::new(vm, az, names, table),
        pool: Pool::new(PoolConfig {
            idle_per_endpoint: cfg.limits.idle_per_endpoint,
            idle: cfg.timing.idle,
            connect: cfg.timing.connect,
        }),
        ledger: Ledger::new(keepers, vm, incarnation, ledger_cfg, inflight.clone()),
        metrics: Metrics::new(),
        paces: Paces::default(),
        inflight,
        budget: Budget::new(cfg.limits.buffered_bytes),
        draining: watch::Sender::new(false),
        is_warm: AtomicBool::new(false),
        cfg,
    }
}

fn router(gate: &Arc<Gate>) -> Router {
    let at = Router::with_path;
    let g = || Arc::clone(gate);
    Router::new()
        .hoop(HeadBound(gate.cfg.limits.head_bytes))
        .push(at("v1/pipelines/{pipeline}").post(Pipelines(g())))
        .push(at("v1/requests/{key}").get(Requests(g())))
        .push(at("v1/announce").post(Announce(g())))
        .push(at("v1/cache-events").post(Cache(g())))
        .push(at("v1/endpoints").get(List(g())))
        .push(at("v1/revision").get(pages::Revision(g())))
        .push(at("healthz").get(pages::healthz))
        .push(at("readyz").get(pages::Ready(g())))
        .push(at("metrics").get(pages::Metrics(g())))
        .push(at("{**rest}").goal(pages::not_found))
}

fn serve_links(gate: &Arc<Gate>, listener: TcpListener, links: LinkConfig) -> JoinHandle<()> {
    let gate = Arc::clone(gate);
    let answer = move |call: Incoming| {
        let gate = Arc::clone(&gate);
        async move {
            match call.channel {
                Channel::Follow => gate.follower.answer(&call.body).await,
                Channel::Membership => gate.route.table().answer(&call.body).await,
                Channel::Calls => gate.route.answer_calls(&call.body),
                // The other end finds no message in it and asks elsewhere.
                Channel::Agreement | Channel::Keeper | Channel::Stages => Vec::new(),
            }
        }
    };
    tokio::spawn(link::serve(listener, links, answer))
}

fn bounds(cfg: &Config) -> Bounds {
    Bounds {
        connections: cfg.limits.connections,
        head_bytes: cfg.limits.head_bytes * LIBRARY_FACTOR,
        head: cfg.timing.head,
        body: cfg.timing.body,
        write: cfg.timing.write,
    }
}

/// Waits for the order to stop, then: readiness fails at once, the listener stays open for the
/// balancer's notice period, what is in flight ends, results are settled, links close.
async fn drain(
    gate: Arc<Gate>,
    mut stopped: Stopped,
    handle: http::Handle,
    server: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
) -> eyre::Result<()> {
    stopped.wait().await;
    gate.draining.send_replace(true);
    info!("draining", kv: { in_flight = gate.inflight.count() });
    sleep(gate.cfg.timing.notice).await;
    let limit = gate.cfg.timing.drain;
    handle.stop_graceful(limit);
    server.await?;
    if timeout(limit, gate.inflight.idle()).await.is_err() {
        warn!(
            "drain: {} still in flight after {:?}",
            gate.inflight.count(),
            limit
        );
    }
    tasks.iter().for_each(JoinHandle::abort);
    // The last answers are in the kernel's hands; the process may end.
    sleep(Duration::ZERO).await;
    Ok(())
}

/// Says once what is open to anyone who can reach the listeners.
fn warn_of_missing_secrets(cfg: &Config) {
    let is_open = |address: SocketAddr| !address.ip().is_loopback();
    if is_open(cfg.http) && cfg.security.announce_token.is_none() {
        warn!("anyone may announce endpoints: set [security] announce_token_file");
    }
    if is_open(cfg.link) && cfg.security.link_key.is_none() {
        warn!("anyone may link: set [security] link_key_file");
    }
}
