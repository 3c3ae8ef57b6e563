//! How a group of real keepers begins.

mod env;

use std::fs;

use env::{Group, az, submission};
use tokio::time::Instant;

#[tokio::test(flavor = "multi_thread")]
async fn the_first_leader_may_be_killed_as_soon_as_it_leads() {
    for round in 0..3 {
        let mut group = Group::start(3).await;
        let leader = group.leader().await;
        group.kill(leader);
        let start = Instant::now();
        let change = submission(0, vec![az("rockland", "gulf-maine")]);
        assert_eq!(group.submit(&change).await.revision, 1);
        println!("round {round}: a change again after {:?}", start.elapsed());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn two_wiped_keepers_begin_nothing_while_the_third_is_off() {
    let mut group = Group::start(3).await;
    let change = submission(0, vec![az("rockland", "gulf-maine")]);
    assert_eq!(group.submit(&change).await.revision, 1);
    let kept = group.leader().await;
    let wiped: Vec<_> = (0..3).filter(|i| *i != kept).collect();
    (0..3).for_each(|i| group.kill(i));
    for &i in &wiped {
        fs::remove_dir_all(group.data(i)).unwrap();
        group.restart(i);
    }
    let other = submission(0, vec![az("bucksport", "gulf-maine")]);
    for _ in 0..5 {
        for &i in &wiped {
            assert!(group.api_of(i).submit(&other).await.is_err());
        }
    }
    // The third takes part in no other group, and keeps what was accepted.
    group.restart(kept);
    assert!(group.api_of(kept).submit(&other).await.is_err());
    let status = group.status(kept).await.unwrap();
    assert_ne!(status.role, "stopped", "{status:?}");
    let files = fs::read_dir(group.data(kept)).unwrap();
    let contents = files.map(|f| fs::read(f.unwrap().path()).unwrap());
    let is_accepted = |bytes: Vec<u8>| bytes.windows(8).any(|window| window == b"rockland");
    assert!(contents.into_iter().any(is_accepted));
}
