//! Limits of a connection.

use std::time::Duration;

/// Maximum size of a message head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Maximum number of header fields in one head; the decoder's table holds 96.
const MAX_HEADER_FIELDS: usize = 90;

/// Maximum time from the first byte of a head to its last.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// Maximum time between two pieces of a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum time that one write may wait for a slow reader.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Idle time before the first TCP keep-alive probe.
pub(crate) const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two TCP keep-alive probes.
pub(crate) const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered TCP keep-alive probes after which a connection counts as lost.
pub(crate) const KEEP_ALIVE_PROBES: u32 = 2;

/// Limits on size and time for one connection.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Maximum time between two pieces of a body.
    pub body_timeout: Duration,
    /// Maximum size of a head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Maximum number of header fields in one head.
    pub max_header_fields: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Maximum time that one write may wait for a slow reader.
    pub write_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            body_timeout: BODY_TIMEOUT,
            max_head_bytes: MAX_HEAD_BYTES,
            head_timeout: HEAD_TIMEOUT,
            max_header_fields: MAX_HEADER_FIELDS,
            idle_timeout: IDLE_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
        }
    }
}
