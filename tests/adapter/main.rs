//! Tests of the adapter to the growers' platform.

mod configuration;
mod directory;
mod headers;
mod jobs;
mod store_client;
mod store_health;
