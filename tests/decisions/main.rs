//! Decisions on their own: subsets, shares, leases, limits.

mod admission;
mod experiment_report;
mod membership;
mod sample_targets;
mod status_poller;
