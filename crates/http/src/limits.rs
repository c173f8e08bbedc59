//! Bounds that every connection keeps.

use std::time::Duration;

/// Longest accepted message head, in bytes.
const HEAD_BYTES: usize = 32 * 1024;

/// Most header fields in one head; the decoder's table holds 96.
const HEADER_FIELDS: usize = 90;

/// Time in which a started head has to arrive whole.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// Longest pause between two pieces of a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time that one write may wait for a slow reader.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Idle time before the first keep-alive probe of the connection.
pub(crate) const PROBE_IDLE: Duration = Duration::from_secs(1);

/// Time between two keep-alive probes.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the connection counts as lost.
pub(crate) const PROBES: u32 = 2;

/// Bounds of size and time for one connection.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Longest pause between two pieces of a body.
    pub body_timeout: Duration,
    /// Longest accepted head, in bytes.
    pub max_head_bytes: usize,
    /// Time in which a started head has to arrive whole.
    pub head_timeout: Duration,
    /// Most header fields in one head.
    pub max_header_fields: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Longest time that one write may wait for a slow reader.
    pub write_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            body_timeout: BODY_TIMEOUT,
            max_head_bytes: HEAD_BYTES,
            head_timeout: HEAD_TIMEOUT,
            max_header_fields: HEADER_FIELDS,
            idle_timeout: IDLE_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
        }
    }
}
