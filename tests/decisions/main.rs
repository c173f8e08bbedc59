//! Unit tests of single decisions: subsetting, fair sharing, leases, limits.

mod admission;
mod experiment_report;
mod membership;
mod sample_targets;
mod status_poller;
