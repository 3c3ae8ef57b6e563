use salvo::http::{HeaderMap, header::HeaderValue};

use super::is_same_origin;

fn headers(origin: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("127.0.0.1:7416"));
    headers.insert("origin", HeaderValue::from_static(origin));
    headers
}

#[test]
fn only_our_own_origin_is_accepted() {
    assert!(is_same_origin(&headers("http://127.0.0.1:7416")));
    assert!(!is_same_origin(&headers("http://127.0.0.1:9999")));
    assert!(!is_same_origin(&headers("null")));
}
