//! Reads and unblocks the blocked parts of prompts.

use std::time::Duration;

use link::keeper::{BlockedPart, KeeperReply, KeeperRequest};
use operators::{format_part, parse_part};
use salvo::{Depot, Request, Response, handler, http::StatusCode};

use crate::{
    app::{App, app},
    guard::{self, form_value},
    pages::layout::message,
    session::Session,
};

/// Timeout of the query for the list.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of an unblock.
const UNBLOCK_TIMEOUT: Duration = Duration::from_secs(4);
/// Title of the pages that show the result of an unblock.
const TITLE: &str = "Blocked parts";

/// Returns the blocked parts, or why they can't be read.
pub(crate) async fn query(app: &App) -> Result<Vec<BlockedPart>, String> {
    let req = KeeperRequest::BlockedParts;
    match app.keepers.request(&req, QUERY_TIMEOUT).await {
        Ok(KeeperReply::BlockedParts { parts, .. }) => Ok(parts),
        Ok(_) => Err("a keeper sent a response of an unexpected kind".to_owned()),
        Err(e) => Err(e.to_string()),
    }
}

/// `POST /unblock`: unblocks a part, after checking session, origin and form token.
#[handler]
pub(crate) async fn unblock(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app(depot);
    let Some(session) = guard::session(&app, req, res) else {
        return;
    };
    let presented = form_value(req, "form_token").await;
    if !guard::is_own_form(req.headers(), &session, &presented) {
        return guard::refuse_form(res);
    }
    let req = match read_form(req, &session).await {
        Ok(req) => req,
        Err(what) => return message(res, StatusCode::BAD_REQUEST, TITLE, &what),
    };
    let (status, text) = match app.keepers.request(&req, UNBLOCK_TIMEOUT).await {
        Ok(KeeperReply::PartUnblocked { existed: true }) => {
            let text = "The part is unblocked: gates accept requests with it as soon as a keeper \
                        tells them.";
            (StatusCode::OK, text.to_owned())
        }
        Ok(KeeperReply::PartUnblocked { existed: false }) => {
            (StatusCode::OK, "The part was not blocked.".to_owned())
        }
        Ok(KeeperReply::Invalid(what)) => (StatusCode::BAD_REQUEST, what),
        Ok(_) => {
            let text =
                "A keeper sent a response of an unexpected kind; check that the versions match.";
            (StatusCode::BAD_GATEWAY, text.to_owned())
        }
        Err(e) => (StatusCode::SERVICE_UNAVAILABLE, e.to_string()),
    };
    message(res, status, TITLE, &text);
}

async fn read_form(req: &mut Request, session: &Session) -> Result<KeeperRequest, String> {
    let part = parse_part(&form_value(req, "part").await)?;
    let author = match &session.operator {
        Some(operator) => operator.clone(),
        None => form_value(req, "author").await.trim().to_owned(),
    };
    let reason = form_value(req, "reason").await.trim().to_owned();
    match author.is_empty() || reason.is_empty() {
        true => Err(format!(
            "{}: say who takes the block back, and why.",
            format_part(part)
        )),
        false => Ok(KeeperRequest::UnblockPart {
            part,
            author,
            reason,
        }),
    }
}
