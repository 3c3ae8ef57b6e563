//! Time of each step of a change of many routes, from a keeper's log to a gate's declaration.

use std::time::Duration;

use declaration::{Document, SectionId, SectionText};
use keeper::{Command, Entry, Stamp, State};
use link::{
    follow::{FollowReply, FollowRequest},
    follower::Feed,
    keeper::Replacement,
};
use tokio::{runtime::Handle, task::block_in_place, time::Instant};

/// Returns a document of `n` routes to one service, the first `changed` with another time limit.
fn document(n: usize, changed: usize) -> Document {
    let mut document = Document::default();
    let mut add = |kind: &str, name: &str, entries: &[(&str, String)]| {
        let id = SectionId {
            kind: kind.to_owned(),
            name: name.to_owned(),
        };
        let entries = entries.iter().map(|(k, v)| ((*k).to_owned(), v.clone()));
        let text = SectionText {
            entries: entries.collect(),
            comments: Vec::new(),
        };
        document.sections.insert(id, text);
    };
    let text = |s: &str| s.to_owned();
    add(
        "service",
        "desk",
        &[("kind", text("plain")), ("repeatable", text("no"))],
    );
    for i in 0..n {
        let longest_ms = if i < changed { 7_000 } else { 6_000 };
        add(
            "route",
            &format!("r-{i:05}"),
            &[
                ("host", format!("h{:04}.example", i % 500)),
                ("path_prefix", format!("/p{i}/x/")),
                ("answer", text("stream")),
                ("repeat", text("from-last-event")),
                ("public", text("no")),
                ("affinity", text("yes")),
                ("longest_ms", longest_ms.to_string()),
                ("objective_ms", text("1800")),
                ("pause_ms", text("250")),
                ("attempts", text("2")),
                ("priority", text("9")),
                ("services", text("desk 1000")),
            ],
        );
    }
    document
}

fn timed<T>(what: &str, f: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let out = f();
    println!("  {what}: {:.2} ms", start.elapsed().as_secs_f64() * 1e3);
    out
}

/// Applies one replacement at a keeper, sends it to a follower and prints the time of each step.
fn measure(
    what: &str,
    version: u64,
    next: Document,
    state: &mut State,
    keeper: &Feed,
    gate: &Feed,
) {
    println!("{what}");
    let original = next.write().into_bytes();
    let stamp = Stamp {
        now_ms: version,
        retention_ms: 1_000,
        skew_ms: 1_000,
        grace_ms: 1_000,
        max_keys: 10,
        max_total_output_bytes: 10,
        max_history_bytes: 64 << 20,
    };
    let replacement = Replacement {
        version,
        original,
        document: next,
        author: "measure".to_owned(),
    };
    let command = Command::Replace(replacement);
    let entry = timed("leader: encode the entry", || {
        link::encode(&Entry { stamp, command })
    });
    println!("  entry: {} bytes", entry.len());
    timed("keeper: apply", || state.apply(version, &entry));
    let after = keeper.revision().unwrap_or(0);
    timed("keeper: publish to followers", || {
        keeper.advance(state.declaration.last().into_iter().collect())
    })
    .unwrap();
    let follow = link::encode(&FollowRequest {
        after,
        wait: Duration::ZERO,
    });
    let answer = timed("keeper: encode for followers", || {
        block_in_place(|| Handle::current().block_on(keeper.answer(&follow)))
    });
    println!("  answer: {} bytes", answer.len());
    let followed: FollowReply = timed("gate: decode", || link::decode(&answer).unwrap());
    timed("gate: put in force", || gate.apply(followed)).unwrap();
}

/// Measures changes of `n` routes: all added, one changed, one removed, a tenth changed.
pub fn changes(n: usize) {
    let (keeper, gate) = (Feed::new(), Feed::new());
    let mut state = State::default();
    for feed in [&keeper, &gate] {
        feed.replace(0, Document::default()).unwrap();
    }
    let mut run =
        |what: &str, version, next| measure(what, version, next, &mut state, &keeper, &gate);
    run("first 80 routes", 1, document(80, 0));
    run(&format!("{n} routes"), 2, document(n, 0));
    run("one changed", 3, document(n, 1));
    run("one removed", 4, document(n - 1, 1));
    run("a tenth changed", 5, document(n - 1, n / 10));
}
