//! Reloads settings while the process runs: at SIGHUP, or when the modification time of their file
//! changes.

use std::{
    fs,
    path::PathBuf,
    time::{Duration, SystemTime},
};

use inifile::Faults;
use spdlog::{error, info};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    time::timeout,
};

const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings at `path` after each SIGHUP or change of the file and publishes them. If they
/// have faults, logs these and keeps the previous settings. Runs until dropped.
pub async fn watch_settings<C>(
    path: PathBuf,
    mut hangups: Signal,
    read: impl Fn(&std::path::Path) -> Result<C, Faults>,
    settings: watch::Sender<C>,
) {
    let mut last_modified = modified_at(&path);
    loop {
        let is_signalled = timeout(POLL_INTERVAL, hangups.recv()).await.is_ok();
        let modified = modified_at(&path);
        if !is_signalled && modified == last_modified {
            continue;
        }
        last_modified = modified;
        match read(&path) {
            Ok(next) => {
                settings.send_replace(next);
                info!("settings read again", kv: { path = path.display().to_string() });
            }
            Err(faults) => error!("settings not read again, the old ones stay: {faults}", kv: {
                step = "reload", path = path.display().to_string()
            }),
        }
    }
}

/// Installs a handler for SIGHUP, so that the signal no longer terminates the process.
pub fn hangup_signals() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

fn modified_at(path: &std::path::Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|meta| meta.modified()).ok()
}
