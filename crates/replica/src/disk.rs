//! Access to the files of a replica's folder, as functions that tests can replace.

use std::{
    collections::HashMap,
    fmt::{self, Debug, Formatter},
    fs::{self, File, OpenOptions},
    io::{self, ErrorKind, Write},
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use fs4::{FileExt, TryLockError};

use crate::ReplicaError;

const LOCK_FILE: &str = "lock";

/// Open files by name.
type Handles = HashMap<String, Arc<File>>;

type FileFn<T> = Arc<dyn Fn(&str) -> io::Result<T> + Send + Sync>;
type WriteFn = Arc<dyn Fn(&str, &[u8]) -> io::Result<()> + Send + Sync>;

/// Operations on the files of one folder, by file name. Nothing is durable before a sync.
#[derive(Clone)]
pub struct Disk {
    /// Reads a whole file; `None` if it doesn't exist.
    pub read: FileFn<Option<Vec<u8>>>,
    /// Writes a file, replacing its content.
    pub write: WriteFn,
    /// Appends to a file, creating it if needed.
    pub append: WriteFn,
    /// Truncates a file to a length in bytes.
    pub truncate: Arc<dyn Fn(&str, u64) -> io::Result<()> + Send + Sync>,
    /// Syncs a file's content.
    pub sync: FileFn<()>,
    /// Renames the first file to the second name, replacing it.
    pub rename: Arc<dyn Fn(&str, &str) -> io::Result<()> + Send + Sync>,
    /// Removes a file.
    pub remove: FileFn<()>,
    /// Lists the names of all files.
    pub list: Arc<dyn Fn() -> io::Result<Vec<String>> + Send + Sync>,
    /// Syncs the folder, which makes creations, renames and removals durable.
    pub sync_folder: Arc<dyn Fn() -> io::Result<()> + Send + Sync>,
    /// Releases the folder's lock; later writes fail.
    pub release: Arc<dyn Fn() + Send + Sync>,
    /// Whether the operations may block and must run on blocking threads.
    pub is_blocking: bool,
}

impl Debug for Disk {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Disk")
    }
}

impl Disk {
    /// Opens `folder`, creating it if needed, and locks it until it is released.
    pub fn open(folder: &Path) -> Result<Self, ReplicaError> {
        let path = folder.display().to_string();
        let failed = |step, e: &io::Error| ReplicaError::disk(step, &path, e);
        fs::create_dir_all(folder).map_err(|e| failed("create folder", &e))?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(LOCK_FILE))
            .map_err(|e| failed("open lock in", &e))?;
        match FileExt::try_lock(&lock) {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(ReplicaError::Locked { folder: path }),
            Err(TryLockError::Error(e)) => return Err(failed("lock", &e)),
        }
        Ok(Self::from_folder(Arc::new(Folder {
            path: folder.to_owned(),
            open: Mutex::new(Some(Handles::new())),
            lock,
        })))
    }

    fn from_folder(folder: Arc<Folder>) -> Self {
        let f = || Arc::clone(&folder);
        let (read, write, append, truncate) = (f(), f(), f(), f());
        let (sync, rename, remove, list, sync_folder) = (f(), f(), f(), f(), f());
        let release = f();
        Self {
            read: Arc::new(move |name| read.read(name)),
            write: Arc::new(move |name, bytes| write.write(name, bytes)),
            append: Arc::new(move |name, bytes| append.file(name)?.write_all(bytes)),
            truncate: Arc::new(move |name, length| truncate.file(name)?.set_len(length)),
            sync: Arc::new(move |name| sync.file(name)?.sync_data()),
            rename: Arc::new(move |from, to| rename.rename(from, to)),
            remove: Arc::new(move |name| remove.remove(name)),
            list: Arc::new(move || list.list()),
            sync_folder: Arc::new(move || File::open(&sync_folder.path)?.sync_all()),
            release: Arc::new(move || release.release()),
            is_blocking: true,
        }
    }
}

fn released() -> io::Error {
    io::Error::other("the folder has been released")
}

/// A folder that keeps files open once they have been appended to.
struct Folder {
    path: PathBuf,
    /// `None` once the folder is released.
    open: Mutex<Option<Handles>>,
    lock: File,
}

impl Folder {
    fn handles(&self) -> MutexGuard<'_, Option<Handles>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the file `name` if it is open.
    fn close(&self, name: &str) -> io::Result<()> {
        let mut open = self.handles();
        open.as_mut().ok_or_else(released)?.remove(name);
        Ok(())
    }

    fn release(&self) {
        let was_open = self.handles().take().is_some();
        if let (true, Err(e)) = (was_open, FileExt::unlock(&self.lock)) {
            let folder = self.path.display().to_string();
            spdlog::warn!("failed to unlock the data folder: {}", e, kv: { folder = folder.as_str() });
        }
    }

    fn file(&self, name: &str) -> io::Result<Arc<File>> {
        let mut open = self.handles();
        let open = open.as_mut().ok_or_else(released)?;
        if let Some(file) = open.get(name) {
            return Ok(Arc::clone(file));
        }
        let mut options = OpenOptions::new();
        let file = options
            .create(true)
            .append(true)
            .open(self.path.join(name))?;
        let file = Arc::new(file);
        open.insert(name.to_owned(), Arc::clone(&file));
        Ok(file)
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.close(name)?;
        fs::write(self.path.join(name), bytes)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.close(from)?;
        self.close(to)?;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.close(name)?;
        fs::remove_file(self.path.join(name))
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }
}
