//! In-memory disk that loses unsynced data, tears writes, runs full and fails.

use std::{
    collections::BTreeMap,
    io,
    ops::Range,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use replica::Disk;

/// Size of a frame's header in bytes.
const FRAME_HEADER: usize = 12;

#[derive(Clone, Default)]
struct File {
    current: Vec<u8>,
    synced: Vec<u8>,
}

/// Length of a file after a crash in the middle of a write.
#[derive(Clone, Copy, PartialEq)]
enum TornLength {
    /// Any length between the synced and the full one.
    Any,
    /// The full length, with zeros in place of the lost pages.
    Full,
}

struct State {
    files: Vec<File>,
    current: BTreeMap<String, usize>,
    synced: BTreeMap<String, usize>,
    rng: StdRng,
    /// Number of write operations until power is lost.
    operations_left: Option<u32>,
    is_off: bool,
    /// Bytes that writes may still take.
    space_left: usize,
    fails_sync: bool,
    torn_length: TornLength,
}

#[derive(Clone)]
pub struct FakeDisk(Arc<Mutex<State>>, Arc<SyncDelay>);

/// How syncs are delayed.
#[derive(Default)]
struct SyncDelay {
    hangs: AtomicBool,
    milliseconds: AtomicU64,
}

impl SyncDelay {
    fn wait(&self) {
        thread::sleep(Duration::from_millis(
            self.milliseconds.load(Ordering::SeqCst),
        ));
        while self.hangs.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl FakeDisk {
    pub fn new(seed: u64) -> Self {
        let state = State {
            files: Vec::new(),
            current: BTreeMap::new(),
            synced: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            operations_left: None,
            is_off: false,
            space_left: usize::MAX,
            fails_sync: false,
            torn_length: TornLength::Any,
        };
        Self(Arc::new(Mutex::new(state)), Arc::default())
    }

    /// Makes syncs block until unset; only for tests under the real clock.
    pub fn set_hanging(&self, hangs: bool) {
        self.1.hangs.store(hangs, Ordering::SeqCst);
    }

    /// Makes each sync take `milliseconds`; only for tests under the real clock.
    pub fn set_sync_time(&self, milliseconds: u64) {
        self.1.milliseconds.store(milliseconds, Ordering::SeqCst);
    }

    /// Like [`Self::disk`], but with syncs that may hang or be slow and run on blocking threads.
    pub fn blocking_disk(&self) -> Disk {
        let (disk, delay) = (self.disk(), Arc::clone(&self.1));
        let (sync, sync_folder) = (Arc::clone(&disk.sync), Arc::clone(&disk.sync_folder));
        let folder_delay = Arc::clone(&delay);
        Disk {
            sync: Arc::new(move |name| {
                delay.wait();
                sync(name)
            }),
            sync_folder: Arc::new(move || {
                folder_delay.wait();
                sync_folder()
            }),
            is_blocking: true,
            ..disk
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// Loses power after `operations` more write operations.
    pub fn power_off_after(&self, operations: u32) {
        self.state().operations_left = Some(operations);
    }

    pub fn cancel_power_off(&self) {
        self.state().operations_left = None;
    }

    pub fn set_full(&self) {
        self.set_space(0);
    }

    /// Makes writes fail beyond `bytes`; what fits of a write is written.
    pub fn set_space(&self, bytes: usize) {
        self.state().space_left = bytes;
    }

    /// Makes a crash keep the length of torn files and lose only their pages.
    pub fn keep_length(&self) {
        self.state().torn_length = TornLength::Full;
    }

    pub fn fail_syncs(&self) {
        self.state().fails_sync = true;
    }

    /// Loses all or part of the unsynced data, as a crash does.
    pub fn crash(&self) {
        self.state().crash();
    }

    pub fn power_off(&self) {
        self.state().is_off = true;
    }

    /// Returns the synced bytes of a file.
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let state = self.state();
        state.files[state.synced[name]].synced.clone()
    }

    pub fn names(&self) -> Vec<String> {
        self.state().current.keys().cloned().collect()
    }

    /// Replaces a file's bytes without the replica's knowledge.
    pub fn overwrite(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.state();
        let at = state.current[name];
        state.files[at] = File {
            current: bytes.clone(),
            synced: bytes,
        };
    }

    /// Returns the name of the last segment and the byte ranges of its complete frames.
    pub fn last_frames(&self) -> Option<(String, Vec<Range<usize>>)> {
        let mut names = self.names().into_iter().rev();
        let name = names.find(|name| name.strip_suffix(".log").is_some())?;
        let bytes = self.bytes(&name);
        let mut frames: Vec<Range<usize>> = Vec::new();
        loop {
            let start = frames.last().map_or(0, |frame| frame.end);
            let length = bytes.get(start + 4..start + 8);
            let length = length.map(|length| u32::from_le_bytes(length.try_into().unwrap()));
            match length.map(|length| start + FRAME_HEADER + length as usize) {
                Some(end) if end <= bytes.len() => frames.push(start..end),
                _ => return Some((name, frames)),
            }
        }
    }

    /// Flips one bit in the last complete frame, if any; `at` selects the byte.
    pub fn flip_last_frame(&self, at: usize, bit: u32) {
        let Some((name, frames)) = self.last_frames() else {
            return;
        };
        let Some(frame) = frames.last() else {
            return;
        };
        let mut bytes = self.bytes(&name);
        bytes[frame.start + at % frame.len()] ^= 1 << bit;
        self.overwrite(&name, bytes);
    }

    pub fn disk(&self) -> Disk {
        let (read, write, append, truncate) =
            (self.clone(), self.clone(), self.clone(), self.clone());
        let (sync, rename, remove) = (self.clone(), self.clone(), self.clone());
        let (list, folder) = (self.clone(), self.clone());
        Disk {
            read: Arc::new(move |name| Ok(read.state().find(name)?.map(|f| f.current.clone()))),
            write: Arc::new(move |name, bytes| write.state().modify()?.write(name, bytes)),
            append: Arc::new(move |name, bytes| append.state().modify()?.append(name, bytes)),
            truncate: Arc::new(move |name, length| {
                let mut state = truncate.state();
                state.modify()?.file(name).current.truncate(length as usize);
                Ok(())
            }),
            sync: Arc::new(move |name| sync.state().modify()?.sync(name)),
            rename: Arc::new(move |from, to| {
                let mut state = rename.state();
                let state = state.modify()?;
                let at = state.current.remove(from).ok_or(io::ErrorKind::NotFound)?;
                state.current.insert(to.to_owned(), at);
                Ok(())
            }),
            remove: Arc::new(move |name| {
                remove.state().modify()?.current.remove(name);
                Ok(())
            }),
            list: Arc::new(move || Ok(list.state().current.keys().cloned().collect())),
            sync_folder: Arc::new(move || {
                let mut state = folder.state();
                let state = state.modify()?;
                state.check_can_sync()?;
                state.synced = state.current.clone();
                Ok(())
            }),
            release: Arc::new(|| {}),
            is_blocking: false,
        }
    }
}

impl State {
    fn find(&self, name: &str) -> io::Result<Option<&File>> {
        match self.is_off {
            true => Err(io::Error::other("off")),
            false => Ok(self.current.get(name).map(|at| &self.files[*at])),
        }
    }

    fn modify(&mut self) -> io::Result<&mut Self> {
        self.is_off |= self.operations_left == Some(0);
        self.operations_left = self
            .operations_left
            .map(|operations_left| operations_left.saturating_sub(1));
        match self.is_off {
            true => Err(io::Error::other("off")),
            false => Ok(self),
        }
    }

    fn file(&mut self, name: &str) -> &mut File {
        let at = match self.current.get(name) {
            Some(at) => *at,
            None => {
                self.files.push(File::default());
                self.current.insert(name.to_owned(), self.files.len() - 1);
                self.files.len() - 1
            }
        };
        &mut self.files[at]
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name).current.clear();
        self.append(name, bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let fitting = bytes.len().min(self.space_left);
        self.space_left -= fitting;
        self.file(name).current.extend_from_slice(&bytes[..fitting]);
        match fitting < bytes.len() {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.check_can_sync()?;
        let file = self.file(name);
        file.synced = file.current.clone();
        Ok(())
    }

    fn check_can_sync(&self) -> io::Result<()> {
        match self.fails_sync {
            true => Err(io::Error::other("input/output error")),
            false => Ok(()),
        }
    }

    fn crash(&mut self) {
        // An unsynced creation, rename or removal may survive or not.
        if self.rng.random() {
            self.current = self.synced.clone();
        }
        for file in &mut self.files {
            if file.current != file.synced {
                file.current = torn_content(file, self.torn_length, &mut self.rng);
            }
            file.synced = file.current.clone();
        }
        self.synced = self.current.clone();
        self.operations_left = None;
        self.is_off = false;
    }
}

/// Returns what a crash leaves of a file: the synced bytes, or part of the later writes.
fn torn_content(file: &File, torn_length: TornLength, rng: &mut StdRng) -> Vec<u8> {
    if rng.random() {
        return file.synced.clone();
    }
    let shared = file.current.iter().zip(&file.synced);
    let shared = shared.take_while(|(a, b)| a == b).count();
    let end = match torn_length {
        TornLength::Full => file.current.len(),
        TornLength::Any => rng.random_range(shared..=file.current.len()),
    };
    let mut remaining = file.current[..end].to_vec();
    // Pages that were never written read as zeros.
    if end > shared && (torn_length == TornLength::Full || rng.random()) {
        let zeroed_from = rng.random_range(shared..end);
        remaining[zeroed_from..].fill(0);
    }
    remaining
}
