//! A group of replicas with in-memory disks and links under a paused clock.

#![allow(dead_code, reason = "each test binary uses only a part")]

pub mod checks;
pub mod disk;
pub mod group;
pub mod net;

/// Runs `test` on one thread with a paused clock.
pub fn paused<T>(test: impl Future<Output = T>) -> T {
    if std::env::var_os("REPLICA_TEST_LOG").is_none() {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    }
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
        .block_on(test)
}
