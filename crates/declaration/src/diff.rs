//! Text diff between two documents.

use similar::{ChangeTag, TextDiff};

use crate::{Document, SectionId, SectionText, changes_between, document::write_section};

/// Returns the changed sections in full, with `-` and `+` before changed lines; empty if nothing
/// changed.
pub fn diff(before: &Document, after: &Document) -> String {
    let changes = changes_between(before, after);
    let sections = changes.iter().map(|change| {
        section_diff(
            &change.id,
            before.sections.get(&change.id),
            change.after.as_ref(),
        )
    });
    sections.collect::<Vec<String>>().join("\n")
}

/// Returns the diff of one section, with `-` and `+` before changed lines.
pub fn section_diff(
    id: &SectionId,
    before: Option<&SectionText>,
    after: Option<&SectionText>,
) -> String {
    let text = |section: Option<&SectionText>| {
        let mut out = String::new();
        if let Some(section) = section {
            write_section(&mut out, id, section);
        }
        out
    };
    let (before, after) = (text(before), text(after));
    let lines = TextDiff::from_lines(before.as_str(), after.as_str());
    let mut out = String::new();
    for change in lines.iter_all_changes() {
        out.push_str(match change.tag() {
            ChangeTag::Delete => "- ",
            ChangeTag::Insert => "+ ",
            ChangeTag::Equal => "  ",
        });
        out.push_str(change.value());
    }
    out
}
