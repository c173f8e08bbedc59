//! Tests of the adapter to the growers' platform.

mod configuration;
mod directory;
mod headers;
mod jobs;
mod prefix_watcher;
mod prompts_and_limits;
mod silent_store;
mod store_client;
mod store_health;
