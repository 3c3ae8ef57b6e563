//! Stand-ins from a settings file, for `jujube-bench stand-in --config FILE`.

use std::path::Path;

use eyre::eyre;
use host::{settings::Reader, shutdown};
use membership::LoadedModel;

use super::{
    config::{Kind, StandInConfig},
    start,
};

/// Longest wait for calls in flight after the order to stop.
const DRAIN_LIMIT: std::time::Duration = std::time::Duration::from_secs(10);

/// Runs the stand-in that the file at `path` describes until SIGTERM.
pub async fn run_file(path: &Path) -> eyre::Result<()> {
    let mut reader = Reader::from_file(path).map_err(|faults| eyre!("{faults}"))?;
    let cfg = read(&mut reader);
    reader.finish().map_err(|faults| eyre!("{faults}"))?;
    let (stop, mut stopped) = shutdown::channel();
    shutdown::stop_on_signals(stop)?;
    let stand_in = start(cfg).await?;
    println!(
        "{}",
        serde_json::json!({ "address": stand_in.address().to_string() })
    );
    stopped.wait().await;
    stand_in.stop(DRAIN_LIMIT).await;
    Ok(())
}

fn read(reader: &mut Reader) -> StandInConfig {
    let vm = reader.vm();
    let service = reader.required("endpoint", "service");
    let kind = kind(reader);
    let mut cfg = StandInConfig::new(&vm.name, &service, &vm.availability_zone, kind);
    cfg.listen = reader.listen("http");
    let gates = reader.peers("gates");
    cfg.gates = gates
        .iter()
        .map(|gate| format!("http://{}", gate.address))
        .collect();
    cfg.checks_fencing = reader.number("endpoint", "checks_fencing", 1, 0, 1) == 1;
    cfg.announce_every = reader.millis("endpoint", "announce_ms", 500, 50, 60_000);
    cfg.load_lag = reader.millis("endpoint", "load_lag_ms", 200, 0, 60_000);
    cfg.service_time = reader.millis("endpoint", "service_ms", 5, 0, 60_000);
    cfg.concurrency = reader.number("endpoint", "concurrency", 8, 1, 10_000) as usize;
    cfg.queue_limit = reader.number("endpoint", "queue_limit", 64, 0, 100_000) as usize;
    cfg.seed = reader.number("endpoint", "seed", 1, 0, u64::MAX);
    cfg.journal_file = reader.path("endpoint", "journal");
    cfg.engine.weight_store = reader.text("endpoint", "weight_store");
    if let Some(model) = reader.text("endpoint", "model") {
        let version = reader.number("endpoint", "version", 1, 0, u64::from(u32::MAX)) as u32;
        cfg.models.push(LoadedModel {
            model,
            version,
            adapters: Vec::new(),
        });
    }
    cfg
}

fn kind(reader: &mut Reader) -> Kind {
    match reader.required("endpoint", "kind").as_str() {
        "engine" => Kind::Engine,
        "pool" => Kind::Pool,
        "plain" => Kind::Plain,
        other => {
            let what = format!("`{other}` is no kind; use engine, pool or plain");
            reader.fault("endpoint", "kind", what);
            Kind::Plain
        }
    }
}
