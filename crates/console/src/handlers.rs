//! HTTP handlers, one for each page.

use std::{sync::Arc, time::Duration};

use declaration::{SectionId, SectionText};
use host::settings::find_operator;
use link::{
    follower::ActiveDeclaration,
    keeper::{KeeperReply, KeeperRequest, MAX_AUDIT_RECORDS},
};
use salvo::{Depot, Request, Response, handler, http::StatusCode};
use uuid::Uuid;

use crate::{
    app::{App, app},
    blocked,
    change::{Draft, SubmitResult},
    cluster_state,
    fields::{FormContent, comment_lines, fields_of_kind},
    guard::{self, form_value},
    pages,
    session::Session,
    zones,
};

/// Timeout for reading one page of the audit trail.
const AUDIT_TIMEOUT: Duration = Duration::from_secs(4);

/// Returns the session and the declaration in force. If either is missing, writes a response that
/// says so (or redirects to the login) and returns `None`.
fn session_and_declaration(
    app: &App,
    req: &Request,
    res: &mut Response,
) -> Option<(Session, Arc<ActiveDeclaration>)> {
    let session = guard::session(app, req, res)?;
    match app.in_force() {
        Some(in_force) => Some((session, in_force)),
        None => {
            let text = "No keeper has responded yet. Check that the keepers run and that [keepers] \
                        in the console's settings lists them, then reload this page.";
            pages::layout::message(
                res,
                StatusCode::SERVICE_UNAVAILABLE,
                "No declaration yet",
                text,
            );
            None
        }
    }
}

#[handler]
pub(crate) async fn healthz(res: &mut Response) {
    res.render("ok");
}

#[handler]
pub(crate) async fn overview(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    if let Some((_, in_force)) = session_and_declaration(&app(depot), req, res) {
        pages::overview::render(res, &in_force);
    }
}

#[handler]
pub(crate) async fn login_page(res: &mut Response) {
    pages::login::render(res, StatusCode::OK, None);
}

#[handler]
pub(crate) async fn login(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app(depot);
    let token: String = req.form("token").await.unwrap_or_default();
    let matching = find_operator(&app.operators, token.trim().as_bytes());
    match matching {
        Some(operator) => {
            let session = app.sessions.create(Some(operator.name.clone()));
            guard::set_cookie(res, &session);
            guard::redirect(res, "/");
        }
        None => pages::login::render(
            res,
            StatusCode::FORBIDDEN,
            Some("No operator has this token."),
        ),
    }
}

#[handler]
pub(crate) async fn edit(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let Some((session, in_force)) = session_and_declaration(&app(depot), req, res) else {
        return;
    };
    let id = SectionId {
        kind: req.query("kind").unwrap_or_default(),
        name: req.query("name").unwrap_or_default(),
    };
    if fields_of_kind(&id.kind).is_empty() {
        let text = "There is no such kind of section; go back to the overview.";
        return pages::layout::message(res, StatusCode::NOT_FOUND, "Unknown kind", text);
    }
    let base = in_force.document.sections.get(&id).cloned();
    let draft = Draft {
        change: Uuid::now_v7(),
        base_revision: in_force.revision,
        form: FormContent {
            id,
            text: base.clone().unwrap_or_default(),
            is_deletion: false,
        },
        base,
        author: session.operator.clone().unwrap_or_default(),
        reason: String::new(),
    };
    pages::edit::render(res, StatusCode::OK, &session, &in_force, &draft, &[]);
}

#[handler]
pub(crate) async fn preview(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let Some((session, in_force, draft)) = read_posted_form(&app(depot), req, res).await else {
        return;
    };
    let faults = draft.faults(&in_force.document);
    match faults.is_empty() {
        true => pages::preview::render(res, &session, &in_force, &draft),
        false => {
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            pages::edit::render(res, status, &session, &in_force, &draft, &faults);
        }
    }
}

#[handler]
pub(crate) async fn revise(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    if let Some((session, in_force, draft)) = read_posted_form(&app(depot), req, res).await {
        pages::edit::render(res, StatusCode::OK, &session, &in_force, &draft, &[]);
    }
}

