//! An incremental update gives the same declaration as parsing the whole document.

use std::sync::Arc;

use declaration::{Declaration, Document, SectionChange, SectionId, SectionText};
use proptest::{collection::vec, prelude::*, sample::select};

const BASE: &str = "\
[availability-zone a]
region = r
[availability-zone b]
region = r
[service s]
kind = plain
repeatable = yes
[service t]
kind = plain
repeatable = no
[pipeline p]
stages = s, t
[pipeline q]
stages = t
[workspace w]
pipelines = p, q
availability_zones = a
[workspace x]
pipelines = p
availability_zones = a, b
";

/// Valid and invalid contents of sections by kind, some with undeclared references.
const TEXTS: [(&str, &str); 13] = [
    ("availability-zone", "region = r2"),
    ("availability-zone", "colour = red"),
    ("service", "kind = plain\nrepeatable = yes"),
    ("service", "kind = tractor\nrepeatable = yes"),
    ("pipeline", "stages = t"),
    ("pipeline", "stages = s, u\ndeadline_ms = 5"),
    ("workspace", "pipelines = q\navailability_zones = b"),
    ("workspace", "pipelines = r\navailability_zones = a, a"),
    (
        "route",
        "host = a.example\npath_prefix = /\nrepeat = never\nservices = s 1",
    ),
    (
        "route",
        "host = a.example\npath_prefix = /x/\nrepeat = anew\nservices = t 1, u 2",
    ),
    (
        "route",
        "host = b.example\npath_prefix = /\nrepeat = never\nservices = s 0",
    ),
    ("limits", "body_bytes = 5"),
    ("zebra", "stripes = 3"),
];

fn text(body: &str) -> SectionText {
    let entries = body.lines().filter_map(|line| line.split_once(" = "));
    SectionText {
        entries: entries.map(|(k, v)| (k.to_owned(), v.to_owned())).collect(),
        comments: Vec::new(),
    }
}

fn change() -> impl Strategy<Value = SectionChange> {
    let names = vec!["a", "b", "p", "q", "s", "t", "u", "w", "x", "y"];
    (select(&TEXTS[..]), select(names), 0..4).prop_map(|((kind, body), name, deleted)| {
        SectionChange {
            id: SectionId {
                kind: kind.to_owned(),
                name: name.to_owned(),
            },
            after: (deleted > 0).then(|| text(body)),
        }
    })
}

/// Applies each of `steps` that results in a valid document, and compares `amend` with parsing the
/// whole document at every step. Returns the numbers of valid and invalid steps.
fn compare_steps(
    steps: &[Vec<SectionChange>],
    amend: impl Fn(&Declaration, &Document, &[SectionChange]) -> Result<Declaration, String>,
) -> Result<(usize, usize), String> {
    let mut document = Document::read("base.ini", BASE.as_bytes()).unwrap();
    let mut current = Declaration::from_document(&document).unwrap();
    let (mut valid, mut invalid) = (0, 0);
    for changes in steps {
        let mut next = document.clone();
        next.apply(changes);
        let expected = Declaration::from_document(&next).map_err(|f| f.to_string());
        let amended = amend(&current, &next, changes);
        if amended != expected {
            return Err(format!("{changes:?}: {amended:?} is not {expected:?}"));
        }
        match expected {
            Ok(expected) => {
                (document, current) = (next, expected);
                valid += 1;
            }
            Err(_) => invalid += 1,
        }
    }
    Ok((valid, invalid))
}

fn amended(
    current: &Declaration,
    next: &Document,
    changes: &[SectionChange],
) -> Result<Declaration, String> {
    let changed_ids = changes.iter().map(|c| &c.id);
    current
        .amended(next, changed_ids)
        .map_err(|f| f.to_string())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn incremental_update_equals_full_parse(
        steps in vec(vec(change(), 1..4), 1..12),
    ) {
        if let Err(what) = compare_steps(&steps, amended) {
            prop_assert!(false, "{what}");
        }
    }
}

fn delete(kind: &str, name: &str) -> SectionChange {
    SectionChange {
        id: SectionId {
            kind: kind.to_owned(),
            name: name.to_owned(),
        },
        after: None,
    }
}

#[test]
fn change_of_one_route_shares_the_others() {
    let route = |n: usize| {
        format!(
            "[route r{n}]\nhost = h.example\npath_prefix = /{n}/\nrepeat = never\nservices = s 1\n"
        )
    };
    let routes: String = (0..50).map(route).collect();
    let mut document = Document::read("base.ini", (BASE.to_owned() + &routes).as_bytes()).unwrap();
    let before = Declaration::from_document(&document).unwrap();
    let deleted = delete("route", "r7");
    document.apply(std::slice::from_ref(&deleted));
    let after = before
        .amended(&document, [&deleted.id].into_iter())
        .unwrap();
    assert_eq!(after, Declaration::from_document(&document).unwrap());
    assert_eq!(after.routes.len(), 49);
    // The others are shared with the previous declaration, not copied.
    let mut kept = after.routes.iter();
    assert!(kept.all(|(name, route)| Arc::ptr_eq(route, &before.routes[name])));
}

#[test]
fn deleting_a_referenced_pipeline_is_invalid() {
    let steps = [
        vec![delete("pipeline", "q")],
        vec![delete("workspace", "w")],
    ];
    assert_eq!(compare_steps(&steps, amended), Ok((1, 1)));
}

/// The comparison must detect an update that does not check references to deleted sections.
#[test]
fn comparison_detects_dangling_references() {
    let without_reference_check =
        |current: &Declaration, next: &Document, changes: &[SectionChange]| {
            let kept = changes.iter().map(|c| &c.id);
            let kept = kept.filter(|id| next.sections.contains_key(*id));
            let mut out = current.amended(next, kept).map_err(|f| f.to_string())?;
            for change in changes {
                out.pipelines.remove(&change.id.name);
            }
            Ok(out)
        };
    assert!(compare_steps(&[vec![delete("pipeline", "q")]], without_reference_check).is_err());
}
