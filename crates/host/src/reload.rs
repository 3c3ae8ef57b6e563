//! Settings that are read again while the process runs: at SIGHUP, or when their file changes.

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

/// Time between looks at the file.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Reads settings again and again; what has faults changes nothing. Runs until dropped.
pub async fn watch_settings<C>(
    path: PathBuf,
    mut hangups: Signal,
    read: impl Fn(&std::path::Path) -> Result<C, Faults>,
    settings: watch::Sender<C>,
) {
    let mut seen = changed_at(&path);
    loop {
        let is_ordered = timeout(LOOK_EVERY, hangups.recv()).await.is_ok();
        let now = changed_at(&path);
        if !is_ordered && now == seen {
            continue;
        }
        seen = now;
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

/// The stream of SIGHUPs, which end the process no more from then on.
pub fn hangup_signals() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

fn changed_at(path: &std::path::Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|meta| meta.modified()).ok()
}