#[handler]
pub(crate) async fn submit(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app(depot);
    let Some((session, in_force, draft)) = read_posted_form(&app, req, res).await else {
        return;
    };
    match draft.submit(&app.keepers).await {
        SubmitResult::Accepted { revision, applied } => {
            pages::outcome::accepted(res, &draft, revision, applied);
        }
        SubmitResult::Conflict(conflicts) => {
            pages::conflict::render(res, &session, &draft, &conflicts);
        }
        SubmitResult::Invalid(faults) => {
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            pages::edit::render(res, status, &session, &in_force, &draft, &faults);
        }
        SubmitResult::Refused(what) => {
            pages::layout::message(res, StatusCode::BAD_REQUEST, "Change refused", &what);
        }
        SubmitResult::Unavailable(e) => {
            pages::outcome::unavailable(res, &session, &draft, &e.to_string());
        }
    }
}

#[handler]
pub(crate) async fn audit(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app(depot);
    let Some((_, in_force)) = session_and_declaration(&app, req, res) else {
        return;
    };
    let search: String = req.query("q").unwrap_or_default();
    let newest_page = in_force
        .revision
        .saturating_sub(MAX_AUDIT_RECORDS as u64 - 1)
        .max(1);
    let from = req.query("from").unwrap_or(newest_page);
    let reply = app
        .keepers
        .request(&KeeperRequest::Audit { from }, AUDIT_TIMEOUT)
        .await;
    match reply {
        Ok(KeeperReply::Audit(records)) => pages::audit::render(res, &records, &search, from),
        Ok(_) => {
            let text =
                "A keeper sent a response of an unexpected kind; check that the versions match.";
            pages::layout::message(res, StatusCode::BAD_GATEWAY, "Audit trail", text);
        }
        Err(e) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            pages::layout::message(res, status, "Audit trail", &e.to_string());
        }
    }
}

#[handler]
pub(crate) async fn status_page(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app(depot);
    let Some((session, in_force)) = session_and_declaration(&app, req, res) else {
        return;
    };
    let (gates, controllers, zones, blocked) = tokio::join!(
        cluster_state::query_gates(&app),
        cluster_state::query_controllers(&app),
        zones::query(&app, &in_force.document),
        blocked::query(&app)
    );
    let orders = [
        pages::zones::section(&session, &zones),
        pages::blocked::section(&session, &blocked),
    ];
    pages::status::render(res, in_force.revision, &gates, &orders, &controllers);
}

/// Reads a posted form after checking its session, origin and form token. Writes a response and
/// returns `None` if one of them is not valid.
async fn read_posted_form(
    app: &App,
    req: &mut Request,
    res: &mut Response,
) -> Option<(Session, Arc<ActiveDeclaration>, Draft)> {
    let (session, in_force) = session_and_declaration(app, req, res)?;
    let presented = form_value(req, "form_token").await;
    if !guard::is_own_form(req.headers(), &session, &presented) {
        guard::refuse_form(res);
        return None;
    }
    let draft = read_draft(req, &session).await;
    if fields_of_kind(&draft.form.id.kind).is_empty() {
        guard::refuse_form(res);
        return None;
    }
    Some((session, in_force, draft))
}

async fn read_draft(req: &mut Request, session: &Session) -> Draft {
    let kind = form_value(req, "kind").await;
    let mut text = SectionText {
        comments: comment_lines(&form_value(req, "comments").await),
        ..SectionText::default()
    };
    for field in fields_of_kind(&kind) {
        let value = form_value(req, &format!("key.{}", field.key)).await;
        let value = value.split_whitespace().collect::<Vec<_>>().join(" ");
        if !value.is_empty() {
            text.entries.insert(field.key.to_owned(), value);
        }
    }
    let author = match &session.operator {
        Some(operator) => operator.clone(),
        None => form_value(req, "author").await,
    };
    let base = form_value(req, "base").await;
    Draft {
        change: form_value(req, "change")
            .await
            .parse()
            .unwrap_or_else(|_| Uuid::now_v7()),
        base_revision: form_value(req, "base_revision").await.parse().unwrap_or(0),
        base: serde_json::from_str(&base).ok(),
        form: FormContent {
            id: SectionId {
                kind,
                name: form_value(req, "name").await.trim().to_owned(),
            },
            text,
            is_deletion: form_value(req, "delete").await == "yes",
        },
        author: author.trim().to_owned(),
        reason: form_value(req, "reason").await.trim().to_owned(),
    }
}
