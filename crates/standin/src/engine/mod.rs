//! A model engine: continuous batching, a prefix cache, no priority.

mod engine_core;
mod engine_handler;
mod engine_settings;
mod prefix_cache;
mod token_text;

pub use self::engine_handler::EngineReport;
pub use self::engine_handler::EngineStandin;
pub use self::engine_settings::EngineSettings;
pub use self::token_text::expected_text;
