//! Strict parser for submitted changes: an unknown field is an error, and so is a section without
//! `after`, which would otherwise be read as a deletion.

use std::collections::BTreeMap;

use declaration::{SectionChange, SectionId, SectionText};
use operators::Submission;
use serde::{Deserialize, Deserializer};
use uuid::Uuid;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    change: Uuid,
    base_revision: u64,
    #[serde(default)]
    author: String,
    reason: String,
    #[serde(default)]
    document: Option<String>,
    #[serde(default)]
    sections: Option<Vec<Section>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Section {
    id: Id,
    #[serde(deserialize_with = "required_option")]
    after: Option<Text>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Id {
    kind: String,
    name: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Text {
    entries: BTreeMap<String, String>,
    #[serde(default)]
    comments: Vec<String>,
}

/// Accepts `null` or a value; a missing field is an error because of `deserialize_with`.
fn required_option<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Text>, D::Error> {
    Option::deserialize(deserializer)
}

/// Parses the body of `POST /v1/changes`.
pub fn parse(bytes: &[u8]) -> Result<Submission, String> {
    let body: Body = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    if body.document.is_some() == body.sections.is_some() {
        return Err("give exactly one of `document` and `sections`".to_owned());
    }
    let sections = body
        .sections
        .map(|s| s.into_iter().map(section_change).collect());
    Ok(Submission {
        change: body.change,
        base_revision: body.base_revision,
        author: body.author,
        reason: body.reason,
        document: body.document,
        sections,
    })
}

fn section_change(section: Section) -> SectionChange {
    SectionChange {
        id: SectionId {
            kind: section.id.kind,
            name: section.id.name,
        },
        after: section.after.map(|text| SectionText {
            entries: text.entries,
            comments: text.comments,
        }),
    }
}
