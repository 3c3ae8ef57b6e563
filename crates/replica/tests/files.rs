//! Truncated, torn and corrupted files of a single replica.

mod common;

use common::{disk::FakeDisk, group::Group, paused};
use proptest::{
    prelude::*,
    test_runner::{Config, TestRng, TestRunner},
};
use replica::ReplicaError;

const RNG_SEED: [u8; 32] = [4; 32];

/// Returns a group of one replica with `count` entries that has lost power.
async fn group_after_power_loss(count: usize) -> Group {
    let mut group = Group::new(1, None);
    group.snapshot_after = 1_000;
    group.add_all(1).await;
    for _ in 0..count {
        group.commit().await;
    }
    group.crash("a").await;
    group
}

fn segments(disk: &FakeDisk) -> Vec<String> {
    let names = disk.names().into_iter();
    names.filter(|n| n.strip_suffix(".log").is_some()).collect()
}

/// Starts the replica and returns the number of entries it applied.
async fn entries(group: &mut Group) -> Result<usize, ReplicaError> {
    group.start("a").await?;
    group.leader().await;
    let count = group.nodes["a"].history.lock().unwrap().len();
    Ok(count)
}

#[test]
fn a_tail_torn_at_any_byte_is_truncated() {
    paused(async {
        let mut group = group_after_power_loss(3).await;
        let disk = group.nodes["a"].disk.clone();
        let name = segments(&disk).pop().unwrap();
        let intact = disk.bytes(&name);
        let mut entry_counts = Vec::new();
        for length in 0..=intact.len() {
            disk.overwrite(&name, intact[..length].to_vec());
            entry_counts.push(entries(&mut group).await.unwrap());
            group.crash("a").await;
        }
        assert!(entry_counts.is_sorted(), "{entry_counts:?}");
        assert_eq!((entry_counts[0], entry_counts[intact.len()]), (0, 3));
    });
}

#[test]
fn a_suspect_tail_is_distinguished_from_a_torn_one() {
    paused(async {
        let mut group = group_after_power_loss(3).await;
        let disk = group.nodes["a"].disk.clone();
        let (name, frames) = disk.last_frames().unwrap();
        let (intact, last) = (disk.bytes(&name), frames.last().unwrap().clone());
        let mut is_marked_suspect = async |bytes: Vec<u8>| {
            disk.overwrite(&name, bytes);
            group.start("a").await.unwrap();
            let names = disk.names();
            group.leader().await;
            group.crash("a").await;
            names.iter().any(|name| name == "doubt")
        };
        for end in last.start..=last.end {
            assert!(
                !is_marked_suspect(intact[..end].to_vec()).await,
                "cut at {end}"
            );
        }
        for at in last {
            for bit in 0..8 {
                let mut flipped = intact.clone();
                flipped[at] ^= 1 << bit;
                assert!(is_marked_suspect(flipped).await, "bit {bit} of byte {at}");
            }
        }
        // A sole voter that becomes leader has the authoritative log and clears the marker.
        assert!(!is_marked_suspect(intact).await);
    });
}

/// Guards against a voter that counts as suspect, and does not vote, after a write of which the last
/// pages were lost.
#[test]
fn a_last_frame_that_ends_in_unwritten_pages_is_torn() {
    paused(async {
        let mut group = group_after_power_loss(3).await;
        let disk = group.nodes["a"].disk.clone();
        let (name, frames) = disk.last_frames().unwrap();
        let (intact, last) = (disk.bytes(&name), frames.last().unwrap().clone());
        for start in last.clone() {
            let mut bytes = intact.clone();
            bytes[start..last.end].fill(0);
            let changed_bits: u32 = bytes
                .iter()
                .zip(&intact)
                .map(|(a, b)| (a ^ b).count_ones())
                .sum();
            disk.overwrite(&name, bytes);
            group.start("a").await.unwrap();
            let is_suspect = disk.names().iter().any(|name| name == "doubt");
            // One changed bit may have been acknowledged.
            assert_eq!(is_suspect, changed_bits == 1, "zeros from {start}");
            group.leader().await;
            group.crash("a").await;
        }
    });
}

#[test]
fn corruption_before_the_tail_is_reported_with_file_and_offset() {
    paused(async {
        let mut group = group_after_power_loss(30).await;
        let disk = group.nodes["a"].disk.clone();
        let names = segments(&disk);
        assert!(names.len() > 2, "{names:?}");
        for (name, is_last) in [(&names[1], false), (names.last().unwrap(), true)] {
            let intact = disk.bytes(name);
            let mut corrupt = intact.clone();
            // Corrupt the first frame, which is followed by others.
            corrupt[20] ^= 1;
            disk.overwrite(name, corrupt);
            let refused = group.start("a").await.unwrap_err();
            assert!(
                matches!(&refused, ReplicaError::Corrupted { file, offset: 0, .. } if file == name),
                "{refused} {is_last}"
            );
            disk.overwrite(name, intact);
        }
        assert_eq!(entries(&mut group).await.unwrap(), 30);
    });
}

#[test]
fn a_missing_file_is_an_error() {
    paused(async {
        let mut group = group_after_power_loss(30).await;
        let disk = group.nodes["a"].disk.clone();
        let first = segments(&disk).remove(0);
        for name in [first.as_str(), "identity", "vote"] {
            let bytes = disk.bytes(name);
            (disk.disk().remove)(name).unwrap();
            let refused = group.start("a").await;
            assert!(
                matches!(refused, Err(ReplicaError::Corrupted { .. })),
                "{name}"
            );
            (disk.disk().write)(name, &bytes).unwrap();
        }
        assert_eq!(entries(&mut group).await.unwrap(), 30);
    });
}

/// A flipped bit in any file must either be reported or cost only the last frame; it must never
/// change an entry.
#[test]
fn a_flipped_bit_never_changes_an_entry() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(config.rng_algorithm, &RNG_SEED);
    let flips = (
        any::<prop::sample::Index>(),
        any::<prop::sample::Index>(),
        0..8u32,
    );
    let outcome = TestRunner::new_with_rng(config, rng).run(&flips, |(file, byte, bit)| {
        paused(async {
            let mut group = group_after_power_loss(12).await;
            let disk = group.nodes["a"].disk.clone();
            let names = disk.names();
            let name = file.get(&names);
            let mut bytes = disk.bytes(name);
            let at = byte.index(bytes.len());
            bytes[at] ^= 1 << bit;
            disk.overwrite(name, bytes);
            if let Ok(count) = entries(&mut group).await {
                prop_assert!(count >= 11, "{name} {at}: {count} entries");
            }
            // The state machine compares each entry with the first one applied at its index.
            let violations = group.checks.violations();
            let changed = violations.iter().any(|v| v.starts_with("two entries"));
            prop_assert!(!changed, "{name} {at}: {violations:?}");
            Ok(())
        })
    });
    outcome.unwrap();
}
