//! Disks that are full for a few seconds each, one after another, beside changes and snapshots.

mod common;

use std::time::Duration;

use common::{group::Group, paused};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::timeout;

const VOTERS: usize = 3;
const SEEDS: u64 = 20;
/// How often each disk is full.
const ROUNDS: usize = 2;
/// Most bytes that a disk takes before it is full; a few frames and part of a snapshot.
const MAX_SPACE: usize = 700;
/// Time between changes, and between restarts of a replica that has failed.
const STEP: Duration = Duration::from_millis(100);
const RESTART_STEPS: usize = 5;
const FULL_STEPS: usize = 30;
/// Steps with room between two full disks.
const CALM_STEPS: usize = 15;
/// Time in which a change is accepted once all disks have room.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Proposes changes everywhere for a number of steps, and restarts replicas that failed. Returns how
/// often one was seen that had failed.
async fn run_steps(group: &mut Group, steps: usize) -> usize {
    let mut failures = 0;
    for step in 0..steps {
        failures += group
            .running()
            .filter(|replica| replica.status().failed.is_some())
            .count();
        for name in group.names() {
            group.propose_at(&name);
            if step % RESTART_STEPS == 0 {
                group.restart_in_process(&name).await;
            }
        }
        group.run_for(STEP).await;
    }
    failures
}

/// Guards against changes that are refused long after the last disk has room again.
#[test]
fn changes_are_accepted_after_each_disk_was_full_for_a_while() {
    for seed in 0..SEEDS {
        paused(async {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut group = Group::new(seed, None);
            group.snapshot_after = rng.random_range(4..30);
            group.add_all(VOTERS).await;
            group.commit().await;
            for _ in 0..ROUNDS {
                for name in group.names() {
                    let disk = group.nodes[&name].disk.clone();
                    disk.set_space(rng.random_range(0..MAX_SPACE));
                    let failures = run_steps(&mut group, FULL_STEPS).await;
                    assert!(
                        failures > 0,
                        "seed {seed}: the disk of {name} was never full"
                    );
                    disk.set_space(usize::MAX);
                    run_steps(&mut group, CALM_STEPS).await;
                }
            }
            let committed = timeout(RECOVERY_TIME, group.commit()).await;
            committed
                .unwrap_or_else(|_| panic!("{}", group.report(&format!("seed {seed}: no commit"))));
            let verified = group.heal_and_verify().await;
            verified.unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        });
    }
}
