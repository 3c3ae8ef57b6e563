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
async fn held_settlements_survive_a_restart_until_removed() {
    let folder = tempfile::tempdir().unwrap();
    let held = HeldSettlements::open(folder.path()).unwrap();
    let (first, second) = (settle(), settle());
    held.insert(first.clone()).await.unwrap();
    held.insert(second.clone()).await.unwrap();
    held.insert(second.clone()).await.unwrap();
    held.remove(&first).await;
    let reopened = HeldSettlements::open(folder.path()).unwrap();
    assert_eq!(reopened.all(), [second]);
}

#[tokio::test]
async fn an_incomplete_file_is_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let held = HeldSettlements::open(folder.path()).unwrap();
    let complete = settle();
    held.insert(complete.clone()).await.unwrap();
    std::fs::write(folder.path().join("torn.new"), b"x").unwrap();
    let reopened = HeldSettlements::open(folder.path()).unwrap();
    assert_eq!(reopened.all(), [complete]);
}

#[tokio::test]
async fn a_failed_write_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("file");
    std::fs::write(&file, b"").unwrap();
    let held = HeldSettlements {
        folder: file.as_path().into(),
        ..HeldSettlements::open(folder.path()).unwrap()
    };
    assert!(held.insert(settle()).await.is_err());
    assert!(held.all().is_empty());
}
