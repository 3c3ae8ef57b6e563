//! Stored state: identity, vote, snapshot and log segments. All writes are synced on return.

use std::{collections::VecDeque, sync::Arc};

use uuid::Uuid;

use crate::{
    Disk, ReplicaError,
    entry::{Entry, Members},
    log::Log,
    segment::{self, Tail},
    snapshot::{self, Snapshot},
    state_file::{self, FOUNDERS, FolderOwner, IDENTITY, SUSPECT_TAIL, TEMP_SUFFIX, VOTE, Vote},
};

/// Writer of a data folder; after a failed write, all later writes fail with the same error.
#[derive(Debug)]
pub(crate) struct Store {
    disk: Disk,
    segments: VecDeque<Segment>,
    segment_bytes: u64,
    next_number: u64,
    snapshot_index: u64,
    failed: Option<ReplicaError>,
    #[cfg(any(test, feature = "broken-variants"))]
    pub skip_vote_sync: bool,
}

#[derive(Debug)]
struct Segment {
    name: String,
    length: u64,
    /// Highest index in the segment.
    last: u64,
}

/// State loaded from a folder at startup.
pub(crate) struct Loaded {
    pub store: Store,
    pub identity: Uuid,
    pub vote: Vote,
    pub snapshot: Option<Snapshot>,
    pub log: Log,
    /// Whether acknowledged entries may be missing at the end of the log.
    pub has_suspect_tail: bool,
}

impl Store {
    /// Loads the folder; truncates a torn tail and fails on any other damage.
    pub(crate) fn load(
        disk: Disk,
        name: &str,
        voters: &[String],
        segment_bytes: u64,
    ) -> Result<Loaded, ReplicaError> {
        let identity = load_identity(&disk, name)?;
        let vote: Vote = state_file::read(&disk, VOTE)?.unwrap_or_default();
        let snapshot = snapshot::read(&disk)?;
        let mut store = Self {
            disk,
            segments: VecDeque::new(),
            segment_bytes,
            next_number: 1,
            snapshot_index: snapshot.as_ref().map_or(0, |s| s.meta.index),
            failed: None,
            #[cfg(any(test, feature = "broken-variants"))]
            skip_vote_sync: false,
        };
        let entries = store.load_segments()?;
        let founders: Option<Members> = state_file::read(&store.disk, FOUNDERS)?;
        let first = founders.unwrap_or_else(|| Members::founders(voters));
        let log = store.build_log(snapshot.as_ref(), entries, first)?;
        if log.last_term() > vote.term {
            let what = "the vote's term is lower than the log's";
            return Err(ReplicaError::corrupted(VOTE, 0, what));
        }
        let has_suspect_tail = state_file::read::<()>(&store.disk, SUSPECT_TAIL)?.is_some();
        Ok(Loaded {
            store,
            identity,
            vote,
            snapshot,
            log,
            has_suspect_tail,
        })
    }

    fn load_segments(&mut self) -> Result<VecDeque<Arc<Entry>>, ReplicaError> {
        let names = (self.disk.list)().map_err(|e| ReplicaError::disk("list", "folder", &e))?;
        let mut numbers: Vec<u64> = names
            .iter()
            .filter_map(|n| segment::parse_file_name(n))
            .collect();
        numbers.sort_unstable();
        let mut entries: VecDeque<Arc<Entry>> = VecDeque::new();
        for (at, number) in numbers.iter().enumerate() {
            let name = segment::file_name(*number);
            let is_last = at + 1 == numbers.len();
            let frames = self.load_segment(name.clone(), is_last)?;
            for entry in frames.into_iter().flatten() {
                push_entry(&mut entries, entry)
                    .map_err(|what| ReplicaError::corrupted(&name, 0, what))?;
            }
            self.next_number = number + 1;
        }
        Ok(entries)
    }

    fn load_segment(
        &mut self,
        name: String,
        is_last: bool,
    ) -> Result<Vec<Vec<Entry>>, ReplicaError> {
        let bytes = (self.disk.read)(&name).map_err(|e| ReplicaError::disk("read", &name, &e))?;
        let bytes = bytes.unwrap_or_default();
        let contents = segment::read(&name, &bytes, is_last)?;
        if contents.length < bytes.len() as u64 {
            // Record this durably before truncating, which removes the evidence.
            if contents.tail == Tail::Suspect {
                state_file::replace(
                    &self.disk,
                    SUSPECT_TAIL,
                    &state_file::encode_with_checksum(&()),
                )?;
            }
            let failed = |step, e: &std::io::Error| ReplicaError::disk(step, &name, e);
            (self.disk.truncate)(&name, contents.length).map_err(|e| failed("cut", &e))?;
            (self.disk.sync)(&name).map_err(|e| failed("sync", &e))?;
        }
        let last = contents.frames.iter().flatten().map(|e| e.index).max();
        self.segments.push_back(Segment {
            name,
            length: contents.length,
            last: last.unwrap_or(0),
        });
        Ok(contents.frames)
    }

