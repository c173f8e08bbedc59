//! Settings of a sidecar's admission.

use std::time::Duration;

use bon::Builder;

/// How the number of online requests at the target is limited.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LimitPolicy {
    /// The limit follows the latency that is seen, up to the target's slots.
    #[default]
    Adaptive,
    /// The limit is the number of the target's slots.
    Fixed,
}

/// In which order online requests leave the queue.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueueOrder {
    /// Organisations take turns by weight.
    #[default]
    FairShare,
    /// The first to come is the first to go.
    Fifo,
}

/// Bounds and switches of an [`AdmissionQueue`](super::AdmissionQueue).
#[derive(Builder, Clone, Debug)]
pub struct AdmissionSettings {
    /// Batch requests that the target may run beside online ones.
    #[builder(default = 8)]
    pub batch_beside_online: u32,
    /// Shortest time between two batch starts, which keeps long prompts apart.
    #[builder(default = Duration::from_millis(5))]
    pub batch_start_interval: Duration,
    /// Requests of both classes that the target may run at once.
    #[builder(default = 32)]
    pub slots: u32,
    /// How the number of online requests at the target is limited.
    #[builder(default)]
    pub limit: LimitPolicy,
    /// Whether requests whose deadline cannot be met are refused on arrival.
    #[builder(default = true)]
    pub early_refusal: bool,
    /// In which order online requests leave the queue.
    #[builder(default)]
    pub order: QueueOrder,
    /// Online requests that may wait.
    #[builder(default = 256)]
    pub max_waiting: usize,
    /// Whether online requests take the slots of batch requests.
    #[builder(default = true)]
    pub preemption: bool,
    /// Slots that batch always leaves free for the next online request.
    #[builder(default = 1)]
    pub reserved_slots: u32,
}
