//! Form fields for each kind of section.

use declaration::{SectionId, SectionText};

/// Input type of a field.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Input {
    /// Any text.
    Text,
    /// A whole number.
    Number,
    /// One of a few options; the empty option leaves the key out.
    Choice(&'static [&'static str]),
}

/// Form field of one key of a section.
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

/// Kinds of section, in the order in which the console lists them.
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
    "region that it is in",
    Input::Text,
)];

const SERVICE: &[Field] = &[
    field(
        "kind",
        "Kind",
        "type of its endpoints",
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
        "Max. tokens",
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
        "HTTP path of the endpoints' health check",
        Input::Text,
    ),
    field(
        "connections",
        "Connections",
        "maximum at one endpoint, for all callers together",
        Input::Number,
    ),
    field(
        "slots",
        "Slots",
        "calls that one endpoint runs at the same time",
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
        "cold_per_second",
        "Cold (requests/s)",
        "that one endpoint handles while it is cold; a decimal",
        Input::Text,
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
        "batch pools only; without its items",
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
        "Keep (ms)",
        "batch pools only; time that a result is kept",
        Input::Number,
    ),
];

const PIPELINE: &[Field] = &[
    field(
        "stages",
        "Stages",
        "services in order, separated by commas",
        Input::Text,
    ),
    field(
        "deadline_ms",
        "Deadline (ms)",
        "for requests without one",
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
        "Max. in flight",
        "requests at one gate",
        Input::Number,
    ),
    field(
        "keys",
        "Access keys",
        "SHA-256 of each, separated by commas; for routes",
        Input::Text,
    ),
    field(
        "label",
        "Label",
        "name that endpoints are told, if another; for routes",
        Input::Text,
    ),
];

const ROUTE: &[Field] = &[
    field(
        "host",
        "Host",
        "host name in callers' requests",
        Input::Text,
    ),
    field(
        "path_prefix",
        "Path prefix",
        "starts and ends with a slash; the longest match applies",
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
        "if and how a request that may have run is run again",
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
        "maximum number of endpoints tried for a request",
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
        "of a stream; callers disconnect after it",
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
        "prompts share prefixes that endpoints cache",
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
        "time that an idle connection stays open",
        Input::Number,
    ),
];

/// Returns the fields of a kind of section; empty for an unknown kind.
pub(crate) fn fields_of_kind(kind: &str) -> &'static [Field] {
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

/// Content of a submitted form.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FormContent {
    /// Section that the form edits.
    pub(crate) id: SectionId,
    /// Content of the section as entered.
    pub(crate) text: SectionText,
    /// True if the form deletes the section.
    pub(crate) is_deletion: bool,
}

impl FormContent {
    /// Returns the section's content after the change, `None` if it is deleted.
    pub(crate) fn section_after(&self) -> Option<SectionText> {
        match self.is_deletion {
            true => None,
            false => Some(self.text.clone()),
        }
    }
}

/// Splits the text of a text area into trimmed, non-empty comment lines.
pub(crate) fn comment_lines(text: &str) -> Vec<String> {
    let lines = text.lines().map(|line| line.trim().to_owned());
    lines.filter(|line| !line.is_empty()).collect()
}
