//! The checks, one function each.

use std::collections::BTreeMap;

use serde_json::Value;

use super::{Attempt, Evidence, Request, Told, Violation};
use crate::{
    output::expected_output,
    stand_in::{Event, JournalEntry},
};

/// Time after which an endpoint that announced `leaving` may get no new work, in milliseconds.
const LEAVING_LIMIT_MS: u64 = 3_000;

/// Journal entries of one request.
type Entries<'a> = [&'a JournalEntry];

/// Every invariant that the run broke.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let by_subject = evidence.by_subject();
    let mut found = doubled_executions(evidence);
    for request in &evidence.requests {
        let none = Vec::new();
        let entries = by_subject.get(request.subject.as_str()).unwrap_or(&none);
        found.extend(wrong_answer(evidence, request));
        found.extend(broken_stream(request));
        found.extend(false_not_run(request, entries));
        found.extend(false_failed(evidence, request, entries));
        found.extend(invented_result(evidence, request, entries));
        found.extend(cut_request(evidence, request));
    }
    found.extend(lost_results(evidence));
    found.extend(stale_orders(evidence));
    found.extend(work_after_leaving(evidence));
    found.extend(reverted_revisions(evidence));
    found
}

fn has_started(entry: &JournalEntry) -> bool {
    matches!(entry.event, Event::Started)
}

fn doubled_executions(evidence: &Evidence) -> Vec<Violation> {
    let mut runs: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for entry in evidence.journals.iter().filter(|e| has_started(e)) {
        if let Some(key) = &entry.key
            && evidence.is_unrepeatable(&entry.service)
        {
            *runs.entry((key, &entry.service)).or_default() += 1;
        }
    }
    let doubled = runs.into_iter().filter(|(_, times)| *times > 1);
    let violation = |((key, service), times): ((&str, &str), usize)| Violation::DoubledExecution {
        key: key.to_owned(),
        service: service.to_owned(),
        times,
    };
    doubled.map(violation).collect()
}

fn completed(request: &Request) -> impl Iterator<Item = &Attempt> {
    let attempts = request.attempts.iter();
    attempts.filter(|attempt| attempt.reply.told == Told::Completed)
}

fn wrong_answer(evidence: &Evidence, request: &Request) -> Option<Violation> {
    let right = expected_output(&evidence.declaration, &request.pipeline, &request.input);
    let is_wrong = |attempt: &Attempt| attempt.reply.output.as_ref() != right.as_ref();
    completed(request)
        .any(is_wrong)
        .then(|| Violation::WrongAnswer {
            subject: request.subject.clone(),
        })
}

fn broken_stream(request: &Request) -> Option<Violation> {
    let is_broken = |attempt: &Attempt| {
        let output = attempt.reply.output.as_ref().and_then(Value::as_str);
        match (&attempt.reply.streamed, output) {
            (Some(streamed), Some(output)) => streamed != output,
            _ => false,
        }
    };
    completed(request)
        .any(is_broken)
        .then(|| Violation::BrokenStream {
            subject: request.subject.clone(),
        })
}

/// The first sendings that were all told `not_run`, up to the next sending, prove that nothing ran.
fn false_not_run(request: &Request, entries: &Entries<'_>) -> Option<Violation> {
    let is_not_run = |attempt: &&Attempt| attempt.reply.told == Told::NotRun;
    let refused = request.attempts.iter().take_while(is_not_run).count();
    if refused == 0 {
        return None;
    }
    let until = request
        .attempts
        .get(refused)
        .map_or(u64::MAX, |a| a.sent_ms);
    let ran = |entry: &&&JournalEntry| has_started(entry) && entry.at_ms < until;
    let entry = entries.iter().find(ran)?;
    Some(Violation::FalseNotRun {
        subject: request.subject.clone(),
        endpoint: entry.endpoint.clone(),
    })
}

