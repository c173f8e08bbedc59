//! Limits of the machine that a process runs on.

use crate::DocumentReader;

/// Memory and file descriptors that a process may use; what is absent, the process finds out itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProcessLimits {
    /// Maximum number of open file descriptors.
    pub max_fds: Option<u32>,
    /// Memory in megabytes (2^20 bytes).
    pub memory_mb: Option<u32>,
}

impl ProcessLimits {
    /// Reads the fields `memory_mb` and `max_fds`, both optional.
    pub(crate) fn read(reader: &DocumentReader<'_>) -> Self {
        let read = |name, range| {
            reader.optional_text(name)?;
            reader.required_number(name, range).map(|number| number as u32)
        };
        Self {
            max_fds: read("max_fds", 64..=10_000_000),
            memory_mb: read("memory_mb", 32..=10_000_000),
        }
    }
}
