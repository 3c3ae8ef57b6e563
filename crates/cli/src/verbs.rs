//! Verbs that show and change the declaration, and that change the keeper group.

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

/// Shows what a file would change in the declaration in force.
pub async fn diff(cfg: &Config, api: &KeeperApi, file: &Path) -> Result<ExitCode, VerbError> {
    let (document, _) = read_declaration(file)?;
    let current = api.declaration().await?;
    let sections = declaration::changes_between(&current.document, &document);
    let value = json!({ "base_revision": current.revision, "sections": sections });
    print(cfg.json, &value, || match sections.is_empty() {
        true => format!("no difference from revision {}", current.revision),
        false => format!(
            "against revision {}:\n{}",
            current.revision,
            declaration::diff(&current.document, &document).trim_end()
        ),
    });
    Ok(ExitCode::Success)
}

/// Submits a file as the whole declaration.
pub async fn apply(cfg: &Config, api: &KeeperApi, apply: &Apply) -> Result<ExitCode, VerbError> {
    let (document, _) = read_declaration(&apply.file)?;
    print_change_id(apply.change);
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

/// Undoes one change by restoring the content that its sections had before. Conflicts if one of
/// them has changed since.
pub async fn revert(cfg: &Config, api: &KeeperApi, revert: &Revert) -> Result<ExitCode, VerbError> {
    print_change_id(revert.change);
    let page = api.audit(revert.revision).await?;
    let record = page
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

/// Prints the change id before anything is sent, so that an interrupted run can be repeated with it.
fn print_change_id(change: Uuid) {
    eprintln!("change {change}");
}

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
    let current = api.declaration().await?;
    print(cfg.json, &to_json(&current), || {
        current.document.write().trim_end().to_owned()
    });
    Ok(ExitCode::Success)
}

fn to_json(current: &operators::CurrentDeclaration) -> serde_json::Value {
    json!({ "revision": current.revision, "document": current.document.write() })
}

/// Adds, promotes or removes a keeper.
pub async fn keeper(
    cfg: &Config,
    api: &KeeperApi,
    req: &MemberRequest,
) -> Result<ExitCode, VerbError> {
    api.change_members(req).await?;
    print(cfg.json, &json!({ "done": req }), || "done".to_owned());
    Ok(ExitCode::Success)
}

/// Reads a document and the declaration that it holds; the error lists all of its faults.
pub(crate) fn read_declaration(file: &Path) -> Result<(Document, Declaration), VerbError> {
    let name = file.display().to_string();
    let bytes = fs::read(file).map_err(|e| VerbError::File {
        path: name.clone(),
        reason: e.to_string(),
    })?;
    let declaration = Declaration::read(&name, &bytes)?;
    Ok((Document::read(&name, &bytes)?, declaration))
}
