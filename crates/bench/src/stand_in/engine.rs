//! An engine's continuous batching: one task takes decode steps for all running sequences.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep},
};

use super::{
    config::EngineConfig,
    fault::Faults,
    journal::{CallName, Event, Journal},
    prefix_cache::{CacheChange, PrefixCache, TOKEN_BYTES, block_hashes},
};
use crate::output::{digest, engine_tokens};

/// Finished generations kept for a resume.
const KEPT: usize = 256;

/// Why a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finish {
    Stop,
    Cancelled,
}

/// How far a generation is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    pub(crate) emitted: usize,
    pub(crate) finish: Option<Finish>,
}

/// One sequence, from its arrival until it is forgotten.
#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) name: CallName,
    pub(crate) tokens: Vec<String>,
    pub(crate) prompt_tokens: usize,
    pub(crate) reused: AtomicUsize,
    pub(crate) progress: watch::Sender<Progress>,
    prompt: String,
    readers: AtomicUsize,
    unread_since: Mutex<Instant>,
}

impl Generation {
    pub(crate) fn reader(self: &Arc<Self>) -> Reader {
        self.readers.fetch_add(1, Ordering::SeqCst);
        Reader(Arc::clone(self))
    }

    fn is_abandoned(&self, window: Duration) -> bool {
        let unread = self.unread_since.lock().expect("no panic under this lock");
        self.readers.load(Ordering::SeqCst) == 0 && unread.elapsed() > window
    }
}

/// Counts as a reader of a generation until dropped.
#[derive(Debug)]
pub(crate) struct Reader(pub(crate) Arc<Generation>);

impl Drop for Reader {
    fn drop(&mut self) {
        let mut unread = self
            .0
            .unread_since
            .lock()
            .expect("no panic under this lock");
        *unread = Instant::now();
        self.0.readers.fetch_sub(1, Ordering::SeqCst);
    }
}

#[derive(Debug)]
struct Batches {
    queue: BTreeMap<(Reverse<u8>, u64), Arc<Generation>>,
    running: Vec<Arc<Generation>>,
    known: HashMap<String, Arc<Generation>>,
    finished: Vec<String>,
    cache: PrefixCache,
    arrivals: u64,
}

/// The load of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineLoad {
    pub(crate) running: usize,
    pub(crate) queued: usize,
    pub(crate) kv_used: f64,
}

/// An engine that generates.
#[derive(Debug)]
pub(crate) struct Engine {
    cfg: EngineConfig,
    service: String,
    journal: Journal,
    batches: Mutex<Batches>,
    wake: Notify,
    pub(crate) changes: Mutex<Vec<CacheChange>>,
}

impl Engine {
    pub(crate) fn new(service: &str, cfg: EngineConfig, journal: Journal) -> Self {
        let batches = Batches {
            queue: BTreeMap::new(),
            running: Vec::new(),
            known: HashMap::new(),
            finished: Vec::new(),
            cache: PrefixCache::new(cfg.cache_blocks),
            arrivals: 0,
        };
        Self {
            cfg,
            service: service.to_owned(),
            journal,
            batches: Mutex::new(batches),
            wake: Notify::new(),
            changes: Mutex::default(),
        }
    }

