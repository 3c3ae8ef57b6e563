//! Disks that are slow but work, under the real clock.

mod common;

use std::time::Duration;

use common::group::Group;
use tokio::time::timeout;

/// Time of one sync; a vote takes two.
const SYNC_MS: u64 = 300;
/// Limit of all waits.
const LONG: Duration = Duration::from_mins(1);

/// Guards against elections that are never won while each vote takes longer to store than a candidate
/// waits, although every disk works.
#[tokio::test(flavor = "multi_thread")]
async fn a_group_whose_disks_are_all_slow_elects_a_leader() {
    let mut group = Group::new(21, None);
    group.has_blocking_disks = true;
    group.add_all(3).await;
    group.commit().await;
    let leader = group.leader().await.status().name;
    for node in group.nodes.values() {
        node.disk.set_sync_time(SYNC_MS);
    }
    group.crash(&leader).await;
    let committed = timeout(LONG, group.commit()).await;
    let report = || group.report("no commit");
    committed.unwrap_or_else(|_| panic!("{}", report()));
    for node in group.nodes.values() {
        node.disk.set_sync_time(0);
    }
    group.heal_and_verify().await.unwrap();
}
