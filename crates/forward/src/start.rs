//! Starts a forwarding gate and shuts it down gracefully.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicUsize},
    time::Duration,
};

use drain::Shutdown;
use engine_placement::EnginePlacement;
use host::{
    http::{self, ListenerLimits},
    resources::Resources,
    role::Running,
    settings::Secret,
    shutdown::StopSignal,
};
use ingress::{BodyBudgets, Group, Limits, Listener, VmResources};
use link::{Channel, Identity, Incoming, LinkConfig, Role};
use membership::Mirror;
use outbound::{Pool, PoolConfig};
use routing::{fair_share::FairShares, stage_admission::StageAdmission};
use salvo::{Depot, Response, Router, affix_state, handler, http::StatusCode};
use socket2::SockRef;
use spdlog::info;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};
use uuid::Uuid;

use crate::{
    batch_context,
    blocked_parts::{BlockedParts, CrashDetector, PartSync, Reporter},
    budgets::{Budgets, SharedBudget},
    collector::Collector,
    control::{KeeperFeed, KeeperSync},
    dialect::Dialect,
    endpoint_notifier::EndpointNotifier,
    fleet::Fleet,
    forwarder::Forwarder,
    freshness::Freshness,
    gates::Gates,
    long_prompts::LongPrompts,
    metrics::Metrics,
    rate_limit::RateLimits,
    request::Context,
    rules::Rules,
    server::{self, Phase},
    stages::Stages,
    zone_placement::{Dependencies, ZonePlacement},
};

/// Maximum number of idle connections per endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 32;
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between checks of which availability zones are reachable.
const ZONE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time between checks of idle connections.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which keepers notify the other gates that this one is shutting down.
const HAND_OVER_DELAY: Duration = Duration::from_millis(300);
/// Time between closing the listener and the end of the process, in which the last bytes are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(30);

/// Configuration of a forwarding gate.
#[derive(Clone, Debug)]
pub struct Config {
    /// The VM that the gate runs on.
    pub vm: host::settings::Vm,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address of the readiness endpoint.
    pub readiness: SocketAddr,
    /// Additional listen address of the metrics endpoint, which is also served at `readiness`.
    pub metrics: Option<SocketAddr>,
    /// Listen address for links.
    pub link: SocketAddr,
    /// Address at which others reach the link listener if it differs from `link`, for example
    /// behind NAT.
    pub advertised_link: Option<SocketAddr>,
    /// Key that authenticates links.
    pub link_key: Option<Secret>,
    /// Link addresses of the keepers known at the start.
    pub keepers: Vec<SocketAddr>,
    /// How long a confirmation of the declaration is valid.
    pub confirmed_for: Duration,
    /// Retry budget shared by all gates.
    pub budget: SharedBudget,
    /// Resources of the VM, from which limits on callers are derived.
    pub resources: Resources,
    /// How long prompts are placed beside short ones.
    pub long_prompts: LongPrompts,
    /// Where it is decided whether the stages of a request can be completed in time.
    pub stage_admission: StageAdmission,
    /// Who is refused when a batch pool is full.
    pub fair_shares: FairShares,
    /// Which gate chooses the engines of requests with prompts.
    pub engine_placement: EnginePlacement,
    /// True if a gate that has just started sends nothing until keepers have confirmed which zones
    /// are evacuated, so that an order holds at restarted gates as well.
    pub awaits_evacuations: bool,
    /// How long new requests are still served after the order to stop.
    pub notice: Duration,
    /// How long requests in flight may take after `notice`.
    pub drain: Duration,
}

