//! Parsing, writing and changing documents.

use declaration::{
    Declaration, Document, SectionId, SectionText, changes_between, encode_label, inverse,
};
use expect_test::expect;
use proptest::{collection::btree_map, prelude::*};

const VALID: &str = "\
[availability-zone sousse-a]
region = tn-sahel

[pipeline appraisal]
deadline_ms = 3000
stages = photo-vault, appraise-llm

[service appraise-llm]
adapters = horlogerie
kind = engine
model = appraise-7b
repeatable = yes
version = 3

[service photo-vault]
kind = plain
repeatable = yes

[workspace sousse-dealers]
availability_zones = sousse-a
max_in_flight = 200
pipelines = appraisal
priority = 2
";

#[test]
fn valid_document_parses_and_is_canonical() {
    let declared = Declaration::read("good.ini", VALID.as_bytes()).unwrap();
    assert_eq!(declared.services["appraise-llm"].version, Some(3));
    let document = Document::read("good.ini", VALID.as_bytes()).unwrap();
    assert_eq!(document.write(), VALID);
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = "[service x]\nkind = tractor\nrepeatable = maybe\nspeed = 3\n\
                [pipeline p]\nstages = x, y, x\ndeadline_ms = 0\n\
                [workspace w]\npipelines = q\n[zebra z]\n[service x]\n[nameless]\n";
    let faults = Declaration::read("bad.ini", text.as_bytes()).unwrap_err();
    expect![[r#"
        bad.ini:2: service x: kind: `tractor` is no kind; use engine, encoder, retriever, reranker, plain, hosted-engine or batch-pool
        bad.ini:3: service x: repeatable: `maybe` is neither yes nor no; write `yes` or `no`
        bad.ini:4: service x: speed: unknown key; remove it or correct its name
        bad.ini:6: pipeline p: stages: service `y` is not declared; add `[service y]` or remove it
        bad.ini:6: pipeline p: stages: `x` stands twice; keep one
        bad.ini:7: pipeline p: deadline_ms: `0` is out of range; write 1 to 600000
        bad.ini:8: workspace w: availability_zones: no availability zone; name at least one
        bad.ini:9: workspace w: pipelines: pipeline `q` is not declared; add `[pipeline q]` or remove it
        bad.ini:10: zebra z: unknown kind of section; use availability-zone, service, pipeline, workspace, route or limits
        bad.ini:11: service x: section stands twice; keep one
        bad.ini:12: nameless: section `nameless` has no name; write `[kind name]`"#]]
    .assert_eq(&faults.to_string());
}

fn section_text() -> impl Strategy<Value = SectionText> {
    let comments = proptest::collection::vec("[a-z][a-z ]{0,8}[a-z]", 0..3);
    (
        btree_map("[a-z_]{1,6}", "[a-z0-9][a-z0-9, ]{0,8}[a-z0-9]", 0..4),
        comments,
    )
        .prop_map(|(entries, comments)| SectionText { entries, comments })
}

fn document() -> impl Strategy<Value = Document> {
    let id = ("[a-z]{1,5}", "[a-z]{1,5}").prop_map(|(kind, name)| SectionId { kind, name });
    btree_map(id, section_text(), 0..6).prop_map(|sections| Document {
        sections: sections.into(),
    })
}

proptest! {
    #[test]
    fn written_document_round_trips(doc in document()) {
        let text = doc.write();
        let read = Document::read("x.ini", text.as_bytes()).unwrap();
        prop_assert_eq!(&read, &doc);
        prop_assert_eq!(read.write(), text);
    }

    #[test]
    fn change_and_its_inverse_restore_the_document(before in document(), after in document()) {
        let changes = changes_between(&before, &after);
        let undo = inverse(&before, &changes);
        let mut doc = before.clone();
        doc.apply(&changes);
        prop_assert_eq!(&doc, &after);
        doc.apply(&undo);
        prop_assert_eq!(&doc, &before);
    }

    #[test]
    fn parsing_arbitrary_input_does_not_panic(bytes: Vec<u8>, text in "[\\[\\]a-z =#;\\n:]{0,60}") {
        let _ = Declaration::read("x.ini", &bytes);
        let _ = Declaration::read("x.ini", text.as_bytes());
    }
}

#[test]
fn roles_and_memory_are_validated() {
    let text = "[service e]\nkind = engine\nrepeatable = yes\nmodel = m\nversion = 1\n\
                prefill_percent = 60\ndecode_percent = 50\nmodel_mb = 900\nendpoint_mb = 800\n\
                [service p]\nkind = plain\nrepeatable = yes\nprefill_percent = 10\nmodel_mb = 0\n\
                endpoint_mb = 5\n";
    let faults = Declaration::read("d.ini", text.as_bytes()).unwrap_err();
    expect![[r#"
        d.ini:7: service e: decode_percent: prefill and decode together exceed 100; lower one of them
        d.ini:8: service e: model_mb: the model does not fit into `endpoint_mb = 800`; lower it
        d.ini:10: service p: decode_percent: missing; prefill needs endpoints that decode: add `decode_percent = …`
        d.ini:14: service p: model_mb: `0` is out of range; write 1 to 100000000
        d.ini:15: service p: endpoint_mb: only an engine has memory for models; remove it or set `kind = engine`"#]].assert_eq(&faults.to_string());
}

/// Guards against labels that a written document or a header changes.
#[test]
fn labels_round_trip_or_are_faults() {
    let digest = "0".repeat(64);
    let document = |label: &str| {
        let mut doc = Document::default();
        let id = SectionId {
            kind: "workspace".to_owned(),
            name: "ferries".to_owned(),
        };
        let entries = [("keys", digest.as_str()), ("label", label)];
        let text = SectionText {
            entries: entries.map(|(k, v)| (k.to_owned(), v.to_owned())).into(),
            comments: Vec::new(),
        };
        doc.sections.insert(id, text);
        doc
    };
    for label in [
        "Rockland Ferries",
        "a&b=[c];d#e%20f,g",
        "; x",
        "# x",
        "\"a\" 'b' \\n \\",
        "é – شركة",
        "[section]",
        "\u{a0}a\u{2003}",
    ] {
        let doc = document(&encode_label(label));
        let declaration = Declaration::from_document(&doc).unwrap();
        let workspace = &declaration.workspaces["ferries"];
        assert_eq!(workspace.label.as_deref(), Some(label));
        let read = Document::read("x.ini", doc.write().as_bytes()).unwrap();
        assert_eq!(read, doc);
    }
    let long = "x".repeat(4_097);
    for label in [
        "", " a", "a ", "a\nb", "a\rb", "a\tb", "a\0b", "\u{7f}", &long,
    ] {
        let declared = Declaration::from_document(&document(&encode_label(label)));
        assert!(declared.is_err(), "{label:?}");
    }
    for text in ["%", "a%2", "%zz", "%0A", "%+1", "%FF", "%20a"] {
        let declared = Declaration::from_document(&document(text));
        assert!(declared.is_err(), "{text:?}");
    }
}
