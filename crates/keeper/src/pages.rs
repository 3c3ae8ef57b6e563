//! The operators' HTTP.

use std::sync::Arc;

use declaration::{Change, Declaration, Document, changes_between};
use host::{
    problem::Problem,
    settings::{Operator, Secret, find_operator},
};
use link::keeper::{ChangeReply, KeeperReply, KeeperRequest, MemberAction as Action};
use operators::{Accepted, KeeperMember, MemberAction, MemberRequest, Status, Submission};
use replica::Role;
use salvo::{
    Depot, Request, Response, Router, affix_state, handler,
    http::{StatusCode, header::HeaderValue},
};
use serde::Serialize;

use crate::{
    announce, body, payload,
    refusal::{Refusal, no_quorum},
    service::{Origin, Service},
};

/// What the pages need.
#[derive(Debug)]
pub struct Pages {
    /// The answering side.
    pub service: Arc<Service>,
    /// Who may change anything; empty where anybody may.
    pub operators: Vec<Operator>,
    /// Token that endpoints send with announcements.
    pub announce_token: Option<Secret>,
}

/// The router of all pages.
pub fn router(pages: Pages) -> Router {
    let v1 = Router::with_path("v1")
        .push(Router::with_path("declaration").get(get_declaration))
        .push(Router::with_path("changes").post(post_changes))
        .push(Router::with_path("audit").get(get_audit))
        .push(Router::with_path("status").get(get_status))
        .push(Router::with_path("keepers").post(post_keepers))
        .push(Router::with_path("announce").post(announce::post))
        .push(Router::with_path("endpoints").get(announce::list));
    Router::new()
        .hoop(affix_state::inject(Arc::new(pages)))
        .push(v1)
        .push(Router::with_path("healthz").get(get_healthz))
        .push(Router::with_path("metrics").get(get_metrics))
        .push(Router::with_path("{**rest}").goal(not_found))
}

pub(crate) fn pages(depot: &Depot) -> Arc<Pages> {
    let pages = depot.get_typed::<Arc<Pages>>();
    Arc::clone(pages.expect("the router injects the pages into every request"))
}

pub(crate) fn json<T: Serialize>(res: &mut Response, value: &T) {
    let headers = res.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    let body = serde_json::to_vec(value).unwrap_or_default();
    // Writing bytes into a response without a body cannot fail.
    let _ = res.write_body(body);
}

fn text(res: &mut Response, kind: &'static str, text: String) {
    let headers = res.headers_mut();
    headers.insert("content-type", HeaderValue::from_static(kind));
    // Writing bytes into a response without a body cannot fail.
    let _ = res.write_body(text.into_bytes());
}

#[handler]
async fn get_declaration(depot: &mut Depot, res: &mut Response) {
    let service = &pages(depot).service;
    if !service.is_current().await {
        return unavailable(service, "read the declaration").render(res);
    }
    let (revision, document) = service.machine().read(|state| {
        let declared = &state.declared;
        (declared.revision(), declared.document().clone())
    });
    res.headers_mut()
        .insert("jujube-revision", HeaderValue::from(revision));
    text(res, "text/plain; charset=utf-8", document.write());
}

#[handler]
async fn post_changes(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let pages = pages(depot);
    match submit(&pages, req).await {
        Ok(accepted) => json(res, &accepted),
        Err(refusal) => refusal.render(res),
    }
}

async fn submit(pages: &Pages, req: &mut Request) -> Result<Accepted, Refusal> {
    const STEP: &str = "submit the change";
    let operator = authorized(pages, req)?;
    let bytes = payload::read(req).await?;
    let mut submission = body::submission(&bytes).map_err(|e| bad_request(&e))?;
    if let Some(operator) = operator {
        submission.author = operator;
    }
    let change = change_of(&pages.service, submission).await?;
    let reply = pages
        .service
        .ask(KeeperRequest::Change(change), Origin::Client);
    match reply.await {
        KeeperReply::Change(ChangeReply::Accepted { revision, applied }) => {
            Ok(Accepted { revision, applied })
        }
        KeeperReply::Change(ChangeReply::Conflict(both)) => Err(Refusal::conflict(both)),
        KeeperReply::Change(ChangeReply::Invalid(faults)) => Err(Refusal::faults(faults)),
        KeeperReply::Invalid(why) => {
            Err(Problem::new(409, "change-refused", "Change refused", why).into())
        }
        _ => Err(unavailable(&pages.service, STEP).into()),
    }
}

