//! The forms' fields, by kind of section.

use declaration::{SectionId, SectionText};

/// How a field is filled in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Input {
    /// Any text.
    Text,
    /// A whole number.
    Number,
    /// One of a few words; the empty word leaves the key out.
    Choice(&'static [&'static str]),
}

/// One key of a section as a form field.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    pub(crate) key: &'static str,
    pub(crate) label: &'static str,
    pub(crate) hint: &'static str,
    pub(crate) input: Input,
}

const fn field(key: &'static str, label: &'static str, hint: &'static str, input: Input) -> Field {
    Field {
        key,
        label,
        hint,
        input,
    }
}

/// The kinds of section in the order in which the console lists them.
pub(crate) const KINDS: [&str; 6] = [
    "availability-zone",
    "service",
    "pipeline",
    "workspace",
    "route",
    "limits",
];

const AVAILABILITY_ZONE: &[Field] = &[field(
    "region",
    "Region",
    "the region it lies in",
    Input::Text,
)];

const SERVICE: &[Field] = &[
    field(
        "kind",
        "Kind",
        "what its endpoints are",
        Input::Choice(&[
            "engine",
            "encoder",
            "retriever",
            "reranker",
            "plain",
            "hosted-engine",
            "batch-pool",
        ]),
    ),
    field(
        "repeatable",
        "Repeatable",
        "no: a call runs at most once and needs an idempotency key",
        Input::Choice(&["yes", "no"]),
    ),
    field("model", "Model", "engines only", Input::Text),
    field(
        "version",
        "Version",
        "engines only; a new number starts a rollout",
        Input::Number,
    ),
    field(
        "adapters",
        "Adapters",
        "engines only; names separated by commas",
        Input::Text,
    ),
    field(
        "max_tokens",
        "Most tokens",
        "engines only; for one request",
        Input::Number,
    ),
    field(
        "prefill_percent",
        "Prefill (%)",
        "engines only; share of an availability zone's endpoints that only prefill",
        Input::Number,
    ),
    field(
        "decode_percent",
        "Decode (%)",
        "engines only; share that only decode; the rest do both",
        Input::Number,
    ),
    field(
        "model_mb",
        "Model (MB)",
        "engines only; memory that one version takes",
        Input::Number,
    ),
    field(
        "endpoint_mb",
        "Endpoint (MB)",
        "engines only; memory for models at each endpoint",
        Input::Number,
    ),
    field(
        "health_path",
        "Health path",
        "of an endpoint's health check",
        Input::Text,
    ),
    field(
        "connections",
        "Connections",
        "most at one endpoint, of all callers",
        Input::Number,
    ),
    field(
        "slots",
        "Slots",
        "calls that one endpoint runs",
        Input::Number,
    ),
    field("queue", "Queue", "calls that may wait there", Input::Number),
    field(
        "link_mbps",
        "Link (Mbit/s)",
        "of one endpoint",
        Input::Number,
    ),
    field(
        "memory_tokens",
        "Memory (tokens)",
        "hosted engines only",
        Input::Number,
    ),
    field(
        "event_tokens",
        "Tokens an event",
        "hosted engines only",
        Input::Number,
    ),
    field(
        "batch_items",
        "Items a call",
        "batch pools only",
        Input::Number,
    ),
    field(
        "batch_call_ms",
        "Call (ms)",
        "batch pools only; beside its items",
        Input::Number,
    ),
    field(
        "batch_item_us",
        "Item (µs)",
        "batch pools only",
        Input::Number,
    ),
    field(
        "room_bytes",
        "Room (bytes)",
        "batch pools only; for results at one endpoint",
        Input::Number,
    ),
    field(
        "keep_ms",
        "Kept (ms)",
        "batch pools only; how long a result stays",
        Input::Number,
    ),
];

const PIPELINE: &[Field] = &[
    field(
        "stages",
        "Stages",
        "services in turn, separated by commas",
        Input::Text,
    ),
    field(
        "deadline_ms",
        "Deadline (ms)",
        "for requests that name none",
        Input::Number,
    ),
];

