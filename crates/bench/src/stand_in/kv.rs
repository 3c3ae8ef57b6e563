//! `POST /v1/kv/export` and `/v1/kv/import`: prompt blocks from one engine to another.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use derives::record;
use hyper::StatusCode;
use serde_json::json;
use tokio::time::sleep;

use super::{
    reply::{Reply, json_reply, problem},
    shared::Shared,
};

/// Time to move one block.
const BLOCK_TIME: Duration = Duration::from_micros(100);

/// Asks for the cached blocks of a prompt.
#[record]
struct Export {
    prompt: String,
}

/// Blocks on their way between engines.
#[record]
struct Blocks {
    blocks: Vec<u64>,
}

pub(crate) async fn export(shared: &Arc<Shared>, body: &Bytes) -> Reply {
    let (Ok(export), Some(engine)) = (serde_json::from_slice::<Export>(body), &shared.engine)
    else {
        return Ok(problem(StatusCode::BAD_REQUEST, "", "no export", true));
    };
    let blocks = engine.export(&export.prompt);
    sleep(BLOCK_TIME * blocks.len() as u32).await;
    Ok(json_reply(StatusCode::OK, "", &json!(Blocks { blocks })))
}

pub(crate) async fn import(shared: &Arc<Shared>, body: &Bytes) -> Reply {
    let (Ok(import), Some(engine)) = (serde_json::from_slice::<Blocks>(body), &shared.engine)
    else {
        return Ok(problem(StatusCode::BAD_REQUEST, "", "no import", true));
    };
    sleep(BLOCK_TIME * import.blocks.len() as u32).await;
    engine.import(&import.blocks);
    let count = import.blocks.len();
    Ok(json_reply(
        StatusCode::OK,
        "",
        &json!({ "imported": count }),
    ))
}
