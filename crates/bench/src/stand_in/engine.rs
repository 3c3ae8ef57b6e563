//! Continuous batching of a simulated engine: one task runs the decode steps of all sequences.

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
    fault::FaultState,
    journal::{CallIdentity, Event, Journal},
    prefix_cache::{CacheChange, PrefixCache, TOKEN_BYTES, block_hashes},
};
use crate::output::{digest, engine_tokens};

/// Maximum number of finished generations kept for resumption.
const MAX_FINISHED: usize = 256;

/// Why a generation finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finish {
    Stop,
    Cancelled,
}

/// Progress of a generation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    pub(crate) emitted: usize,
    pub(crate) finish: Option<Finish>,
}

/// One sequence, from its arrival until it can no longer be resumed.
#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) identity: CallIdentity,
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
struct Scheduler {
    queue: BTreeMap<(Reverse<u8>, u64), Arc<Generation>>,
    running: Vec<Arc<Generation>>,
    by_call: HashMap<String, Arc<Generation>>,
    finished: Vec<String>,
    cache: PrefixCache,
    arrivals: u64,
}

/// Load figures of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineLoad {
    pub(crate) running: usize,
    pub(crate) queued: usize,
    pub(crate) kv_used: f64,
}

/// A simulated engine.
#[derive(Debug)]
pub(crate) struct Engine {
    cfg: EngineConfig,
    service: String,
    journal: Journal,
    scheduler: Mutex<Scheduler>,
    wake: Notify,
    pub(crate) changes: Mutex<Vec<CacheChange>>,
}

impl Engine {
    pub(crate) fn new(service: &str, cfg: EngineConfig, journal: Journal) -> Self {
        let scheduler = Scheduler {
            queue: BTreeMap::new(),
            running: Vec::new(),
            by_call: HashMap::new(),
            finished: Vec::new(),
            cache: PrefixCache::new(cfg.cache_blocks),
            arrivals: 0,
        };
        Self {
            cfg,
            service: service.to_owned(),
            journal,
            scheduler: Mutex::new(scheduler),
            wake: Notify::new(),
            changes: Mutex::default(),
        }
    }

