//! `check`: faults and findings of a document, and what differs from another version.

use std::fmt::Write as _;

use declaration::{Declaration, Document, Finding, SectionChange, changes_between, diff, lint};
use host::exit::ExitCode;
use operators::KeeperApi;
use serde_json::json;

use crate::{
    args::{Against, Check, Config},
    error::VerbError,
    output::print,
    verbs::read_declaration,
};

/// The version that a document is compared with.
struct Base {
    label: String,
    document: Document,
}

/// Checks a file. The error lists all of its faults; findings are printed and are no error.
pub async fn check(cfg: &Config, api: &KeeperApi, check: &Check) -> Result<ExitCode, VerbError> {
    let (document, declaration) = read_declaration(&check.file)?;
    let base = read_base(api, check.against.as_ref()).await?;
    let name = check.file.display().to_string();
    let findings = lint(&declaration);
    let changes = base
        .as_ref()
        .map(|base| changes_between(&base.document, &document));
    print(
        cfg.json,
        &to_json(&declaration, &findings, changes.as_deref()),
        || {
            let mut text = summary(&name, &declaration);
            for finding in &findings {
                let _ = write!(text, "\n{name}: warning: {finding}");
            }
            if let Some(base) = &base {
                text.push_str(&difference(base, &document));
            }
            text
        },
    );
    Ok(ExitCode::Success)
}

async fn read_base(api: &KeeperApi, against: Option<&Against>) -> Result<Option<Base>, VerbError> {
    match against {
        None => Ok(None),
        Some(Against::File(file)) => Ok(Some(Base {
            label: file.display().to_string(),
            document: read_declaration(file)?.0,
        })),
        Some(Against::InForce) => {
            let current = api.declaration().await?;
            Ok(Some(Base {
                label: format!("revision {}", current.revision),
                document: current.document,
            }))
        }
    }
}

fn summary(name: &str, declaration: &Declaration) -> String {
    format!(
        "{name}: valid: {} availability zones, {} services, {} pipelines, {} workspaces",
        declaration.availability_zones.len(),
        declaration.services.len(),
        declaration.pipelines.len(),
        declaration.workspaces.len()
    )
}

fn difference(base: &Base, document: &Document) -> String {
    let label = &base.label;
    match diff(&base.document, document).trim_end() {
        "" => format!("\nno difference from {label}"),
        text => format!("\nagainst {label}:\n{text}"),
    }
}

/// Findings and changes are left out where there are none, so that programs that read the counts
/// see what they did before.
fn to_json(
    declaration: &Declaration,
    findings: &[Finding],
    changes: Option<&[SectionChange]>,
) -> serde_json::Value {
    let mut value = json!({
        "availability_zones": declaration.availability_zones.len(),
        "services": declaration.services.len(),
        "pipelines": declaration.pipelines.len(),
        "workspaces": declaration.workspaces.len(),
    });
    if !findings.is_empty() {
        value["warnings"] = json!(findings);
    }
    if let Some(changes) = changes {
        value["changes"] = json!(changes);
    }
    value
}