const WORKSPACE: &[Field] = &[
    field(
        "priority",
        "Priority",
        "0 (shed first) to 9 (shed last)",
        Input::Number,
    ),
    field(
        "pipelines",
        "Pipelines",
        "that it may call, separated by commas",
        Input::Text,
    ),
    field(
        "availability_zones",
        "Availability zones",
        "that it may use, separated by commas",
        Input::Text,
    ),
    field(
        "max_in_flight",
        "Most in flight",
        "requests at one gate",
        Input::Number,
    ),
    field(
        "keys",
        "Access keys",
        "SHA-256 of each, separated by commas; for routes",
        Input::Text,
    ),
];

const ROUTE: &[Field] = &[
    field("host", "Host", "that callers name", Input::Text),
    field(
        "path_prefix",
        "Path prefix",
        "begins and ends with a slash; the longest is taken",
        Input::Text,
    ),
    field(
        "answer",
        "Answer",
        "whole, or a stream of events",
        Input::Choice(&["", "whole", "stream"]),
    ),
    field(
        "repeat",
        "Repeat",
        "whether a request may run again after it may have run",
        Input::Choice(&["never", "anew", "from-last-event"]),
    ),
    field(
        "services",
        "Services",
        "SERVICE WEIGHT, separated by commas",
        Input::Text,
    ),
    field(
        "stages",
        "Stages",
        "SERVICE BYTES after 0+1, separated by commas",
        Input::Text,
    ),
    field(
        "attempts",
        "Attempts",
        "endpoints that may have a request",
        Input::Number,
    ),
    field(
        "priority",
        "Priority",
        "0 (shed first) to 9 (shed last)",
        Input::Number,
    ),
    field(
        "objective_ms",
        "Objective (ms)",
        "for the answer or its first event",
        Input::Number,
    ),
    field(
        "longest_ms",
        "Longest wait (ms)",
        "of a caller",
        Input::Number,
    ),
    field(
        "first_event_ms",
        "Longest wait for the first event (ms)",
        "of a stream; callers leave after it",
        Input::Number,
    ),
    field(
        "pause_ms",
        "Longest pause (ms)",
        "between events",
        Input::Number,
    ),
    field(
        "public",
        "Public",
        "needs no access key",
        Input::Choice(&["", "yes", "no"]),
    ),
    field(
        "affinity",
        "Affinity",
        "prompts share prefixes that endpoints keep",
        Input::Choice(&["", "yes", "no"]),
    ),
];

const LIMITS: &[Field] = &[
    field("head_bytes", "Head (bytes)", "of a request", Input::Number),
    field("body_bytes", "Body (bytes)", "of a request", Input::Number),
    field("head_ms", "Head (ms)", "for a whole head", Input::Number),
    field(
        "idle_ms",
        "Idle (ms)",
        "for which a connection is kept",
        Input::Number,
    ),
];

/// The fields of a kind of section; none for an unknown kind.
pub(crate) fn of_kind(kind: &str) -> &'static [Field] {
    match kind {
        "availability-zone" => AVAILABILITY_ZONE,
        "service" => SERVICE,
        "pipeline" => PIPELINE,
        "workspace" => WORKSPACE,
        "route" => ROUTE,
        "limits" => LIMITS,
        _ => &[],
    }
}

/// What was filled into a form.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Filled {
    /// The section edited.
    pub(crate) id: SectionId,
    /// Its content as filled in.
    pub(crate) text: SectionText,
    /// Whether the section is to be deleted.
    pub(crate) is_deletion: bool,
}

impl Filled {
    /// The section's content after the change.
    pub(crate) fn after(&self) -> Option<SectionText> {
        match self.is_deletion {
            true => None,
            false => Some(self.text.clone()),
        }
    }
}

/// Comment lines from a text area.
pub(crate) fn comment_lines(text: &str) -> Vec<String> {
    let lines = text.lines().map(|line| line.trim().to_owned());
    lines.filter(|line| !line.is_empty()).collect()
}
