//! Restarts a keeper in the same process after a failure such as a failed disk write.
//!
//! Until the disk is writable again nothing is acknowledged; the rest of the process keeps running.

use std::{sync::Arc, time::Duration};

use host::{role::Running, shutdown::StopSignal};
use membership::Table;
use spdlog::{error, info};
use tokio::{sync::watch, task::JoinHandle, time::sleep};

use crate::{
    Config,
    service::{Service, ServiceReceiver},
    start::start_embedded,
};

/// Delay between restarts.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Starts a keeper and restarts it whenever it ends, until `stopped`. The receiver holds the
/// running service; the task returns the result of the last run.
pub fn start_supervised(
    cfg: Config,
    table: Option<Table>,
    stopped: StopSignal,
) -> (ServiceReceiver, JoinHandle<eyre::Result<()>>) {
    let (service_tx, service_rx) = watch::channel(None);
    let task = tokio::spawn(supervise(cfg, table, stopped, service_tx));
    (service_rx, task)
}

async fn supervise(
    cfg: Config,
    table: Option<Table>,
    mut stopped: StopSignal,
    service_tx: watch::Sender<Option<Arc<Service>>>,
) -> eyre::Result<()> {
    loop {
        let ended = match start_embedded(cfg.clone(), table.clone(), stopped.clone()).await {
            Ok((Running { task, .. }, service)) => {
                info!("keeper started");
                service_tx.send_replace(Some(service));
                let ended = task.await?;
                service_tx.send_replace(None);
                ended
            }
            Err(e) => Err(e),
        };
        if stopped.is_stopped() {
            return ended;
        }
        if let Err(e) = ended {
            error!("keeper ended: {e:#}; starts again", kv: { step = "keep the log" });
        }
        tokio::select! {
            () = sleep(RESTART_DELAY) => {}
            () = stopped.wait() => return Ok(()),
        }
    }
}
