use std::time::Duration;

use replica::{MemberChange, Members, PeerStatus, Role, Status};

use super::{GroupConfig, MemberIdentity, load_or_create_identity, next_change};

const SECOND: Duration = Duration::from_secs(1);

fn cfg() -> GroupConfig {
    GroupConfig {
        founders: Vec::new(),
        seeds: Vec::new(),
        voters: 3,
        replace_voter_after: 2 * SECOND,
        remove_learner_after: 10 * SECOND,
    }
}

fn peer(name: &str, silent: Duration) -> PeerStatus {
    PeerStatus {
        name: name.to_owned(),
        matched: 9,
        lag: 0,
        silent_for: Some(silent),
        has_known_identity: true,
    }
}

fn status(voters: &[&str], learners: &[&str], peers: Vec<PeerStatus>) -> Status {
    let names = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    Status {
        name: "a".to_owned(),
        role: Role::Leader,
        term: 1,
        leader: Some("a".to_owned()),
        commit: 9,
        applied: 9,
        last: 9,
        voters: names(voters),
        learners: names(learners),
        members: Members::default(),
        peers,
        failed: None,
    }
}

#[test]
fn a_learner_replaces_a_failed_voter_before_the_voter_is_removed() {
    let recent = Duration::from_millis(100);
    let peers = vec![peer("b", recent), peer("c", 3 * SECOND), peer("d", recent)];
    let before = status(&["a", "b", "c"], &["d"], peers.clone());
    let promote = MemberChange::Promote { name: "d".into() };
    assert_eq!(next_change(&cfg(), &before, SECOND), Some(promote));
    let between = status(&["a", "b", "c", "d"], &[], peers);
    let remove = MemberChange::Remove { name: "c".into() };
    assert_eq!(next_change(&cfg(), &between, SECOND), Some(remove));
}

#[test]
fn no_voter_is_replaced_without_a_learner_or_after_a_short_silence() {
    let recent = Duration::from_millis(100);
    let failed = status(
        &["a", "b", "c"],
        &[],
        vec![peer("b", recent), peer("c", 60 * SECOND)],
    );
    assert_eq!(next_change(&cfg(), &failed, SECOND), None);
    let peers = vec![peer("b", recent), peer("c", SECOND), peer("d", recent)];
    let short = status(&["a", "b", "c"], &["d"], peers);
    assert_eq!(next_change(&cfg(), &short, SECOND), None);
}

#[test]
fn a_voter_that_failed_before_the_election_is_replaced_too() {
    let recent = Duration::from_millis(100);
    let mut unanswered = peer("c", recent);
    unanswered.silent_for = None;
    let status = status(
        &["a", "b", "c"],
        &["d"],
        vec![peer("b", recent), unanswered, peer("d", recent)],
    );
    assert_eq!(next_change(&cfg(), &status, SECOND), None);
    let promote = MemberChange::Promote { name: "d".into() };
    assert_eq!(next_change(&cfg(), &status, 2 * SECOND), Some(promote));
}

#[test]
fn a_voter_that_lost_its_folder_is_replaced_at_once() {
    let recent = Duration::from_millis(100);
    let mut wiped = peer("c", recent);
    wiped.has_known_identity = false;
    let peers = vec![peer("b", recent), wiped, peer("c~1", recent)];
    let status = status(&["a", "b", "c"], &["c~1"], peers);
    let promote = MemberChange::Promote { name: "c~1".into() };
    assert_eq!(next_change(&cfg(), &status, SECOND), Some(promote));
}

#[test]
fn a_member_without_its_folder_gets_a_new_identity() {
    let folder = tempfile::tempdir().unwrap();
    let link = "127.0.0.1:7740".parse().unwrap();
    let first = load_or_create_identity(folder.path(), link, &[link]).unwrap();
    let expected = MemberIdentity {
        name: link.to_string(),
        voters: vec![link.to_string()],
    };
    assert_eq!(first, expected);
    // The stored identity wins over later settings.
    assert_eq!(
        load_or_create_identity(folder.path(), link, &[]).unwrap(),
        expected
    );
    let empty = tempfile::tempdir().unwrap();
    let other = load_or_create_identity(empty.path(), link, &[]).unwrap();
    assert!(other.voters.is_empty() && other.name != first.name);
}