    /// Builds the log from snapshot and entries; removes entries that conflict with the snapshot.
    fn build_log(
        &mut self,
        snapshot: Option<&Snapshot>,
        entries: VecDeque<Arc<Entry>>,
        first: Members,
    ) -> Result<Log, ReplicaError> {
        let Some(meta) = snapshot.map(|s| &s.meta) else {
            let mut log = Log::new(0, 0, first);
            if entries.front().is_some_and(|e| e.index != 1) {
                let what = "the start of the log and the snapshot are missing";
                return Err(ReplicaError::corrupted(&self.first_segment_name(), 0, what));
            }
            log.append(entries);
            return Ok(log);
        };
        let at_snapshot = entries.iter().find(|e| e.index == meta.index);
        let is_after = entries.front().is_some_and(|e| e.index == meta.index + 1);
        let fits = at_snapshot.is_some_and(|e| e.term == meta.term) || is_after;
        if entries.front().is_some_and(|e| e.index > meta.index + 1) {
            let what = "entries between the snapshot and the log are missing";
            return Err(ReplicaError::corrupted(&self.first_segment_name(), 0, what));
        }
        if !fits {
            self.remove_segments()?;
            return Ok(Log::new(meta.index, meta.term, meta.members.clone()));
        }
        Ok(Log::with_snapshot(meta, entries))
    }

    fn first_segment_name(&self) -> String {
        self.segments
            .front()
            .map_or_else(String::new, |s| s.name.clone())
    }

    /// Appends and syncs one frame.
    pub(crate) fn append(&mut self, entries: &[Arc<Entry>]) -> Result<(), ReplicaError> {
        self.check_usable()?;
        let result = self.try_append(entries);
        self.record_failure(result)
    }

    fn try_append(&mut self, entries: &[Arc<Entry>]) -> Result<(), ReplicaError> {
        let bytes = segment::encode_frame(entries);
        let is_full = self
            .segments
            .back()
            .is_none_or(|s| s.length >= self.segment_bytes);
        if is_full {
            self.start_segment()?;
        }
        let Some(current) = self.segments.back_mut() else {
            return Ok(());
        };
        let name = &current.name;
        let failed = |step, e: &std::io::Error| ReplicaError::disk(step, name, e);
        (self.disk.append)(name, &bytes).map_err(|e| failed("append to", &e))?;
        (self.disk.sync)(name).map_err(|e| failed("sync", &e))?;
        current.length += bytes.len() as u64;
        let last = entries.last().map_or(0, |e| e.index);
        current.last = current.last.max(last);
        Ok(())
    }

    fn start_segment(&mut self) -> Result<(), ReplicaError> {
        let name = segment::file_name(self.next_number);
        let failed = |step, e: &std::io::Error| ReplicaError::disk(step, &name, e);
        (self.disk.append)(&name, &[]).map_err(|e| failed("create", &e))?;
        (self.disk.sync_folder)().map_err(|e| failed("sync folder of", &e))?;
        self.next_number += 1;
        self.segments.push_back(Segment {
            name,
            length: 0,
            last: 0,
        });
        Ok(())
    }

    /// Stores the term and vote.
    pub(crate) fn write_vote(&mut self, vote: &Vote) -> Result<(), ReplicaError> {
        self.check_usable()?;
        #[cfg(any(test, feature = "broken-variants"))]
        if self.skip_vote_sync {
            let temp = format!("{VOTE}{TEMP_SUFFIX}");
            let written = (self.disk.write)(&temp, &state_file::encode_with_checksum(vote));
            let synced = written.and_then(|()| (self.disk.sync)(&temp));
            let renamed = synced.and_then(|()| (self.disk.rename)(&temp, VOTE));
            return renamed.map_err(|e| ReplicaError::disk("write", VOTE, &e));
        }
        let result = state_file::replace(&self.disk, VOTE, &state_file::encode_with_checksum(vote));
        self.record_failure(result)
    }

