//! Decisions on their own: subsets, shares, leases, limits.

mod admission;
mod experiment_report;
mod membership;
mod status_round;
