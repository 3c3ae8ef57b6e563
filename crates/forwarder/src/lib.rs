//! A gate that passes requests on whole by the declared routes, in the product's own words.
//!
//! Every decision is made in the crate `forward`; here are the settings of the program and the
//! [`DIALECT`] in which callers and endpoints are spoken to. `docs/design/routes.md` lists its
//! headers and bodies.

mod callers;
mod config;
mod endpoints;
mod names;

pub use config::Config;
use forward::Dialect;
use host::{role::Running, shutdown::StopSignal};
use tokio::sync::watch;

/// The product's own way to speak to callers and endpoints.
pub const DIALECT: Dialect = Dialect {
    id_header: || names::REQUEST,
    parse_head: callers::read,
    write_request: endpoints::write,
    classify: endpoints::judge,
    notice: endpoints::notice,
    load: endpoints::load,
    answer_headers: endpoints::answer_headers,
    write_batch: endpoints::write_batch,
    read_batch: endpoints::read_batch,
    write_release: endpoints::write_free,
};

/// Brings the gate up; it drains after the order of `stopped`.
pub async fn start(cfg: Config, stopped: StopSignal) -> eyre::Result<Running> {
    let (seeds, known) = watch::channel(cfg.0.keepers.clone());
    let running = forward::start(cfg.0, known, DIALECT, stopped).await?;
    drop(seeds);
    Ok(running)
}
