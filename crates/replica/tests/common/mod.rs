//! A group of replicas on fake disks and links under a paused clock.

#![allow(dead_code, reason = "each test binary uses its part")]

pub mod checks;
pub mod disk;
pub mod group;
pub mod net;

/// Runs `test` on one thread with a paused clock.
pub fn paused<T>(test: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
        .block_on(test)
}
