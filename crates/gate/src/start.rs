//! Startup and graceful shutdown of a gate.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use drain::Shutdown;
use host::{
    http::{self, ListenerLimits},
    role::Running,
    settings::Peer as PeerSetting,
    shutdown::StopSignal,
};
use link::{
    Channel, Identity, Incoming, LinkConfig, Peer, Role,
    follower::{Follower, FollowerConfig},
    keepers::Keepers,
};
use membership::{Table, TableConfig};
use outbound::{BodyMemory, Pool, PoolConfig};
use salvo::Router;
use spdlog::{info, warn};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
    task::JoinHandle,
    time::{sleep, timeout},
};
use uuid::Uuid;

use crate::{
    call_routing::CallRouting,
    caller_api::{Pipelines, Requests},
    config::Config,
    endpoint_api::{Announce, CacheUpdates, EndpointList, MAX_BODY},
    evacuations,
    gate::Gate,
    head_limit::{HeadLimit, LIBRARY_HEAD_FACTOR},
    inflight::Inflight,
    lag::StreamStats,
    ledger::{Ledger, LedgerConfig},
    metrics::Metrics,
    pages, state_changes,
};

/// Up to this many other gates in the availability zone, links are kept to all of them.
const MAX_FULLY_LINKED_GATES: usize = 8;
/// Announcements have this part of the bytes that callers' bodies have.
const ANNOUNCEMENT_PART: usize = 4;
/// Most refused requests that ask the ledger about their keys at one time.
const MAX_VERIFICATIONS: usize = 64;

/// Starts a gate, which shuts down gracefully once `stopped` is signalled.
pub async fn start(cfg: Config, stopped: StopSignal) -> eyre::Result<Running> {
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
    links.max_unverified = ListenerLimits::internal("link", &cfg.resources).max_connections;
    let listener = TcpListener::bind(cfg.link).await.map_err(|e| {
        let address = cfg.link;
        eyre::eyre!("bind link listener on {address}: {e}; free the port or set [listen] link")
    })?;
    let link = listener.local_addr()?;
    let bound = http::bind(cfg.http).await?;
    let local = bound.local_addr;
    let gates = connect(&linked_gates(&cfg), &links);
    let gate = Arc::new(build_gate(cfg, &links, &gates));
    let warming = tokio::spawn(warm_up(Arc::clone(&gate), gates));
    let serving = serve_links(&gate, listener, links);
    let bounds = bounds(&gate.cfg);
    let (handle, server) = http::serve(bound, router(&gate), &bounds);
    let reaper = tokio::spawn(gate.pool.clone().reap());
    let evacuating = tokio::spawn(evacuations::follow(
        gate.routing.evacuated().clone(),
        gate.ledger.clone(),
    ));
    let state_logging = tokio::spawn(state_changes::log_changes(gate.routing.table().clone()));
    let task = tokio::spawn(drain(
        gate,
        stopped,
        handle,
        server,
        vec![serving, reaper, warming, evacuating, state_logging],
    ));
    Ok(Running {
        http: local,
        link: Some(link),
        task,
    })
}

/// Returns the gates to link to: all of them if they are few, else a logarithmic number, so that
/// the cost of links does not grow with the availability zone.
fn linked_gates(cfg: &Config) -> Vec<PeerSetting> {
    if cfg.gates.len() <= MAX_FULLY_LINKED_GATES {
        return cfg.gates.clone();
    }
    let names: Vec<String> = cfg.gates.iter().map(|gate| gate.name.clone()).collect();
    let neighbours = membership::neighbours(&cfg.vm.name, &names);
    let gates = cfg
        .gates
        .iter()
        .filter(|gate| neighbours.contains(&gate.name));
    gates.cloned().collect()
}

/// Starts a link to each of `peers`.
fn connect(peers: &[PeerSetting], links: &LinkConfig) -> Vec<Peer> {
    let peers = peers.iter();
    peers
        .map(|peer| Peer::start(&peer.name, peer.address, links))
        .collect()
}

/// Copies the endpoints known to neighbours, so that a restarted gate can serve at once. Continues
/// without them if no neighbour answers.
async fn warm_up(gate: Arc<Gate>, gates: Vec<Peer>) {
    if !gates.is_empty() {
        gate.routing.table().bootstrap(&gates).await;
    }
    gate.is_warmed_up.store(true, Ordering::Release);
}

