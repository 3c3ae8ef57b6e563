//! Settlements that no quorum has taken yet, on this keeper's own disk.
//!
//! A gate that is cut off with this keeper hands over what became of a call that may not be repeated,
//! before its caller is told: whatever becomes of the gate, the ledger gets it once a quorum is back.
//! One file each, written and synced before it is acknowledged, removed once it is settled.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard},
};

use link::{decode, encode, keeper::Settle};
use spdlog::error;
use thiserror::Error;
use tokio::{sync::Notify, task::spawn_blocking};
use uuid::Uuid;

/// Most settlements held at one time.
const MAX_HELD: usize = 50_000;
/// End of the name of a file that is not whole yet.
const ASIDE: &str = ".new";

/// Why a settlement is not held.
#[derive(Debug, Error)]
pub(crate) enum HoldError {
    /// Too many are.
    #[error("hold a settlement: {MAX_HELD} are held already; restore the quorum")]
    Full,
    /// The disk refused it.
    #[error("hold a settlement in {folder}: {reason}; free space or make the folder writable")]
    Disk {
        /// The folder.
        folder: String,
        /// The operating system's words.
        reason: String,
    },
}

/// The settlements of one folder by attempt; clones share them.
#[derive(Clone, Debug)]
pub struct HeldSettlements {
    folder: Arc<Path>,
    entries: Arc<Mutex<BTreeMap<Uuid, Settle>>>,
    added: Arc<Notify>,
}

impl HeldSettlements {
    /// Reads what `folder` holds; one that is not there yet is created with the first settlement.
    pub(crate) fn open(folder: &Path) -> eyre::Result<Self> {
        let entries = load(folder).map_err(|e| {
            let folder = folder.display();
            eyre::eyre!("read held settlements in {folder}: {e}; make the folder readable")
        })?;
        Ok(Self {
            folder: folder.into(),
            entries: Arc::new(Mutex::new(entries)),
            added: Arc::new(Notify::new()),
        })
    }

    /// Keeps `settle`; it is on the disk when this ends.
    pub(crate) async fn keep(&self, settle: Settle) -> Result<(), HoldError> {
        let is_full = {
            let entries = self.lock();
            match entries.get(&settle.attempt) {
                Some(held) if *held == settle => return Ok(()),
                _ => entries.len() >= MAX_HELD,
            }
        };
        if is_full {
            return Err(HoldError::Full);
        }
        let (path, folder) = (self.path(settle.attempt), Arc::clone(&self.folder));
        let bytes = encode(&settle);
        let written = spawn_blocking(move || write(&folder, &path, &bytes)).await;
        written
            .map_err(io::Error::other)
            .flatten()
            .map_err(|e| HoldError::Disk {
                folder: self.folder.display().to_string(),
                reason: e.to_string(),
            })?;
        self.lock().insert(settle.attempt, settle);
        self.added.notify_one();
        Ok(())
    }

    /// Waits until something is held.
    pub(crate) async fn not_empty(&self) {
        while self.lock().is_empty() {
            self.added.notified().await;
        }
    }

    /// All that is held.
    pub(crate) fn all(&self) -> Vec<Settle> {
        self.lock().values().cloned().collect()
    }

    /// Forgets `settle`, which is settled.
    pub(crate) async fn remove(&self, settle: &Settle) {
        self.lock().remove(&settle.attempt);
        let path = self.path(settle.attempt);
        // A file that stays is settled once more after a restart, which changes nothing.
        let _ = spawn_blocking(move || fs::remove_file(path)).await;
    }

    fn path(&self, attempt: Uuid) -> PathBuf {
        self.folder.join(attempt.to_string())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Uuid, Settle>> {
        self.entries.lock().expect("no holder of this lock panics")
    }
}

fn load(folder: &Path) -> io::Result<BTreeMap<Uuid, Settle>> {
    let mut entries = BTreeMap::new();
    let files = match fs::read_dir(folder) {
        Ok(files) => files,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(entries),
        Err(e) => return Err(e),
    };
    for file in files {
        let path = file?.path();
        if path.extension().is_some() {
            // It was never acknowledged.
            fs::remove_file(&path)?;
            continue;
        }
        match decode::<Settle>(&fs::read(&path)?) {
            Ok(settle) => {
                entries.insert(settle.attempt, settle);
            }
            Err(e) => {
                let path = path.display().to_string();
                error!("held settlement is damaged: {e}; look at the disk", kv: { path });
            }
        }
    }
    Ok(entries)
}

fn write(folder: &Path, path: &Path, bytes: &[u8]) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let mut aside = path.as_os_str().to_owned();
    aside.push(ASIDE);
    let mut f = File::create(&aside)?;
    f.write_all(bytes)?;
    f.sync_all()?;
    fs::rename(&aside, path)?;
    File::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests;
