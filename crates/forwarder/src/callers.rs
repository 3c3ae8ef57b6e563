//! Callers' requests.

use std::{str::FromStr, time::Duration};

use bytes::Bytes;
use forward::{IncomingRequest, ParsedHead, Prompt, end_to_end};
use hyper::{
    HeaderMap,
    header::{AUTHORIZATION, HOST, HeaderName},
    http::request::Parts,
};
use tokio::time::Instant;
use uuid::Uuid;

use crate::names;

/// Scheme of the header that carries an access key.
const BEARER: &str = "Bearer ";
/// Longest id of a request, in bytes.
const MAX_ID: usize = 128;

/// Reads a caller's head.
pub(crate) fn read(parts: &Parts) -> ParsedHead {
    match inquiry(parts) {
        Ok(inquiry) => ParsedHead::Request(Box::new(inquiry)),
        Err(what) => ParsedHead::Malformed(what),
    }
}

fn inquiry(parts: &Parts) -> Result<IncomingRequest, &'static str> {
    let headers = &parts.headers;
    let target = parts.uri.path_and_query().ok_or("the path is missing")?;
    Ok(IncomingRequest {
        id: id(headers)?,
        method: parts.method.clone(),
        host: host(parts).ok_or("the host is missing")?,
        target: target.as_str().to_owned(),
        headers: passed_on(headers),
        body: Bytes::new(),
        key: key(headers),
        timeout: number(headers, &names::DEADLINE)?.map(Duration::from_millis),
        received_at: Instant::now(),
        prompt: prompt(headers)?,
        items: items(headers)?,
        item_key: text(headers, &names::ITEM_KEY).map(str::to_owned),
        last_event_id: number(headers, &names::LAST_EVENT)?,
    })
}

/// The caller's id, or a new one.
fn id(headers: &HeaderMap) -> Result<String, &'static str> {
    let mut named = headers.get_all(&names::REQUEST).iter();
    let (first, second) = (named.next(), named.next());
    let Some(first) = first else {
        return Ok(Uuid::now_v7().to_string());
    };
    let id = first.to_str().ok().filter(|id| is_id(id));
    let id = id.ok_or("Jujube-Request must be 1 to 128 visible ASCII characters")?;
    match second {
        None => Ok(id.to_owned()),
        Some(_) => Err("Jujube-Request stands twice; send it once"),
    }
}

fn is_id(id: &str) -> bool {
    !id.is_empty() && id.len() <= MAX_ID && id.chars().all(|c| c.is_ascii_graphic())
}

fn host(parts: &Parts) -> Option<String> {
    let named = text(&parts.headers, &HOST).or_else(|| parts.uri.host())?;
    let name = match named.rsplit_once(':') {
        Some((name, port)) if port.chars().all(|c| c.is_ascii_digit()) => name,
        _ => named,
    };
    Some(name.to_owned()).filter(|name| !name.is_empty())
}

fn key(headers: &HeaderMap) -> Option<String> {
    let key = text(headers, &AUTHORIZATION)?.strip_prefix(BEARER)?.trim();
    Some(key.to_owned()).filter(|key| !key.is_empty())
}

/// What goes to the endpoint as the caller sent it.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut passed = end_to_end(headers);
    for name in names::OURS.into_iter().chain([AUTHORIZATION, HOST]) {
        passed.remove(name);
    }
    passed
}

fn prompt(headers: &HeaderMap) -> Result<Option<Prompt>, &'static str> {
    const WRONG: &str = "Jujube-Tokens must be READ,GENERATE, such as 1460,80";
    let Some(tokens) = text(headers, &names::TOKENS) else {
        return Ok(None);
    };
    let (read, generate) = tokens.split_once(',').ok_or(WRONG)?;
    let (read, generate) = (parsed(read).ok_or(WRONG)?, parsed(generate).ok_or(WRONG)?);
    let parts = text(headers, &names::PARTS).unwrap_or_default().split(',');
    let parts = parts.filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some((id, parsed(tokens)?))
    });
    let model = text(headers, &names::MODEL).unwrap_or_default();
    Ok(Some(Prompt::new(model, read, generate, parts)))
}

fn items(headers: &HeaderMap) -> Result<Vec<u32>, &'static str> {
    let Some(list) = text(headers, &names::ITEMS) else {
        return Ok(Vec::new());
    };
    let counts: Option<Vec<u32>> = list.split(',').map(parsed).collect();
    counts.ok_or("Jujube-Items must be numbers separated by commas, one for each stage")
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, &'static str> {
    match text(headers, name) {
        None => Ok(None),
        Some(text) => match parsed(text) {
            Some(number) => Ok(Some(number)),
            None => Err("Jujube-Deadline-Ms and Last-Event-ID must be numbers"),
        },
    }
}

fn parsed<T: FromStr>(text: &str) -> Option<T> {
    text.trim().parse().ok()
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

#[cfg(test)]
mod tests;
