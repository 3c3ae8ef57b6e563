//! What the handlers of the HTTP API share: their state, responses and the check of operators' tokens.

use std::sync::Arc;

use host::{
    problem::Problem,
    settings::{Operator, Secret, find_operator},
};
use salvo::{
    Depot, Request, Response,
    http::{StatusCode, header::HeaderValue},
};
use serde::Serialize;

use crate::{
    error_response::{ErrorResponse, no_quorum},
    request_body::Budgets,
    service::Service,
};

/// State shared by all handlers.
#[derive(Debug)]
pub struct ApiState {
    /// The service that answers the requests.
    pub service: Arc<Service>,
    /// Who may make changes; if empty, anyone may.
    pub operators: Vec<Operator>,
    /// Token that endpoints send with announcements.
    pub announce_token: Option<Secret>,
    /// Memory for the bodies of requests that have not been answered.
    pub bodies: Budgets,
}

pub(crate) fn api_state(depot: &Depot) -> Arc<ApiState> {
    let api = depot.get_typed::<Arc<ApiState>>();
    Arc::clone(api.expect("the router injects the API state into every request"))
}

pub(crate) fn json<T: Serialize>(res: &mut Response, value: &T) {
    let headers = res.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    let body = serde_json::to_vec(value).unwrap_or_default();
    // Writing bytes into a response without a body cannot fail.
    let _ = res.write_body(body);
}

/// Returns the name of the operator whose token `req` has; `None` if no operators are configured.
pub(crate) fn authorize(api: &ApiState, req: &Request) -> Result<Option<String>, ErrorResponse> {
    if api.operators.is_empty() {
        return Ok(None);
    }
    let header = req.headers().get("authorization");
    let token = header.and_then(|v| v.as_bytes().strip_prefix(b"Bearer "));
    let operator = token.and_then(|token| find_operator(&api.operators, token));
    match operator {
        Some(operator) => Ok(Some(operator.name.clone())),
        None => {
            let detail = "present an operator's token as `Authorization: Bearer TOKEN`";
            Err(Problem::new(401, "unauthorized", "No operator has this token", detail).into())
        }
    }
}

pub(crate) fn bad_request(detail: &str) -> Problem {
    Problem::new(
        StatusCode::BAD_REQUEST.as_u16(),
        "bad-request",
        "Bad request",
        detail,
    )
}

pub(crate) fn unavailable(service: &Service, step: &str) -> Problem {
    no_quorum(step, service.status().leader.as_deref())
}
