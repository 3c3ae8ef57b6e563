//! Settlements stored on this keeper's disk until a quorum can commit them.
//!
//! A gate that is partitioned together with this keeper hands over the outcome of an at-most-once
//! call before it replies to its caller, so the ledger gets the outcome even if the gate then
//! fails. Each settlement is a file that is synced before the acknowledgement and removed once
//! committed.

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

/// Maximum number of held settlements.
const MAX_HELD: usize = 50_000;
/// Suffix of a file that is still being written.
const TEMP_SUFFIX: &str = ".new";

/// Why a settlement could not be stored.
#[derive(Debug, Error)]
pub(crate) enum HoldError {
    /// The limit of held settlements is reached.
    #[error("hold a settlement: {MAX_HELD} are held already; restore the quorum")]
    Full,
    /// Writing the file failed.
    #[error("hold a settlement in {folder}: {reason}; free space or make the folder writable")]
    Disk {
        /// Folder of the held settlements.
        folder: String,
        /// The operating system's error message.
        reason: String,
    },
}

/// The held settlements of one folder, keyed by attempt; clones share the same set.
#[derive(Clone, Debug)]
pub struct HeldSettlements {
    folder: Arc<Path>,
    entries: Arc<Mutex<BTreeMap<Uuid, Settle>>>,
    added: Arc<Notify>,
}

impl HeldSettlements {
    /// Loads the settlements in `folder`; a missing folder is created with the first settlement.
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

    /// Stores `settle`; it is synced to disk when this returns `Ok`.
    pub(crate) async fn insert(&self, settle: Settle) -> Result<(), HoldError> {
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

    /// Waits until at least one settlement is held.
    pub(crate) async fn wait_not_empty(&self) {
        while self.lock().is_empty() {
            self.added.notified().await;
        }
    }

    /// Returns all held settlements.
    pub(crate) fn all(&self) -> Vec<Settle> {
        self.lock().values().cloned().collect()
    }

    /// Removes `settle` once it is committed or refused.
    pub(crate) async fn remove(&self, settle: &Settle) {
        self.lock().remove(&settle.attempt);
        let path = self.path(settle.attempt);
        // If the removal fails, the settlement is sent again after a restart, which is idempotent.
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
            // An incomplete write, which was never acknowledged.
            fs::remove_file(&path)?;
            continue;
        }
        match decode::<Settle>(&fs::read(&path)?) {
            Ok(settle) => {
                entries.insert(settle.attempt, settle);
            }
            Err(e) => {
                let path = path.display().to_string();
                error!("held settlement is damaged: {e}; check the disk", kv: { path });
            }
        }
    }
    Ok(entries)
}

fn write(folder: &Path, path: &Path, bytes: &[u8]) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let mut temp = path.as_os_str().to_owned();
    temp.push(TEMP_SUFFIX);
    let mut f = File::create(&temp)?;
    f.write_all(bytes)?;
    f.sync_all()?;
    fs::rename(&temp, path)?;
    File::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests;
