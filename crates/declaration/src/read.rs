//! Parsing of documents and of their sections.

use std::{sync::Arc, time::Duration};

use inifile::{Fault, Faults, Section};

use crate::{
    AvailabilityZone, Declaration, Document, KeyDigest, Pipeline, Priority, RoleShares, SectionId,
    SectionText, Service, ServiceKind, Workspace,
    keys::{Keys, SourceLines, WORKSPACE},
    label, read_route, validate,
};

/// Deadline of a pipeline that does not declare one.
const DEFAULT_DEADLINE_MS: u64 = 3_000;
/// Maximum deadline of a pipeline.
const MAX_DEADLINE_MS: u64 = 600_000;
const DEFAULT_MAX_IN_FLIGHT: u64 = 100;
const MAX_IN_FLIGHT: u64 = 1_000_000;
const DEFAULT_PRIORITY: u64 = 1;
const DEFAULT_MAX_TOKENS: u64 = 256;
const MAX_TOKENS: u64 = 1_000_000;

/// Parses a document; duplicate sections and keys are faults.
pub(crate) fn document(file: &str, bytes: &[u8]) -> Result<Document, Faults> {
    let (document, faults) = collect_sections(file, &inifile::parse(file, bytes)?);
    faults.into_result().map(|()| document)
}

impl Declaration {
    /// Parses and validates a declaration from INI text; reports all faults.
    pub fn read(file: &str, bytes: &[u8]) -> Result<Self, Faults> {
        let sections = inifile::parse(file, bytes)?;
        let (document, mut faults) = collect_sections(file, &sections);
        let lines = SourceLines::new(file, &sections);
        let declaration = parse_sections(&document, &lines, &mut faults);
        validate::references(&declaration, &lines, &mut faults);
        faults.into_result().map(|()| declaration)
    }

    /// Parses and validates a document. Faults refer to lines of its canonical text, which is written
    /// only if there are faults.
    pub fn from_document(document: &Document) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        let lines = SourceLines::new("declaration", &[]);
        let declaration = parse_sections(document, &lines, &mut faults);
        validate::references(&declaration, &lines, &mut faults);
        match faults.0.is_empty() {
            true => Ok(declaration),
            false => Self::read("declaration", document.write().as_bytes()),
        }
    }
}

fn collect_sections(file: &str, sections: &[Section]) -> (Document, Faults) {
    let mut document = Document::default();
    let mut faults = Faults::default();
    for section in sections {
        let fault = |line, key: &str, what: String| Fault {
            file: file.to_owned(),
            line,
            section: section.name.clone(),
            key: key.to_owned(),
            what,
        };
        let id: SectionId = match section.name.parse() {
            Ok(id) => id,
            Err(what) => {
                faults.0.push(fault(section.line, "", what));
                continue;
            }
        };
        if document.sections.contains_key(&id) {
            let what = "section stands twice; keep one".to_owned();
            faults.0.push(fault(section.line, "", what));
            continue;
        }
        let mut text = SectionText {
            comments: section.comments.clone(),
            ..SectionText::default()
        };
        for entry in &section.entries {
            let old = text.entries.insert(entry.key.clone(), entry.value.clone());
            if old.is_some() {
                let what = "key stands twice; keep one".to_owned();
                faults.0.push(fault(entry.line, &entry.key, what));
            }
        }
        document.sections.insert(id, text);
    }
    (document, faults)
}

fn parse_sections(
    document: &Document,
    lines: &SourceLines<'_>,
    faults: &mut Faults,
) -> Declaration {
    let mut out = Declaration::default();
    for (id, text) in &document.sections {
        parse_section(&mut out, id, text, lines, faults);
    }
    out
}

/// Parses one section and puts it into `out`, replacing the one of the same kind and name.
pub(crate) fn parse_section(
    out: &mut Declaration,
    id: &SectionId,
    text: &SectionText,
    lines: &SourceLines<'_>,
    faults: &mut Faults,
) {
    let name = id.name.clone();
    let mut keys = Keys::new(id, text, lines, faults);
    validate::name(&mut keys, &name);
    match id.kind.as_str() {
        "availability-zone" => {
            let az = AvailabilityZone {
                region: keys.required("region"),
            };
            out.availability_zones.insert(name, az);
        }
        "service" => {
            let service = read_service(&mut keys);
            out.services.insert(name, service);
        }
        "pipeline" => {
            let pipeline = read_pipeline(&mut keys);
            out.pipelines.insert(name, pipeline);
        }
        WORKSPACE => {
            let workspace = read_workspace(&mut keys);
            out.workspaces.insert(name, workspace);
        }
        read_route::ROUTE => {
            let route = read_route::route(&mut keys);
            out.routes.insert(name, Arc::new(route));
        }
        read_route::LIMITS => out.callers = read_route::limits(&mut keys, &name),
        _ => keys.unknown_section(),
    }
    keys.finish();
}

