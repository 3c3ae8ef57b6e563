use std::path::Path;

use super::{Resources, total_memory};
use crate::settings::Reader;

fn read(text: &str) -> (Resources, usize) {
    let mut reader = Reader::from_bytes("x.ini", Path::new(""), text.as_bytes()).unwrap();
    let resources = Resources::read(&mut reader);
    let faults = reader.finish().err().map_or(0, |faults| faults.0.len());
    (resources, faults)
}

#[test]
fn settings_go_before_the_machine() {
    let text = "[resources]\nmemory_mb = 120\ndescriptors = 3075\nlink_mbps = 7.5\ndisk_mb = 128\n";
    let (resources, faults) = read(text);
    assert_eq!(faults, 0);
    assert_eq!(
        resources,
        Resources {
            memory_bytes: 120_000_000,
            descriptors: 3_075,
            disk_bytes: Some(128_000_000),
            link_bits_per_second: Some(7_500_000.0),
        }
    );
}

#[test]
fn missing_and_empty_values_are_those_of_the_machine() {
    let (resources, faults) = read("[resources]\nmemory_mb =\n");
    assert_eq!(faults, 0);
    assert_eq!(resources, Resources::of_machine());
}

#[test]
fn a_vm_may_have_no_disk() {
    let (resources, faults) = read("[resources]\ndisk_mb = 0\n");
    assert_eq!((resources.disk_bytes, faults), (None, 0));
    let (_, faults) = read("[resources]\ndisk_mb = -1\n");
    assert_eq!(faults, 1);
}

#[test]
fn numbers_that_are_not_positive_are_faults() {
    let (_, faults) = read("[resources]\nmemory_mb = 0\ndescriptors = -1\nlink_mbps = fast\n");
    assert_eq!(faults, 3);
}

#[test]
fn total_memory_is_read_in_bytes() {
    let text = "MemTotal:         117188 kB\nMemFree: 1 kB\n";
    assert_eq!(total_memory(text), Some(117_188 << 10));
    assert_eq!(total_memory("nothing"), None);
}

/// Guards against a small VM with many cores whose threads together keep more memory than it has.
#[test]
fn worker_threads_are_bounded_by_cores_and_memory() {
    let threads = |megabytes: u64, cores| {
        let resources = Resources {
            memory_bytes: megabytes * 1_000_000,
            descriptors: 1_024,
            disk_bytes: None,
            link_bits_per_second: None,
        };
        resources.worker_threads(cores)
    };
    assert_eq!(
        (threads(120, 8), threads(256, 8), threads(400, 8)),
        (1, 2, 3)
    );
    assert_eq!(
        (threads(32_000, 8), threads(32_000, 1), threads(0, 0)),
        (8, 1, 1)
    );
}
