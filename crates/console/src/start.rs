//! Starts the console.

use std::{sync::Arc, time::Duration};

use host::{
    client::Client,
    http::{self, ListenerLimits},
    role::Running,
    settings::Peer as NamedAddress,
    shutdown::StopSignal,
};
use link::{
    Identity, LinkConfig, Peer, Role,
    follower::{Follower, FollowerConfig},
    keepers::Keepers,
};
use salvo::{Router, affix_state, size_limiter::max_size};
use spdlog::warn;
use uuid::Uuid;

use crate::{app::App, blocked, config::Config, handlers, session::Sessions, zones};

/// Maximum size of a form, in bytes.
const MAX_FORM_BYTES: u64 = 256 << 10;
const CONTROLLER_QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that requests in flight have to end after the stop signal.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Binds the listener, opens the links and serves requests until the stop signal.
pub async fn start(cfg: Config, mut stopped: StopSignal) -> eyre::Result<Running> {
    if cfg.operators.is_empty() && !cfg.http.ip().is_loopback() {
        warn!("no [security] operator_tokens_file: anyone who reaches this address can change the declaration", kv: { step = "start", http = cfg.http.to_string() });
    }
    let bound = http::bind(cfg.http).await?;
    let local = bound.local_addr;
    let limits = ListenerLimits::internal("console", &cfg.resources);
    let app = Arc::new(build_app(cfg));
    let (handle, task) = http::serve(bound, router(app), &limits);
    let task = tokio::spawn(async move {
        stopped.wait().await;
        handle.stop_graceful(DRAIN_TIMEOUT);
        task.await?;
        Ok(())
    });
    Ok(Running {
        http: local,
        link: None,
        task,
    })
}

fn build_app(cfg: Config) -> App {
    let identity = Identity {
        vm: cfg.vm.name,
        az: cfg.vm.availability_zone,
        role: Role::Console,
        incarnation: Uuid::now_v7(),
    };
    let mut links = LinkConfig::new(identity);
    links.key = cfg.link_key.map(|key| key.expose().to_vec());
    let connect = |peers: &[NamedAddress]| -> Vec<Peer> {
        let peers = peers.iter();
        peers
            .map(|p| Peer::start(&p.name, p.address, &links))
            .collect()
    };
    let keepers = connect(&cfg.keepers);
    App {
        follower: Follower::start(keepers.clone(), FollowerConfig::default()),
        keepers: Arc::new(Keepers::new(keepers)),
        gates: connect(&cfg.gates),
        controllers: cfg.controllers,
        client: Client::new(CONTROLLER_QUERY_TIMEOUT),
        operators: cfg.operators,
        sessions: Sessions::default(),
    }
}

fn router(app: Arc<App>) -> Router {
    Router::new()
        .hoop(affix_state::inject(app))
        .hoop(max_size(MAX_FORM_BYTES))
        .get(handlers::overview)
        .push(Router::with_path("healthz").get(handlers::healthz))
        .push(
            Router::with_path("login")
                .get(handlers::login_page)
                .post(handlers::login),
        )
        .push(Router::with_path("edit").get(handlers::edit))
        .push(Router::with_path("preview").post(handlers::preview))
        .push(Router::with_path("revise").post(handlers::revise))
        .push(Router::with_path("submit").post(handlers::submit))
        .push(Router::with_path("audit").get(handlers::audit))
        .push(Router::with_path("status").get(handlers::status_page))
        .push(Router::with_path("unblock").post(blocked::unblock))
        .push(Router::with_path("evacuate").post(zones::evacuate))
        .push(Router::with_path("return").post(zones::end_evacuation))
}
