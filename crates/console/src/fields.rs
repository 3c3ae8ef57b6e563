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
pub(crate) const KINDS: [&str; 4] = ["availability-zone", "service", "pipeline", "workspace"];

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
        Input::Choice(&["engine", "encoder", "retriever", "reranker", "plain"]),
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
];

/// The fields of a kind of section; none for an unknown kind.
pub(crate) fn of_kind(kind: &str) -> &'static [Field] {
    match kind {
        "availability-zone" => AVAILABILITY_ZONE,
        "service" => SERVICE,
        "pipeline" => PIPELINE,
        "workspace" => WORKSPACE,
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
