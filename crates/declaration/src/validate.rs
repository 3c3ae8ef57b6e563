//! Validation of names, and of relations between keys and between sections.
//!
//! The texts of all faults in this crate are part of replicated replies (`ChangeReply::Invalid`), whose
//! digests keepers compare; they must not differ between versions that run side by side.

use std::collections::{BTreeMap, BTreeSet};

use inifile::Faults;

use crate::{
    Declaration, SectionId, Service, ServiceKind,
    keys::{Keys, SourceLines, WORKSPACE},
    read_route::ROUTE,
};

const MAX_NAME_BYTES: usize = 63;

/// Checks that a name is short and valid in paths, headers and metric labels.
pub(crate) fn name(keys: &mut Keys<'_>, name: &str) {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.len() > MAX_NAME_BYTES || !name.chars().all(is_plain) {
        let what = format!(
            "`{name}` is no name; use at most {MAX_NAME_BYTES} letters, digits, `-`, `_` \
             or `.`"
        );
        keys.fault("", what);
    }
}

/// Checks the keys of a service together: only engines have models, roles and memory for models.
pub(crate) fn service(keys: &mut Keys<'_>, service: &Service) {
    let is_engine = service.kind == ServiceKind::Engine;
    match (&service.model, service.version) {
        (None, _) if is_engine => {
            keys.fault("model", "missing; an engine needs a model".to_owned());
        }
        (Some(_), None) if is_engine => {
            keys.fault("version", "missing; an engine needs a version".to_owned());
        }
        (Some(_), _) if !is_engine => {
            let what = "only an engine has a model; remove it or set `kind = engine`";
            keys.fault("model", what.to_owned());
        }
        _ => {}
    }
    roles(keys, service);
    memory(keys, service);
}

fn roles(keys: &mut Keys<'_>, service: &Service) {
    match service.roles {
        Some(_) if service.kind != ServiceKind::Engine => {
            let what = "only an engine has roles; remove it or set `kind = engine`";
            keys.fault("prefill_percent", what.to_owned());
        }
        Some(roles) if roles.prefill + roles.decode > 100 => {
            let what = "prefill and decode together exceed 100; lower one of them";
            keys.fault("decode_percent", what.to_owned());
        }
        _ => {}
    }
}

fn memory(keys: &mut Keys<'_>, service: &Service) {
    let has_any = service.model_mb.or(service.endpoint_mb).is_some();
    match (service.model_mb, service.endpoint_mb) {
        _ if has_any && service.kind != ServiceKind::Engine => {
            let what = "only an engine has memory for models; remove it or set `kind = engine`";
            let key = service.model_mb.map_or("endpoint_mb", |_| "model_mb");
            keys.fault(key, what.to_owned());
        }
        (Some(model), Some(endpoint)) if model > endpoint => {
            let what = format!("the model does not fit into `endpoint_mb = {endpoint}`; lower it");
            keys.fault("model_mb", what);
        }
        _ => {}
    }
}

/// Checks that all referenced names are declared, and that lists, route prefixes and access keys have
/// no duplicates.
pub(crate) fn references(declaration: &Declaration, lines: &SourceLines<'_>, faults: &mut Faults) {
    for name in declaration.pipelines.keys() {
        pipeline_references(declaration, name, lines, faults);
    }
    for name in declaration.workspaces.keys() {
        workspace_references(declaration, name, lines, faults);
    }
    for name in declaration.routes.keys() {
        route_references(declaration, name, lines, faults);
    }
    duplicate_prefixes(declaration, lines, faults);
    duplicate_access_keys(declaration, lines, faults);
}

/// Like [`references`], for the `changed` sections only. Duplicates among all routes or workspaces are
/// checked once, not per section, since a change may contain thousands.
pub(crate) fn changed_references<'a>(
    declaration: &Declaration,
    changed: impl Iterator<Item = &'a SectionId> + Clone,
    lines: &SourceLines<'_>,
    faults: &mut Faults,
) {
    for id in changed.clone() {
        section_references(declaration, id, lines, faults);
    }
    let mut kinds = changed.map(|id| id.kind.as_str());
    if kinds.clone().any(|kind| kind == ROUTE) {
        duplicate_prefixes(declaration, lines, faults);
    }
    if kinds.any(|kind| kind == WORKSPACE) {
        duplicate_access_keys(declaration, lines, faults);
    }
}

/// Checks the names that section `id` refers to.
fn section_references(
    declaration: &Declaration,
    id: &SectionId,
    lines: &SourceLines<'_>,
    faults: &mut Faults,
) {
    match id.kind.as_str() {
        "pipeline" => pipeline_references(declaration, &id.name, lines, faults),
        WORKSPACE => workspace_references(declaration, &id.name, lines, faults),
        ROUTE => route_references(declaration, &id.name, lines, faults),
        _ => {}
    }
}

