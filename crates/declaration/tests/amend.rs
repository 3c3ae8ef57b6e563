//! The next declaration by its changed sections is the same as the one made from the whole document.

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

/// Texts of sections by kind, sound and faulty ones, with references that may dangle.
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

/// Applies each of `steps` that leaves a sound document, and compares both ways at every step.
/// Returns how many were sound and how many were not.
fn walk(
    steps: &[Vec<SectionChange>],
    amend: impl Fn(&Declaration, &Document, &[SectionChange]) -> Result<Declaration, String>,
) -> Result<(usize, usize), String> {
    let mut document = Document::read("base.ini", BASE.as_bytes()).unwrap();
    let mut declared = Declaration::from_document(&document).unwrap();
    let (mut sound, mut faulty) = (0, 0);
    for changes in steps {
        let mut next = document.clone();
        next.apply(changes);
        let whole = Declaration::from_document(&next).map_err(|f| f.to_string());
        let amended = amend(&declared, &next, changes);
        if amended != whole {
            return Err(format!("{changes:?}: {amended:?} is not {whole:?}"));
        }
        match whole {
            Ok(whole) => {
                (document, declared) = (next, whole);
                sound += 1;
            }
            Err(_) => faulty += 1,
        }
    }
    Ok((sound, faulty))
}

fn amended(
    declared: &Declaration,
    next: &Document,
    changes: &[SectionChange],
) -> Result<Declaration, String> {
    let touched = changes.iter().map(|c| &c.id);
    declared.amended(next, touched).map_err(|f| f.to_string())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn changed_sections_alone_give_what_the_whole_document_gives(
        steps in vec(vec(change(), 1..4), 1..12),
    ) {
        if let Err(what) = walk(&steps, amended) {
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
fn a_change_of_some_routes_leaves_the_others_as_they_are() {
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
    // They are the same in memory, not made anew.
    let mut kept = after.routes.iter();
    assert!(kept.all(|(name, route)| Arc::ptr_eq(route, &before.routes[name])));
}

#[test]
fn a_deleted_pipeline_that_a_workspace_names_is_found() {
    let steps = [
        vec![delete("pipeline", "q")],
        vec![delete("workspace", "w")],
    ];
    assert_eq!(walk(&steps, amended), Ok((1, 1)));
}

/// What [`Declaration::amended`] would be without its look at what may dangle.
#[test]
fn the_comparison_catches_a_way_that_leaves_dangling_names() {
    let careless = |declared: &Declaration, next: &Document, changes: &[SectionChange]| {
        let kept = changes.iter().map(|c| &c.id);
        let kept = kept.filter(|id| next.sections.contains_key(*id));
        let mut out = declared.amended(next, kept).map_err(|f| f.to_string())?;
        for change in changes {
            out.pipelines.remove(&change.id.name);
        }
        Ok(out)
    };
    assert!(walk(&[vec![delete("pipeline", "q")]], careless).is_err());
}
