//! `explain`: one request's story out of the logs of any number of processes.

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

/// How long before a request what its processes came to believe still matters, in milliseconds.
const BEFORE_MS: u64 = 10_000;
/// How long after its end, in milliseconds.
const AFTER_MS: u64 = 1_000;
/// Most changes of belief that are shown.
const MAX_AROUND: usize = 40;

/// A moment of the story.
#[derive(Clone, Debug, Serialize)]
struct Moment {
    /// Milliseconds since the Unix epoch.
    at_ms: u64,
    /// The process's VM.
    vm: String,
    /// What happened.
    what: String,
    /// The inputs and the outcome.
    details: BTreeMap<String, String>,
}

/// Lines that a process left out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct LeftOut {
    vm: String,
    kind: String,
    count: u64,
}

/// What the logs tell of one request.
#[derive(Debug, Serialize)]
struct Told {
    request: String,
    /// How it ended, where a line says so.
    ending: Option<String>,
    /// The decisions on it, in the order of time.
    story: Vec<Moment>,
    /// What its processes and the keepers came to believe around it.
    around: Vec<Moment>,
    /// Lines left out around it, or in all logs where nothing names it.
    left_out: Vec<LeftOut>,
    /// Lines read.
    lines: u64,
    /// Processes whose lines were read.
    processes: Vec<String>,
}

/// Lines that may matter, as they are read.
#[derive(Debug, Default)]
struct Found {
    about: Vec<Line>,
    beliefs: Vec<Line>,
    left_out: Vec<Line>,
    lines: u64,
    processes: BTreeSet<String>,
}

impl Found {
    fn read(&mut self, reader: impl BufRead, request: &str) -> std::io::Result<()> {
        for text in reader.split(b'\n') {
            let text = text?;
            // A log that was cut in the middle of a letter still has its other lines.
            if let Some(line) = Line::parse(&String::from_utf8_lossy(&text)) {
                self.take(line, request);
            }
        }
        Ok(())
    }

    fn take(&mut self, line: Line, request: &str) {
        self.lines += 1;
        self.processes.extend(line.vm.clone());
        match line.event() {
            _ if line.mentions(request) => self.about.push(line),
            Some(Event::LeftOut { .. }) => self.left_out.push(line),
            // What a request met is its own story.
            Some(event) if event.kind().is_state_change() && line.request().is_none() => {
                self.beliefs.push(line);
            }
            _ => {}
        }
    }

    fn told(mut self, request: &str) -> Told {
        // The end is written first.
        self.about
            .sort_by_key(|line| (line.at_ms(), ending(line).is_some()));
        let times = self.about.iter().map(Line::at_ms);
        let span = times.clone().min().zip(times.max());
        let is_near = |line: &Line| match span {
            Some((first, last)) => {
                (first.saturating_sub(BEFORE_MS)..=last + AFTER_MS).contains(&line.at_ms())
            }
            None => true,
        };
        let concerned = concerned(&self.about);
        let mut around: Vec<&Line> = self
            .beliefs
            .iter()
            .filter(|line| span.is_some() && is_near(line) && concerns(line, &concerned))
            .collect();
        around.sort_by_key(|line| line.at_ms());
        let skipped = around.len().saturating_sub(MAX_AROUND);
        Told {
            request: request.to_owned(),
            ending: self.about.iter().find_map(ending),
            story: self.about.iter().map(moment).collect(),
            around: around.into_iter().skip(skipped).map(moment).collect(),
            left_out: summed(self.left_out.iter().filter(|line| is_near(line))),
            lines: self.lines,
            processes: self.processes.into_iter().collect(),
        }
    }
}

/// VMs, endpoints and services that the lines of a request name.
fn concerned(about: &[Line]) -> BTreeSet<String> {
    let vms = about.iter().filter_map(|line| line.vm.clone());
    let details = about.iter().flat_map(Line::details);
    let is_name = |key: &str| matches!(key, "endpoint" | "endpoints" | "service" | "collector");
    let values = details.filter(|(key, _)| is_name(key));
    let split = |value: String| value.split(' ').map(str::to_owned).collect::<Vec<_>>();
    vms.chain(values.flat_map(|(_, value)| split(value)))
        .collect()
}

