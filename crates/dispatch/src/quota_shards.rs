//! Split of a customer's quota into shards, each at one keeper.
//!
//! Answers the load of one customer at all entries at once: no process sees all of its requests, so
//! each of several keepers grants a fixed part of the quota, and the parts add up to it.

use std::net::SocketAddr;
use std::time::Duration;

use cv_policy::stable_hash;

use crate::CustomerId;
use crate::CustomerRule;

/// Largest rate, in requests a second, of a customer whose quota stays in one shard.
///
/// While a keeper that replies late and its successor both grant, the customer gets 5 s of its rate
/// twice and [`SUCCESSOR_BURST`], which at this rate is within the slack of the bound (20 requests).
const MAX_SINGLE_RATE: f64 = 3.0;

/// Fewest shards of a customer with more than one, so that most of the quota is left without two
/// keepers.
const MIN_SHARDS: f64 = 5.0;

/// Largest rate, in requests a second, of a customer with fewer than [`MIN_MANY_SHARDS`].
const MAX_FEW_SHARDS_RATE: f64 = 6.0;

/// Fewest shards of a larger customer: a zone that is cut off has four of 13 keepers at most, and its
/// entries stop granting because most of the shards are silent.
const MIN_MANY_SHARDS: f64 = 9.0;

/// Most shards; more would leave too few requests in each.
const MAX_SHARDS: f64 = 24.0;

/// Burst that a shard holds if there are enough keepers.
const SHARD_BURST: f64 = 3.0;

/// Burst that each shard has beside its part, in requests.
///
/// A shard with less than one request grants none and a full one takes up no more, and a lost reply
/// loses its credit, so that shards let fewer requests pass than a central bucket. This and
/// [`RATE_FACTOR`] make up for it, within the slack of the bound.
const EXTRA_BURST: f64 = 0.7;

/// Factor by which shards fill faster than their part of the rate.
const RATE_FACTOR: f64 = 1.03;

/// Burst of a successor's shard, in requests.
const SUCCESSOR_BURST: f64 = 2.0;

/// Length of the window in which the requests of a customer are bounded, in seconds.
const WINDOW_S: f64 = 5.0;

/// Requests by which a window may exceed the quota, less a margin for credit that is still held.
const SLACK: f64 = 16.0;

/// Share by which a window may exceed the quota, less a margin for credit that is still held.
const EXCESS: f64 = 0.08;

/// What a keeper's bucket for a customer holds and how fast it fills.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CreditTerms {
    /// Most requests that the bucket holds.
    pub burst: f64,
    /// Requests a second by which the bucket fills.
    pub rate_per_s: f64,
    /// Seconds for which the sender of the terms has known the same keepers.
    pub steady_s: f64,
    /// Version of the configuration that the terms are from.
    pub version: u64,
}

/// The keepers that grant a customer's quota.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaShards {
    /// Whether all keepers but the first only stand in for it, rather than grant parts of their own.
    pub has_successor: bool,
    /// Addresses of the keepers, in an order that all entries with the same keepers agree on.
    pub owners: Vec<SocketAddr>,
    /// The terms of each keeper's bucket.
    terms: CreditTerms,
}

impl QuotaShards {
    /// Splits the quota of a customer among keepers by a configuration of the given version. The
    /// keepers have been the same for the time `steady`.
    ///
    /// A keeper has at most one shard of a customer, so that a keeper that leaves moves one shard.
    #[must_use]
    pub fn new(
        rule: &CustomerRule,
        version: u64,
        keepers: &[SocketAddr],
        steady: Duration,
    ) -> Self {
        let mut owners = ranked(CustomerId::of(&rule.name), keepers);
        let has_successor = rule.rate_per_s <= MAX_SINGLE_RATE;
        owners.truncate(if has_successor { 2 } else { shard_count(rule) as usize });
        let count = if has_successor { 1 } else { owners.len().max(1) } as f64;
        let terms = CreditTerms {
            burst: rule.burst / count + EXTRA_BURST,
            rate_per_s: rule.rate_per_s * RATE_FACTOR / count,
            steady_s: steady.as_secs_f64(),
            version,
        };
        Self { has_successor, owners, terms }
    }

    /// Returns the terms of the bucket of the owner at an index.
    #[must_use]
    pub fn terms(&self, index: usize) -> CreditTerms {
        let is_successor = self.has_successor && index > 0;
        let burst =
            if is_successor { self.terms.burst.min(SUCCESSOR_BURST) } else { self.terms.burst };
        CreditTerms { burst, ..self.terms }
    }
}

/// Returns the number of shards of a customer that has several.
///
/// While the processes disagree about the keepers, two keepers may serve the same shard, so a shard
/// is no larger than what a window may exceed the quota by.
fn shard_count(rule: &CustomerRule) -> f64 {
    let in_window = rule.rate_per_s * WINDOW_S + rule.burst;
    let needed = (in_window / (SLACK + EXCESS * in_window)).ceil();
    let wanted = rule.rate_per_s.min(rule.burst / SHARD_BURST).floor();
    let fewest = if rule.rate_per_s <= MAX_FEW_SHARDS_RATE { MIN_SHARDS } else { MIN_MANY_SHARDS };
    needed.max(wanted).clamp(fewest, MAX_SHARDS)
}

/// Ranks keepers for a customer by rendezvous hashing.
fn ranked(customer: CustomerId, keepers: &[SocketAddr]) -> Vec<SocketAddr> {
    let customer = customer.0.to_string();
    let hash = |keeper: &SocketAddr| stable_hash(&[&customer, &keeper.to_string()]);
    let mut ranked: Vec<(u64, SocketAddr)> =
        keepers.iter().map(|keeper| (hash(keeper), *keeper)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.into_iter().map(|(_, keeper)| keeper).collect()
}
