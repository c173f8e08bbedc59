//! The translations of the growers' platform's messages.

mod configuration;
mod directory;
mod headers;
mod jobs;
mod store_client;
