//! Page with the form of one section next to the whole document.

use declaration::Fault;
use link::follower::ActiveDeclaration;
use maud::{Markup, html};
use salvo::{Response, http::StatusCode};

use super::layout::page;
use crate::{
    change::Draft,
    fields::{Field, Input, fields_of_kind},
    session::Session,
};

/// Renders the form with the draft's values and each fault at its field.
pub(crate) fn render(
    res: &mut Response,
    status: StatusCode,
    session: &Session,
    in_force: &ActiveDeclaration,
    draft: &Draft,
    faults: &[Fault],
) {
    let id = &draft.form.id;
    let title = match id.name.is_empty() {
        true => format!("New {}", id.kind),
        false => id.to_string(),
    };
    let content = html! {
        div.columns {
            (form(session, draft, faults))
            section {
                h2 { "The whole document " span.hint { "revision " (in_force.revision) } }
                pre { (in_force.document.write()) }
            }
        }
    };
    page(res, status, &title, &content);
}

/// Returns the form; faults without a field of their own are listed at its top.
pub(crate) fn form(session: &Session, draft: &Draft, faults: &[Fault]) -> Markup {
    let id = &draft.form.id;
    let is_new = draft.base.is_none();
    let own = id.to_string();
    let keys: Vec<&str> = fields_of_kind(&id.kind).iter().map(|f| f.key).collect();
    let has_field = |fault: &Fault| {
        let key = fault.key.as_str();
        fault.section == own && (keys.contains(&key) || ["name", "author", "reason"].contains(&key))
    };
    let at = |key: &str| -> Vec<&Fault> {
        faults
            .iter()
            .filter(|f| f.section == own && f.key == key)
            .collect()
    };
    html! {
        form.card method="post" action="/preview" {
            @for fault in faults.iter().filter(|f| !has_field(f)) {
                p.fault { (fault.section) " " (fault.key) ": " (fault.what) }
            }
            (hidden_common(session, draft))
            label for="name" { "Name" }
            @for fault in at("name") { p.fault { (fault.what) } }
            input #name name="name" value=(id.name) readonly[!is_new] required;
            @for field in fields_of_kind(&id.kind) { (input(field, draft, &at(field.key))) }
            label for="comments" { "Comments " span.hint { "kept above the section" } }
            textarea #comments name="comments" rows="2" { (draft.form.text.comments.join("\n")) }
            @if !is_new {
                label { input type="checkbox" name="delete" value="yes" checked[draft.form.is_deletion]; " Delete this section" }
            }
            label for="author" { "Who" }
            @for fault in at("author") { p.fault { (fault.what) } }
            input #author name="author" value=(draft.author) readonly[session.operator.is_some()];
            label for="reason" { "Why " span.hint { "for the audit trail" } }
            @for fault in at("reason") { p.fault { (fault.what) } }
            input #reason name="reason" value=(draft.reason);
            button { "Show the difference" }
        }
    }
}

/// Returns the hidden fields that every form of a draft contains.
pub(crate) fn hidden_common(session: &Session, draft: &Draft) -> Markup {
    let base = draft
        .base
        .as_ref()
        .and_then(|text| serde_json::to_string(text).ok());
    html! {
        input type="hidden" name="form_token" value=(session.form_token);
        input type="hidden" name="kind" value=(draft.form.id.kind);
        input type="hidden" name="change" value=(draft.change);
        input type="hidden" name="base_revision" value=(draft.base_revision);
        input type="hidden" name="base" value=(base.unwrap_or_default());
    }
}

/// Returns all of a draft as hidden fields, for pages without input fields.
pub(crate) fn hidden_draft(session: &Session, draft: &Draft) -> Markup {
    html! {
        (hidden_common(session, draft))
        input type="hidden" name="name" value=(draft.form.id.name);
        @for (key, value) in &draft.form.text.entries {
            input type="hidden" name=(format!("key.{key}")) value=(value);
        }
        input type="hidden" name="comments" value=(draft.form.text.comments.join("\n"));
        @if draft.form.is_deletion { input type="hidden" name="delete" value="yes"; }
        input type="hidden" name="author" value=(draft.author);
        input type="hidden" name="reason" value=(draft.reason);
    }
}

fn input(field: &Field, draft: &Draft, faults: &[&Fault]) -> Markup {
    let value = draft
        .form
        .text
        .entries
        .get(field.key)
        .map_or("", String::as_str);
    let name = format!("key.{}", field.key);
    let class = if faults.is_empty() { "" } else { "faulty" };
    html! {
        label for=(name) { (field.label) " " span.hint { (field.hint) } }
        @for fault in faults { p.fault { (fault.what) } }
        @match field.input {
            Input::Text => input id=(name) name=(name) value=(value) class=(class);,
            Input::Number => input id=(name) name=(name) value=(value) class=(class) inputmode="numeric";,
            Input::Choice(options) => (select(&name, class, options, value)),
        }
    }
}

/// Returns a select box. A value that is none of the options is added to them, so that the form does
/// not lose it.
fn select(name: &str, class: &str, options: &[&str], value: &str) -> Markup {
    html! {
        select id=(name) name=(name) class=(class) {
            option value="" selected[value.is_empty()] { "" }
            @for choice in options { option value=(choice) selected[*choice == value] { (choice) } }
            @if !value.is_empty() && !options.contains(&value) {
                option value=(value) selected { (value) }
            }
        }
    }
}
