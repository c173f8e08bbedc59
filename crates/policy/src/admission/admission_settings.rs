//! Settings of a sidecar's admission control.

use std::time::Duration;

use bon::Builder;

/// How the number of concurrent online requests at the target is limited.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LimitPolicy {
    /// The limit adapts to the measured latency, up to the target's slots.
    #[default]
    Adaptive,
    /// The limit is the number of the target's slots.
    Fixed,
}

/// Order in which online requests leave the queue.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueueOrder {
    /// Weighted fair queueing between organisations.
    #[default]
    FairShare,
    /// First in, first out.
    Fifo,
}

/// Limits and options of an [`AdmissionQueue`](super::AdmissionQueue).
#[derive(Builder, Clone, Debug)]
pub struct AdmissionSettings {
    /// Maximum number of batch requests that the target runs while it runs online ones.
    #[builder(default = 8)]
    pub batch_beside_online: u32,
    /// Minimum time between two starts of batch requests, which spreads out long prompts.
    #[builder(default = Duration::from_millis(5))]
    pub batch_start_interval: Duration,
    /// Maximum number of requests of both classes that the target runs at the same time.
    #[builder(default = 32)]
    pub slots: u32,
    /// How the number of concurrent online requests at the target is limited.
    #[builder(default)]
    pub limit: LimitPolicy,
    /// Whether requests are refused as soon as their deadline cannot be met any more.
    #[builder(default = true)]
    pub early_refusal: bool,
    /// Order in which online requests leave the queue.
    #[builder(default)]
    pub order: QueueOrder,
    /// Maximum number of waiting online requests.
    #[builder(default = 256)]
    pub max_waiting: usize,
    /// Whether online requests preempt batch requests.
    #[builder(default = true)]
    pub preemption: bool,
    /// Slots that batch requests always leave free for the next online request.
    #[builder(default = 1)]
    pub reserved_slots: u32,
}
