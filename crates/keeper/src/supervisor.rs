//! A keeper that starts again in the same process after its disk refused to write.
//!
//! Until the disk takes writes again nothing is acknowledged; whatever else the process does goes on.

use std::{sync::Arc, time::Duration};

use host::{role::Running, shutdown::Stopped};
use membership::Table;
use spdlog::{error, info};
use tokio::{sync::watch, task::JoinHandle, time::sleep};

use crate::{
    Config,
    service::{Service, ServiceReceiver},
    start::start_embedded,
};

/// Pause before another start.
const PAUSE: Duration = Duration::from_millis(500);

/// Starts a keeper and, for as long as it is not told to stop, starts it again after it has ended.
/// The task ends with the last of them.
pub fn start_supervised(
    cfg: Config,
    table: Option<Table>,
    stopped: Stopped,
) -> (ServiceReceiver, JoinHandle<eyre::Result<()>>) {
    let (tx, answering) = watch::channel(None);
    let task = tokio::spawn(supervise(cfg, table, stopped, tx));
    (answering, task)
}

async fn supervise(
    cfg: Config,
    table: Option<Table>,
    mut stopped: Stopped,
    answering: watch::Sender<Option<Arc<Service>>>,
) -> eyre::Result<()> {
    loop {
        let ended = match start_embedded(cfg.clone(), table.clone(), stopped.clone()).await {
            Ok((Running { task, .. }, service)) => {
                info!("keeper started");
                answering.send_replace(Some(service));
                let ended = task.await?;
                answering.send_replace(None);
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
            () = sleep(PAUSE) => {}
            () = stopped.wait() => return Ok(()),
        }
    }
}
