//! Shares of a VM's resources that a listener may hold for its clients.

/// Descriptors that are left to files.
const FILE_DESCRIPTORS: u64 = 200;
const CALLERS_PERCENT: u64 = 60;
const INTERNAL_PERCENT: u64 = 15;
const MEMORY_PERCENT: u64 = 20;
/// Smallest number of connections of a listener. Fewer would refuse a health check beside a scrape.
const MIN_CONNECTIONS: u64 = 8;
/// Largest socket buffer that a caller on a distant link needs: 10 Mbit/s with 25 ms round trip.
const MIN_SOCKET_BUFFER: u64 = 32 << 10;
/// The kernel's default receive buffer. Larger bounds are not set, which leaves its tuning on.
const DEFAULT_SOCKET_BUFFER: u64 = 128 << 10;

/// What the VM of a process has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmResources {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// File descriptors.
    pub descriptors: u64,
}

/// The group of listeners that share a part of the descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// The only listener for callers.
    Callers,
    /// One of `listeners` that serve readiness, control, metrics and links.
    Internal {
        /// Number of listeners that share the group's part evenly.
        listeners: u32,
    },
}

/// Limits of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Open connections.
    pub connections: usize,
    /// Bytes held for clients. Listeners that share a [`crate::ByteBudget`] share this limit.
    pub bytes: usize,
    /// Size of each of a connection's two socket buffers, where the kernel's would exceed `bytes`.
    pub socket_buffer: Option<usize>,
}

impl Limits {
    /// Derives the limits of a listener of `group` on a VM with `vm`.
    pub fn new(vm: VmResources, group: Group) -> Self {
        let usable = vm.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let share = match group {
            Group::Callers => percent(usable, CALLERS_PERCENT),
            Group::Internal { listeners } => {
                percent(usable, INTERNAL_PERCENT) / u64::from(listeners.max(1))
            }
        };
        let connections = share.max(MIN_CONNECTIONS);
        let bytes = percent(vm.memory_bytes, MEMORY_PERCENT);
        let each = bytes / connections / 2;
        Self {
            connections: usize::try_from(connections).unwrap_or(usize::MAX),
            bytes: usize::try_from(bytes).unwrap_or(usize::MAX),
            socket_buffer: (each < DEFAULT_SOCKET_BUFFER)
                .then_some(each.max(MIN_SOCKET_BUFFER) as usize),
        }
    }
}

fn percent(of: u64, percent: u64) -> u64 {
    // Divides first where the product would overflow.
    of.checked_mul(percent)
        .map_or(of / 100 * percent, |n| n / 100)
}

#[cfg(test)]
mod tests;
