//! Reading a document and turning its sections into types.

use std::{sync::Arc, time::Duration};

use inifile::{Fault, Faults, Section};

use crate::{
    AvailabilityZone, Declaration, Document, KeyDigest, Pipeline, Priority, RoleShares, SectionId,
    SectionText, Service, ServiceKind, Workspace,
    keys::{Keys, Lines, WORKSPACE},
    read_route, validate,
};

/// Deadline of a pipeline that declares none.
const DEFAULT_DEADLINE_MS: u64 = 3_000;
/// Longest deadline that may be declared.
const MAX_DEADLINE_MS: u64 = 600_000;
const DEFAULT_MAX_IN_FLIGHT: u64 = 100;
const MAX_IN_FLIGHT: u64 = 1_000_000;
const DEFAULT_PRIORITY: u64 = 1;
const DEFAULT_MAX_TOKENS: u64 = 256;
const MAX_TOKENS: u64 = 1_000_000;

/// Reads sections with duplicates as faults.
pub(crate) fn document(file: &str, bytes: &[u8]) -> Result<Document, Faults> {
    let (document, faults) = collect(file, &inifile::parse(file, bytes)?);
    faults.into_result().map(|()| document)
}

impl Declaration {
    /// Reads, types and validates a declaration; every fault is listed.
    pub fn read(file: &str, bytes: &[u8]) -> Result<Self, Faults> {
        let sections = inifile::parse(file, bytes)?;
        let (document, mut faults) = collect(file, &sections);
        let lines = Lines::new(file, &sections);
        let declaration = typed(&document, &lines, &mut faults);
        validate::references(&declaration, &lines, &mut faults);
        faults.into_result().map(|()| declaration)
    }

    /// Types and validates a document that was read before; lines refer to its canonical text,
    /// which is made only where there are faults to place in it.
    pub fn from_document(document: &Document) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        let lines = Lines::new("declaration", &[]);
        let declaration = typed(document, &lines, &mut faults);
        validate::references(&declaration, &lines, &mut faults);
        match faults.0.is_empty() {
            true => Ok(declaration),
            false => Self::read("declaration", document.write().as_bytes()),
        }
    }
}

fn collect(file: &str, sections: &[Section]) -> (Document, Faults) {
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

fn typed(document: &Document, lines: &Lines<'_>, faults: &mut Faults) -> Declaration {
    let mut out = Declaration::default();
    for (id, text) in &document.sections {
        section(&mut out, id, text, lines, faults);
    }
    out
}

/// Types one section and puts it into `out`, in place of the one of the same kind and name.
pub(crate) fn section(
    out: &mut Declaration,
    id: &SectionId,
    text: &SectionText,
    lines: &Lines<'_>,
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

/// Shares by role, which stand together or not at all.
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

fn read_workspace(keys: &mut Keys<'_>) -> Workspace {
    let workspace = Workspace {
        priority: Priority(
            keys.number("priority", DEFAULT_PRIORITY, 0, u64::from(Priority::MAX)) as u8,
        ),
        pipelines: keys.list("pipelines"),
        availability_zones: keys.list("availability_zones"),
        max_in_flight: keys.number("max_in_flight", DEFAULT_MAX_IN_FLIGHT, 1, MAX_IN_FLIGHT) as u32,
        keys: keys.list("keys").into_iter().map(KeyDigest).collect(),
    };
    if !workspace.keys.iter().all(KeyDigest::is_well_formed) {
        let what = "not a list of digests; write the SHA-256 of each key in lowercase hexadecimal";
        keys.fault("keys", what.to_owned());
    }
    // Routes name no workspace: whoever has a key may use all that aren't public.
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
