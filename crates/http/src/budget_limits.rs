//! How much of a process's memory and descriptors its clients may use.

/// Share of the memory, in percent. What bodies are joined from stays with the allocator, so they may
/// take twice the budget; with the process itself (10 MB) and the responses that an entry reads (16 MB)
/// that fits into 110 MB.
const MEMORY_PERCENT: usize = 33;

/// Part of the budget for the system's own calls and the platform's probes: one in so many.
const RESERVED_SHARE: usize = 8;

/// Descriptors for files, and at most one in [`FILE_SHARE`].
const FILE_FDS: usize = 200;

/// At most one descriptor in so many is kept for files.
const FILE_SHARE: usize = 5;

/// Memory of a process that knows no limit, in megabytes.
const DEFAULT_MEMORY_MB: usize = 512;

/// Descriptors of a process that knows no limit.
const DEFAULT_MAX_FDS: usize = 1024;

/// The budget of a process's clients.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// Bytes of all bodies, buffers and connections.
    pub bytes: usize,
    /// Number of connections.
    pub connections: usize,
    /// Bytes that callers cannot use.
    pub reserved_bytes: usize,
    /// Connections that callers cannot use.
    pub reserved_connections: usize,
}

impl BudgetLimits {
    /// Computes the budget of a process from its memory, in megabytes, and its descriptors; finds out
    /// itself what is `None`.
    #[must_use]
    pub fn of_process(memory_mb: Option<u32>, max_fds: Option<u32>) -> Self {
        let memory_mb = memory_mb.map_or_else(visible_memory_mb, |number| number as usize);
        let max_fds = max_fds.map_or_else(visible_max_fds, |number| number as usize);
        let bytes = memory_mb * 1024 * 1024 / 100 * MEMORY_PERCENT;
        // A third of the descriptors is for connections to targets, the store and peers.
        let connections = (max_fds - FILE_FDS.min(max_fds / FILE_SHARE)) / 3 * 2;
        Self {
            bytes,
            connections,
            reserved_bytes: bytes / RESERVED_SHARE,
            reserved_connections: connections / RESERVED_SHARE,
        }
    }
}

/// Returns the memory that the process can see, in megabytes: that of its control group or of the
/// machine.
fn visible_memory_mb() -> usize {
    let group = std::fs::read_to_string("/sys/fs/cgroup/memory.max").unwrap_or_default();
    let group_mb = group.trim().parse::<usize>().ok().map(|bytes| bytes / 1024 / 1024);
    let machine = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = machine.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let machine_mb = total
        .and_then(|text| text.trim().strip_suffix(" kB")?.trim().parse::<usize>().ok())
        .map(|kibibytes| kibibytes / 1024);
    group_mb.into_iter().chain(machine_mb).min().unwrap_or(DEFAULT_MEMORY_MB)
}

/// Returns the number of descriptors that the process may open.
fn visible_max_fds() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
    let soft = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    soft.unwrap_or(DEFAULT_MAX_FDS)
}
