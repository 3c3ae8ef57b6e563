//! Queue of requests that wait for admission. The highest priority is admitted first, but every
//! tenth admission is by weighted fair share, so that no workspace starves. When the queue is full,
//! a request of the lowest priority that exceeds its reserve is evicted.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use declaration::Priority;
use tokio::{sync::oneshot, time::Instant};

/// Every this many admissions, one is by weighted fair share regardless of priority.
const FAIR_SHARE_INTERVAL: u64 = 10;
/// The queue's capacity divided by this is reserved for each priority against higher ones.
const RESERVE_DIVISOR: usize = 32;
/// Virtual time that one admission costs at weight 1.
const STRIDE: u64 = 1 << 20;
/// Shortest time between two sweeps for expired requests.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);

/// A queued request.
#[derive(Debug)]
pub(crate) struct Waiter<T> {
    pub(crate) workspace: String,
    pub(crate) priority: Priority,
    /// Time after which the request can no longer start.
    pub(crate) latest_start: Instant,
    pub(crate) tx: oneshot::Sender<T>,
}

impl<T> Waiter<T> {
    fn is_waiting(&self, now: Instant) -> bool {
        self.latest_start > now && !self.tx.is_closed()
    }
}

/// Queued requests of one workspace.
#[derive(Debug)]
struct Flow<T> {
    priority: Priority,
    /// Virtual time of the next admission.
    next_turn: u64,
    waiters: VecDeque<Waiter<T>>,
}

/// Queued requests of all workspaces.
#[derive(Debug)]
pub(crate) struct AdmissionQueue<T> {
    max_len: usize,
    len: usize,
    flows: BTreeMap<String, Flow<T>>,
    /// Workspaces with queued requests, by priority and then by virtual time.
    by_priority: BTreeMap<u8, BTreeSet<(u64, String)>>,
    queued_by_priority: BTreeMap<u8, usize>,
    virtual_time: u64,
    admitted: u64,
    last_sweep: Option<Instant>,
}

fn stride(priority: Priority) -> u64 {
    STRIDE / (u64::from(priority.0) + 1)
}

