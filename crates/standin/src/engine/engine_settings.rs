//! How fast an engine is and how much it holds.

use std::time::Duration;

use bon::Builder;

/// The cost model of one engine.
#[derive(Builder, Clone, Debug)]
pub struct EngineSettings {
    /// Blocks of the prefix cache.
    #[builder(default = 4_096)]
    pub cache_blocks: usize,
    /// Whether orders with an old fencing number are refused.
    #[builder(default)]
    pub checks_fencing: bool,
    /// Age of the load that the engine reports.
    #[builder(default = Duration::from_secs(1))]
    pub load_lag: Duration,
    /// Sequences that run at once.
    #[builder(default = 32)]
    pub max_sequences: usize,
    /// Name of the model.
    #[builder(default = "assist".to_owned())]
    pub model: String,
    /// Prompt tokens that one step may take.
    #[builder(default = 512)]
    pub prefill_tokens: usize,
    /// Time of one step without any work in it.
    #[builder(default = Duration::from_millis(8))]
    pub step_base: Duration,
    /// Time that each generating sequence adds to a step.
    #[builder(default = Duration::from_micros(60))]
    pub step_per_sequence: Duration,
    /// Time that each prompt token adds to a step.
    #[builder(default = Duration::from_micros(20))]
    pub step_per_prompt_token: Duration,
}
