//! The operators' HTTP API.

use std::sync::Arc;

use declaration::{Change, Declaration, Document, changes_between};
use host::problem::Problem;
use link::keeper::{ChangeReply, KeeperReply, KeeperRequest, MemberAction as Action};
use operators::{Accepted, KeeperLag, KeeperStatus, MemberAction, MemberRequest, Submission};
use replica::Role;
use salvo::{Depot, Request, Response, Router, affix_state, handler, http::header::HeaderValue};

use crate::{
    announce,
    api_state::{ApiState, api_state, authorize, bad_request, json, unavailable},
    blocked_http,
    error_response::ErrorResponse,
    request_body,
    service::{Origin, Service},
    submission, zones_http,
};

/// Returns the router of all paths.
pub fn router(api: ApiState) -> Router {
    let v1 = Router::with_path("v1")
        .push(Router::with_path("declaration").get(get_declaration))
        .push(Router::with_path("changes").post(post_changes))
        .push(Router::with_path("audit").get(get_audit))
        .push(Router::with_path("status").get(get_status))
        .push(Router::with_path("keepers").post(post_keepers))
        .push(Router::with_path("blocked-parts").get(blocked_http::list))
        .push(Router::with_path("blocked-parts/{part}/unblock").post(blocked_http::unblock))
        .push(Router::with_path("zones").get(zones_http::list))
        .push(Router::with_path("zones/{zone}/evacuate").post(zones_http::evacuate))
        .push(Router::with_path("zones/{zone}/return").post(zones_http::end_evacuation))
        .push(Router::with_path("announce").post(announce::post))
        .push(Router::with_path("endpoints").get(announce::list));
    Router::new()
        .hoop(affix_state::inject(Arc::new(api)))
        .push(v1)
        .push(Router::with_path("healthz").get(get_healthz))
        .push(Router::with_path("metrics").get(get_metrics))
        .push(Router::with_path("{**rest}").goal(not_found))
}

fn text(res: &mut Response, kind: &'static str, text: String) {
    let headers = res.headers_mut();
    headers.insert("content-type", HeaderValue::from_static(kind));
    // Writing bytes into a response without a body cannot fail.
    let _ = res.write_body(text.into_bytes());
}

#[handler]
async fn get_declaration(depot: &mut Depot, res: &mut Response) {
    let service = &api_state(depot).service;
    if !service.is_current().await {
        return unavailable(service, "read the declaration").render(res);
    }
    let (revision, document) = service.state().read(|state| {
        let declaration = &state.declaration;
        (declaration.revision(), declaration.document().clone())
    });
    res.headers_mut()
        .insert("jujube-revision", HeaderValue::from(revision));
    text(res, "text/plain; charset=utf-8", document.write());
}

#[handler]
async fn post_changes(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let api = api_state(depot);
    match submit(&api, req).await {
        Ok(accepted) => json(res, &accepted),
        Err(e) => e.render(res),
    }
}

async fn submit(api: &ApiState, req: &mut Request) -> Result<Accepted, ErrorResponse> {
    const STEP: &str = "submit the change";
    let operator = authorize(api, req)?;
    let mut body = request_body::read(req, &api.bodies.operators).await?;
    let bytes = body.take_bytes();
    let mut submission = submission::parse(&bytes).map_err(|e| bad_request(&e))?;
    if let Some(operator) = operator {
        submission.author = operator;
    }
    let change = to_change(&api.service, submission).await?;
    let reply = api
        .service
        .handle(KeeperRequest::Change(change), Origin::Client);
    match reply.await {
        KeeperReply::Change(ChangeReply::Accepted { revision, applied }) => {
            Ok(Accepted { revision, applied })
        }
        KeeperReply::Change(ChangeReply::Conflict(conflicts)) => {
            Err(ErrorResponse::conflict(conflicts))
        }
        KeeperReply::Change(ChangeReply::Invalid(faults)) => Err(ErrorResponse::faults(faults)),
        KeeperReply::Invalid(why) => {
            Err(Problem::new(409, "change-refused", "Change refused", why).into())
        }
        _ => Err(unavailable(&api.service, STEP).into()),
    }
}

/// Converts a submission to a change of sections. A whole document is compared with that of its
/// base revision, so that it doesn't delete what others have added since.
async fn to_change(service: &Service, submission: Submission) -> Result<Change, ErrorResponse> {
    let base = submission.base_revision;
    let sections = match (submission.sections, submission.document) {
        (Some(sections), _) => sections,
        (None, document) => {
            let text = document.unwrap_or_default();
            Declaration::read("document", text.as_bytes())
                .map_err(|f| ErrorResponse::faults(f.0))?;
            let document = Document::read("document", text.as_bytes());
            let document = document.map_err(|f| ErrorResponse::faults(f.0))?;
            changes_between(&document_at(service, base).await?, &document)
        }
    };
    Ok(Change {
        change: submission.change,
        base_revision: base,
        author: submission.author,
        reason: submission.reason,
        sections,
    })
}

