//! A single voter on real files.

use std::{
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use replica::{MemberChange, Replica, ReplicaConfig, ReplicaError, StateMachine};

/// Creates a state machine that keeps every entry.
fn machine(entries: &Arc<Mutex<Vec<Vec<u8>>>>) -> StateMachine {
    let (apply, snapshot, restore) = (
        Arc::clone(entries),
        Arc::clone(entries),
        Arc::clone(entries),
    );
    StateMachine {
        apply: Box::new(move |_, entry| {
            let mut entries = apply.lock().unwrap();
            entries.push(entry.to_vec());
            vec![entries.len() as u8]
        }),
        snapshot: Box::new(move || {
            let view = snapshot.lock().unwrap().clone();
            Box::new(move || link::encode(&view))
        }),
        restore: Box::new(move |_, bytes| {
            *restore.lock().unwrap() = link::decode(bytes).map_err(|e| e.to_string())?;
            Ok(())
        }),
        digest: Box::new(|| 0),
    }
}

async fn start(cfg: &ReplicaConfig) -> (Replica, Arc<Mutex<Vec<Vec<u8>>>>) {
    let entries = Arc::default();
    let replica = Replica::start(cfg.clone(), vec![], machine(&entries)).await;
    (replica.unwrap(), entries)
}

/// Retries the proposal until the replica leads.
async fn propose(replica: &Replica, entry: &[u8]) -> replica::Applied {
    loop {
        if let Ok(applied) = replica.propose(entry.to_vec()).await {
            return applied;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn entries_are_applied_in_order_and_survive_restarts() {
    let folder = tempfile::tempdir().unwrap();
    let mut cfg = ReplicaConfig::new("a", folder.path().to_owned(), vec!["a".to_owned()]);
    cfg.snapshot_after = 10;
    let mut expected = Vec::new();
    for round in 0..30u8 {
        let (replica, entries) = start(&cfg).await;
        for n in 0..7u8 {
            let applied = propose(&replica, &[round, n]).await;
            expected.push(vec![round, n]);
            assert_eq!(applied.reply, [expected.len() as u8]);
        }
        assert!(replica.read_barrier().await.is_ok());
        assert_eq!(*entries.lock().unwrap(), expected);
        match round % 2 {
            0 => replica.stop().await,
            _ => replica.abort().await,
        }
    }
}

/// Fails a test that would hang.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);

/// Uses the real clock, since the encoder blocks its thread.
#[tokio::test(flavor = "multi_thread")]
async fn entries_are_applied_while_a_snapshot_is_encoded() {
    let folder = tempfile::tempdir().unwrap();
    let mut cfg = ReplicaConfig::new("a", folder.path().to_owned(), vec!["a".to_owned()]);
    cfg.snapshot_after = 10;
    let entries = Arc::default();
    let machine = machine(&entries);
    let (release, blocked) = mpsc::channel::<()>();
    let blocked = Arc::new(Mutex::new(blocked));
    let mut view = machine.snapshot;
    let machine = StateMachine {
        snapshot: Box::new(move || {
            let (encode, blocked) = (view(), Arc::clone(&blocked));
            Box::new(move || {
                // Fails once the test drops the sender.
                let _ = blocked.lock().unwrap().recv();
                encode()
            })
        }),
        ..machine
    };
    let replica = Replica::start(cfg.clone(), vec![], machine).await.unwrap();
    let proposing = async {
        for n in 0..30u8 {
            assert_eq!(propose(&replica, &[n]).await.reply, [n + 1]);
        }
    };
    let outcome = tokio::time::timeout(TEST_TIMEOUT, proposing).await;
    drop(release);
    outcome.expect("entries are applied during the snapshot");
    while !folder.path().join("snapshot").exists() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    replica.stop().await;
    drop(replica);
    let (replica, restored) = start(&cfg).await;
    propose(&replica, &[30]).await;
    let expected: Vec<_> = (0..=30u8).map(|n| vec![n]).collect();
    assert_eq!(*restored.lock().unwrap(), expected);
    replica.stop().await;
}

#[tokio::test]
async fn a_folder_has_one_process_and_one_name() {
    let folder = tempfile::tempdir().unwrap();
    let cfg = ReplicaConfig::new("a", folder.path().to_owned(), vec!["a".to_owned()]);
    let (replica, _) = start(&cfg).await;
    let second = Replica::start(cfg, vec![], machine(&Arc::default())).await;
    assert!(matches!(second, Err(ReplicaError::Locked { .. })));
    replica.stop().await;
    drop(replica);
    let cfg = ReplicaConfig::new("b", folder.path().to_owned(), vec!["b".to_owned()]);
    let other = Replica::start(cfg, vec![], machine(&Arc::default())).await;
    assert!(matches!(other, Err(ReplicaError::NameMismatch { .. })));
}

#[tokio::test]
async fn the_last_voter_cannot_be_removed() {
    let folder = tempfile::tempdir().unwrap();
    let cfg = ReplicaConfig::new("a", folder.path().to_owned(), vec!["a".to_owned()]);
    let (replica, _) = start(&cfg).await;
    propose(&replica, b"x").await;
    let change = MemberChange::RemoveUnsafely {
        name: "a".to_owned(),
    };
    let refused = replica.change_members(change).await.unwrap_err();
    assert!(refused.to_string().contains("last voter"), "{refused}");
    replica.stop().await;
}
