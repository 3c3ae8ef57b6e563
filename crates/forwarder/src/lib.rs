//! A gate that forwards whole requests by the declared routes, with the product's own protocol.
//!
//! This crate has only the settings of the program and the [`DIALECT`], the protocol with callers and
//! endpoints, whose headers and bodies `docs/design/routes.md` lists. The crate `forward` makes all
//! decisions.

mod callers;
mod config;
mod endpoints;
mod header_names;

pub use config::Config;
use forward::Dialect;
use host::{role::Running, shutdown::StopSignal};
use tokio::sync::watch;

/// The product's own protocol with callers and endpoints.
pub const DIALECT: Dialect = Dialect {
    id_header: || header_names::REQUEST_ID,
    parse_head: callers::parse_head,
    write_request: endpoints::build_request,
    classify: endpoints::classify_response,
    echoes_id: endpoints::echoes_id,
    notice: endpoints::notice,
    load: endpoints::load,
    answer_headers: endpoints::answer_headers,
    write_check: endpoints::write_check,
    write_batch: endpoints::write_batch,
    read_batch: endpoints::read_batch,
    write_release: endpoints::build_release,
};

/// Starts the gate, which drains once `stopped` completes.
///
/// Returns an error if a listener can't be bound.
pub async fn start(cfg: Config, stopped: StopSignal) -> eyre::Result<Running> {
    let (seeds_tx, seeds_rx) = watch::channel(cfg.0.keepers.clone());
    let running = forward::start(cfg.0, seeds_rx, DIALECT, stopped).await?;
    drop(seeds_tx);
    Ok(running)
}
