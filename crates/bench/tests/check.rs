//! Plants violations into a correct run: each must be found, and none in the correct run.

use bench::{
    check::{
        Attempt, Evidence, LedgerEntry, ObservedRevision, Outcome, Reply, Request, Violation, check,
    },
    output::expected_output,
    stand_in::{Event, JournalEntry},
};
use declaration::Declaration;
use proptest::prelude::*;
use serde_json::{Value, json};

const DOCUMENT: &str = "
[availability-zone a]
region = r
[service desk]
kind = plain
repeatable = no
[service roster]
kind = plain
repeatable = yes
[service plan]
kind = engine
repeatable = yes
model = m
version = 1
max_tokens = 32
[pipeline booking]
stages = roster, desk
[pipeline answer]
stages = roster, plan
[workspace w]
priority = 1
pipelines = booking, answer
availability_zones = a
";

fn entry(service: &str, request: &Request, at_ms: u64, event: Event) -> JournalEntry {
    JournalEntry {
        at_ms,
        endpoint: format!("{service}-1"),
        service: service.to_owned(),
        call: format!("{}-{service}", request.subject),
        subject: Some(request.subject.clone()),
        key: request.key.clone(),
        event,
    }
}

fn finished() -> Event {
    Event::Finished {
        output_digest: String::new(),
        busy_us: 1,
        tokens: 0,
        reused: 0,
    }
}

/// Returns request `n` of a correct run, completed at the first attempt.
fn request(declaration: &Declaration, n: u64) -> Request {
    let pipeline = if n.is_multiple_of(2) {
        "booking"
    } else {
        "answer"
    };
    let input = json!({ "prompt": format!("[#r{n}] question {n}") });
    let output = expected_output(declaration, pipeline, &input);
    let streamed = output.as_ref().and_then(Value::as_str).map(str::to_owned);
    let reply = Reply {
        outcome: Outcome::Completed,
        status: 200,
        output,
        streamed,
        retry_after_ms: None,
        detail: String::new(),
    };
    Request {
        subject: format!("r{n}"),
        pipeline: pipeline.to_owned(),
        key: n.is_multiple_of(2).then(|| format!("k{n}")),
        input,
        attempts: vec![Attempt {
            gate: "g".to_owned(),
            sent_ms: n * 100,
            ended_ms: n * 100 + 50,
            reply,
        }],
    }
}

/// Returns the records of a correct run of `count` requests.
fn correct_run(count: u64) -> Evidence {
    let declaration = Declaration::read("d.ini", DOCUMENT.as_bytes()).unwrap();
    let mut evidence = Evidence::default();
    for n in 0..count {
        let request = request(&declaration, n);
        let last = if n.is_multiple_of(2) { "desk" } else { "plan" };
        for (service, at) in [("roster", 10), (last, 30)] {
            evidence
                .journals
                .push(entry(service, &request, n * 100 + at, Event::Started));
            evidence
                .journals
                .push(entry(service, &request, n * 100 + at + 5, finished()));
        }
        let ledger_entry = request.key.clone().map(|key| LedgerEntry {
            key,
            outcome: Some(Outcome::Completed),
        });
        evidence.ledger.extend(ledger_entry);
        evidence.requests.push(request);
        evidence.revisions.push(ObservedRevision {
            gate: "g".to_owned(),
            at_ms: n * 100,
            revision: n + 1,
        });
    }
    evidence.declaration = declaration;
    evidence
}

fn violation_names(evidence: &Evidence) -> Vec<&'static str> {
    check(evidence).iter().map(Violation::name).collect()
}

/// Returns the index of the last booking at or before index `n`; the bookings are the even ones.
fn booking_index(n: usize) -> usize {
    n - n % 2
}

