//! A request is reported as not run only if no earlier request with its key can have run either.

use std::time::Duration;

use host::problem::Outcome;
use link::keeper::{IntentReply, Settlement};
use outbound::SendState;
use salvo::http::HeaderMap;

use crate::{
    call_record::{CallRecord, KeyState, OnceState},
    error::{CallError, Cause, StageError},
    ledger::ClaimReply,
    refusal::{IDEMPOTENCY_KEY, refusal, without_promise},
};

const RETRY_AFTER: Duration = Duration::from_millis(700);

/// Status, outcome and `retry_after_ms` that the caller gets.
type Answer = (u16, Outcome, Option<u64>);

fn answer(record: &CallRecord, cause: Cause) -> Answer {
    let error = StageError::new("book", cause);
    let problem = error.problem(record.outcome(), "r");
    (
        problem.status,
        problem.outcome.unwrap(),
        problem.retry_after_ms,
    )
}

fn record_with(key_state: KeyState) -> CallRecord {
    let record = CallRecord::new(true);
    record.set_key_state(key_state);
    record
}

fn no_endpoint() -> Cause {
    Cause::NoEndpoint {
        reason: "none".to_owned(),
        retry_after: RETRY_AFTER,
    }
}

fn workspace_limit() -> Cause {
    Cause::Admission {
        reason: "too many",
        is_workspace_limit: true,
        retry_after: RETRY_AFTER,
    }
}

fn no_quorum() -> Cause {
    Cause::Ledger("no quorum".to_owned())
}

#[test]
fn without_a_reply_of_the_ledger_the_outcome_is_unknown() {
    let record = record_with(KeyState::Unverified);
    assert!(record.needs_ledger());
    for cause in [no_endpoint(), workspace_limit()] {
        let expected = (502, Outcome::Unknown, Some(700));
        assert_eq!(answer(&record, cause.clone()), expected, "{cause}");
    }
    for cause in [
        no_quorum(),
        Cause::Call(CallError::Connect("refused".to_owned())),
    ] {
        let expected = (502, Outcome::Unknown, Some(1_000));
        assert_eq!(answer(&record, cause.clone()), expected, "{cause}");
    }
    let deadline = Cause::Call(CallError::Deadline);
    assert_eq!(answer(&record, deadline).0, 504);
}

#[test]
fn a_key_that_the_ledger_reports_as_free_has_not_run() {
    let record = record_with(KeyState::Free);
    assert!(!record.needs_ledger());
    let not_run = |status, retry_after_ms| (status, Outcome::NotRun, retry_after_ms);
    assert_eq!(answer(&record, no_endpoint()), not_run(503, Some(700)));
    assert_eq!(answer(&record, workspace_limit()), not_run(429, Some(700)));
    assert_eq!(
        answer(&record, Cause::LedgerFull),
        not_run(503, Some(1_000))
    );
    assert_eq!(answer(&record, Cause::Conflict), not_run(409, None));
    assert_eq!(answer(&record, Cause::InFuture), not_run(400, None));
}

#[test]
fn only_replies_that_exclude_an_earlier_call_free_a_key() {
    for (reply, is_free) in [
        (IntentReply::Conflict, true),
        (IntentReply::InFuture, true),
        (IntentReply::Full, true),
        (IntentReply::TooOld, false),
        (IntentReply::InProgress, false),
        (IntentReply::Settled(Settlement::Unknown), false),
        (IntentReply::Settled(Settlement::Released), false),
    ] {
        let label = format!("{reply:?}");
        assert_eq!(ClaimReply::Refused(reply).is_free(), is_free, "{label}");
    }
}

#[test]
fn a_key_older_than_the_ledger_may_have_run() {
    let record = record_with(KeyState::Free);
    assert_eq!(
        answer(&record, Cause::TooOld),
        (410, Outcome::Unknown, None)
    );
}

#[test]
fn a_claim_without_a_reply_takes_back_what_was_known() {
    let record = record_with(KeyState::Free);
    record.set_key_state(KeyState::Unverified);
    assert_eq!(answer(&record, no_quorum()).1, Outcome::Unknown);
}

#[test]
fn a_granted_call_that_was_not_sent_has_not_run() {
    let record = record_with(KeyState::Free);
    let send_state = SendState::new();
    let call = record.add(&send_state);
    record.set_once_state(OnceState::InDoubt(call));
    assert!(send_state.seal());
    let cause = Cause::Call(CallError::Unsent);
    assert_eq!(answer(&record, cause).1, Outcome::NotRun);
}

/// The endpoint's own statement is about its call, so it holds only for the key that it had.
#[test]
fn an_endpoint_that_refused_vouches_only_for_its_own_call() {
    let cause = Cause::Call(CallError::NotRun { retry_after: None });
    for (key_state, expected) in [
        (KeyState::Free, Outcome::NotRun),
        (KeyState::Unverified, Outcome::Unknown),
        (KeyState::NotNeeded, Outcome::NotRun),
    ] {
        let record = record_with(key_state);
        let call = record.add(&SendState::new());
        record.mark_refused(call);
        record.set_once_state(OnceState::Unsent);
        assert_eq!(answer(&record, cause.clone()).1, expected, "{key_state:?}");
    }
}

/// The earlier request ran the booking; this one failed at a later stage.
#[test]
fn a_stored_result_makes_later_failures_unknown() {
    let record = record_with(KeyState::Unverified);
    record.set_once_state(OnceState::Ran);
    assert!(!record.needs_ledger());
    assert_eq!(answer(&record, no_endpoint()).1, Outcome::Unknown);
}

#[test]
fn a_repeatable_request_needs_no_ledger() {
    let record = CallRecord::new(false);
    assert!(!record.needs_ledger());
    assert_eq!(
        answer(&record, no_endpoint()),
        (503, Outcome::NotRun, Some(700))
    );
}

#[test]
fn requests_with_a_key_that_are_refused_unread_promise_nothing() {
    let with_key: HeaderMap = [(IDEMPOTENCY_KEY.parse().unwrap(), "k".parse().unwrap())]
        .into_iter()
        .collect();
    for (status, kept, outcome) in [
        (503, 502, Some(Outcome::Unknown)),
        (429, 502, Some(Outcome::Unknown)),
        (408, 502, Some(Outcome::Unknown)),
        (400, 400, None),
        (403, 403, None),
        (404, 404, None),
        (413, 413, None),
    ] {
        let refused = || refusal(status, "kind", "Title", "detail");
        let problem = without_promise(refused(), &with_key);
        assert_eq!((problem.status, problem.outcome), (kept, outcome));
        let problem = without_promise(refused(), &HeaderMap::new());
        assert_eq!(
            (problem.status, problem.outcome),
            (status, Some(Outcome::NotRun))
        );
    }
}
