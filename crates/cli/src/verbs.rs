//! The verbs that check, show and change the declaration and the keeper group.

use std::{fs, path::Path};

use declaration::{Declaration, Document, SectionChange};
use host::exit::ExitCode;
use operators::{KeeperApi, MemberRequest, Submission};
use serde_json::json;
use uuid::Uuid;

use crate::{
    args::{Apply, Config, Revert},
    error::VerbError,
    output::print,
};

/// Lists every fault of a file.
pub fn check(cfg: &Config, file: &Path) -> Result<ExitCode, VerbError> {
    let (_, declared) = read(file)?;
    let counts = json!({
        "availability_zones": declared.availability_zones.len(),
        "services": declared.services.len(),
        "pipelines": declared.pipelines.len(),
        "workspaces": declared.workspaces.len(),
    });
    print(cfg.json, &counts, || {
        format!(
            "{}: valid: {} availability zones, {} services, {} pipelines, {} workspaces",
            file.display(),
            declared.availability_zones.len(),
            declared.services.len(),
            declared.pipelines.len(),
            declared.workspaces.len()
        )
    });
    Ok(ExitCode::Success)
}

/// Shows what a file would change.
pub async fn diff(cfg: &Config, api: &KeeperApi, file: &Path) -> Result<ExitCode, VerbError> {
    let (document, _) = read(file)?;
    let declared = api.declaration().await?;
    let sections = declaration::changes_between(&declared.document, &document);
    let value = json!({ "base_revision": declared.revision, "sections": sections });
    print(cfg.json, &value, || match sections.is_empty() {
        true => format!("no difference from revision {}", declared.revision),
        false => format!(
            "against revision {}:\n{}",
            declared.revision,
            declaration::diff(&declared.document, &document).trim_end()
        ),
    });
    Ok(ExitCode::Success)
}

/// Submits a file.
pub async fn apply(cfg: &Config, api: &KeeperApi, apply: &Apply) -> Result<ExitCode, VerbError> {
    let (document, _) = read(&apply.file)?;
    announce(apply.change);
    let base_revision = match apply.base {
        Some(base) => base,
        None => api.declaration().await?.revision,
    };
    let submission = Submission {
        change: apply.change,
        base_revision,
        author: apply.author.clone(),
        reason: apply.reason.clone(),
        document: Some(document.write()),
        sections: None,
    };
    submit(cfg, api, &submission).await
}

/// Undoes one change: its sections get back what they held before, unless they changed since.
pub async fn revert(cfg: &Config, api: &KeeperApi, revert: &Revert) -> Result<ExitCode, VerbError> {
    announce(revert.change);
    let trail = api.audit(revert.revision).await?;
    let record = trail
        .first()
        .filter(|record| record.revision == revert.revision);
    let record = record.ok_or(VerbError::NoRevision(revert.revision))?;
    let sections = record.sections.iter().map(|section| SectionChange {
        id: section.id.clone(),
        after: section.before.clone(),
    });
    let submission = Submission {
        change: revert.change,
        base_revision: revert.revision,
        author: revert.author.clone(),
        reason: revert.reason.clone(),
        document: None,
        sections: Some(sections.collect()),
    };
    submit(cfg, api, &submission).await
}

/// Prints the change id before anything is sent, so that an interrupted run can be sent again.
fn announce(change: Uuid) {
    eprintln!("change {change}");
}

/// Submits a change.
async fn submit(
    cfg: &Config,
    api: &KeeperApi,
    submission: &Submission,
) -> Result<ExitCode, VerbError> {
    let accepted = match api.submit(submission).await {
        Ok(accepted) => accepted,
        Err(e) => {
            if matches!(e, operators::ApiError::Unavailable { .. }) {
                eprintln!(
                    "the change may have been accepted; resend it with --change {}",
                    submission.change
                );
            }
            return Err(e.into());
        }
    };
    let value = json!({
        "change": submission.change,
        "revision": accepted.revision,
        "applied": accepted.applied,
    });
    print(cfg.json, &value, || match accepted.applied {
        true => format!("accepted as revision {}", accepted.revision),
        false => format!("was accepted before as revision {}", accepted.revision),
    });
    Ok(ExitCode::Success)
}

/// Prints the declaration in force.
pub async fn export(cfg: &Config, api: &KeeperApi) -> Result<ExitCode, VerbError> {
    let declared = api.declaration().await?;
    print(cfg.json, &declared_json(&declared), || {
        declared.document.write().trim_end().to_owned()
    });
    Ok(ExitCode::Success)
}

fn declared_json(declared: &operators::CurrentDeclaration) -> serde_json::Value {
    json!({ "revision": declared.revision, "document": declared.document.write() })
}

/// Changes the keeper group.
pub async fn keeper(
    cfg: &Config,
    api: &KeeperApi,
    req: &MemberRequest,
) -> Result<ExitCode, VerbError> {
    api.change_members(req).await?;
    print(cfg.json, &json!({ "done": req }), || "done".to_owned());
    Ok(ExitCode::Success)
}

fn read(file: &Path) -> Result<(Document, Declaration), VerbError> {
    let name = file.display().to_string();
    let bytes = fs::read(file).map_err(|e| VerbError::File {
        path: name.clone(),
        reason: e.to_string(),
    })?;
    let declared = Declaration::read(&name, &bytes)?;
    Ok((Document::read(&name, &bytes)?, declared))
}