/// Binds the listeners and serves until stopped. `seeds` are link addresses of keepers that are
/// contacted while no known keeper responds. Fails if a listener can't be bound.
pub async fn start(
    cfg: Config,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    dialect: Dialect,
    stopped: StopSignal,
) -> eyre::Result<Running> {
    let limits = caller_limits(&cfg);
    let callers = bind_callers(&cfg, &limits).await?;
    let links_listener = bind(cfg.link, "link").await?;
    let readiness = http::bind(cfg.readiness).await?;
    let local = callers.local_addr()?;
    let link = links_listener.local_addr()?;
    let links = link_config(&cfg);
    let freshness = Freshness::new(cfg.confirmed_for);
    let (draining_tx, draining) = watch::channel(false);
    let metrics = Metrics::new()?;
    let blocked_parts = BlockedParts::new(metrics.clone());
    let fleet = Fleet::new(cfg.long_prompts);
    let feed = KeeperSync {
        links: links.clone(),
        seeds,
        own_link: cfg.advertised_link.unwrap_or(link),
        freshness: freshness.clone(),
        blocked_parts: blocked_parts.clone(),
        fleet: fleet.clone(),
        draining: draining.clone(),
        awaits_evacuations: cfg.awaits_evacuations,
    }
    .start();
    let gates = Gates::new(links.clone());
    let budgets = Budgets::new(cfg.budget);
    let shared = Shared {
        feed: &feed,
        fleet,
        gates: gates.clone(),
        budgets: &budgets,
        freshness: &freshness,
        blocked_parts: &blocked_parts,
        metrics: &metrics,
    };
    let cx = context(&cfg, dialect, shared);
    let forwarder = Forwarder {
        rules: feed.rules.clone(),
        freshness,
        metrics,
        draining,
        in_flight: Arc::new(AtomicUsize::new(0)),
        connections: Listener::new(limits.connections, cx.memory.small().limit()),
        cx,
    };
    let mut tasks = background_tasks(&cfg, &forwarder, &feed, &gates, budgets);
    tasks.spawn(serve_links(links_listener, links, &forwarder, &feed));
    let pages = serve_pages(readiness, &cfg, &forwarder);
    tasks.spawn(serve_metrics(&cfg, &forwarder).await?);
    let (leaving, collector) = (gates, forwarder.cx.stages.collector.clone());
    let shutdown = forwarder.cx.shutdown.clone();
    let (phase, phases) = watch::channel(Phase::Serving);
    let serving = tokio::spawn(server::serve(callers, forwarder, phases));
    let task = tokio::spawn(async move {
        let mut stopped = stopped;
        stopped.wait().await;
        shutdown.start();
        draining_tx.send_replace(true);
        info!("draining");
        leaving.start_leaving();
        let until = Instant::now() + cfg.notice;
        sleep(HAND_OVER_DELAY.min(cfg.notice)).await;
        collector.hand_over();
        sleep_until(until).await;
        phase.send_replace(Phase::Closing);
        // Streams that take longer are cut by the end of the process; other requests are answered
        // before.
        let _ = timeout(cfg.drain, serving).await;
        sleep(FLUSH_DELAY).await;
        pages.stop_graceful(Duration::ZERO);
        drop((tasks, feed));
        Ok(())
    });
    Ok(Running {
        http: local,
        link: Some(link),
        task,
    })
}

/// Returns the limits of the listener for callers.
fn caller_limits(cfg: &Config) -> Limits {
    let vm = VmResources {
        memory_bytes: cfg.resources.memory_bytes,
        descriptors: cfg.resources.descriptors,
    };
    Limits::new(vm, Group::Callers)
}

/// Serves the readiness page in a new task.
fn serve_pages(bound: http::BoundListener, cfg: &Config, forwarder: &Forwarder) -> http::Handle {
    let limits = ListenerLimits::internal("readiness", &cfg.resources);
    http::serve(bound, pages(forwarder.clone()), &limits).0
}

/// Returns a future that serves the metrics page, if it has an address.
async fn serve_metrics(
    cfg: &Config,
    forwarder: &Forwarder,
) -> eyre::Result<impl Future<Output = ()> + Send + use<>> {
    let serving = match cfg.metrics {
        Some(address) => {
            let limits = ListenerLimits::internal("metrics", &cfg.resources);
            let source = forwarder.clone();
            Some(http::serve_metrics(address, &limits, move || source.metrics_text()).await?)
        }
        None => None,
    };
    Ok(async move {
        if let Some(serving) = serving {
            serving.await;
        }
    })
}

/// Returns the identity of a new incarnation of this gate, and the key of its links.
fn link_config(cfg: &Config) -> LinkConfig {
    let mut links = LinkConfig::new(Identity {
        vm: cfg.vm.name.clone(),
        az: cfg.vm.availability_zone.clone(),
        role: Role::Gate,
        incarnation: Uuid::now_v7(),
    });
    links.key = cfg.link_key.as_ref().map(|key| key.expose().to_vec());
    links.max_unverified = ListenerLimits::internal("link", &cfg.resources).max_connections;
    links
}

async fn bind(address: SocketAddr, key: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|e| {
        eyre::eyre!("bind listener on {address}: {e}; free the port or set [listen] {key}")
    })
}

