//! Findings about a valid declaration: entries without effect, and limits that contradict each other.
//!
//! Findings are advice. They are no part of the validation that keepers repeat, so their texts may
//! change.

use std::{
    collections::BTreeSet,
    fmt::{self, Display, Formatter},
    time::Duration,
};

use derives::record;

use crate::{
    BatchCapacity, Declaration, RepeatPolicy, ResponseKind, Route, RouteStage, Service, ServiceKind,
};

/// A finding about one section.
#[record]
#[derive(Eq)]
pub struct Finding {
    /// Kind and name of the section, such as `route notices`.
    pub section: String,
    /// The key, or empty if the whole section is meant.
    pub key: String,
    /// What was found and what to do.
    pub what: String,
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "{}: {}", self.section, self.what),
            key => write!(f, "{}: {key}: {}", self.section, self.what),
        }
    }
}

/// Returns the findings about a valid declaration, by kind of section and name.
pub fn lint(declaration: &Declaration) -> Vec<Finding> {
    let mut findings = Vec::new();
    callers(declaration, &mut findings);
    for (name, service) in &declaration.services {
        let mut section = Section::new(&mut findings, "service", name);
        unused_service(declaration, name, &mut section);
        capacity(service, &mut section);
    }
    for name in declaration.pipelines.keys() {
        let is_allowed = |w: &crate::Workspace| w.pipelines.contains(name);
        if !declaration.workspaces.values().any(is_allowed) {
            Section::new(&mut findings, "pipeline", name)
                .push("", "no workspace may call it; add it to `pipelines` of one");
        }
    }
    workspaces(declaration, &mut findings);
    for (name, route) in &declaration.routes {
        let mut section = Section::new(&mut findings, "route", name);
        unmatched(declaration, route, &mut section);
        times(route, &mut section);
        weights(route, &mut section);
        stages(declaration, route, &mut section);
    }
    findings
}

/// Collects the findings about one section.
struct Section<'a> {
    findings: &'a mut Vec<Finding>,
    id: String,
}

impl<'a> Section<'a> {
    fn new(findings: &'a mut Vec<Finding>, kind: &str, name: &str) -> Self {
        Self {
            findings,
            id: format!("{kind} {name}"),
        }
    }

    fn push(&mut self, key: &str, what: impl Into<String>) {
        self.findings.push(Finding {
            section: self.id.clone(),
            key: key.to_owned(),
            what: what.into(),
        });
    }
}

fn callers(declaration: &Declaration, findings: &mut Vec<Finding>) {
    let limits = &declaration.callers;
    let mut section = Section::new(findings, "limits", "callers");
    if limits.idle_timeout < limits.head_timeout {
        let what =
            "shorter than `head_ms`, which then holds for idle connections as well; raise it";
        section.push("idle_ms", what);
    }
    if limits.head_bytes > limits.body_bytes {
        let what = "larger than `body_bytes`; heads are held in memory as bodies are, lower it";
        section.push("head_bytes", what);
    }
}

fn unused_service(declaration: &Declaration, name: &str, section: &mut Section<'_>) {
    let is_called = |route: &Route| {
        let services = route.services.iter().map(|s| &s.service);
        let pools = route.stages.iter().map(|s| &s.service);
        services.chain(pools).any(|service| service == name)
    };
    let is_used = declaration.routes.values().any(|r| is_called(r))
        || declaration
            .pipelines
            .values()
            .any(|p| p.stages.iter().any(|s| s == name));
    if !is_used {
        section.push(
            "",
            "no route and no pipeline calls it; remove it or call it",
        );
    }
}

fn capacity(service: &Service, section: &mut Section<'_>) {
    let capacity = &service.capacity;
    match (capacity.connections, capacity.slots) {
        (Some(connections), Some(slots)) if connections < slots => {
            let what = format!("fewer than `slots = {slots}`, which can't all be used; raise it");
            section.push("connections", what);
        }
        _ => {}
    }
    if service.kind == ServiceKind::BatchPool && capacity.batch.is_none() {
        let what = "missing; without it a call has one item and results have no bound";
        section.push("batch_items", what);
    }
    match &capacity.batch {
        Some(_) if service.kind != ServiceKind::BatchPool => {
            let what = "has no effect; only a batch pool gets calls with several items";
            section.push("batch_items", what);
        }
        Some(batch) if batch.result_retention < call_time(batch, batch.max_items) => {
            let what = "shorter than a full call; results are gone before the next stage has them";
            section.push("keep_ms", what);
        }
        _ => {}
    }
}

