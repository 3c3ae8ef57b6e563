//! Announcements that no endpoint of the fleet would send, next to those of the endpoints.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use host::client::Client;
use serde_json::{Value, json};
use uuid::Uuid;

use crate::{results::Results, topology::ZONES};

/// Depth of nested arrays.
const DEPTH: usize = 50_000;
const TIMEOUT: Duration = Duration::from_secs(5);

/// Sends one announcement of each odd kind to a keeper. An answer of success is a violation; none is
/// not, as the keeper may have a fault.
pub(crate) async fn send(keeper: SocketAddr, results: Arc<Results>) {
    let client = Client::new(TIMEOUT);
    for (kind, body) in bodies() {
        let url = format!("http://{keeper}/v1/announce");
        let answer = client.post(&url, body.into_bytes()).await;
        if let Ok(answer) = answer
            && answer.status.is_success()
        {
            results.record_once("an odd announcement is denied", kind.to_owned());
        }
    }
}

fn bodies() -> [(&'static str, String); 3] {
    let with = |name: &str, value: Value| {
        let mut announcement = json!({
            "endpoint": "odd",
            "service": "desk",
            "az": ZONES[0],
            "address": "http://127.0.0.1:9",
            "incarnation": Uuid::now_v7(),
            "seq": 1,
            "state": "ready",
        });
        announcement[name] = value;
        announcement.to_string()
    };
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    [
        ("port", with("address", json!("http://127.0.0.1:99999"))),
        ("number", with("seq", json!("N")).replace("\"N\"", "1e400")),
        (
            "nesting",
            with("load", json!("L")).replace("\"L\"", &nested),
        ),
    ]
}