async fn document_at(service: &Service, revision: u64) -> Result<Document, ErrorResponse> {
    let lookup = || {
        let state = service.state();
        state.read(|state| {
            (
                state.declaration.revision(),
                state.declaration.document_at(revision),
            )
        })
    };
    let (newest, found) = lookup();
    if let Some(document) = found {
        return Ok(document);
    }
    // This keeper may be lagging.
    if revision > newest && !service.is_current().await {
        return Err(unavailable(service, "read the base revision").into());
    }
    let (newest, found) = lookup();
    found.ok_or_else(|| {
        let detail = format!(
            "base_revision {revision} is not known; the newest is {newest} and old ones are \
             no longer kept; read the declaration and make the change again"
        );
        Problem::new(409, "unknown-base", "Unknown base revision", detail).into()
    })
}

#[handler]
async fn get_audit(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let service = &api_state(depot).service;
    let from = match req.queries().get("from").map(|text| text.parse::<u64>()) {
        None => 1,
        Some(Ok(from)) => from,
        Some(Err(e)) => return bad_request(&format!("from: {e}")).render(res),
    };
    let Some(records) = service.audit(from).await else {
        return unavailable(service, "read the audit trail").render(res);
    };
    let oldest = service
        .state()
        .read(|state| state.declaration.oldest_audit());
    res.headers_mut()
        .insert("jujube-audit-oldest", HeaderValue::from(oldest));
    let lines: Vec<String> = records
        .iter()
        .filter_map(|record| serde_json::to_string(record).ok())
        .map(|line| line + "\n")
        .collect();
    text(res, "application/x-ndjson", lines.concat());
}

#[handler]
async fn get_status(depot: &mut Depot, res: &mut Response) {
    json(res, &to_status(&api_state(depot).service));
}

fn to_status(service: &Service) -> KeeperStatus {
    let status = service.status();
    let lag = status.peers.iter().map(|peer| KeeperLag {
        name: peer.name.clone(),
        entries: peer.lag,
    });
    KeeperStatus {
        role: role_name(status.role).to_owned(),
        term: status.term,
        leader: status.leader.clone(),
        commit: status.commit,
        voters: status.voters.clone(),
        learners: status.learners.clone(),
        lag: lag.collect(),
        blocked_parts: service
            .state()
            .read(|state| state.blocked_parts.blocks().len()),
    }
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Leader => "leader",
        Role::Follower => "follower",
        Role::Candidate => "candidate",
        Role::Learner => "learner",
        Role::Stopped => "stopped",
    }
}

#[handler]
async fn post_keepers(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let api = api_state(depot);
    match change_members(&api, req).await {
        Ok(()) => json(res, &to_status(&api.service)),
        Err(e) => e.render(res),
    }
}

async fn change_members(api: &ApiState, req: &mut Request) -> Result<(), ErrorResponse> {
    authorize(api, req)?;
    let mut held = request_body::read(req, &api.bodies.operators).await?;
    let bytes = held.take_bytes();
    let body: MemberRequest =
        serde_json::from_slice(&bytes).map_err(|e| bad_request(&e.to_string()))?;
    let action = match (body.action, &body.address) {
        (MemberAction::Add, Some(address)) => {
            let address = address.parse();
            let address =
                address.map_err(|_| bad_request("address: write IP:PORT of the keeper's link"))?;
            Action::Add { address }
        }
        (MemberAction::Add, None) => return Err(bad_request("address: missing").into()),
        (MemberAction::Promote, _) => Action::Promote,
        (MemberAction::Remove, _) => Action::Remove { force: body.force },
    };
    let name = body.name;
    let req = KeeperRequest::Member { name, action };
    match api.service.handle(req, Origin::Client).await {
        KeeperReply::MemberChanged => Ok(()),
        KeeperReply::Invalid(why) => {
            Err(Problem::new(409, "member-refused", "Change of keepers refused", why).into())
        }
        _ => Err(unavailable(&api.service, "change the keepers").into()),
    }
}

#[handler]
async fn get_healthz(depot: &mut Depot, res: &mut Response) {
    match api_state(depot).service.status().failed {
        None => text(res, "text/plain; charset=utf-8", "ok\n".to_owned()),
        Some(why) => Problem::new(503, "stopped", "The log has stopped", why).render(res),
    }
}

#[handler]
async fn get_metrics(depot: &mut Depot, res: &mut Response) {
    let service = &api_state(depot).service;
    text(res, "text/plain; version=0.0.4", service.metrics_text());
}

#[handler]
async fn not_found(req: &mut Request, res: &mut Response) {
    let detail = format!("no route for {} {}", req.method(), req.uri().path());
    Problem::new(404, "not-found", "Not found", detail).render(res);
}
