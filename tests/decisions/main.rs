//! Decisions on their own: subsets, shares, leases, limits.

mod admission;
mod membership;