/// The sections that a submission changes. A whole document is compared with the document of its
/// base revision, so that what others added since is not deleted by it.
async fn change_of(service: &Service, submission: Submission) -> Result<Change, Refusal> {
    let base = submission.base_revision;
    let sections = match (submission.sections, submission.document) {
        (Some(sections), _) => sections,
        (None, document) => {
            let text = document.unwrap_or_default();
            Declaration::read("document", text.as_bytes()).map_err(|f| Refusal::faults(f.0))?;
            let document = Document::read("document", text.as_bytes());
            let document = document.map_err(|f| Refusal::faults(f.0))?;
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

async fn document_at(service: &Service, revision: u64) -> Result<Document, Refusal> {
    let find = || {
        let machine = service.machine();
        machine.read(|state| {
            (
                state.declared.revision(),
                state.declared.document_at(revision),
            )
        })
    };
    let (newest, found) = find();
    if let Some(document) = found {
        return Ok(document);
    }
    // This keeper may only be behind.
    if revision > newest && !service.is_current().await {
        return Err(unavailable(service, "read the base revision").into());
    }
    let (newest, found) = find();
    found.ok_or_else(|| {
        let detail = format!(
            "base_revision {revision} is not known; the newest is {newest} and old ones are \
             forgotten; read the declaration and make the change anew"
        );
        Problem::new(409, "unknown-base", "Unknown base revision", detail).into()
    })
}

#[handler]
async fn get_audit(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let service = &pages(depot).service;
    let from = match req.queries().get("from").map(|text| text.parse::<u64>()) {
        None => 1,
        Some(Ok(from)) => from,
        Some(Err(e)) => return bad_request(&format!("from: {e}")).render(res),
    };
    let Some(records) = service.audit(from).await else {
        return unavailable(service, "read the audit trail").render(res);
    };
    let oldest = service
        .machine()
        .read(|state| state.declared.oldest_audit());
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
    json(res, &status_of(&pages(depot).service.status()));
}

fn status_of(status: &replica::Status) -> Status {
    let lag = status.peers.iter().map(|peer| KeeperMember {
        name: peer.name.clone(),
        entries: peer.lag,
    });
    Status {
        role: role_name(status.role).to_owned(),
        term: status.term,
        leader: status.leader.clone(),
        commit: status.commit,
        voters: status.voters.clone(),
        learners: status.learners.clone(),
        lag: lag.collect(),
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
    let pages = pages(depot);
    match change_members(&pages, req).await {
        Ok(()) => json(res, &status_of(&pages.service.status())),
        Err(refusal) => refusal.render(res),
    }
}

async fn change_members(pages: &Pages, req: &mut Request) -> Result<(), Refusal> {
    authorized(pages, req)?;
    let bytes = payload::read(req).await?;
    let body: MemberRequest =
        serde_json::from_slice(&bytes).map_err(|e| bad_request(&e.to_string()))?;
    let action = match (body.action, &body.address) {
        (MemberAction::Add, Some(address)) => {
            let address = address.parse();
            let address = address.map_err(|_| bad_request("address: write IP:PORT of its link"))?;
            Action::Add { address }
        }
        (MemberAction::Add, None) => return Err(bad_request("address: missing").into()),
        (MemberAction::Promote, _) => Action::Promote,
        (MemberAction::Remove, _) => Action::Remove { force: body.force },
    };
    let name = body.name;
    let req = KeeperRequest::Member { name, action };
    match pages.service.ask(req, Origin::Client).await {
        KeeperReply::MemberChanged => Ok(()),
        KeeperReply::Invalid(why) => {
            Err(Problem::new(409, "member-refused", "Change of keepers refused", why).into())
        }
        _ => Err(unavailable(&pages.service, "change the keepers").into()),
    }
}

#[handler]
async fn get_healthz(depot: &mut Depot, res: &mut Response) {
    match pages(depot).service.status().failed {
        None => text(res, "text/plain; charset=utf-8", "ok\n".to_owned()),
        Some(why) => Problem::new(503, "stopped", "The log has stopped", why).render(res),
    }
}

#[handler]
async fn get_metrics(depot: &mut Depot, res: &mut Response) {
    let service = &pages(depot).service;
    text(res, "text/plain; version=0.0.4", service.metrics_text());
}

#[handler]
async fn not_found(req: &mut Request, res: &mut Response) {
    let detail = format!("no page {} {}", req.method(), req.uri().path());
    Problem::new(404, "not-found", "Not found", detail).render(res);
}

/// The operator's name, where operators have tokens.
fn authorized(pages: &Pages, req: &Request) -> Result<Option<String>, Refusal> {
    if pages.operators.is_empty() {
        return Ok(None);
    }
    let header = req.headers().get("authorization");
    let token = header.and_then(|v| v.as_bytes().strip_prefix(b"Bearer "));
    let operator = token.and_then(|token| find_operator(&pages.operators, token));
    match operator {
        Some(operator) => Ok(Some(operator.name.clone())),
        None => {
            let detail = "present an operator's token as `Authorization: Bearer TOKEN`";
            Err(Problem::new(401, "unauthorized", "No operator has this token", detail).into())
        }
    }
}

fn bad_request(detail: &str) -> Problem {
    Problem::new(
        StatusCode::BAD_REQUEST.as_u16(),
        "bad-request",
        "Bad request",
        detail,
    )
}

fn unavailable(service: &Service, step: &str) -> Problem {
    no_quorum(step, service.status().leader.as_deref())
}