    fn scheduler(&self) -> std::sync::MutexGuard<'_, Scheduler> {
        self.scheduler.lock().expect("no panic under this lock")
    }

    pub(crate) fn load(&self) -> EngineLoad {
        let scheduler = self.scheduler();
        EngineLoad {
            running: scheduler.running.len(),
            queued: scheduler.queue.len(),
            kv_used: scheduler.cache.utilization(),
        }
    }

    /// Queues a generation; `None` where the queue is full.
    pub(crate) fn submit(
        &self,
        identity: CallIdentity,
        prompt: &str,
        max_tokens: u32,
        priority: u8,
    ) -> Option<Reader> {
        let mut scheduler = self.scheduler();
        if scheduler.queue.len() >= self.cfg.queue_limit {
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
            identity,
        });
        let reader = generation.reader();
        scheduler.arrivals += 1;
        let queue_key = (Reverse(priority), scheduler.arrivals);
        let call = generation.identity.call.clone();
        scheduler.queue.insert(queue_key, Arc::clone(&generation));
        scheduler.by_call.insert(call, generation);
        drop(scheduler);
        self.wake.notify_one();
        Some(reader)
    }

    /// Returns a reader of a queued, running or recently finished generation.
    pub(crate) fn resume(&self, call: &str, offset: u64) -> Option<Reader> {
        let generation = self.scheduler().by_call.get(call).map(Arc::clone)?;
        if generation.progress.borrow().finish == Some(Finish::Cancelled) {
            return None;
        }
        let event = Event::Resumed { offset };
        self.journal.add(&generation.identity, event);
        Some(generation.reader())
    }

    /// Cancels a call. Returns false if it is unknown.
    pub(crate) fn cancel(&self, call: &str) -> bool {
        let mut scheduler = self.scheduler();
        let Some(generation) = scheduler.by_call.remove(call) else {
            return false;
        };
        scheduler.running.retain(|g| g.identity.call != call);
        scheduler.queue.retain(|_, g| g.identity.call != call);
        drop(scheduler);
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
            busy_us: self.unbatched_work_us(generation, progress.emitted),
            tokens: progress.emitted as u64,
        };
        self.journal.add(&generation.identity, event);
    }

    /// Returns the hashes of the cached leading blocks of `prompt`.
    pub(crate) fn export(&self, prompt: &str) -> Vec<u64> {
        let mut hashes = block_hashes(prompt.as_bytes());
        let cached = self.scheduler().cache.cached_prefix_len(&hashes);
        hashes.truncate(cached);
        hashes
    }

    /// Stores blocks exported by another engine in the cache.
    pub(crate) fn import(&self, hashes: &[u64]) {
        let change = self.scheduler().cache.touch(hashes);
        self.record_change(change);
    }

    fn record_change(&self, change: CacheChange) {
        if change.stored.is_empty() && change.removed.is_empty() {
            return;
        }
        let mut changes = self.changes.lock().expect("no panic under this lock");
        changes.push(change);
    }

    /// Runs decode steps until dropped; sleeps while no sequence is running or queued.
    pub(crate) async fn run(&self, faults: &FaultState) {
        loop {
            self.drop_abandoned();
            match self.plan_step() {
                None => self.wake.notified().await,
                Some(step) => {
                    sleep(step.mul_f64(faults.slowdown())).await;
                    self.finish_step();
                }
            }
        }
    }

    fn drop_abandoned(&self) {
        let window = self.cfg.resume_window;
        let mut abandoned = Vec::new();
        let mut scheduler = self.scheduler();
        scheduler.running.retain(|g| {
            let is_abandoned = g.is_abandoned(window);
            if is_abandoned {
                abandoned.push(Arc::clone(g));
            }
            !is_abandoned
        });
        for generation in &abandoned {
            scheduler.by_call.remove(&generation.identity.call);
        }
        drop(scheduler);
        for generation in &abandoned {
            self.record_cancel(generation);
        }
    }

    /// Fills the batch from the queue. Returns the duration of the next step, or `None` if no
    /// sequence is running.
    fn plan_step(&self) -> Option<Duration> {
        let mut scheduler = self.scheduler();
        let mut prefill_tokens = 0;
        while scheduler.running.len() < self.cfg.max_batch {
            let Some((_, generation)) = scheduler.queue.pop_first() else {
                break;
            };
            prefill_tokens += self.admit(&mut scheduler, &generation);
            scheduler.running.push(generation);
        }
        let extra_sequences = scheduler.running.len().checked_sub(1)?;
        let decode =
            self.cfg.decode_step + self.cfg.extra_step_per_sequence * extra_sequences as u32;
        Some(decode + self.cfg.prefill_per_token * prefill_tokens as u32)
    }

    /// Starts a generation. Returns the number of prompt tokens to prefill.
    fn admit(&self, scheduler: &mut Scheduler, generation: &Generation) -> usize {
        let hashes = block_hashes(generation.prompt.as_bytes());
        let change = scheduler.cache.touch(&hashes);
        let reused = change.reused * super::prefix_cache::BLOCK_BYTES / TOKEN_BYTES;
        generation.reused.store(reused, Ordering::SeqCst);
        self.record_change(change);
        self.journal.add(&generation.identity, Event::Started);
        generation.prompt_tokens.saturating_sub(reused)
    }

    fn finish_step(&self) {
        let mut scheduler = self.scheduler();
        let mut finished = Vec::new();
        scheduler.running.retain(|g| {
            let mut finish = None;
            g.progress.send_modify(|p| {
                p.emitted += 1;
                if p.emitted >= g.tokens.len() {
                    p.finish = Some(Finish::Stop);
                }
                finish = p.finish;
            });
            if finish.is_some() {
                finished.push(Arc::clone(g));
            }
            finish.is_none()
        });
        scheduler
            .finished
            .extend(finished.iter().map(|g| g.identity.call.clone()));
        while scheduler.finished.len() > MAX_FINISHED {
            let oldest = scheduler.finished.remove(0);
            scheduler.by_call.remove(&oldest);
        }
        drop(scheduler);
        for generation in finished {
            self.record_finish(&generation);
        }
    }

    /// Returns the time that the work done would take without batching, in microseconds.
    fn unbatched_work_us(&self, generation: &Generation, emitted: usize) -> u64 {
        if emitted == 0 {
            return 0;
        }
        let reused = generation.reused.load(Ordering::SeqCst);
        let prefilled = generation.prompt_tokens.saturating_sub(reused);
        let prefill = self.cfg.prefill_per_token * prefilled as u32;
        let decode = self.cfg.decode_step * emitted as u32;
        (prefill + decode).as_micros() as u64
    }

    fn record_finish(&self, generation: &Generation) {
        let event = Event::Finished {
            output_digest: digest(generation.tokens.concat().as_bytes()),
            busy_us: self.unbatched_work_us(generation, generation.tokens.len()),
            tokens: generation.tokens.len() as u64,
            reused: generation.reused.load(Ordering::SeqCst) as u64,
        };
        self.journal.add(&generation.identity, event);
    }
}
