use forward::IncomingRequest;
use hyper::{Request, header::HeaderName};

use super::parse;

fn parse_request(headers: &[(&str, &str)]) -> Result<IncomingRequest, &'static str> {
    let mut req = Request::builder().uri("/a/b?c=1").method("PUT");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    parse(&req.body(()).unwrap().into_parts().0)
}

#[test]
fn routing_headers_are_parsed_and_others_forwarded() {
    let request = parse_request(&[
        ("host", "desk.example:8080"),
        ("jujube-request", "r-1"),
        ("jujube-deadline-ms", "900"),
        ("jujube-tokens", "1460, 80"),
        ("jujube-prompt-parts", "a:800,b:410"),
        ("jujube-items", "2,0,3"),
        ("authorization", "Bearer secret"),
        ("jujube-workspace", "forged"),
        ("connection", "x-odd"),
        ("x-odd", "1"),
        ("x-other", "2"),
    ])
    .unwrap();
    assert_eq!(
        (request.host.as_str(), request.path()),
        ("desk.example", "/a/b")
    );
    assert_eq!(
        (request.id.as_str(), request.key.as_deref()),
        ("r-1", Some("secret"))
    );
    assert_eq!(request.items, [2, 0, 3]);
    let prompt = request.prompt.unwrap();
    assert_eq!(
        (prompt.tokens, prompt.max_generated, prompt.parts.len()),
        (1_460, 80, 2)
    );
    let forwarded: Vec<&str> = request.headers.keys().map(HeaderName::as_str).collect();
    for removed in [
        "authorization",
        "jujube-workspace",
        "jujube-request",
        "x-odd",
        "host",
    ] {
        assert!(!forwarded.contains(&removed), "{removed}");
    }
    assert!(forwarded.contains(&"x-other") && forwarded.contains(&"jujube-items"));
}

#[test]
fn invalid_headers_are_rejected_and_a_missing_id_is_generated() {
    let host = ("host", "a");
    assert!(!parse_request(&[host]).unwrap().id.is_empty());
    assert!(parse_request(&[]).is_err(), "no host");
    for invalid in [
        ("jujube-request", ""),
        ("jujube-deadline-ms", "soon"),
        ("jujube-tokens", "12"),
        ("jujube-items", "2,x"),
    ] {
        assert!(parse_request(&[host, invalid]).is_err(), "{invalid:?}");
    }
    assert!(parse_request(&[host, ("jujube-request", "a"), ("jujube-request", "b")]).is_err());
}
