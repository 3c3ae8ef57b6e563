//! Faults one by one, on fake disks and links.

mod common;

use std::time::Duration;

use common::{
    group::{Group, add_learner, names, promote, remove},
    paused,
};
use replica::{MemberChange, ProposeError, Role};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn three_voters_agree() {
    paused(async {
        let mut group = Group::of(3, 1).await;
        for _ in 0..50 {
            group.commit().await;
        }
        group.settle().await.unwrap();
    });
}

#[test]
fn a_leader_that_crashes_is_replaced_and_comes_back() {
    paused(async {
        let mut group = Group::of(3, 2).await;
        for _ in 0..5 {
            group.commit().await;
            let leader = group.leader().await.status().name;
            group.crash(&leader).await;
            group.commit().await;
            group.restart(&leader).await;
        }
        group.settle().await.unwrap();
    });
}
