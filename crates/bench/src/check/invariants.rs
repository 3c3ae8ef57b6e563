//! Checks of the invariants, one function per violation.

use std::collections::BTreeMap;

use serde_json::Value;

use super::{Attempt, Evidence, Outcome, Request, Violation};
use crate::{
    output::expected_output,
    stand_in::{Event, JournalEntry},
};

/// Time after the announcement of `leaving` from which an endpoint may get no new work.
const LEAVING_GRACE_MS: u64 = 3_000;

/// Journal entries of one request.
type Entries<'a> = [&'a JournalEntry];

/// Returns every violation found in the records of a run.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let by_subject = evidence.by_subject();
    let mut violations = duplicate_executions(evidence);
    for request in &evidence.requests {
        let no_entries = Vec::new();
        let entries = by_subject
            .get(request.subject.as_str())
            .unwrap_or(&no_entries);
        violations.extend(wrong_answer(evidence, request));
        violations.extend(broken_stream(request));
        violations.extend(
            false_not_run(request, entries)
                .or_else(|| false_not_run_of_repeat(evidence, request, entries)),
        );
        violations.extend(false_failed(evidence, request, entries));
        violations.extend(unexecuted_result(evidence, request, entries));
        violations.extend(interrupted_request(evidence, request));
    }
    violations.extend(lost_results(evidence));
    violations.extend(stale_orders(evidence));
    violations.extend(work_after_leaving(evidence));
    violations.extend(reverted_revisions(evidence));
    violations
}

fn has_started(entry: &JournalEntry) -> bool {
    matches!(entry.event, Event::Started)
}

fn duplicate_executions(evidence: &Evidence) -> Vec<Violation> {
    let mut start_counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for entry in evidence.journals.iter().filter(|e| has_started(e)) {
        if let Some(key) = &entry.key
            && evidence.is_non_repeatable(&entry.service)
        {
            *start_counts.entry((key, &entry.service)).or_default() += 1;
        }
    }
    let duplicates = start_counts.into_iter().filter(|(_, times)| *times > 1);
    let violation =
        |((key, service), times): ((&str, &str), usize)| Violation::DuplicateExecution {
            key: key.to_owned(),
            service: service.to_owned(),
            times,
        };
    duplicates.map(violation).collect()
}

fn completed(request: &Request) -> impl Iterator<Item = &Attempt> {
    let attempts = request.attempts.iter();
    attempts.filter(|attempt| attempt.reply.outcome == Outcome::Completed)
}