fn set_outcome(evidence: &mut Evidence, n: usize, outcome: Outcome) {
    let reply = &mut evidence.requests[n].attempts[0].reply;
    reply.outcome = outcome;
    reply.output = None;
    reply.streamed = None;
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn a_correct_run_has_no_violation(count in 1_u64..30) {
        prop_assert_eq!(violation_names(&correct_run(count)), Vec::<&str>::new());
    }

    #[test]
    fn a_duplicate_booking_is_found(n in 0_usize..20) {
        let mut evidence = correct_run(20);
        let n = booking_index(n);
        let again = entry("desk", &evidence.requests[n], 9_999, Event::Started);
        evidence.journals.push(again);
        prop_assert_eq!(violation_names(&evidence), ["doubled_execution"]);
    }

    #[test]
    fn swapped_replies_are_found(n in 0_usize..18) {
        let mut evidence = correct_run(20);
        let one = evidence.requests[n].attempts[0].reply.clone();
        let two = evidence.requests[n + 2].attempts[0].reply.clone();
        evidence.requests[n].attempts[0].reply = two;
        evidence.requests[n + 2].attempts[0].reply = one;
        prop_assert_eq!(violation_names(&evidence), ["wrong_answer", "wrong_answer"]);
    }

    #[test]
    fn a_lost_chunk_is_found(n in 0_usize..10, at in 0_usize..8) {
        let mut evidence = correct_run(20);
        let reply = &mut evidence.requests[n * 2 + 1].attempts[0].reply;
        let mut text: Vec<char> = reply.streamed.clone().unwrap().chars().collect();
        text.remove(at);
        reply.streamed = Some(text.into_iter().collect());
        prop_assert_eq!(violation_names(&evidence), ["broken_stream"]);
    }

    #[test]
    fn a_false_not_run_is_found(n in 0_usize..20) {
        let mut evidence = correct_run(20);
        set_outcome(&mut evidence, n, Outcome::NotRun);
        let found = violation_names(&evidence);
        prop_assert!(found.contains(&"false_not_run"), "{:?}", found);
    }

    #[test]
    fn a_booking_that_ran_and_is_not_run_when_repeated_is_found(n in 0_usize..20) {
        let mut evidence = correct_run(20);
        let n = booking_index(n);
        let mut repeat = evidence.requests[n].attempts[0].clone();
        evidence.requests[n].attempts[0].reply.outcome = Outcome::Unknown;
        evidence.requests[n].attempts[0].reply.output = None;
        (repeat.sent_ms, repeat.ended_ms) = (repeat.ended_ms + 10, repeat.ended_ms + 20);
        evidence.requests[n].attempts.push(repeat);
        prop_assert_eq!(violation_names(&evidence), Vec::<&str>::new());
        let reply = &mut evidence.requests[n].attempts[1].reply;
        (reply.outcome, reply.output) = (Outcome::NotRun, None);
        prop_assert_eq!(violation_names(&evidence), ["false_not_run"]);
    }

    #[test]
    fn a_call_that_runs_after_not_run_was_reported_is_found(n in 0_usize..20) {
        let mut evidence = correct_run(20);
        set_outcome(&mut evidence, n, Outcome::NotRun);
        let subject = evidence.requests[n].subject.clone();
        let is_of_request = |e: &JournalEntry| e.subject.as_deref() == Some(subject.as_str());
        evidence.journals.retain(|e| !is_of_request(e));
        prop_assert_eq!(violation_names(&evidence), Vec::<&str>::new());
        let late = entry("roster", &evidence.requests[n], 9_999, Event::Started);
        evidence.journals.push(late);
        prop_assert_eq!(violation_names(&evidence), ["false_not_run"]);
    }

    #[test]
    fn a_booking_that_ran_but_was_reported_as_failed_is_found(n in 0_usize..20) {
        let mut evidence = correct_run(20);
        let n = booking_index(n);
        set_outcome(&mut evidence, n, Outcome::Failed);
        prop_assert_eq!(violation_names(&evidence), ["false_failed"]);
    }

    #[test]
    fn a_lost_result_is_found(n in 0_usize..10) {
        let mut evidence = correct_run(20);
        evidence.ledger[n].outcome = None;
        prop_assert_eq!(violation_names(&evidence), ["lost_result"]);
    }

    #[test]
    fn a_reverted_revision_is_found(n in 1_usize..20) {
        let mut evidence = correct_run(20);
        evidence.revisions[n].revision = n as u64;
        evidence.revisions[n - 1].revision = n as u64 + 1;
        prop_assert_eq!(violation_names(&evidence), ["reverted_revision"]);
    }

    #[test]
    fn an_accepted_order_with_an_old_fencing_token_is_found(n in 1_u64..20) {
        let mut evidence = correct_run(20);
        for fencing in [n, n + 1, n] {
            let event = Event::Ordered { fencing, action: "load m 2".to_owned() };
            let order = entry("plan", &evidence.requests[1], 9_000 + fencing, event);
            evidence.journals.push(order);
        }
        prop_assert_eq!(violation_names(&evidence), ["stale_order"]);
    }

    #[test]
    fn work_long_after_leaving_is_found(after_ms in 0_u64..6_000) {
        let mut evidence = correct_run(20);
        for (at_ms, event) in [(10_000, Event::Leaving), (10_000 + after_ms, Event::Started)] {
            let mut entry = entry("spare", &evidence.requests[1], at_ms, event);
            entry.subject = None;
            evidence.journals.push(entry);
        }
        let expected = if after_ms > 3_000 { vec!["work_after_leaving"] } else { vec![] };
        prop_assert_eq!(violation_names(&evidence), expected);
    }

    #[test]
    fn a_result_without_an_execution_is_found(n in 0_usize..20) {
        let mut evidence = correct_run(20);
        let subject = evidence.requests[n].subject.clone();
        let is_of_request = |e: &JournalEntry| {
            e.service == "roster" && e.subject.as_deref() == Some(subject.as_str())
        };
        evidence.journals.retain(|e| !is_of_request(e));
        prop_assert_eq!(violation_names(&evidence), ["invented_result"]);
    }

    #[test]
    fn an_unexplained_interrupted_request_is_found(n in 0_usize..20) {
        let mut evidence = correct_run(20);
        set_outcome(&mut evidence, n, Outcome::Disconnected);
        prop_assert_eq!(violation_names(&evidence), ["cut_request"]);
        evidence.allows_disconnects = true;
        prop_assert_eq!(violation_names(&evidence), Vec::<&str>::new());
        set_outcome(&mut evidence, n, Outcome::NoReply);
        prop_assert_eq!(violation_names(&evidence), ["cut_request"]);
    }
}
