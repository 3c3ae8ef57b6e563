//! Bootstrap of a group of real keepers.

mod env;

use std::fs;

use env::{Group, az, submission};
use tokio::time::Instant;

#[tokio::test(flavor = "multi_thread")]
async fn the_first_leader_may_be_killed_right_after_its_election() {
    for round in 0..3 {
        let mut group = Group::start(3).await;
        let leader = group.leader().await;
        group.kill(leader);
        let start = Instant::now();
        let change = submission(0, vec![az("rockland", "gulf-maine")]);
        assert_eq!(group.submit(&change).await.revision, 1);
        println!(
            "round {round}: next change accepted after {:?}",
            start.elapsed()
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn two_wiped_keepers_form_no_new_group_while_the_third_is_down() {
    let mut group = Group::start(3).await;
    let change = submission(0, vec![az("rockland", "gulf-maine")]);
    assert_eq!(group.submit(&change).await.revision, 1);
    let intact = group.leader().await;
    let wiped: Vec<_> = (0..3).filter(|i| *i != intact).collect();
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
    // The third joins no new group and keeps the accepted change.
    group.restart(intact);
    assert!(group.api_of(intact).submit(&other).await.is_err());
    let status = group.status(intact).await.unwrap();
    assert_ne!(status.role, "stopped", "{status:?}");
    let files = fs::read_dir(group.data(intact)).unwrap();
    let contents = files.map(|f| fs::read(f.unwrap().path()).unwrap());
    let has_accepted_change = |bytes: Vec<u8>| bytes.windows(8).any(|window| window == b"rockland");
    assert!(contents.into_iter().any(has_accepted_change));
}
