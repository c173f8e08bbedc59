//! The load of an engine as its sidecar reports it.

/// Request counts of a queue, by which other processes choose targets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Batch requests at the engine.
    pub batch_running: u32,
    /// Batch requests in the queue.
    pub batch_waiting: u32,
    /// Online requests at the engine.
    pub online_running: u32,
    /// Online requests in the queue.
    pub online_waiting: u32,
    /// Requests that the engine runs concurrently.
    pub slots: u32,
}
