//! HTTP pages: health, status and metrics.

use std::sync::Arc;

use host::problem::Problem;
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};
use salvo::{
    Router, handler,
    prelude::{Request, Response},
};
use tokio::time::Instant;

use crate::{reconcile::Reconciler, status::status};

/// The data that the pages show.
#[derive(Debug)]
pub(crate) struct PageState {
    pub(crate) vm: String,
    pub(crate) az: String,
    pub(crate) reconciler: Arc<Reconciler>,
}

pub(crate) fn router(page_state: Arc<PageState>) -> Router {
    let path = Router::with_path;
    Router::new()
        .push(path("healthz").get(healthz))
        .push(path("v1/status").get(StatusPage(Arc::clone(&page_state))))
        .push(path("metrics").get(MetricsPage(page_state)))
        .push(path("{**rest}").goal(not_found))
}

#[handler]
fn healthz(res: &mut Response) {
    res.render("ok\n");
}

struct StatusPage(Arc<PageState>);

#[handler]
impl StatusPage {
    fn handle(&self, res: &mut Response) {
        let page_state = &self.0;
        let status = status(&page_state.vm, &page_state.az, &page_state.reconciler);
        let json = serde_json::to_vec(&status).unwrap_or_default();
        let headers = res.headers_mut();
        let json_type = salvo::http::header::HeaderValue::from_static("application/json");
        headers.insert("content-type", json_type);
        // Writing bytes into a response without a body cannot fail.
        let _ = res.write_body(json);
    }
}

struct MetricsPage(Arc<PageState>);

#[handler]
impl MetricsPage {
    fn handle(&self, res: &mut Response) {
        match build_registry(&self.0.reconciler) {
            Ok(registry) => res.render(host::http::metrics_text(&registry)),
            Err(e) => Problem::new(500, "metrics", "Metrics", e.to_string()).render(res),
        }
    }
}

/// Builds a registry with the current values.
fn build_registry(reconciler: &Reconciler) -> prometheus::Result<Registry> {
    const REPLY_LABELS: [&str; 6] = [
        "taken",
        "lost",
        "refused",
        "stale",
        "store_refused",
        "no_room",
    ];
    let registry = Registry::new();
    let gauge = |name: &str, help: &str, value: usize| -> prometheus::Result<()> {
        let gauge = IntGauge::new(format!("jujube_controller_{name}"), help)?;
        gauge.set(value as i64);
        registry.register(Box::new(gauge))
    };
    let authority = reconciler.authority(Instant::now());
    let fencing = authority.map_or(0, |a| a.fencing() as usize);
    let state = reconciler.lock_state();
    gauge(
        "has_lease",
        "1 while this controller may give orders.",
        usize::from(authority.is_some()),
    )?;
    gauge(
        "fencing",
        "Fencing number of the lease; 0 without.",
        fencing,
    )?;
    gauge(
        "open_orders",
        "Orders not yet seen to be followed.",
        state.tracker.open_orders().len(),
    )?;
    gauge(
        "differences",
        "Things that are not as declared.",
        state.differences.len(),
    )?;
    gauge(
        "attainment_halts",
        "Versions halted as attainment fell with them.",
        state.tracker.regressions().len(),
    )?;
    let opts = Opts::new("jujube_controller_orders_total", "Orders by answer.");
    let orders = IntCounterVec::new(opts, &["answer"])?;
    for (name, count) in REPLY_LABELS.iter().zip(state.reply_counts) {
        orders.with_label_values(&[name]).inc_by(count);
    }
    registry.register(Box::new(orders))?;
    Ok(registry)
}

#[handler]
fn not_found(req: &mut Request, res: &mut Response) {
    let path: String = req.uri().path().chars().take(128).collect();
    let detail = format!("{} {path} is not served here", req.method());
    Problem::new(404, "not-found", "Not found", detail).render(res);
}
