//! `audit`: the trail of accepted changes.

use declaration::AuditRecord;
use host::{exit::ExitCode, output::print_line};
use operators::KeeperApi;

use crate::{
    args::Config,
    error::VerbError,
    output::{table, to_json},
};

/// Prints the trail from revision `from`, page by page.
pub async fn audit(cfg: &Config, api: &KeeperApi, from: u64) -> Result<ExitCode, VerbError> {
    let mut next = from;
    let mut records: Vec<AuditRecord> = Vec::new();
    loop {
        let page = api.audit(next).await?;
        let Some(last) = page.last() else {
            break;
        };
        next = last.revision + 1;
        records.extend(page);
    }
    if cfg.json {
        for record in &records {
            print_line(to_json(record));
        }
        return Ok(ExitCode::Success);
    }
    let rows: Vec<[String; 5]> = records.iter().map(row).collect();
    print_line(table(
        ["revision", "time (UTC)", "author", "sections", "reason"],
        &rows,
    ));
    Ok(ExitCode::Success)
}

fn row(record: &AuditRecord) -> [String; 5] {
    let sections: Vec<String> = record.sections.iter().map(|s| s.id.to_string()).collect();
    [
        record.revision.to_string(),
        host::time::format_utc(record.time_ms),
        record.author.clone(),
        sections.join(", "),
        record.reason.clone(),
    ]
}