fn wrong_answer(evidence: &Evidence, request: &Request) -> Option<Violation> {
    let expected_output = expected_output(&evidence.declaration, &request.pipeline, &request.input);
    let is_wrong = |attempt: &Attempt| attempt.reply.output.as_ref() != expected_output.as_ref();
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

/// While every attempt so far was reported as `not_run`, nothing may have run before the next one
/// was sent.
fn false_not_run(request: &Request, entries: &Entries<'_>) -> Option<Violation> {
    let is_not_run = |attempt: &&Attempt| attempt.reply.outcome == Outcome::NotRun;
    let refused = request.attempts.iter().take_while(is_not_run).count();
    if refused == 0 {
        return None;
    }
    let until = request
        .attempts
        .get(refused)
        .map_or(u64::MAX, |a| a.sent_ms);
    let is_early_run = |entry: &&&JournalEntry| has_started(entry) && entry.at_ms < until;
    let entry = entries.iter().find(is_early_run)?;
    Some(Violation::FalseNotRun {
        subject: request.subject.clone(),
        endpoint: entry.endpoint.clone(),
    })
}

/// No reply may say `not_run` after a call that may not be repeated has started for an earlier
/// attempt.
fn false_not_run_of_repeat(
    evidence: &Evidence,
    request: &Request,
    entries: &Entries<'_>,
) -> Option<Violation> {
    let is_not_run = |attempt: &&Attempt| attempt.reply.outcome == Outcome::NotRun;
    let last = request.attempts.iter().rfind(is_not_run)?;
    let is_earlier_run = |entry: &&&JournalEntry| {
        has_started(entry)
            && entry.at_ms < last.ended_ms
            && evidence.is_non_repeatable(&entry.service)
    };
    let entry = entries.iter().find(is_earlier_run)?;
    Some(Violation::FalseNotRun {
        subject: request.subject.clone(),
        endpoint: entry.endpoint.clone(),
    })
}

/// Like `false_not_run`, with `failed` as well and only for calls that may not be repeated. A call
/// whose journal has a failure of its own does not count.
fn false_failed(
    evidence: &Evidence,
    request: &Request,
    entries: &Entries<'_>,
) -> Option<Violation> {
    let is_denied =
        |attempt: &&Attempt| matches!(attempt.reply.outcome, Outcome::NotRun | Outcome::Failed);
    let denied = request.attempts.iter().take_while(is_denied).count();
    if denied == 0 {
        return None;
    }
    let until = request.attempts.get(denied).map_or(u64::MAX, |a| a.sent_ms);
    let is_early_run = |entry: &&&JournalEntry| {
        has_started(entry) && entry.at_ms < until && evidence.is_non_repeatable(&entry.service)
    };
    let has_failed = |entry: &JournalEntry| {
        let is_failure_of_call =
            |e: &&&JournalEntry| e.call == entry.call && matches!(e.event, Event::Failed { .. });
        entries.iter().any(|e| is_failure_of_call(&e))
    };
    let entry = entries
        .iter()
        .filter(is_early_run)
        .find(|e| !has_failed(e))?;
    Some(Violation::FalseFailed {
        subject: request.subject.clone(),
        endpoint: entry.endpoint.clone(),
    })
}

fn unexecuted_result(
    evidence: &Evidence,
    request: &Request,
    entries: &Entries<'_>,
) -> Option<Violation> {
    completed(request).next()?;
    let pipeline = evidence.declaration.pipelines.get(&request.pipeline)?;
    let has_finished_for = |service: &String| {
        let is_end = |entry: &&JournalEntry| {
            entry.service == *service && matches!(entry.event, Event::Finished { .. })
        };
        entries.iter().any(is_end)
    };
    let service = pipeline
        .stages
        .iter()
        .find(|stage| !has_finished_for(stage))?;
    Some(Violation::UnexecutedResult {
        subject: request.subject.clone(),
        service: service.clone(),
    })
}

fn interrupted_request(evidence: &Evidence, request: &Request) -> Option<Violation> {
    let is_interrupted = |attempt: &Attempt| match attempt.reply.outcome {
        Outcome::NoReply => true,
        Outcome::Disconnected => !evidence.allows_disconnects,
        _ => false,
    };
    let was_interrupted = request.attempts.iter().any(is_interrupted);
    was_interrupted.then(|| Violation::InterruptedRequest {
        subject: request.subject.clone(),
    })
}

fn lost_results(evidence: &Evidence) -> Vec<Violation> {
    let outcomes: BTreeMap<&str, Option<Outcome>> = evidence
        .ledger
        .iter()
        .map(|entry| (entry.key.as_str(), entry.outcome))
        .collect();
    let mut lost = Vec::new();
    for request in &evidence.requests {
        let (Some(key), Some(_)) = (&request.key, completed(request).next()) else {
            continue;
        };
        match outcomes.get(key.as_str()) {
            None | Some(Some(Outcome::Completed)) => {}
            Some(_) => lost.push(Violation::LostResult { key: key.clone() }),
        }
    }
    lost
}

/// Relies on the entries of each endpoint being in the order of its work.
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
                accepted: fencing,
            });
        }
        *newest = fencing.max(*newest);
    }
    stale
}

/// Reports the first call of each endpoint that started too long after it announced `leaving`.
fn work_after_leaving(evidence: &Evidence) -> Vec<Violation> {
    let mut left_at: BTreeMap<&str, u64> = BTreeMap::new();
    let mut late: BTreeMap<&str, u64> = BTreeMap::new();
    for entry in &evidence.journals {
        let endpoint = entry.endpoint.as_str();
        match (&entry.event, left_at.get(endpoint)) {
            (Event::Leaving, _) => {
                left_at.insert(endpoint, entry.at_ms);
            }
            (Event::Started, Some(at)) if entry.at_ms > at + LEAVING_GRACE_MS => {
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

/// Ignores revision 0, which a gate reports until it knows a revision.
fn reverted_revisions(evidence: &Evidence) -> Vec<Violation> {
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut reverted = Vec::new();
    for observed in evidence
        .revisions
        .iter()
        .filter(|observed| observed.revision > 0)
    {
        let newest = newest.entry(&observed.gate).or_default();
        if observed.revision < *newest {
            reverted.push(Violation::RevertedRevision {
                gate: observed.gate.clone(),
                from: *newest,
                to: observed.revision,
            });
        }
        *newest = (*newest).max(observed.revision);
    }
    reverted
}
