use expect_test::{Expect, expect};

use crate::Declaration;

const SERVICE: &str = "[service s]\nkind = plain\nrepeatable = yes\n";

fn check(text: &str, expected: Expect) {
    let declaration = Declaration::read("d.ini", text.as_bytes()).unwrap();
    let findings = super::lint(&declaration);
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    expected.assert_eq(&lines.join("\n"));
}

#[test]
fn examples_of_this_repository_have_no_contradictions() {
    for file in ["escort-desk", "watch-trading"] {
        let path = format!("{}/../../examples/{file}", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read(format!("{path}/declaration.ini")).unwrap();
        let declaration = Declaration::read(file, &text).unwrap();
        assert_eq!(super::lint(&declaration), []);
    }
}

#[test]
fn entries_that_never_match() {
    let text = format!(
        "{SERVICE}[service idle]\nkind = plain\nrepeatable = yes\n\
         [pipeline p]\nstages = s\n\
         [route r]\nhost = a/b\npath_prefix = /x?y/\nrepeat = never\nservices = s 1, s 0\n"
    );
    let expected = expect![[r"
        service idle: no route and no pipeline calls it; remove it or call it
        pipeline p: no workspace may call it; add it to `pipelines` of one
        route r: path_prefix: no path of a request has white space, `?` or `#`; percent-encode or remove it
        route r: host: no request names such a host; write a host name
        route r: public: no workspace has a key, so each request is refused; add keys or `public = yes`
        route r: services: `s` has weight 0 and gets no request
        route r: services: `s` is named twice; add its weights up"]];
    check(&text, expected);
}

#[test]
fn limits_that_contradict_each_other() {
    let text = "[limits callers]\nhead_ms = 3000\nidle_ms = 1000\nhead_bytes = 100\nbody_bytes = 10\n\
         [service pool]\nkind = batch-pool\nrepeatable = yes\nslots = 2\nconnections = 1\n\
         batch_items = 10\nbatch_call_ms = 200\nbatch_item_us = 10000\nroom_bytes = 100\nkeep_ms = 100\n\
         [service s]\nkind = plain\nrepeatable = yes\n\
         [route r]\nhost = h\npath_prefix = /\nrepeat = anew\npublic = yes\nservices = s 1\n\
         objective_ms = 500\nlongest_ms = 400\npause_ms = 10\nstages = pool 1000, pool 10 after 0\n";
    let expected = expect![[r"
        limits callers: idle_ms: shorter than `head_ms`, which then holds for idle connections as well; raise it
        limits callers: head_bytes: larger than `body_bytes`; heads are held in memory as bodies are, lower it
        service pool: connections: fewer than `slots = 2`, which can't all be used; raise it
        service pool: keep_ms: shorter than a full call; results are gone before the next stage has them
        route r: objective_ms: longer than `longest_ms`; lower it or raise that
        route r: pause_ms: only a stream has events; remove it
        route r: repeat: has no effect with `attempts = 1`; raise `attempts`
        route r: stages: a result of stage 0 is larger than `room_bytes = 100` of `pool`; it can never be stored
        route r: longest_ms: the stages alone take 420 ms with one item each; raise it"]];
    check(text, expected);
}