/// As with `not_run`, for the calls that may not be repeated.
fn false_failed(
    evidence: &Evidence,
    request: &Request,
    entries: &Entries<'_>,
) -> Option<Violation> {
    let is_denied = |attempt: &&Attempt| matches!(attempt.reply.told, Told::NotRun | Told::Failed);
    let denied = request.attempts.iter().take_while(is_denied).count();
    if denied == 0 {
        return None;
    }
    let until = request.attempts.get(denied).map_or(u64::MAX, |a| a.sent_ms);
    let ran = |entry: &&&JournalEntry| {
        has_started(entry) && entry.at_ms < until && evidence.is_unrepeatable(&entry.service)
    };
    let refused_late = |entry: &JournalEntry| {
        let is_its_failure =
            |e: &&&JournalEntry| e.call == entry.call && matches!(e.event, Event::Failed { .. });
        entries.iter().any(|e| is_its_failure(&e))
    };
    let entry = entries.iter().filter(ran).find(|e| !refused_late(e))?;
    Some(Violation::FalseFailed {
        subject: request.subject.clone(),
        endpoint: entry.endpoint.clone(),
    })
}

fn invented_result(
    evidence: &Evidence,
    request: &Request,
    entries: &Entries<'_>,
) -> Option<Violation> {
    completed(request).next()?;
    let pipeline = evidence.declaration.pipelines.get(&request.pipeline)?;
    let has_run = |service: &String| {
        let is_end = |entry: &&JournalEntry| {
            entry.service == *service && matches!(entry.event, Event::Finished { .. })
        };
        entries.iter().any(is_end)
    };
    let service = pipeline.stages.iter().find(|stage| !has_run(stage))?;
    Some(Violation::InventedResult {
        subject: request.subject.clone(),
        service: service.clone(),
    })
}

fn cut_request(evidence: &Evidence, request: &Request) -> Option<Violation> {
    let is_cut = |attempt: &Attempt| match attempt.reply.told {
        Told::Nothing => true,
        Told::Broken => !evidence.may_break,
        _ => false,
    };
    let is_any = request.attempts.iter().any(is_cut);
    is_any.then(|| Violation::CutRequest {
        subject: request.subject.clone(),
    })
}

fn lost_results(evidence: &Evidence) -> Vec<Violation> {
    let words: BTreeMap<&str, Option<Told>> = evidence
        .ledger
        .iter()
        .map(|word| (word.key.as_str(), word.told))
        .collect();
    let mut lost = Vec::new();
    for request in &evidence.requests {
        let (Some(key), Some(_)) = (&request.key, completed(request).next()) else {
            continue;
        };
        match words.get(key.as_str()) {
            None | Some(Some(Told::Completed)) => {}
            Some(_) => lost.push(Violation::LostResult { key: key.clone() }),
        }
    }
    lost
}

/// Journals are in the order of each endpoint's own work.
fn stale_orders(evidence: &Evidence) -> Vec<Violation> {
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut stale = Vec::new();
    for entry in &evidence.journals {
        let Event::Ordered { fencing, .. } = entry.event else {
            continue;
        };
        let newest = newest.entry(&entry.endpoint).or_default();
        if fencing < *newest {
            stale.push(Violation::StaleOrder {
                endpoint: entry.endpoint.clone(),
                newest: *newest,
                obeyed: fencing,
            });
        }
        *newest = fencing.max(*newest);
    }
    stale
}

/// The first call of each endpoint that began too long after its announcement.
fn work_after_leaving(evidence: &Evidence) -> Vec<Violation> {
    let mut left: BTreeMap<&str, u64> = BTreeMap::new();
    let mut late: BTreeMap<&str, u64> = BTreeMap::new();
    for entry in &evidence.journals {
        let endpoint = entry.endpoint.as_str();
        match (&entry.event, left.get(endpoint)) {
            (Event::Leaving, _) => {
                left.insert(endpoint, entry.at_ms);
            }
            (Event::Started, Some(at)) if entry.at_ms > at + LEAVING_LIMIT_MS => {
                late.entry(endpoint).or_insert(entry.at_ms - at);
            }
            _ => {}
        }
    }
    let violation = |(endpoint, after_ms): (&str, u64)| Violation::WorkAfterLeaving {
        endpoint: endpoint.to_owned(),
        after_ms,
    };
    late.into_iter().map(violation).collect()
}

/// Revision 0 is that of a gate that has just started and knows none yet.
fn reverted_revisions(evidence: &Evidence) -> Vec<Violation> {
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut reverted = Vec::new();
    for seen in evidence.revisions.iter().filter(|seen| seen.revision > 0) {
        let newest = newest.entry(&seen.gate).or_default();
        if seen.revision < *newest {
            reverted.push(Violation::RevertedRevision {
                gate: seen.gate.clone(),
                from: *newest,
                to: seen.revision,
            });
        }
        *newest = (*newest).max(seen.revision);
    }
    reverted
}