/// Checks that a route's services are declared, and that its stages are batch pools that depend on
/// earlier stages only.
fn route_references(
    declaration: &Declaration,
    name: &str,
    lines: &SourceLines<'_>,
    faults: &mut Faults,
) {
    let Some(route) = declaration.routes.get(name) else {
        return;
    };
    let id = format!("route {name}");
    let mut fault = |key: &str, what: String| faults.0.push(lines.fault(&id, key, what));
    for service in route.services.iter().map(|s| &s.service) {
        if !declaration.services.contains_key(service) {
            let what = format!("service `{service}` is not declared; add `[service {service}]`");
            fault("services", what);
        }
    }
    for (number, stage) in route.stages.iter().enumerate() {
        let service = &stage.service;
        match declaration.services.get(service).map(|s| s.kind) {
            Some(ServiceKind::BatchPool) => {}
            Some(_) => fault("stages", format!("`{service}` is no batch pool; name one")),
            None => {
                let what =
                    format!("service `{service}` is not declared; add `[service {service}]`");
                fault("stages", what);
            }
        }
        if stage.after.iter().any(|after| *after >= number) {
            let what = format!("stage {number} can only come after stages below {number}");
            fault("stages", what);
        }
    }
}

/// Checks that no two routes have the same host and path prefix.
fn duplicate_prefixes(declaration: &Declaration, lines: &SourceLines<'_>, faults: &mut Faults) {
    let mut seen: BTreeMap<(&str, &str), &str> = BTreeMap::new();
    for (name, route) in &declaration.routes {
        let prefix = (route.host.as_str(), route.path_prefix.as_str());
        if let Some(other) = seen.insert(prefix, name) {
            let what = format!("route `{other}` has the same host and prefix; change one of them");
            let fault = lines.fault(&format!("route {name}"), "path_prefix", what);
            faults.0.push(fault);
        }
    }
}

/// Checks that no access key belongs to two workspaces.
fn duplicate_access_keys(declaration: &Declaration, lines: &SourceLines<'_>, faults: &mut Faults) {
    let mut seen: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, workspace) in &declaration.workspaces {
        for key in &workspace.keys {
            let other = seen.insert(&key.0, name).filter(|other| other != name);
            if let Some(other) = other {
                let what = format!("workspace `{other}` has the same key; give each its own");
                faults
                    .0
                    .push(lines.fault(&format!("workspace {name}"), "keys", what));
            }
        }
    }
}

fn pipeline_references(
    declaration: &Declaration,
    name: &str,
    lines: &SourceLines<'_>,
    faults: &mut Faults,
) {
    let Some(pipeline) = declaration.pipelines.get(name) else {
        return;
    };
    let stages = NameList {
        id: &format!("pipeline {name}"),
        key: "stages",
        names: &pipeline.stages,
        kind: "service",
    };
    stages.check(lines, faults, |n| declaration.services.contains_key(n));
}

fn workspace_references(
    declaration: &Declaration,
    name: &str,
    lines: &SourceLines<'_>,
    faults: &mut Faults,
) {
    let Some(workspace) = declaration.workspaces.get(name) else {
        return;
    };
    let id = &format!("workspace {name}");
    let pipelines = NameList {
        id,
        key: "pipelines",
        names: &workspace.pipelines,
        kind: "pipeline",
    };
    pipelines.check(lines, faults, |n| declaration.pipelines.contains_key(n));
    let zones = NameList {
        id,
        key: "availability_zones",
        names: &workspace.availability_zones,
        kind: "availability-zone",
    };
    let is_declared = |n: &str| declaration.availability_zones.contains_key(n);
    zones.check(lines, faults, is_declared);
}

/// A list of names of other sections.
struct NameList<'a> {
    id: &'a str,
    key: &'a str,
    names: &'a [String],
    /// Kind of the sections that the names refer to.
    kind: &'a str,
}

impl NameList<'_> {
    fn check(
        &self,
        lines: &SourceLines<'_>,
        faults: &mut Faults,
        is_declared: impl Fn(&str) -> bool,
    ) {
        let mut seen = BTreeSet::new();
        for name in self.names.iter().filter(|n| !n.is_empty()) {
            if !is_declared(name) {
                let kind = self.kind;
                let text =
                    format!("{kind} `{name}` is not declared; add `[{kind} {name}]` or remove it");
                faults.0.push(lines.fault(self.id, self.key, text));
            }
            if !seen.insert(name) {
                let text = format!("`{name}` stands twice; keep one");
                faults.0.push(lines.fault(self.id, self.key, text));
            }
        }
    }
}