impl<T> AdmissionQueue<T> {
    pub(crate) fn new(max_len: usize) -> Self {
        Self {
            max_len,
            len: 0,
            flows: BTreeMap::new(),
            by_priority: BTreeMap::new(),
            queued_by_priority: BTreeMap::new(),
            virtual_time: 0,
            admitted: 0,
            last_sweep: None,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Enqueues `waiter`, evicting another request if `capacity` are queued. Drops `waiter` and
    /// returns false if no request can be evicted.
    pub(crate) fn push(&mut self, waiter: Waiter<T>, capacity: usize, now: Instant) -> bool {
        let capacity = capacity.clamp(1, self.max_len);
        let is_recently_swept = self
            .last_sweep
            .is_some_and(|at| now.saturating_duration_since(at) < SWEEP_INTERVAL);
        if self.len >= capacity && !is_recently_swept {
            self.last_sweep = Some(now);
            self.drop_expired(now);
        }
        let reserve = (capacity / RESERVE_DIVISOR).max(1);
        if self.len >= capacity && !self.evict_for(waiter.priority, reserve) {
            return false;
        }
        self.insert(waiter);
        true
    }

    /// Removes and returns the next request to admit, skipping expired and cancelled ones.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<oneshot::Sender<T>> {
        while let Some(workspace) = self.next() {
            let waiter = self.remove(&workspace, VecDeque::pop_front)?;
            if waiter.is_waiting(now) {
                self.charge(&workspace, waiter.priority);
                return Some(waiter.tx);
            }
        }
        None
    }

    fn insert(&mut self, waiter: Waiter<T>) {
        let priority = waiter.priority;
        let workspace = waiter.workspace.clone();
        let first = self.virtual_time + stride(priority);
        let flow = self.flows.entry(workspace.clone()).or_insert_with(|| Flow {
            priority,
            next_turn: first,
            waiters: VecDeque::new(),
        });
        if flow.waiters.is_empty() {
            let key = (flow.next_turn, workspace);
            self.by_priority
                .entry(flow.priority.0)
                .or_default()
                .insert(key);
        }
        flow.waiters.push_back(waiter);
        *self.queued_by_priority.entry(flow.priority.0).or_default() += 1;
        self.len += 1;
    }

    /// Returns the workspace to admit next.
    fn next(&self) -> Option<String> {
        let heads = || self.by_priority.values().filter_map(BTreeSet::first);
        let is_fair_turn = self.admitted % FAIR_SHARE_INTERVAL == FAIR_SHARE_INTERVAL - 1;
        let first = match is_fair_turn {
            true => heads().min_by_key(|(next_turn, _)| *next_turn),
            false => heads().next_back(),
        };
        first.map(|(_, workspace)| workspace.clone())
    }

    /// Removes one request of `workspace`, and its flow if that was the last one.
    fn remove(
        &mut self,
        workspace: &str,
        pop: impl FnOnce(&mut VecDeque<Waiter<T>>) -> Option<Waiter<T>>,
    ) -> Option<Waiter<T>> {
        let flow = self.flows.get_mut(workspace)?;
        let waiter = pop(&mut flow.waiters)?;
        let (priority, next_turn) = (flow.priority.0, flow.next_turn);
        self.len -= 1;
        *self.queued_by_priority.entry(priority).or_default() -= 1;
        if flow.waiters.is_empty() {
            self.flows.remove(workspace);
            let set = self.by_priority.entry(priority).or_default();
            set.remove(&(next_turn, workspace.to_owned()));
            if set.is_empty() {
                self.by_priority.remove(&priority);
            }
        }
        Some(waiter)
    }

    /// Charges an admission to the fair share of `workspace`.
    fn charge(&mut self, workspace: &str, priority: Priority) {
        self.admitted += 1;
        self.virtual_time += 1;
        let Some(flow) = self.flows.get_mut(workspace) else {
            return;
        };
        self.virtual_time = self.virtual_time.max(flow.next_turn);
        let old = flow.next_turn;
        flow.next_turn += stride(priority);
        let set = self.by_priority.entry(flow.priority.0).or_default();
        set.remove(&(old, workspace.to_owned()));
        set.insert((flow.next_turn, workspace.to_owned()));
    }

    /// Evicts a request in favour of one of `priority`. Chooses the lowest evictable priority with
    /// more than `reserve` requests, and in it the newest request of the workspace with the most.
    /// Returns false if there is none.
    fn evict_for(&mut self, priority: Priority, reserve: usize) -> bool {
        let queued = |p: &u8| self.queued_by_priority.get(p).copied().unwrap_or(0);
        let is_within_reserve = queued(&priority.0) < reserve;
        let is_evictable = |p: &&u8| queued(p) > reserve && (is_within_reserve || **p < priority.0);
        let Some(lowest) = self.by_priority.keys().find(is_evictable).copied() else {
            return false;
        };
        let longest = self.by_priority[&lowest]
            .iter()
            .max_by_key(|(_, workspace)| self.flows[workspace].waiters.len());
        let Some((_, workspace)) = longest.cloned() else {
            return false;
        };
        self.remove(&workspace, VecDeque::pop_back).is_some()
    }

    fn drop_expired(&mut self, now: Instant) {
        let workspaces: Vec<String> = self.flows.keys().cloned().collect();
        for workspace in workspaces {
            let is_front_expired = |flow: &Flow<T>| {
                let front = flow.waiters.front();
                front.is_some_and(|waiter| !waiter.is_waiting(now))
            };
            while self.flows.get(&workspace).is_some_and(is_front_expired) {
                self.remove(&workspace, VecDeque::pop_front);
            }
        }
    }
}
