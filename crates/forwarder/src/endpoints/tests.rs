use forward::{ItemResult, ResponseClass};
use hyper::{HeaderMap, StatusCode, header::HeaderValue};

use super::{answer_headers, judge, read_batch};

fn judged(status: u16, headers: &[(&'static str, &'static str)]) -> ResponseClass {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.insert(*name, HeaderValue::from_static(value));
    }
    judge("7", StatusCode::from_u16(status).unwrap(), &map)
}

#[test]
fn only_the_endpoints_word_to_this_call_says_that_it_did_not_run() {
    let (echo, not) = (("jujube-call", "7"), ("jujube-outcome", "not_run"));
    assert_eq!(judged(200, &[echo]), ResponseClass::Success);
    assert_eq!(judged(503, &[echo]), ResponseClass::Failed);
    assert_eq!(judged(503, &[echo, not]), ResponseClass::Full);
    assert_eq!(judged(409, &[echo, not]), ResponseClass::InputsGone);
    assert_eq!(judged(421, &[echo, not]), ResponseClass::WrongEndpoint);
    assert_eq!(judged(400, &[echo, not]), ResponseClass::NotRun);
    for foreign in [&[("jujube-call", "8"), not][..], &[not], &[]] {
        assert_eq!(judged(503, foreign), ResponseClass::Unrelated);
        assert_eq!(judged(200, foreign), ResponseClass::Unrelated);
    }
}

#[test]
fn callers_see_their_own_id() {
    let mut headers = HeaderMap::new();
    headers.insert("jujube-call", HeaderValue::from_static("7"));
    headers.insert("jujube-load", HeaderValue::from_static("1,0,2"));
    headers.insert("x-own", HeaderValue::from_static("1"));
    let passed = answer_headers(&headers);
    assert_eq!(passed["jujube-request"], "7");
    assert_eq!(passed.len(), 2, "{passed:?}");
}

#[test]
fn results_are_read_in_their_order() {
    let body = br#"{"items":[{"handle":"h"},{"reason":"input_gone"},{"reason":"no_room"},{}]}"#;
    let expected = vec![
        ItemResult::Produced("h".to_owned()),
        ItemResult::InputGone,
        ItemResult::NoCapacity,
        ItemResult::Failed,
    ];
    assert_eq!(read_batch(body), Some(expected));
    assert_eq!(read_batch(b"{\"items\":[{]}"), None);
}