    /// Removes the suspect tail marker once the log is known to be complete.
    pub(crate) fn clear_suspect_tail(&mut self) -> Result<(), ReplicaError> {
        self.check_usable()?;
        let failed = |step, e: &std::io::Error| ReplicaError::disk(step, SUSPECT_TAIL, e);
        let removed = (self.disk.remove)(SUSPECT_TAIL).map_err(|e| failed("remove", &e));
        let synced = removed
            .and_then(|()| (self.disk.sync_folder)().map_err(|e| failed("sync folder of", &e)));
        self.record_failure(synced)
    }

    /// Stores the initial voters agreed on.
    pub(crate) fn write_founders(&mut self, founders: &Members) -> Result<(), ReplicaError> {
        self.check_usable()?;
        let result = state_file::replace(
            &self.disk,
            FOUNDERS,
            &state_file::encode_with_checksum(founders),
        );
        self.record_failure(result)
    }

    /// Publishes the local snapshot at `index` from its temporary file, if it is newer than the
    /// current one, and removes segments with no entries after `compact_to`.
    pub(crate) fn publish_snapshot(
        &mut self,
        index: u64,
        compact_to: u64,
    ) -> Result<(), ReplicaError> {
        self.check_usable()?;
        if index <= self.snapshot_index {
            return Ok(());
        }
        let result = snapshot::rename_temp(&self.disk);
        self.record_failure(result)?;
        self.snapshot_index = index;
        self.compact(compact_to)
    }

    /// Replaces log and snapshot with a snapshot from the leader.
    pub(crate) fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), ReplicaError> {
        self.check_usable()?;
        let result = snapshot::write(&self.disk, snapshot).and_then(|()| self.remove_segments());
        self.snapshot_index = snapshot.meta.index;
        self.record_failure(result)
    }

    fn compact(&mut self, index: u64) -> Result<(), ReplicaError> {
        while self.segments.len() > 1 && self.segments[0].last <= index {
            let removed = self.remove_segment(0);
            self.record_failure(removed)?;
        }
        Ok(())
    }

    /// Removes the newest first, so that a crash leaves a log prefix that the snapshot covers.
    fn remove_segments(&mut self) -> Result<(), ReplicaError> {
        while !self.segments.is_empty() {
            self.remove_segment(self.segments.len() - 1)?;
        }
        Ok(())
    }

    fn remove_segment(&mut self, at: usize) -> Result<(), ReplicaError> {
        let name = &self.segments[at].name;
        let failed = |step, e: &std::io::Error| ReplicaError::disk(step, name, e);
        (self.disk.remove)(name).map_err(|e| failed("remove", &e))?;
        (self.disk.sync_folder)().map_err(|e| failed("sync folder of", &e))?;
        self.segments.remove(at);
        Ok(())
    }

    fn check_usable(&self) -> Result<(), ReplicaError> {
        self.failed.clone().map_or(Ok(()), Err)
    }

    fn record_failure(&mut self, result: Result<(), ReplicaError>) -> Result<(), ReplicaError> {
        if let Err(e) = &result {
            self.failed = Some(e.clone());
        }
        result
    }
}

/// Adds an entry, replacing all entries from its index on.
fn push_entry(entries: &mut VecDeque<Arc<Entry>>, entry: Entry) -> Result<(), &'static str> {
    let Some(first) = entries.front().map(|e| e.index) else {
        entries.push_back(Arc::new(entry));
        return Ok(());
    };
    // The index is below the first if the replaced entries were in segments since removed.
    let at = entry.index.saturating_sub(first) as usize;
    if at > entries.len() {
        return Err("entries before this segment are missing");
    }
    entries.truncate(at);
    entries.push_back(Arc::new(entry));
    Ok(())
}

fn load_identity(disk: &Disk, name: &str) -> Result<Uuid, ReplicaError> {
    if let Some(found) = state_file::read::<FolderOwner>(disk, IDENTITY)? {
        return match found.name == name {
            true => Ok(found.identity),
            false => Err(ReplicaError::NameMismatch {
                name: name.to_owned(),
                found: found.name,
            }),
        };
    }
    let names = (disk.list)().map_err(|e| ReplicaError::disk("list", "folder", &e))?;
    if names.iter().any(|n| !n.ends_with(TEMP_SUFFIX)) {
        let what = "the folder has files but no identity";
        return Err(ReplicaError::corrupted(IDENTITY, 0, what));
    }
    let own = FolderOwner {
        name: name.to_owned(),
        identity: Uuid::new_v4(),
    };
    state_file::replace(disk, IDENTITY, &state_file::encode_with_checksum(&own))?;
    Ok(own.identity)
}
