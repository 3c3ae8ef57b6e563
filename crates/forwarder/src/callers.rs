//! Parsing of callers' requests.

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

use crate::header_names;

/// Scheme of the `Authorization` header with an access key.
const BEARER_SCHEME: &str = "Bearer ";
/// Maximum length of a request id.
const MAX_ID_BYTES: usize = 128;

/// Parses the head of a caller's request.
pub(crate) fn parse_head(parts: &Parts) -> ParsedHead {
    match parse(parts) {
        Ok(request) => ParsedHead::Request(Box::new(request)),
        Err(reason) => ParsedHead::Malformed(reason),
    }
}

fn parse(parts: &Parts) -> Result<IncomingRequest, &'static str> {
    let headers = &parts.headers;
    let target = parts.uri.path_and_query().ok_or("the path is missing")?;
    Ok(IncomingRequest {
        id: request_id(headers)?,
        method: parts.method.clone(),
        host: host(parts).ok_or("the host is missing")?,
        target: target.as_str().to_owned(),
        headers: forwarded_headers(headers),
        body: Bytes::new(),
        key: access_key(headers),
        timeout: header_number(headers, &header_names::DEADLINE_MS)?.map(Duration::from_millis),
        received_at: Instant::now(),
        prompt: prompt(headers)?,
        items: item_counts(headers)?,
        item_key: header_text(headers, &header_names::ITEM_KEY).map(str::to_owned),
        last_event_id: header_number(headers, &header_names::LAST_EVENT_ID)?,
    })
}

/// Returns the caller's request id, or a new one if there is none.
fn request_id(headers: &HeaderMap) -> Result<String, &'static str> {
    let mut named = headers.get_all(&header_names::REQUEST_ID).iter();
    let (first, second) = (named.next(), named.next());
    let Some(first) = first else {
        return Ok(Uuid::now_v7().to_string());
    };
    let id = first.to_str().ok().filter(|id| is_valid_id(id));
    let id = id.ok_or("Jujube-Request must be 1 to 128 visible ASCII characters")?;
    match second {
        None => Ok(id.to_owned()),
        Some(_) => Err("Jujube-Request must be sent only once"),
    }
}

fn is_valid_id(id: &str) -> bool {
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.chars().all(|c| c.is_ascii_graphic())
}

fn host(parts: &Parts) -> Option<String> {
    let named = header_text(&parts.headers, &HOST).or_else(|| parts.uri.host())?;
    let name = match named.rsplit_once(':') {
        Some((name, port)) if port.chars().all(|c| c.is_ascii_digit()) => name,
        _ => named,
    };
    Some(name.to_owned()).filter(|name| !name.is_empty())
}

fn access_key(headers: &HeaderMap) -> Option<String> {
    let key = header_text(headers, &AUTHORIZATION)?
        .strip_prefix(BEARER_SCHEME)?
        .trim();
    Some(key.to_owned()).filter(|key| !key.is_empty())
}

/// Returns the caller's headers that are forwarded to the endpoint.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end(headers);
    for name in header_names::RESERVED
        .into_iter()
        .chain([AUTHORIZATION, HOST])
    {
        forwarded.remove(name);
    }
    forwarded
}

fn prompt(headers: &HeaderMap) -> Result<Option<Prompt>, &'static str> {
    const INVALID_TOKENS: &str = "Jujube-Tokens must be READ,GENERATE, such as 1460,80";
    let Some(tokens) = header_text(headers, &header_names::TOKENS) else {
        return Ok(None);
    };
    let (prompt_tokens, max_generated) = tokens.split_once(',').ok_or(INVALID_TOKENS)?;
    let (prompt_tokens, max_generated) = (
        parse_value(prompt_tokens).ok_or(INVALID_TOKENS)?,
        parse_value(max_generated).ok_or(INVALID_TOKENS)?,
    );
    let parts = header_text(headers, &header_names::PROMPT_PARTS)
        .unwrap_or_default()
        .split(',');
    let parts = parts.filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some((id, parse_value(tokens)?))
    });
    let model = header_text(headers, &header_names::MODEL).unwrap_or_default();
    Ok(Some(Prompt::new(
        model,
        prompt_tokens,
        max_generated,
        parts,
    )))
}

fn item_counts(headers: &HeaderMap) -> Result<Vec<u32>, &'static str> {
    let Some(list) = header_text(headers, &header_names::ITEMS) else {
        return Ok(Vec::new());
    };
    let counts: Option<Vec<u32>> = list.split(',').map(parse_value).collect();
    counts.ok_or("Jujube-Items must be numbers separated by commas, one for each stage")
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, &'static str> {
    match header_text(headers, name) {
        None => Ok(None),
        Some(value) => match parse_value(value) {
            Some(number) => Ok(Some(number)),
            None => Err("Jujube-Deadline-Ms and Last-Event-ID must be numbers"),
        },
    }
}

fn parse_value<T: FromStr>(text: &str) -> Option<T> {
    text.trim().parse().ok()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

#[cfg(test)]
mod tests;