/// Starts the tasks that keep what the gate knows up to date.
fn background_tasks(
    cfg: &Config,
    forwarder: &Forwarder,
    feed: &KeeperFeed,
    gates: &Gates,
    budgets: Budgets,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(track_keepers(
        feed.mirror.clone(),
        feed.rules.clone(),
        forwarder.cx.fleet.clone(),
        gates.clone(),
        budgets,
    ));
    let notifier = EndpointNotifier {
        vm: cfg.vm.name.clone(),
        fleet: forwarder.cx.fleet.clone(),
        gates: gates.clone(),
        mirror: feed.mirror.clone(),
        keepers: feed.keepers.clone(),
    };
    tasks.spawn(notifier.run());
    tasks.spawn(part_sync(&forwarder.cx, feed).run());
    tasks.spawn(forwarder.cx.rate_limits.clone().borrow_shares());
    tasks.spawn(forwarder.cx.zone_placement.clone().report());
    tasks.spawn(poll_reachable_zones(
        forwarder.cx.fleet.clone(),
        gates.clone(),
    ));
    tasks.spawn(forwarder.cx.pool.clone().reap());
    tasks.spawn(watch_idle_connections(
        forwarder.cx.fleet.clone(),
        forwarder.cx.pool.clone(),
    ));
    tasks
}

async fn bind_callers(cfg: &Config, limits: &Limits) -> eyre::Result<TcpListener> {
    let listener = bind(cfg.callers, "callers").await?;
    if let Some(bytes) = limits.socket_buffer {
        // Accepted sockets inherit it.
        let socket = SockRef::from(&listener);
        socket.set_recv_buffer_size(bytes)?;
        socket.set_send_buffer_size(bytes)?;
    }
    Ok(listener)
}

/// What the parts of a gate share.
struct Shared<'a> {
    feed: &'a KeeperFeed,
    fleet: Fleet,
    gates: Gates,
    budgets: &'a Budgets,
    freshness: &'a Freshness,
    blocked_parts: &'a BlockedParts,
    metrics: &'a Metrics,
}

fn context(cfg: &Config, dialect: Dialect, shared: Shared<'_>) -> Context {
    let Shared {
        feed,
        fleet,
        gates,
        budgets,
        freshness,
        blocked_parts,
        metrics,
    } = shared;
    let rate_limits = RateLimits::new(
        &cfg.vm.name,
        fleet.clone(),
        gates.clone(),
        freshness.clone(),
        metrics.clone(),
    );
    let pool = Pool::new(PoolConfig {
        max_idle_per_endpoint: MAX_IDLE_PER_ENDPOINT,
        idle_timeout: IDLE_TIMEOUT,
        connect_timeout: CONNECT_TIMEOUT,
    });
    let memory = BodyBudgets::new(caller_limits(cfg).bytes);
    let collector = Collector::new(batch_context::Context {
        dialect,
        fleet: fleet.clone(),
        pool: pool.clone(),
        release_pool: pool.separate(),
        memory: memory.clone(),
        rules: feed.rules.clone(),
        budget: Arc::clone(&budgets.items),
        rate_limits: rate_limits.clone(),
        vm: cfg.vm.name.clone(),
        metrics: metrics.clone(),
        fair_shares: cfg.fair_shares,
    });
    let zone_placement = ZonePlacement::new(Dependencies {
        mode: cfg.engine_placement,
        vm: cfg.vm.name.clone(),
        az: cfg.vm.availability_zone.clone(),
        fleet: fleet.clone(),
        gates: gates.clone(),
        rules: feed.rules.clone(),
        metrics: metrics.clone(),
    });
    let reporter = Reporter {
        vm: cfg.vm.name.clone(),
        parts: blocked_parts.clone(),
        fleet: fleet.clone(),
        gates: gates.clone(),
    };
    Context {
        dialect,
        fleet,
        pool,
        memory,
        stages: Stages {
            gates,
            collector,
            metrics: metrics.clone(),
            admission: cfg.stage_admission,
            fair_shares: cfg.fair_shares,
            waits: Arc::default(),
        },
        budget: Arc::clone(&budgets.requests),
        rate_limits,
        zone_placement,
        crashes: CrashDetector::new(metrics.clone(), reporter),
        blocked_parts: blocked_parts.clone(),
        vm: cfg.vm.name.clone(),
        az: cfg.vm.availability_zone.clone(),
        metrics: metrics.clone(),
        shutdown: Shutdown::new(cfg.notice + cfg.drain),
    }
}

fn part_sync(cx: &Context, feed: &KeeperFeed) -> PartSync {
    PartSync {
        vm: cx.vm.clone(),
        parts: cx.blocked_parts.clone(),
        gates: cx.stages.gates.clone(),
        keepers: feed.keepers.clone(),
    }
}

/// Periodically updates which availability zones are reachable.
async fn poll_reachable_zones(fleet: Fleet, gates: Gates) {
    loop {
        sleep(ZONE_POLL_INTERVAL).await;
        fleet.set_unreachable(gates.unreachable_zones());
    }
}

