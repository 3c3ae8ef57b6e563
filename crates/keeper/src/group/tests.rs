use std::time::Duration;

use replica::{MemberChange, Members, PeerStatus, Role, Status};

use super::{GroupConfig, Membership, membership, next_change};

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
        is_known: true,
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
fn a_standby_takes_the_place_of_a_voter_that_is_gone_and_then_the_voter_goes() {
    let fresh = Duration::from_millis(100);
    let peers = vec![peer("b", fresh), peer("c", 3 * SECOND), peer("d", fresh)];
    let before = status(&["a", "b", "c"], &["d"], peers.clone());
    let promote = MemberChange::Promote { name: "d".into() };
    assert_eq!(next_change(&cfg(), &before, SECOND), Some(promote));
    let between = status(&["a", "b", "c", "d"], &[], peers);
    let remove = MemberChange::Remove { name: "c".into() };
    assert_eq!(next_change(&cfg(), &between, SECOND), Some(remove));
}

#[test]
fn nobody_is_replaced_without_a_standby_or_during_a_short_silence() {
    let fresh = Duration::from_millis(100);
    let gone = status(
        &["a", "b", "c"],
        &[],
        vec![peer("b", fresh), peer("c", 60 * SECOND)],
    );
    assert_eq!(next_change(&cfg(), &gone, SECOND), None);
    let peers = vec![peer("b", fresh), peer("c", SECOND), peer("d", fresh)];
    let short = status(&["a", "b", "c"], &["d"], peers);
    assert_eq!(next_change(&cfg(), &short, SECOND), None);
}

#[test]
fn a_voter_that_was_gone_before_the_leader_led_is_replaced_too() {
    let fresh = Duration::from_millis(100);
    let mut never = peer("c", fresh);
    never.silent_for = None;
    let status = status(
        &["a", "b", "c"],
        &["d"],
        vec![peer("b", fresh), never, peer("d", fresh)],
    );
    assert_eq!(next_change(&cfg(), &status, SECOND), None);
    let promote = MemberChange::Promote { name: "d".into() };
    assert_eq!(next_change(&cfg(), &status, 2 * SECOND), Some(promote));
}

#[test]
fn a_voter_whose_folder_was_lost_is_replaced_at_once() {
    let fresh = Duration::from_millis(100);
    let mut wiped = peer("c", fresh);
    wiped.is_known = false;
    let peers = vec![peer("b", fresh), wiped, peer("c~1", fresh)];
    let status = status(&["a", "b", "c"], &["c~1"], peers);
    let promote = MemberChange::Promote { name: "c~1".into() };
    assert_eq!(next_change(&cfg(), &status, SECOND), Some(promote));
}

#[test]
fn a_lost_folder_makes_a_new_member() {
    let folder = tempfile::tempdir().unwrap();
    let link = "127.0.0.1:7740".parse().unwrap();
    let first = membership(folder.path(), link, &[link]).unwrap();
    let expected = Membership {
        name: link.to_string(),
        voters: vec![link.to_string()],
    };
    assert_eq!(first, expected);
    // It stays who it is, whatever the settings say later.
    assert_eq!(membership(folder.path(), link, &[]).unwrap(), expected);
    let empty = tempfile::tempdir().unwrap();
    let other = membership(empty.path(), link, &[]).unwrap();
    assert!(other.voters.is_empty() && other.name != first.name);
}