    fn batches(&self) -> std::sync::MutexGuard<'_, Batches> {
        self.batches.lock().expect("no panic under this lock")
    }

    pub(crate) fn load(&self) -> EngineLoad {
        let batches = self.batches();
        EngineLoad {
            running: batches.running.len(),
            queued: batches.queue.len(),
            kv_used: batches.cache.fill(),
        }
    }

    /// Queues a generation; `None` where the queue is full.
    pub(crate) fn submit(
        &self,
        name: CallName,
        prompt: &str,
        max_tokens: u32,
        priority: u8,
    ) -> Option<Reader> {
        let mut batches = self.batches();
        if batches.queue.len() >= self.cfg.queue_limit {
            return None;
        }
        let generation = Arc::new(Generation {
            tokens: engine_tokens(&self.service, prompt, max_tokens),
            prompt_tokens: prompt.len() / TOKEN_BYTES,
            reused: AtomicUsize::new(0),
            progress: watch::Sender::new(Progress::default()),
            prompt: prompt.to_owned(),
            readers: AtomicUsize::new(0),
            unread_since: Mutex::new(Instant::now()),
            name,
        });
        let reader = generation.reader();
        batches.arrivals += 1;
        let place = (Reverse(priority), batches.arrivals);
        let call = generation.name.call.clone();
        batches.queue.insert(place, Arc::clone(&generation));
        batches.known.insert(call, generation);
        drop(batches);
        self.wake.notify_one();
        Some(reader)
    }

    /// A generation that runs, or ended a short while ago.
    pub(crate) fn resume(&self, call: &str, offset: u64) -> Option<Reader> {
        let generation = self.batches().known.get(call).map(Arc::clone)?;
        if generation.progress.borrow().finish == Some(Finish::Cancelled) {
            return None;
        }
        let event = Event::Resumed { offset };
        self.journal.add(&generation.name, event);
        Some(generation.reader())
    }

    /// Cancels a call; false where it is not known.
    pub(crate) fn cancel(&self, call: &str) -> bool {
        let mut batches = self.batches();
        let Some(generation) = batches.known.remove(call) else {
            return false;
        };
        batches.running.retain(|g| g.name.call != call);
        batches.queue.retain(|_, g| g.name.call != call);
        drop(batches);
        self.record_cancel(&generation);
        true
    }

    fn record_cancel(&self, generation: &Generation) {
        let progress = *generation.progress.borrow();
        if progress.finish.is_some() {
            return;
        }
        let finish = Some(Finish::Cancelled);
        generation.progress.send_modify(|p| p.finish = finish);
        let event = Event::Cancelled {
            busy_us: self.work_us(generation, progress.emitted),
            tokens: progress.emitted as u64,
        };
        self.journal.add(&generation.name, event);
    }

    /// Blocks of `prompt` that are cached, for an export.
    pub(crate) fn export(&self, prompt: &str) -> Vec<u64> {
        let mut hashes = block_hashes(prompt.as_bytes());
        let cached = self.batches().cache.cached(&hashes);
        hashes.truncate(cached);
        hashes
    }

    /// Takes exported blocks into the cache.
    pub(crate) fn import(&self, hashes: &[u64]) {
        let change = self.batches().cache.touch(hashes);
        self.note(change);
    }

    fn note(&self, change: CacheChange) {
        if change.stored.is_empty() && change.removed.is_empty() {
            return;
        }
        let mut changes = self.changes.lock().expect("no panic under this lock");
        changes.push(change);
    }

    /// Takes decode steps until dropped.
    pub(crate) async fn run(&self, faults: &Faults) {
        loop {
            self.drop_abandoned();
            match self.plan_step() {
                None => self.wake.notified().await,
                Some(step) => {
                    sleep(step.mul_f64(faults.slowness())).await;
                    self.finish_step();
                }
            }
        }
    }

    fn drop_abandoned(&self) {
        let window = self.cfg.resume_window;
        let mut abandoned = Vec::new();
        let mut batches = self.batches();
        batches.running.retain(|g| {
            let gone = g.is_abandoned(window);
            if gone {
                abandoned.push(Arc::clone(g));
            }
            !gone
        });
        for generation in &abandoned {
            batches.known.remove(&generation.name.call);
        }
        drop(batches);
        for generation in &abandoned {
            self.record_cancel(generation);
        }
    }

    /// Admits what fits into the batch; the time of the next step, `None` when nothing runs.
    fn plan_step(&self) -> Option<Duration> {
        let mut batches = self.batches();
        let mut prefill = 0;
        while batches.running.len() < self.cfg.max_batch {
            let Some((_, generation)) = batches.queue.pop_first() else {
                break;
            };
            prefill += self.admit(&mut batches, &generation);
            batches.running.push(generation);
        }
        let others = batches.running.len().checked_sub(1)?;
        let decode = self.cfg.decode_step + self.cfg.extra_step_per_sequence * others as u32;
        Some(decode + self.cfg.prefill_per_token * prefill as u32)
    }

    /// Starts a generation; the prompt tokens to prefill.
    fn admit(&self, batches: &mut Batches, generation: &Generation) -> usize {
        let hashes = block_hashes(generation.prompt.as_bytes());
        let change = batches.cache.touch(&hashes);
        let reused = change.reused * super::prefix_cache::BLOCK_BYTES / TOKEN_BYTES;
        generation.reused.store(reused, Ordering::SeqCst);
        self.note(change);
        self.journal.add(&generation.name, Event::Started);
        generation.prompt_tokens.saturating_sub(reused)
    }

    fn finish_step(&self) {
        let mut batches = self.batches();
        let mut ended = Vec::new();
        batches.running.retain(|g| {
            let mut finish = None;
            g.progress.send_modify(|p| {
                p.emitted += 1;
                if p.emitted >= g.tokens.len() {
                    p.finish = Some(Finish::Stop);
                }
                finish = p.finish;
            });
            if finish.is_some() {
                ended.push(Arc::clone(g));
            }
            finish.is_none()
        });
        batches
            .finished
            .extend(ended.iter().map(|g| g.name.call.clone()));
        while batches.finished.len() > KEPT {
            let oldest = batches.finished.remove(0);
            batches.known.remove(&oldest);
        }
        drop(batches);
        for generation in ended {
            self.record_end(&generation);
        }
    }

    /// Time that the work done would take alone, in microseconds, whatever the batch.
    fn work_us(&self, generation: &Generation, emitted: usize) -> u64 {
        if emitted == 0 {
            return 0;
        }
        let reused = generation.reused.load(Ordering::SeqCst);
        let prefilled = generation.prompt_tokens.saturating_sub(reused);
        let prefill = self.cfg.prefill_per_token * prefilled as u32;
        let decode = self.cfg.decode_step * emitted as u32;
        (prefill + decode).as_micros() as u64
    }

    fn record_end(&self, generation: &Generation) {
        let event = Event::Finished {
            output_digest: digest(generation.tokens.concat().as_bytes()),
            busy_us: self.work_us(generation, generation.tokens.len()),
            tokens: generation.tokens.len() as u64,
            reused: generation.reused.load(Ordering::SeqCst) as u64,
        };
        self.journal.add(&generation.name, event);
    }
}
