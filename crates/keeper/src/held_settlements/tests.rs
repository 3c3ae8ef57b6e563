use link::keeper::{Output, Settle, Settlement};
use uuid::Uuid;

use super::HeldSettlements;

fn settle() -> Settle {
    Settle {
        key: Uuid::now_v7(),
        attempt: Uuid::new_v4(),
        settlement: Settlement::Completed(Output::Whole(b"booked".to_vec())),
    }
}

#[tokio::test]
async fn what_is_held_is_there_after_a_restart_until_it_is_removed() {
    let folder = tempfile::tempdir().unwrap();
    let held = HeldSettlements::open(folder.path()).unwrap();
    let (first, second) = (settle(), settle());
    held.keep(first.clone()).await.unwrap();
    held.keep(second.clone()).await.unwrap();
    held.keep(second.clone()).await.unwrap();
    held.remove(&first).await;
    let again = HeldSettlements::open(folder.path()).unwrap();
    assert_eq!(again.all(), [second]);
}

#[tokio::test]
async fn a_torn_file_is_left_out() {
    let folder = tempfile::tempdir().unwrap();
    let held = HeldSettlements::open(folder.path()).unwrap();
    let whole = settle();
    held.keep(whole.clone()).await.unwrap();
    std::fs::write(folder.path().join("torn.new"), b"x").unwrap();
    let again = HeldSettlements::open(folder.path()).unwrap();
    assert_eq!(again.all(), [whole]);
}

#[tokio::test]
async fn a_disk_that_refuses_is_said() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("file");
    std::fs::write(&file, b"").unwrap();
    let held = HeldSettlements {
        folder: file.as_path().into(),
        ..HeldSettlements::open(folder.path()).unwrap()
    };
    assert!(held.keep(settle()).await.is_err());
    assert!(held.all().is_empty());
}
