//! `explain`: collects what the logs of any number of processes contain about one request.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::File,
    io::{BufRead, BufReader, stdin},
    path::{Path, PathBuf},
};

use host::{exit::ExitCode, output::print_line, time::format_utc};
use logs::{Event, Line};
use serde::Serialize;

use crate::{
    args::{Config, Explain},
    error::VerbError,
    output::{table, to_json},
};

/// Time before a request's first line in which state changes and dropped lines are shown,
/// in milliseconds.
const CONTEXT_BEFORE_MS: u64 = 10_000;
/// Time after a request's last line in which they are shown, in milliseconds.
const CONTEXT_AFTER_MS: u64 = 1_000;
/// Maximum number of state changes shown; the latest are kept.
const MAX_STATE_CHANGES: usize = 40;

/// One log line as it is printed.
#[derive(Clone, Debug, Serialize)]
struct LogEntry {
    /// Milliseconds since the Unix epoch.
    at_ms: u64,
    /// VM of the process that wrote the line.
    vm: String,
    #[serde(rename = "what")]
    message: String,
    /// Key-value pairs of the line.
    details: BTreeMap<String, String>,
}

/// Number of lines of one kind that a process dropped.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct LeftOut {
    vm: String,
    kind: String,
    count: u64,
}

/// What the logs contain about one request.
#[derive(Debug, Serialize)]
struct Explanation {
    request: String,
    /// How the request ended, if a line says so.
    ending: Option<String>,
    /// Lines about the request, in order of time.
    #[serde(rename = "story")]
    entries: Vec<LogEntry>,
    /// State changes of its processes and the keepers around the time of the request.
    #[serde(rename = "around")]
    state_changes: Vec<LogEntry>,
    /// Lines dropped around that time; those of all logs if no line mentions the request.
    left_out: Vec<LeftOut>,
    /// Number of lines read.
    #[serde(rename = "lines")]
    line_count: u64,
    /// VMs whose lines were read.
    processes: Vec<String>,
}

/// Lines collected from the logs for one request.
#[derive(Debug, Default)]
struct LogScan {
    about: Vec<Line>,
    state_changes: Vec<Line>,
    left_out: Vec<Line>,
    line_count: u64,
    processes: BTreeSet<String>,
}

impl LogScan {
    fn read(&mut self, reader: impl BufRead, request: &str) -> std::io::Result<()> {
        for text in reader.split(b'\n') {
            let text = text?;
            // A log truncated inside a UTF-8 sequence still yields its other lines.
            if let Some(line) = Line::parse(&String::from_utf8_lossy(&text)) {
                self.add(line, request);
            }
        }
        Ok(())
    }

    fn add(&mut self, line: Line, request: &str) {
        self.line_count += 1;
        self.processes.extend(line.vm.clone());
        match line.event() {
            _ if line.mentions(request) => self.about.push(line),
            Some(Event::LeftOut { .. }) => self.left_out.push(line),
            // State changes logged for another request belong to that request only.
            Some(event) if event.kind().is_state_change() && line.request().is_none() => {
                self.state_changes.push(line);
            }
            _ => {}
        }
    }

    fn into_explanation(mut self, request: &str) -> Explanation {
        // The line with the ending can be written before others of the same millisecond.
        self.about
            .sort_by_key(|line| (line.at_ms(), ending(line).is_some()));
        let times = self.about.iter().map(Line::at_ms);
        let span = times.clone().min().zip(times.max());
        let is_near = |line: &Line| match span {
            Some((first, last)) => (first.saturating_sub(CONTEXT_BEFORE_MS)
                ..=last + CONTEXT_AFTER_MS)
                .contains(&line.at_ms()),
            None => true,
        };
        let involved = involved_names(&self.about);
        let mut state_changes: Vec<&Line> = self
            .state_changes
            .iter()
            .filter(|line| span.is_some() && is_near(line) && may_affect(line, &involved))
            .collect();
        state_changes.sort_by_key(|line| line.at_ms());
        let skipped = state_changes.len().saturating_sub(MAX_STATE_CHANGES);
        Explanation {
            request: request.to_owned(),
            ending: self.about.iter().find_map(ending),
            entries: self.about.iter().map(to_entry).collect(),
            state_changes: state_changes
                .into_iter()
                .skip(skipped)
                .map(to_entry)
                .collect(),
            left_out: sum_left_out(self.left_out.iter().filter(|line| is_near(line))),
            line_count: self.line_count,
            processes: self.processes.into_iter().collect(),
        }
    }
}

/// Returns the VMs, endpoints and services that the lines of a request name.
fn involved_names(about: &[Line]) -> BTreeSet<String> {
    let vms = about.iter().filter_map(|line| line.vm.clone());
    let details = about.iter().flat_map(Line::details);
    let is_name = |key: &str| {
        matches!(
            key,
            "endpoint" | "endpoints" | "service" | "collector" | "part"
        )
    };
    let values = details.filter(|(key, _)| is_name(key));
    let split = |value: String| value.split(' ').map(str::to_owned).collect::<Vec<_>>();
    vms.chain(values.flat_map(|(_, value)| split(value)))
        .collect()
}

