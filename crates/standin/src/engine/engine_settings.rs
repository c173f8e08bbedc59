//! Speed and capacity of an engine.

use std::time::Duration;

use bon::Builder;

/// The cost model and limits of one engine.
#[derive(Builder, Clone, Debug)]
pub struct EngineSettings {
    /// Capacity of the prefix cache, in blocks.
    #[builder(default = 4_096)]
    pub cache_blocks: usize,
    /// Whether orders with a stale fencing token are rejected.
    #[builder(default)]
    pub checks_fencing: bool,
    /// Age of the load that the engine reports.
    #[builder(default = Duration::from_secs(1))]
    pub load_lag: Duration,
    /// Maximum number of sequences that run at once.
    #[builder(default = 32)]
    pub max_sequences: usize,
    /// Name of the model that is loaded at the start.
    #[builder(default = "assist".to_owned())]
    pub model: String,
    /// Maximum number of prompt tokens that one step processes.
    #[builder(default = 512)]
    pub prefill_tokens: usize,
    /// Fixed part of a step's time.
    #[builder(default = Duration::from_millis(8))]
    pub step_base: Duration,
    /// Time that each generating sequence adds to a step.
    #[builder(default = Duration::from_micros(60))]
    pub step_per_sequence: Duration,
    /// Time that each prompt token adds to a step.
    #[builder(default = Duration::from_micros(20))]
    pub step_per_prompt_token: Duration,
}