/// Whether a change of belief may have touched a request: one of the keepers' group always may; one
/// about an endpoint or a service where the request met it; any other one at its own gates.
fn concerns(line: &Line, concerned: &BTreeSet<String>) -> bool {
    let is_own = line.vm.as_ref().is_some_and(|vm| concerned.contains(vm));
    match line.event() {
        Some(Event::Consensus { .. }) => true,
        Some(
            Event::EndpointState { endpoint, .. }
            | Event::EndpointEjected { endpoint, .. }
            | Event::EndpointBack { endpoint, .. }
            | Event::EndpointMisplaced { endpoint, .. }
            | Event::EndpointLeaving { endpoint, .. }
            | Event::EndpointPaused { endpoint, .. }
            | Event::EndpointUnreached { endpoint, .. },
        ) => is_own && concerned.contains(&endpoint),
        Some(Event::Collects { service, .. }) => is_own && concerned.contains(&service),
        _ => is_own,
    }
}

/// How the request ended, where `line` says so.
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
            let told = match status {
                0 => "told nothing more".to_owned(),
                status => format!("told {status}"),
            };
            let again = retry_after_ms
                .map_or_else(String::new, |ms| format!("; may come back after {ms} ms"));
            let ending = serde_json::to_value(ending).unwrap_or_default();
            let ending = ending.as_str().unwrap_or_default().replace('_', " ");
            Some(format!("{ending} after {took_ms} ms, {told}: {why}{again}"))
        }
        _ => None,
    }
}

fn moment(line: &Line) -> Moment {
    Moment {
        at_ms: line.at_ms(),
        vm: line.vm.clone().unwrap_or_default(),
        what: line.payload.clone(),
        details: line.details().into_iter().collect(),
    }
}

fn summed<'a>(lines: impl Iterator<Item = &'a Line>) -> Vec<LeftOut> {
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

/// Prints the story of `explain.request` out of the files named, or of standard input.
pub fn explain(cfg: &Config, explain: &Explain) -> Result<ExitCode, VerbError> {
    let mut found = Found::default();
    let unread = |path: &Path, e: std::io::Error| VerbError::File {
        path: path.display().to_string(),
        reason: e.to_string(),
    };
    for path in &explain.files {
        let file = File::open(path).map_err(|e| unread(path, e))?;
        let read = found.read(BufReader::new(file), &explain.request);
        read.map_err(|e| unread(path, e))?;
    }
    if explain.files.is_empty() {
        let read = found.read(stdin().lock(), &explain.request);
        read.map_err(|e| unread(&PathBuf::from("-"), e))?;
    }
    let told = found.told(&explain.request);
    match cfg.json {
        true => print_line(to_json(&told)),
        false => print_line(text(&told)),
    }
    Ok(match told.story.is_empty() {
        true => ExitCode::Failure,
        false => ExitCode::Success,
    })
}

fn text(told: &Told) -> String {
    if told.story.is_empty() {
        return not_found(told);
    }
    let ending = told.ending.as_deref();
    let ending = ending.unwrap_or("its end is not in these logs; read those of all gates");
    let mut parts = vec![format!("request {}: {ending}", told.request)];
    let start = told.story[0].at_ms;
    parts.push(format!("began {}", format_utc(start)));
    parts.push(moments(&told.story, start));
    if !told.around.is_empty() {
        parts.push("what its gates and the keepers came to believe around it".to_owned());
        parts.push(moments(&told.around, start));
    }
    if !told.left_out.is_empty() {
        parts.push(format!("lines left out around it: {}", left_out(told)));
    }
    parts.join("\n\n")
}

fn not_found(told: &Told) -> String {
    let read = format!(
        "no line names request {}: read {} lines of {} processes",
        told.request,
        told.lines,
        told.processes.len()
    );
    match told.left_out.is_empty() {
        true => format!("{read}, which left none out; read the logs of all gates"),
        false => format!(
            "{read}; it may be among the lines that were left out: {}",
            left_out(told)
        ),
    }
}

fn left_out(told: &Told) -> String {
    let each = told.left_out.iter();
    let each = each.map(|l| format!("{} {} at {}", l.count, l.kind, l.vm));
    each.collect::<Vec<_>>().join(", ")
}

fn moments(moments: &[Moment], start: u64) -> String {
    let row = |moment: &Moment| {
        let details = moment.details.iter();
        let details: Vec<String> = details
            .map(|(key, value)| format!("{key} {value}"))
            .collect();
        [
            (moment.at_ms as i64 - start as i64).to_string(),
            moment.vm.clone(),
            moment.what.clone(),
            details.join(", "),
        ]
    };
    let rows: Vec<[String; 4]> = moments.iter().map(row).collect();
    table(["ms", "VM", "what", "details"], &rows)
}