/// Returns true if a state change may have affected the request: one of the keeper group always
/// may, one about an endpoint or a service only if the request's lines name it and the VM, and any
/// other only on the VMs that those lines come from.
fn may_affect(line: &Line, involved: &BTreeSet<String>) -> bool {
    let is_involved_vm = line.vm.as_ref().is_some_and(|vm| involved.contains(vm));
    match line.event() {
        Some(Event::Consensus { .. }) => true,
        Some(
            Event::EndpointState { endpoint, .. }
            | Event::EndpointEjected { endpoint, .. }
            | Event::EndpointBack { endpoint, .. }
            | Event::EndpointMisplaced { endpoint, .. }
            | Event::EndpointLeaving { endpoint, .. }
            | Event::EndpointPaused { endpoint, .. }
            | Event::EndpointLimited { endpoint, .. }
            | Event::EndpointCold { endpoint, .. }
            | Event::EndpointWarm { endpoint, .. }
            | Event::EndpointUnreached { endpoint, .. }
            | Event::EndpointCrashed { endpoint, .. },
        ) => is_involved_vm && involved.contains(&endpoint),
        Some(Event::PartBlockChanged {
            service: Some(service),
            ..
        }) => involved.contains(&service),
        Some(Event::Collects { service, .. }) => is_involved_vm && involved.contains(&service),
        Some(Event::PartBlocked { part, .. } | Event::PartUnblocked { part, .. }) => {
            involved.contains(&part)
        }
        _ => is_involved_vm,
    }
}

/// Returns how the request ended, if `line` says so.
fn ending(line: &Line) -> Option<String> {
    match line.event()? {
        Event::Served {
            status,
            endpoint,
            took_ms,
            ..
        } => Some(format!(
            "served with {status} by {endpoint} after {took_ms} ms"
        )),
        Event::Failed {
            ending,
            status,
            why,
            retry_after_ms,
            took_ms,
        } => {
            let response = match status {
                0 => "told nothing more".to_owned(),
                status => format!("told {status}"),
            };
            let retry = retry_after_ms
                .map_or_else(String::new, |ms| format!("; may come back after {ms} ms"));
            let ending = serde_json::to_value(ending).unwrap_or_default();
            let ending = ending.as_str().unwrap_or_default().replace('_', " ");
            Some(format!(
                "{ending} after {took_ms} ms, {response}: {why}{retry}"
            ))
        }
        _ => None,
    }
}

fn to_entry(line: &Line) -> LogEntry {
    LogEntry {
        at_ms: line.at_ms(),
        vm: line.vm.clone().unwrap_or_default(),
        message: line.payload.clone(),
        details: line.details().into_iter().collect(),
    }
}

fn sum_left_out<'a>(lines: impl Iterator<Item = &'a Line>) -> Vec<LeftOut> {
    let mut sums: BTreeMap<(String, String), u64> = BTreeMap::new();
    for line in lines {
        if let Some(Event::LeftOut { of, count }) = line.event() {
            let vm = line.vm.clone().unwrap_or_default();
            *sums.entry((vm, of)).or_default() += count;
        }
    }
    let sums = sums.into_iter();
    sums.map(|((vm, kind), count)| LeftOut { vm, kind, count })
        .collect()
}

/// Prints what the given files, or standard input, contain about `explain.request`.
pub fn explain(cfg: &Config, explain: &Explain) -> Result<ExitCode, VerbError> {
    let mut scan = LogScan::default();
    let read_error = |path: &Path, e: std::io::Error| VerbError::File {
        path: path.display().to_string(),
        reason: e.to_string(),
    };
    for path in &explain.files {
        let file = File::open(path).map_err(|e| read_error(path, e))?;
        let read = scan.read(BufReader::new(file), &explain.request);
        read.map_err(|e| read_error(path, e))?;
    }
    if explain.files.is_empty() {
        let read = scan.read(stdin().lock(), &explain.request);
        read.map_err(|e| read_error(&PathBuf::from("-"), e))?;
    }
    let explanation = scan.into_explanation(&explain.request);
    match cfg.json {
        true => print_line(to_json(&explanation)),
        false => print_line(to_text(&explanation)),
    }
    Ok(match explanation.entries.is_empty() {
        true => ExitCode::Failure,
        false => ExitCode::Success,
    })
}

fn to_text(explanation: &Explanation) -> String {
    if explanation.entries.is_empty() {
        return not_found(explanation);
    }
    let ending = explanation.ending.as_deref();
    let ending = ending.unwrap_or("its end is not in these logs; read those of all gates");
    let mut parts = vec![format!("request {}: {ending}", explanation.request)];
    let start = explanation.entries[0].at_ms;
    parts.push(format!("began {}", format_utc(start)));
    parts.push(entry_table(&explanation.entries, start));
    if !explanation.state_changes.is_empty() {
        parts.push("what its gates and the keepers came to believe around it".to_owned());
        parts.push(entry_table(&explanation.state_changes, start));
    }
    if !explanation.left_out.is_empty() {
        parts.push(format!(
            "lines left out around it: {}",
            left_out(explanation)
        ));
    }
    parts.join("\n\n")
}

fn not_found(explanation: &Explanation) -> String {
    let read = format!(
        "no line names request {}: read {} lines of {} processes",
        explanation.request,
        explanation.line_count,
        explanation.processes.len()
    );
    match explanation.left_out.is_empty() {
        true => format!("{read}, which left none out; read the logs of all gates"),
        false => format!(
            "{read}; it may be among the lines that were left out: {}",
            left_out(explanation)
        ),
    }
}

fn left_out(explanation: &Explanation) -> String {
    let counts = explanation.left_out.iter();
    let counts = counts.map(|l| format!("{} {} at {}", l.count, l.kind, l.vm));
    counts.collect::<Vec<_>>().join(", ")
}

fn entry_table(entries: &[LogEntry], start: u64) -> String {
    let row = |entry: &LogEntry| {
        let details = entry.details.iter();
        let details: Vec<String> = details
            .map(|(key, value)| format!("{key} {value}"))
            .collect();
        [
            (entry.at_ms as i64 - start as i64).to_string(),
            entry.vm.clone(),
            entry.message.clone(),
            details.join(", "),
        ]
    };
    let rows: Vec<[String; 4]> = entries.iter().map(row).collect();
    table(["ms", "VM", "what", "details"], &rows)
}
