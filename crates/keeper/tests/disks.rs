//! Wiped, truncated and corrupted data folders.

mod env;

use std::{
    fs::{self, OpenOptions},
    io::Write,
    path::PathBuf,
    time::Duration,
};

use env::{Group, LIMIT, az, submission};
use tokio::time::{sleep, timeout};

async fn submit_changes(group: &Group, from: u64, n: u64) {
    for base in from..from + n {
        let change = submission(base, vec![az("rockland", &format!("r{base}"))]);
        assert_eq!(group.submit(&change).await.revision, base + 1);
    }
}

/// Returns the path of keeper `i`'s newest log segment.
fn last_segment(group: &Group, i: usize) -> PathBuf {
    let files = fs::read_dir(group.data(i)).unwrap();
    let paths = files.map(|f| f.unwrap().path());
    let logs = paths.filter(|p| p.extension().is_some_and(|e| e == "log"));
    logs.max().unwrap()
}

/// Waits until keeper `i` itself serves the declaration at `revision`.
async fn wait_for_revision(group: &Group, i: usize, revision: u64) {
    let reached = async {
        loop {
            match group.api_of(i).declaration().await {
                Ok(declared) if declared.revision == revision => return,
                _ => sleep(Duration::from_millis(50)).await,
            }
        }
    };
    timeout(LIMIT, reached).await.expect("caught up in time");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_torn_by_a_crash_is_truncated() {
    let mut group = Group::start(3).await;
    submit_changes(&group, 0, 10).await;
    let i = (group.leader().await + 1) % 3;
    group.kill(i);
    let path = last_segment(&group, i);
    let partial_entry = fs::read(&path).unwrap()[..9].to_vec();
    let mut file = OpenOptions::new().append(true).open(&path).unwrap();
    file.write_all(&partial_entry).unwrap();
    drop(file);
    group.restart(i);
    submit_changes(&group, 10, 5).await;
    wait_for_revision(&group, i, 15).await;
}

/// A disk that loses synced data, so that the leader's matched index is past the keeper's log.
#[tokio::test(flavor = "multi_thread")]
async fn a_tail_lost_after_its_sync_is_replicated_again() {
    let mut group = Group::start(3).await;
    submit_changes(&group, 0, 10).await;
    let i = (group.leader().await + 1) % 3;
    group.kill(i);
    let path = last_segment(&group, i);
    let len = fs::metadata(&path).unwrap().len();
    let file = OpenOptions::new().write(true).open(&path).unwrap();
    file.set_len(len - 7).unwrap();
    drop(file);
    group.restart(i);
    submit_changes(&group, 10, 5).await;
    wait_for_revision(&group, i, 15).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn damage_before_the_tail_stops_the_keeper_and_names_file_and_offset() {
    let mut group = Group::start(3).await;
    submit_changes(&group, 0, 20).await;
    let i = (group.leader().await + 1) % 3;
    group.kill(i);
    let path = last_segment(&group, i);
    let mut bytes = fs::read(&path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    fs::write(&path, bytes).unwrap();
    let line = group.try_restart(i).unwrap_err();
    assert!(line.contains("damaged at byte"), "{line}");
    let name = path.file_name().unwrap().to_str().unwrap();
    assert!(line.contains(name), "{line}");
    submit_changes(&group, 20, 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wiped_keeper_does_not_vote_under_its_old_identity() {
    let mut group = Group::start(3).await;
    submit_changes(&group, 0, 5).await;
    let i = (group.leader().await + 1) % 3;
    group.kill(i);
    fs::remove_dir_all(group.data(i)).unwrap();
    group.restart(i);
    // The other two are still a quorum, and accepted changes stay.
    submit_changes(&group, 5, 3).await;
    let other = group.leader().await;
    assert_ne!(other, i);
    group.kill(other);
    // One voter and the wiped keeper are no quorum.
    let last = (0..3).find(|k| *k != i && *k != other).unwrap();
    let change = submission(8, vec![az("rockland", "lost")]);
    for _ in 0..5 {
        assert!(group.api_of(last).submit(&change).await.is_err());
    }
    group.restart(other);
    assert_eq!(group.submit(&change).await.revision, 9);
}
