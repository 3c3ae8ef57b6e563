//! The audit trail with search.

use declaration::{AuditRecord, section_diff};
use maud::html;
use salvo::{Response, http::StatusCode};

use super::layout::{difference, page};

/// Renders the records that `search` is found in, newest first.
pub(crate) fn render(res: &mut Response, records: &[AuditRecord], search: &str, from: u64) {
    let found: Vec<&AuditRecord> = records
        .iter()
        .rev()
        .filter(|r| is_found(r, search))
        .collect();
    let content = html! {
        form.card method="get" action="/audit" {
            label for="q" { "Search " span.hint { "author, reason, section, key, value or change id" } }
            input #q name="q" value=(search);
            label for="from" { "From revision" }
            input #from name="from" value=(from) inputmode="numeric";
            button { "Search" }
        }
        p { (found.len()) " of " (records.len()) " records" }
        table {
            tr { th { "Revision" } th { "Time (UTC)" } th { "Who" } th { "Why" } th { "What" } }
            @for record in found {
                tr {
                    td { (record.revision) }
                    td { (host::time::format_utc(record.time_ms)) }
                    td { (record.author) }
                    td { (record.reason) }
                    td {
                        @for s in &record.sections {
                            (difference(&section_diff(&s.id, s.before.as_ref(), s.after.as_ref())))
                        }
                    }
                }
            }
        }
    };
    page(res, StatusCode::OK, "Audit trail", &content);
}

fn is_found(record: &AuditRecord, search: &str) -> bool {
    let search = search.trim().to_lowercase();
    let sections = record.sections.iter();
    let sections: Vec<String> = sections
        .map(|s| section_diff(&s.id, s.before.as_ref(), s.after.as_ref()))
        .collect();
    let all = format!(
        "{} {} {} {}",
        record.author,
        record.reason,
        record.change,
        sections.join(" ")
    );
    search.is_empty() || all.to_lowercase().contains(&search)
}
