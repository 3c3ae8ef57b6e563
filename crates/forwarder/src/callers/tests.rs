use forward::IncomingRequest;
use hyper::{Request, header::HeaderName};

use super::inquiry;

fn read(headers: &[(&str, &str)]) -> Result<IncomingRequest, &'static str> {
    let mut req = Request::builder().uri("/a/b?c=1").method("PUT");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    inquiry(&req.body(()).unwrap().into_parts().0)
}

#[test]
fn what_decides_is_read_and_the_rest_is_passed_on() {
    let read = read(&[
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
    assert_eq!((read.host.as_str(), read.path()), ("desk.example", "/a/b"));
    assert_eq!(
        (read.id.as_str(), read.key.as_deref()),
        ("r-1", Some("secret"))
    );
    assert_eq!(read.items, [2, 0, 3]);
    let prompt = read.prompt.unwrap();
    assert_eq!(
        (prompt.tokens, prompt.max_generated, prompt.parts.len()),
        (1_460, 80, 2)
    );
    let passed: Vec<&str> = read.headers.keys().map(HeaderName::as_str).collect();
    for gone in [
        "authorization",
        "jujube-workspace",
        "jujube-request",
        "x-odd",
        "host",
    ] {
        assert!(!passed.contains(&gone), "{gone}");
    }
    assert!(passed.contains(&"x-other") && passed.contains(&"jujube-items"));
}

#[test]
fn what_is_garbled_is_refused_and_a_missing_id_is_made() {
    let host = ("host", "a");
    assert!(!read(&[host]).unwrap().id.is_empty());
    assert!(read(&[]).is_err(), "no host");
    for garbled in [
        ("jujube-request", ""),
        ("jujube-deadline-ms", "soon"),
        ("jujube-tokens", "12"),
        ("jujube-items", "2,x"),
    ] {
        assert!(read(&[host, garbled]).is_err(), "{garbled:?}");
    }
    assert!(read(&[host, ("jujube-request", "a"), ("jujube-request", "b")]).is_err());
}
