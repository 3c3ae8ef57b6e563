//! HTTP pages for load balancers, monitoring and operators.

use std::sync::Arc;

use derives::record;
use host::problem::Problem;
use salvo::{
    handler,
    prelude::{Request, Response},
};

use crate::{caller_api::json_body, gate::Gate, metrics::GaugeValues};

/// `GET /healthz`: succeeds while the process serves HTTP.
#[handler]
pub(crate) fn healthz(res: &mut Response) {
    res.render("ok\n");
}

/// `GET /readyz`: 503 until a declaration is known and neighbours were queried, and while draining.
#[derive(Debug)]
pub(crate) struct Ready(pub(crate) Arc<Gate>);

#[handler]
impl Ready {
    fn handle(&self, res: &mut Response) {
        match self.0.is_ready() {
            true => res.render("ready\n"),
            false if self.0.is_draining() => {
                Problem::new(503, "draining", "Draining", "the gate is stopping").render(res);
            }
            false => {
                let detail = "the declaration or the neighbours' endpoints are not known yet";
                Problem::new(503, "starting", "Starting", detail).render(res);
            }
        }
    }
}

/// Handler of `GET /metrics`.
#[derive(Debug)]
pub(crate) struct MetricsPage(pub(crate) Arc<Gate>);

#[handler]
impl MetricsPage {
    fn handle(&self, res: &mut Response) {
        let gate = &self.0;
        let in_force = gate.in_force();
        let admission = gate.routing.admission();
        gate.metrics.set_gauges(&GaugeValues {
            in_flight: gate.inflight.count(),
            revision: in_force.as_ref().map_or(0, |in_force| in_force.revision),
            ejections: gate.routing.ejections(),
            admission_limit: admission.limit,
            admission_waiting: admission.waiting,
        });
        let services = in_force.iter().flat_map(|f| f.declaration.services.keys());
        for service in services {
            let remaining = gate.routing.retries_remaining(service);
            gate.metrics.retry_budget(service, remaining);
        }
        res.render(host::http::metrics_text(gate.metrics.registry()));
    }
}

/// Handler of `GET /v1/revision`.
#[derive(Debug)]
pub(crate) struct Revision(pub(crate) Arc<Gate>);

#[record]
struct RevisionReply {
    revision: u64,
}

#[handler]
impl Revision {
    fn handle(&self, res: &mut Response) {
        let revision = self.0.in_force().map_or(0, |in_force| in_force.revision);
        let json = serde_json::to_vec(&RevisionReply { revision });
        json_body(res, json.unwrap_or_default());
    }
}

/// Handler of all other paths.
#[handler]
pub(crate) fn not_found(req: &mut Request, res: &mut Response) {
    let path: String = req.uri().path().chars().take(128).collect();
    let detail = format!("{} {path} is not served here", req.method());
    Problem::new(404, "not-found", "Not found", detail).render(res);
}