fn read_service(keys: &mut Keys<'_>) -> Service {
    let kind = match keys.required("kind").as_str() {
        "engine" => ServiceKind::Engine,
        "encoder" => ServiceKind::Encoder,
        "retriever" => ServiceKind::Retriever,
        "reranker" => ServiceKind::Reranker,
        "plain" | "" => ServiceKind::Plain,
        "hosted-engine" => ServiceKind::HostedEngine,
        "batch-pool" => ServiceKind::BatchPool,
        other => {
            let what = format!(
                "`{other}` is no kind; use engine, encoder, retriever, reranker, plain, \
                 hosted-engine or batch-pool"
            );
            keys.fault("kind", what);
            ServiceKind::Plain
        }
    };
    let service = Service {
        kind,
        repeatable: keys.yes_or_no("repeatable"),
        model: keys.optional("model"),
        version: keys
            .optional_number("version", 1, u64::from(u32::MAX))
            .map(|n| n as u32),
        adapters: keys.list("adapters"),
        max_tokens: keys.number("max_tokens", DEFAULT_MAX_TOKENS, 1, MAX_TOKENS) as u32,
        roles: read_roles(keys),
        model_mb: keys.megabytes("model_mb"),
        endpoint_mb: keys.megabytes("endpoint_mb"),
        capacity: read_route::capacity(keys),
    };
    validate::service(keys, &service);
    service
}

/// Reads the shares by role, of which both or neither must be declared.
fn read_roles(keys: &mut Keys<'_>) -> Option<RoleShares> {
    const KEYS: [&str; 2] = ["prefill_percent", "decode_percent"];
    let [prefill, decode] = KEYS.map(|key| keys.optional_number(key, 1, 99).map(|n| n as u8));
    match (prefill, decode) {
        (Some(prefill), Some(decode)) => Some(RoleShares { prefill, decode }),
        (Some(_), None) => {
            let what = "missing; prefill needs endpoints that decode: add `decode_percent = …`";
            keys.fault(KEYS[1], what.to_owned());
            None
        }
        (None, Some(_)) => {
            let what = "missing; decode needs endpoints that prefill: add `prefill_percent = …`";
            keys.fault(KEYS[0], what.to_owned());
            None
        }
        (None, None) => None,
    }
}

fn read_pipeline(keys: &mut Keys<'_>) -> Pipeline {
    let stages = keys.list("stages");
    if stages.is_empty() {
        keys.fault("stages", "no stage; name at least one service".to_owned());
    }
    let deadline = keys.number("deadline_ms", DEFAULT_DEADLINE_MS, 1, MAX_DEADLINE_MS);
    Pipeline {
        stages,
        deadline: Duration::from_millis(deadline),
    }
}

/// Length up to which a fault shows a label.
const SHOWN_LABEL_CHARS: usize = 63;

fn read_label(keys: &mut Keys<'_>) -> Option<String> {
    let text = keys.optional("label")?;
    let decoded = label::decode(&text);
    if decoded.is_none() {
        let start: String = text.chars().take(SHOWN_LABEL_CHARS).collect();
        let what = format!(
            "`{start}` is no label; use at most {} bytes without control characters, no white space at either \
             end, `%25` for a percent sign and `%5C` for a backslash",
            label::MAX_BYTES
        );
        keys.fault("label", what);
    }
    decoded
}

fn read_workspace(keys: &mut Keys<'_>) -> Workspace {
    let workspace = Workspace {
        priority: Priority(
            keys.number("priority", DEFAULT_PRIORITY, 0, u64::from(Priority::MAX)) as u8,
        ),
        pipelines: keys.list("pipelines"),
        availability_zones: keys.list("availability_zones"),
        max_in_flight: keys.number("max_in_flight", DEFAULT_MAX_IN_FLIGHT, 1, MAX_IN_FLIGHT) as u32,
        keys: keys.list("keys").into_iter().map(KeyDigest).collect(),
        label: read_label(keys),
    };
    if !workspace.keys.iter().all(KeyDigest::is_well_formed) {
        let what = "not a list of digests; write the SHA-256 of each key in lowercase hexadecimal";
        keys.fault("keys", what.to_owned());
    }
    // Routes don't name workspaces: every access key is valid for all routes that aren't public.
    if !workspace.keys.is_empty() && workspace.pipelines.is_empty() {
        return workspace;
    }
    if workspace.pipelines.is_empty() {
        keys.fault("pipelines", "no pipeline; name at least one".to_owned());
    }
    if workspace.availability_zones.is_empty() {
        let what = "no availability zone; name at least one".to_owned();
        keys.fault("availability_zones", what);
    }
    workspace
}
