//! Requests that wait for admission: highest priority first, but every tenth by weighted shares,
//! so that no workspace starves; when full, the lowest priority above its reserve gives way.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use declaration::Priority;
use tokio::{sync::oneshot, time::Instant};

/// Of this many admissions, one goes by weighted shares whatever the priority.
const FAIR_SHARE_INTERVAL: u64 = 10;
/// Each priority keeps this share of the queue against higher ones.
const RESERVE_DIVISOR: usize = 32;
/// Virtual time of one admission at weight one.
const STRIDE: u64 = 1 << 20;
/// Shortest time between two searches for expired requests.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);

/// A request that waits.
#[derive(Debug)]
pub(crate) struct Waiter<T> {
    pub(crate) workspace: String,
    pub(crate) priority: Priority,
    /// After this it does not want a place any more.
    pub(crate) latest_start: Instant,
    pub(crate) tx: oneshot::Sender<T>,
}

impl<T> Waiter<T> {
    fn is_waiting(&self, now: Instant) -> bool {
        self.latest_start > now && !self.tx.is_closed()
    }
}

/// The waiting requests of one workspace.
#[derive(Debug)]
struct Flow<T> {
    priority: Priority,
    /// Virtual time of its next admission.
    next_turn: u64,
    waiters: VecDeque<Waiter<T>>,
}

/// All waiting requests.
#[derive(Debug)]
pub(crate) struct AdmissionQueue<T> {
    max: usize,
    len: usize,
    flows: BTreeMap<String, Flow<T>>,
    /// Workspaces by priority and virtual time.
    by_priority: BTreeMap<u8, BTreeSet<(u64, String)>>,
    queued_by_priority: BTreeMap<u8, usize>,
    virtual_time: u64,
    admitted: u64,
    /// When expired requests were last looked for.
    last_sweep: Option<Instant>,
}

fn stride(priority: Priority) -> u64 {
    STRIDE / (u64::from(priority.0) + 1)
}

impl<T> AdmissionQueue<T> {
    pub(crate) fn new(max: usize) -> Self {
        Self {
            max,
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

    /// Takes `waiter`, dropping another where `capacity` requests wait; returns false, with
    /// `waiter` dropped, where none gives way.
    pub(crate) fn push(&mut self, waiter: Waiter<T>, capacity: usize, now: Instant) -> bool {
        let capacity = capacity.clamp(1, self.max);
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

    /// The next that gets a place.
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

    /// The workspace whose turn it is.
    fn next(&self) -> Option<String> {
        let firsts = || self.by_priority.values().filter_map(BTreeSet::first);
        let is_fair_turn = self.admitted % FAIR_SHARE_INTERVAL == FAIR_SHARE_INTERVAL - 1;
        let first = match is_fair_turn {
            true => firsts().min_by_key(|(next_turn, _)| *next_turn),
            false => firsts().next_back(),
        };
        first.map(|(_, workspace)| workspace.clone())
    }

    /// Removes one waiter of `workspace`, and the flow with its last.
    fn remove(
        &mut self,
        workspace: &str,
        end: impl FnOnce(&mut VecDeque<Waiter<T>>) -> Option<Waiter<T>>,
    ) -> Option<Waiter<T>> {
        let flow = self.flows.get_mut(workspace)?;
        let waiter = end(&mut flow.waiters)?;
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

    /// Counts an admission of `workspace` against its share.
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

    /// Drops the newest waiter of the lowest priority that holds more than `reserve` places and
    /// may give way to one of `priority`.
    fn evict_for(&mut self, priority: Priority, reserve: usize) -> bool {
        let held = |p: &u8| self.queued_by_priority.get(p).copied().unwrap_or(0);
        let is_within_reserve = held(&priority.0) < reserve;
        let is_evictable = |p: &&u8| held(p) > reserve && (is_within_reserve || **p < priority.0);
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
