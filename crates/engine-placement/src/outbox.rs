//! The open calls of this gate to one service, and what its placement coordinator is not told yet.

use std::collections::HashMap;

use tokio::time::Instant;

use crate::messages::{Call, FirstEventReport, Reports, StartedCall};

#[derive(Debug)]
struct OpenCall {
    call: Call,
    /// The endpoint, once it is chosen.
    endpoint: Option<String>,
    has_first_event: bool,
    /// True if a list of the open calls went without this one, as it had no endpoint yet.
    is_unlisted: bool,
}

#[derive(Debug)]
struct FirstEvent {
    report: FirstEventReport,
    at: Instant,
}

/// Open calls and pending reports.
#[derive(Debug, Default)]
pub struct Outbox {
    open: HashMap<u64, OpenCall>,
    /// Ids of calls whose endpoint this gate chose.
    started: Vec<u64>,
    first_events: Vec<FirstEvent>,
    ended: Vec<u64>,
    /// Name of the coordinator that was told last.
    coordinator: Option<String>,
    /// True if the coordinator does not know this gate's open calls.
    needs_list: bool,
    /// No query is sent before this time, since the last one was not answered.
    pub paused_until: Option<Instant>,
}

impl Outbox {
    /// Records a call that is about to be placed.
    pub fn open(&mut self, call: Call) {
        let open = OpenCall {
            call,
            endpoint: None,
            has_first_event: false,
            is_unlisted: false,
        };
        self.open.insert(open.call.id, open);
    }

    /// Records the endpoint of a call, and reports it unless the coordinator chose it.
    pub fn start(&mut self, id: u64, endpoint: &str, is_known: bool) {
        if let Some(open) = self.open.get_mut(&id) {
            open.endpoint = Some(endpoint.to_owned());
            if !is_known || open.is_unlisted {
                self.started.push(id);
            }
        }
    }

    /// Records the first event of a call, with the running and waiting `calls` and the slowdown that the
    /// endpoint reported.
    pub fn record_first_event(
        &mut self,
        id: u64,
        took_ms: u32,
        calls: Option<u32>,
        slowdown_percent: Option<u32>,
    ) {
        if let Some(open) = self.open.get_mut(&id) {
            open.has_first_event = true;
            let report = FirstEventReport {
                id,
                took_ms,
                age_ms: 0,
                calls,
                slowdown_percent,
            };
            let at = Instant::now();
            self.first_events.push(FirstEvent { report, at });
        }
    }

    /// Records the end of a call.
    pub fn end(&mut self, id: u64) {
        if self.open.remove(&id).is_some() {
            self.ended.push(id);
        }
    }

    /// Returns true if `coordinator` was not the one that was told last.
    pub fn is_new_coordinator(&self, coordinator: &str) -> bool {
        self.coordinator.as_deref() != Some(coordinator)
    }

    /// Takes the reports for `coordinator`.
    pub fn take(&mut self, coordinator: &str) -> Reports {
        let is_new = self.is_new_coordinator(coordinator);
        if is_new {
            self.coordinator = Some(coordinator.to_owned());
        }
        let is_list = std::mem::take(&mut self.needs_list) || is_new;
        let mut started = std::mem::take(&mut self.started);
        let mut ended = std::mem::take(&mut self.ended);
        if is_list {
            started = self.open.keys().copied().collect();
            ended.clear();
            for open in self.open.values_mut() {
                open.is_unlisted = open.endpoint.is_none();
            }
        }
        let started = started.iter().filter_map(|id| {
            let open = self.open.get(id)?;
            Some(StartedCall {
                call: open.call.clone(),
                endpoint: open.endpoint.clone()?,
                has_first_event: open.has_first_event,
            })
        });
        let started = started.collect();
        let first_events = std::mem::take(&mut self.first_events);
        let first_events = first_events.into_iter().map(|first| FirstEventReport {
            age_ms: u32::try_from(first.at.elapsed().as_millis()).unwrap_or(u32::MAX),
            ..first.report
        });
        Reports {
            is_list,
            started,
            first_events: first_events.collect(),
            ended,
        }
    }

    /// Makes the next reports list all open calls, because some reports were lost.
    pub fn request_list(&mut self) {
        self.needs_list = true;
    }

    /// Drops the reports, as there is no coordinator; the next one is told of all open calls.
    pub fn drop_reports(&mut self) {
        self.started.clear();
        self.first_events.clear();
        self.ended.clear();
        self.coordinator = None;
        self.needs_list = false;
    }

    /// Returns true if there is something to report.
    pub fn has_reports(&self) -> bool {
        self.needs_list
            || !self.started.is_empty()
            || !self.first_events.is_empty()
            || !self.ended.is_empty()
    }
}
