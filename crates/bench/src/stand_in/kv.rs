//! `POST /v1/kv/export` and `/v1/kv/import`: transfer of cached blocks between engines.

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

/// Simulated transfer time per block.
const BLOCK_TRANSFER_TIME: Duration = Duration::from_micros(100);

/// Body of an export request.
#[record]
struct ExportRequest {
    prompt: String,
}

/// Hashes of exported blocks: the reply to an export and the body of an import.
#[record]
struct BlockHashes {
    blocks: Vec<u64>,
}

pub(crate) async fn export(shared: &Arc<Shared>, body: &Bytes) -> Reply {
    let (Ok(export), Some(engine)) = (
        serde_json::from_slice::<ExportRequest>(body),
        &shared.engine,
    ) else {
        return Ok(problem(StatusCode::BAD_REQUEST, "", "no export", true));
    };
    let blocks = engine.export(&export.prompt);
    sleep(BLOCK_TRANSFER_TIME * blocks.len() as u32).await;
    Ok(json_reply(
        StatusCode::OK,
        "",
        &json!(BlockHashes { blocks }),
    ))
}

pub(crate) async fn import(shared: &Arc<Shared>, body: &Bytes) -> Reply {
    let (Ok(import), Some(engine)) = (serde_json::from_slice::<BlockHashes>(body), &shared.engine)
    else {
        return Ok(problem(StatusCode::BAD_REQUEST, "", "no import", true));
    };
    sleep(BLOCK_TRANSFER_TIME * import.blocks.len() as u32).await;
    engine.import(&import.blocks);
    let count = import.blocks.len();
    Ok(json_reply(
        StatusCode::OK,
        "",
        &json!({ "imported": count }),
    ))
}