fn workspaces(declaration: &Declaration, findings: &mut Vec<Finding>) {
    let accepts_keys = declaration.routes.values().any(|route| !route.public);
    for (name, workspace) in &declaration.workspaces {
        let mut section = Section::new(findings, "workspace", name);
        match (workspace.keys.is_empty(), workspace.pipelines.is_empty()) {
            (true, true) => {
                section.push(
                    "",
                    "has neither keys nor pipelines, so no request is its own",
                );
            }
            (false, _) if !accepts_keys => {
                let what = "no route asks for an access key; remove them or `public` of a route";
                section.push("keys", what);
            }
            _ => {}
        }
    }
}

/// Routes that no request, or no workspace, can reach.
fn unmatched(declaration: &Declaration, route: &Route, section: &mut Section<'_>) {
    let no_path = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '?' | '#');
    if route.path_prefix.contains(no_path) {
        let what = "no path of a request has white space, `?` or `#`; percent-encode or remove it";
        section.push("path_prefix", what);
    }
    let no_host = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '/' | '@');
    if route.host.contains(no_host) {
        section.push("host", "no request names such a host; write a host name");
    }
    let has_keys = declaration.workspaces.values().any(|w| !w.keys.is_empty());
    if !route.public && !has_keys {
        let what = "no workspace has a key, so each request is refused; add keys or `public = yes`";
        section.push("public", what);
    }
}

fn times(route: &Route, section: &mut Section<'_>) {
    let is_stream = route.answer == ResponseKind::Stream;
    if route.objective > route.timeout {
        section.push(
            "objective_ms",
            "longer than `longest_ms`; lower it or raise that",
        );
    }
    for (key, time) in [
        ("first_event_ms", route.first_event_timeout),
        ("pause_ms", route.max_pause),
    ] {
        match time {
            Some(_) if !is_stream => section.push(key, "only a stream has events; remove it"),
            Some(time) if time >= route.timeout => {
                section.push(
                    key,
                    "not shorter than `longest_ms`, so it has no effect; lower it",
                );
            }
            _ => {}
        }
    }
    if route.repeat != RepeatPolicy::Never && route.attempts == 1 {
        section.push(
            "repeat",
            "has no effect with `attempts = 1`; raise `attempts`",
        );
    }
}

fn weights(route: &Route, section: &mut Section<'_>) {
    for service in route.services.iter().filter(|s| s.weight == 0) {
        let what = format!("`{}` has weight 0 and gets no request", service.service);
        section.push("services", what);
    }
    let mut seen = BTreeSet::new();
    for service in route.services.iter().map(|s| s.service.as_str()) {
        if !seen.insert(service) {
            section.push(
                "services",
                format!("`{service}` is named twice; add its weights up"),
            );
        }
    }
}

fn stages(declaration: &Declaration, route: &Route, section: &mut Section<'_>) {
    let pool = |stage: &RouteStage| {
        declaration
            .services
            .get(&stage.service)?
            .capacity
            .batch
            .as_ref()
    };
    for (number, stage) in route.stages.iter().enumerate() {
        match pool(stage).map(|batch| batch.result_capacity_bytes) {
            Some(room) if stage.result_bytes > room => {
                let what = format!(
                    "a result of stage {number} is larger than `room_bytes = {room}` of `{}`; it \
                     can never be stored",
                    stage.service
                );
                section.push("stages", what);
            }
            _ => {}
        }
    }
    let least = least_time(&route.stages, |stage| {
        pool(stage).map_or(Duration::ZERO, |batch| call_time(batch, 1))
    });
    let key = match least {
        least if least > route.timeout => "longest_ms",
        least if least > route.objective => "objective_ms",
        _ => return,
    };
    let what = format!(
        "the stages alone take {} ms with one item each; raise it",
        least.as_millis()
    );
    section.push(key, what);
}

/// Returns the time of the longest chain of stages.
fn least_time(stages: &[RouteStage], time: impl Fn(&RouteStage) -> Duration) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(stages.len());
    for stage in stages {
        let start = stage.after.iter().filter_map(|n| ends.get(*n)).max();
        ends.push(start.copied().unwrap_or_default() + time(stage));
    }
    ends.into_iter().max().unwrap_or_default()
}

fn call_time(batch: &BatchCapacity, items: u32) -> Duration {
    batch.call_overhead + batch.item_duration.saturating_mul(items)
}

#[cfg(test)]
mod tests;
