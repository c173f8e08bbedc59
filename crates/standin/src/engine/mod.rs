//! A model engine with continuous batching and a prefix cache, but without priorities.

mod deterministic_text;
mod engine_core;
mod engine_handler;
mod engine_settings;
mod prefix_cache;

pub use self::deterministic_text::expected_text;
pub use self::engine_handler::EngineReport;
pub use self::engine_handler::EngineStandin;
pub use self::engine_settings::EngineSettings;