fn build_gate(cfg: Config, links: &LinkConfig, gates: &[Peer]) -> Gate {
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
        intent_ttl: cfg.timing.intent,
        settle_timeout: cfg.timing.settle,
        max_output_bytes: cfg.limits.stored_output_bytes,
    };
    let incarnation = links.identity.incarnation;
    let keepers = Keepers::new(keepers);
    Gate {
        in_force_rx: follower.in_force(),
        follower,
        routing: CallRouting::new(vm, az, names, table),
        pool: Pool::new(PoolConfig {
            max_idle_per_endpoint: cfg.limits.idle_per_endpoint,
            idle_timeout: cfg.timing.idle,
            connect_timeout: cfg.timing.connect,
        }),
        ledger: Ledger::new(keepers, vm, incarnation, ledger_cfg, inflight.clone()),
        metrics: Metrics::new(),
        stream_stats: StreamStats::default(),
        inflight,
        body_memory: BodyMemory::new(cfg.limits.buffered_bytes),
        announcement_memory: BodyMemory::new(
            (cfg.limits.buffered_bytes / ANNOUNCEMENT_PART).max(MAX_BODY),
        ),
        draining: watch::Sender::new(false),
        shutdown: Shutdown::new(cfg.timing.notice + cfg.timing.drain),
        verifications: Semaphore::new(MAX_VERIFICATIONS),
        is_warmed_up: AtomicBool::new(false),
        cfg,
    }
}

fn router(gate: &Arc<Gate>) -> Router {
    let at = Router::with_path;
    let g = || Arc::clone(gate);
    Router::new()
        .hoop(HeadLimit(gate.cfg.limits.head_bytes))
        .push(at("v1/pipelines/{pipeline}").post(Pipelines(g())))
        .push(at("v1/requests/{key}").get(Requests(g())))
        .push(at("v1/announce").post(Announce(g())))
        .push(at("v1/cache-events").post(CacheUpdates(g())))
        .push(at("v1/endpoints").get(EndpointList(g())))
        .push(at("v1/revision").get(pages::Revision(g())))
        .push(at("healthz").get(pages::healthz))
        .push(at("readyz").get(pages::Ready(g())))
        .push(at("metrics").get(pages::MetricsPage(g())))
        .push(at("{**rest}").goal(pages::not_found))
}

fn serve_links(gate: &Arc<Gate>, listener: TcpListener, links: LinkConfig) -> JoinHandle<()> {
    let gate = Arc::clone(gate);
    let answer = move |call: Incoming| {
        let gate = Arc::clone(&gate);
        async move {
            match call.channel {
                Channel::Follow => gate.follower.answer(&call.body).await,
                Channel::Membership => gate.routing.table().answer(&call.body).await,
                Channel::Calls => gate.routing.handle_calls_request(&call.body),
                // Not served by gates. The peer can't decode an empty reply and tries elsewhere.
                Channel::Agreement | Channel::Keeper | Channel::Stages => Vec::new(),
            }
        }
    };
    tokio::spawn(link::serve(listener, links, answer))
}

fn bounds(cfg: &Config) -> ListenerLimits {
    ListenerLimits {
        max_connections: cfg.limits.connections,
        max_head_bytes: cfg.limits.head_bytes * LIBRARY_HEAD_FACTOR,
        head_timeout: cfg.timing.head,
        body_timeout: cfg.timing.body,
        write_timeout: cfg.timing.write,
        ..ListenerLimits::main("callers", &cfg.resources)
    }
}

/// Waits for the stop signal, then shuts down: fails readiness at once, keeps the listener open for
/// the load balancer's notice period, waits for work in flight and settlements, closes the links.
async fn drain(
    gate: Arc<Gate>,
    mut stopped: StopSignal,
    handle: http::Handle,
    server: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
) -> eyre::Result<()> {
    stopped.wait().await;
    gate.draining.send_replace(true);
    gate.shutdown.start();
    info!("draining", kv: { in_flight = gate.inflight.count() });
    sleep(gate.cfg.timing.notice).await;
    let limit = gate.cfg.timing.drain;
    handle.stop_graceful(limit);
    server.await?;
    if timeout(limit, gate.inflight.wait_idle()).await.is_err() {
        warn!(
            "drain: {} still in flight after {:?}",
            gate.inflight.count(),
            limit
        );
    }
    tasks.iter().for_each(JoinHandle::abort);
    // The last responses were written to the kernel's socket buffers; the process may exit.
    sleep(Duration::ZERO).await;
    Ok(())
}

/// Warns at startup if anyone who can reach the listeners may use them without a secret.
fn warn_of_missing_secrets(cfg: &Config) {
    let is_open = |address: SocketAddr| !address.ip().is_loopback();
    if is_open(cfg.http) && cfg.security.announce_token.is_none() {
        warn!("anyone may announce endpoints: set [security] announce_token_file");
    }
    if is_open(cfg.link) && cfg.security.link_key.is_none() {
        warn!("anyone may connect to the link listener: set [security] link_key_file");
    }
}
