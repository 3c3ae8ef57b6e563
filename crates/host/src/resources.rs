//! What the VM of a process has: memory, file descriptors and the bandwidth of its link.

use std::fs;

use rustix::process::{Resource, getrlimit};

use crate::settings::Reader;

const BYTES_PER_MB: u64 = 1_000_000;
const BITS_PER_MBIT: f64 = 1e6;
/// Assumed where neither the settings nor the machine name the memory, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 256 * BYTES_PER_MB;

/// Memory of a VM for each worker thread. The allocator keeps freed memory of each thread.
const BYTES_PER_WORKER_THREAD: u64 = 128 * BYTES_PER_MB;

/// Resources of a VM, from which limits are derived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resources {
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Number of file descriptors that the process may have open.
    pub descriptors: u64,
    /// Size of the VM's data disk in bytes, if known.
    pub disk_bytes: Option<u64>,
    /// Bandwidth of the VM's link in bit/s, if known.
    pub link_bits_per_second: Option<f64>,
}

impl Resources {
    /// Reads `[resources]`; missing or empty values are those of the machine. `reader` collects the
    /// faults.
    pub fn read(reader: &mut Reader) -> Self {
        let machine = Self::of_machine();
        let memory_mb = positive(reader, "memory_mb");
        let descriptors = positive(reader, "descriptors");
        let disk_mb = not_negative(reader, "disk_mb").filter(|mb| *mb > 0.0);
        let link_mbps = positive(reader, "link_mbps");
        Self {
            memory_bytes: memory_mb
                .map_or(machine.memory_bytes, |mb| (mb * BYTES_PER_MB as f64) as u64),
            descriptors: descriptors.map_or(machine.descriptors, |n| n as u64),
            disk_bytes: disk_mb.map(|mb| (mb * BYTES_PER_MB as f64) as u64),
            link_bits_per_second: link_mbps.map(|mbps| mbps * BITS_PER_MBIT),
        }
    }

    /// Returns the number of threads that run a role's tasks on a machine with `cores`.
    pub fn worker_threads(&self, cores: usize) -> usize {
        let by_memory = self.memory_bytes / BYTES_PER_WORKER_THREAD;
        usize::try_from(by_memory)
            .unwrap_or(usize::MAX)
            .clamp(1, cores.max(1))
    }

    /// Returns the memory of this machine and the soft limit of open files of this process.
    pub fn of_machine() -> Self {
        let memory = fs::read_to_string("/proc/meminfo").ok();
        Self {
            memory_bytes: memory
                .and_then(|text| total_memory(&text))
                .unwrap_or(DEFAULT_MEMORY_BYTES),
            descriptors: getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX),
            disk_bytes: None,
            link_bits_per_second: None,
        }
    }
}

/// Returns the total memory in bytes that `meminfo` names.
fn total_memory(meminfo: &str) -> Option<u64> {
    let mut lines = meminfo.lines();
    let total = lines.find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: u64 = total.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kib << 10)
}

/// Returns a positive number of `[resources]`, or `None` if it is missing, empty or invalid.
fn positive(reader: &mut Reader, key: &str) -> Option<f64> {
    number(reader, key, "a positive number", |n| n > 0.0)
}

/// Like [`positive`], for a number that may be 0.
fn not_negative(reader: &mut Reader, key: &str) -> Option<f64> {
    number(reader, key, "a number from 0 on", |n| n >= 0.0)
}

fn number(
    reader: &mut Reader,
    key: &str,
    expected: &str,
    is_valid: fn(f64) -> bool,
) -> Option<f64> {
    const SECTION: &str = "resources";
    let text = reader.text(SECTION, key).filter(|text| !text.is_empty())?;
    let parsed = text.parse().ok();
    let number = parsed.filter(|n: &f64| n.is_finite() && is_valid(*n));
    if number.is_none() {
        reader.fault(SECTION, key, format!("`{text}` is not {expected}"));
    }
    number
}

#[cfg(test)]
mod tests;
