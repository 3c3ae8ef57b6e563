//! Settlements that a keeper stores while there is no quorum.

mod env;

use std::time::Duration;

use env::{Fault, Group, LIMIT};
use link::{
    Channel,
    keeper::{
        Intent, IntentReply, KeeperReply, KeeperRequest, LedgerEntry, Output, Settle, Settlement,
    },
};
use tokio::time::{sleep, timeout};
use uuid::Uuid;

#[tokio::test(flavor = "multi_thread")]
async fn a_result_held_by_a_keeper_that_is_cut_off_and_killed_reaches_the_ledger() {
    let mut group = Group::start(3).await;
    let (key, attempt) = (Uuid::now_v7(), Uuid::new_v4());
    let keepers = group.links();
    let intent = KeeperRequest::Intent(Intent {
        key,
        digest: vec![7; 32],
        gate: "gate".to_owned(),
        incarnation: Uuid::nil(),
        attempt,
        service: "booking-desk".to_owned(),
        endpoint: "booking-1".to_owned(),
        expires: Duration::from_secs(30),
    });
    let granted = keepers.request(&intent, LIMIT).await.unwrap();
    assert_eq!(granted, KeeperReply::Intent(IntentReply::Granted));

    let isolated = (group.leader().await + 1) % 3;
    group.isolate(isolated, Fault::Reset);
    let settlement = Settlement::Completed(Output::Whole(b"booked".to_vec()));
    let req = KeeperRequest::Hold(Settle {
        key,
        attempt,
        settlement: settlement.clone(),
    });
    let peer = group.peer(isolated);
    peer.connected().await;
    let held: KeeperReply = peer.call(Channel::Keeper, &req, LIMIT).await.unwrap();
    assert_eq!(held, KeeperReply::Held);
    group.kill(isolated);
    group.restart(isolated);
    let reply = keepers.request(&KeeperRequest::Lookup(key), LIMIT).await;
    assert_eq!(reply.unwrap(), KeeperReply::Lookup(LedgerEntry::InProgress));

    group.isolate(isolated, Fault::None);
    let settled = KeeperReply::Lookup(LedgerEntry::Settled(settlement));
    let committed = async {
        while keepers
            .request(&KeeperRequest::Lookup(key), LIMIT)
            .await
            .unwrap()
            != settled
        {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(LIMIT, committed)
        .await
        .expect("the ledger has the result in time");
}