/// Looks for signs that endpoints restarted while this gate can't hear of their cold times, and logs
/// the end of cold times.
async fn watch_idle_connections(fleet: Fleet, pool: Pool) {
    loop {
        sleep(IDLE_POLL_INTERVAL).await;
        if !fleet.is_informed_of_cold() {
            fleet.record_closed_connections(&pool.remove_closed());
        }
        fleet.log_cold_changes();
    }
}

/// Updates endpoints, gates and budgets whenever the keepers publish changes.
async fn track_keepers(
    mut mirror: watch::Receiver<Mirror>,
    mut rules: watch::Receiver<Arc<Rules>>,
    fleet: Fleet,
    gates: Gates,
    budgets: Budgets,
) {
    loop {
        let known = mirror.borrow_and_update().clone();
        let declared = rules.borrow_and_update().clone();
        gates.update(&known);
        let count = gates.count();
        budgets.update_shares(count, gates.collectors());
        let services = declared.declaration.services.iter();
        let cold_rates = services.filter_map(|(name, service)| {
            let per_second = service.capacity.cold_per_second?;
            Some((name.clone(), per_second))
        });
        fleet.set_cold_rates(cold_rates.collect());
        fleet.update(&known, |service| {
            let tokens = declared.service(service)?.capacity.memory_tokens?;
            Some(tokens / count as u64)
        });
        let changed = tokio::select! {
            changed = mirror.changed() => changed,
            changed = rules.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

fn serve_links(
    listener: TcpListener,
    links: LinkConfig,
    forwarder: &Forwarder,
    feed: &KeeperFeed,
) -> impl Future<Output = ()> + Send + use<> {
    let (stages, follower) = (forwarder.cx.stages.clone(), feed.follower.clone());
    let rate_limits = forwarder.cx.rate_limits.clone();
    let fleet = forwarder.cx.fleet.clone();
    let crashes = forwarder.cx.crashes.clone();
    let zone_placement = forwarder.cx.zone_placement.clone();
    link::serve(listener, links, move |call: Incoming| {
        let (stages, follower, fleet) = (stages.clone(), follower.clone(), fleet.clone());
        let (rate_limits, crashes) = (rate_limits.clone(), crashes.clone());
        let zone_placement = zone_placement.clone();
        async move {
            match call.channel {
                Channel::Stages => stages.answer(&call.body).await,
                Channel::Follow => follower.answer(&call.body).await,
                Channel::Calls => zone_placement
                    .answer(&call)
                    .or_else(|| rate_limits.answer(&call.body))
                    .unwrap_or_else(|| crashes.reporter().answer(&call.body)),
                Channel::Membership => answer_membership(&fleet, &call.body),
                // The other end can't decode an empty reply and tries another gate.
                _ => Vec::new(),
            }
        }
    })
}

/// Handles another gate's reports of departures and request rates, and queries for endpoints that get no new work.
fn answer_membership(fleet: &Fleet, body: &[u8]) -> Vec<u8> {
    let reply = match link::decode::<membership::Request>(body) {
        Ok(membership::Request::Leaving(leaving)) => {
            for l in leaving {
                fleet.record_reported_departure(l);
            }
            membership::Reply::Acknowledged
        }
        Ok(membership::Request::Rates(reports)) => {
            fleet.record_reported_rates(&reports);
            membership::Reply::Acknowledged
        }
        Ok(membership::Request::Unavailable) => {
            membership::Reply::Unavailable(fleet.unavailable_endpoints())
        }
        Ok(_) => membership::Reply::Malformed("gates do not serve the membership table".to_owned()),
        Err(e) => membership::Reply::Malformed(e.to_string()),
    };
    link::encode(&reply)
}

fn pages(forwarder: Forwarder) -> Router {
    Router::new()
        .hoop(affix_state::inject(Arc::new(forwarder)))
        .push(Router::with_path("readyz").get(readyz))
        .push(Router::with_path("healthz").get(healthz))
        .push(Router::with_path("metrics").get(get_metrics))
}

fn forwarder_of(depot: &Depot) -> Arc<Forwarder> {
    let forwarder = depot.get_typed::<Arc<Forwarder>>();
    Arc::clone(forwarder.expect("the router injects it into every request"))
}

#[handler]
async fn readyz(depot: &mut Depot, res: &mut Response) {
    res.status_code(match forwarder_of(depot).is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    });
}

#[handler]
async fn healthz(res: &mut Response) {
    res.status_code(StatusCode::OK);
}

#[handler]
async fn get_metrics(depot: &mut Depot, res: &mut Response) {
    res.render(forwarder_of(depot).metrics_text());
}
