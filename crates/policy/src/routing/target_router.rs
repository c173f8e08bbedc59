//! Load balancing of requests over the targets of a service.

use super::RouteRequest;
use super::RoutingPolicy;
use super::TargetRow;
use super::TargetTable;
use crate::MonotonicTime;
use crate::SeededRandom;
use crate::TargetId;
use crate::WorkClass;

/// Load above the mean up to which affinity is followed, as a share of a target's limit.
const AFFINITY_MARGIN: f64 = 0.25;

/// Minimum difference in load for which a target in another zone is preferred.
const ZONE_PENALTY: f64 = 0.3;

/// Number of targets in rendezvous order that affinity tries before load decides.
const AFFINITY_CANDIDATES: usize = 2;

/// Picks the target of each request.
#[derive(Clone, Debug)]
pub struct TargetRouter {
    policy: RoutingPolicy,
    random: SeededRandom,
    round_robin_index: usize,
    zone: String,
}

impl TargetRouter {
    /// Creates a router for an entry in the given availability zone.
    #[must_use]
    pub fn new(policy: RoutingPolicy, zone: &str, seed: u64) -> Self {
        Self {
            policy,
            random: SeededRandom::new(seed),
            round_robin_index: 0,
            zone: zone.to_owned(),
        }
    }

    /// Picks a target, or returns `None` if no target of the service can take the request.
    pub fn choose(
        &mut self,
        now: MonotonicTime,
        table: &TargetTable,
        request: &RouteRequest<'_>,
    ) -> Option<TargetId> {
        let candidates = self.candidates(now, table, request);
        if candidates.is_empty() {
            return None;
        }
        if request.class == WorkClass::Batch {
            return most_batch_capacity(&candidates);
        }
        if let Some(affinity) = request.affinity {
            if request.strict_affinity {
                return rank_by_rendezvous(&candidates, affinity).first().map(|row| row.id);
            }
            if self.policy == RoutingPolicy::BoundedAffinity
                && let Some(id) = Self::bounded_affinity(now, &candidates, affinity)
            {
                return Some(id);
            }
        }
        match self.policy {
            RoutingPolicy::RoundRobin => Some(self.next_round_robin(&candidates)),
            RoutingPolicy::BoundedAffinity | RoutingPolicy::TwoChoices => {
                Some(self.two_choices(now, &candidates))
            }
        }
    }

    /// Returns the targets that can take the request.
    fn candidates<'t>(
        &self,
        now: MonotonicTime,
        table: &'t TargetTable,
        request: &RouteRequest<'_>,
    ) -> Vec<&'t TargetRow> {
        let of_service = table.rows().iter().filter(|row| row.service == request.service);
        let eligible: Vec<&TargetRow> = of_service
            .filter(|row| row.is_eligible() && !request.excluded.contains(&row.id))
            .collect();
        let strict = request.strict_affinity && request.affinity.is_some();
        if self.policy == RoutingPolicy::RoundRobin || strict {
            return eligible;
        }
        let healthy: Vec<&TargetRow> = eligible
            .iter()
            .copied()
            .filter(|row| !row.is_ejected(now) && !row.has_been_probed())
            .collect();
        // An ejected target, or one on probation, is better than none.
        if healthy.is_empty() { eligible } else { healthy }
    }

    /// Picks the first target in rendezvous order whose load is within the bound.
    fn bounded_affinity(
        now: MonotonicTime,
        candidates: &[&TargetRow],
        affinity: u64,
    ) -> Option<TargetId> {
        let total: f64 = candidates.iter().map(|row| row.load(now)).sum();
        let bound = total / candidates.len() as f64 + AFFINITY_MARGIN;
        let ranked = rank_by_rendezvous(candidates, affinity);
        let first = ranked.iter().take(AFFINITY_CANDIDATES);
        first.copied().find(|row| row.load(now) <= bound).map(|row| row.id)
    }

    /// Picks the cheapest of two random targets and up to two random targets of the own zone.
    fn two_choices(&mut self, now: MonotonicTime, candidates: &[&TargetRow]) -> TargetId {
        let first = candidates[self.random.below(candidates.len())];
        let second = candidates[self.random.below(candidates.len())];
        let local: Vec<&TargetRow> =
            candidates.iter().copied().filter(|row| row.zone == self.zone).collect();
        let mut best = if self.cost(now, second) < self.cost(now, first) { second } else { first };
        for _ in 0..2 {
            if local.is_empty() {
                break;
            }
            let candidate = local[self.random.below(local.len())];
            if self.cost(now, candidate) < self.cost(now, best) {
                best = candidate;
            }
        }
        best.id
    }

    /// Returns the cost of sending a request to a target: its load plus a penalty for another zone.
    fn cost(&self, now: MonotonicTime, row: &TargetRow) -> f64 {
        let penalty = if row.zone == self.zone { 0.0 } else { ZONE_PENALTY };
        row.load(now) + penalty
    }

    /// Picks the next target in round-robin order.
    fn next_round_robin(&mut self, candidates: &[&TargetRow]) -> TargetId {
        self.round_robin_index = self.round_robin_index.wrapping_add(1);
        candidates[self.round_robin_index % candidates.len()].id
    }
}

/// Picks the target that can take the most further batch requests, if any can take one.
fn most_batch_capacity(candidates: &[&TargetRow]) -> Option<TargetId> {
    let available = candidates.iter().filter(|row| row.batch_capacity() > 0);
    available.max_by_key(|row| row.batch_capacity()).map(|row| row.id)
}

/// Orders targets by rendezvous hashing, highest rank first.
fn rank_by_rendezvous<'t>(candidates: &[&'t TargetRow], affinity: u64) -> Vec<&'t TargetRow> {
    let mut ranked = candidates.to_vec();
    ranked.sort_by_cached_key(|row| std::cmp::Reverse(mix_hashes(affinity, row.name_hash)));
    ranked
}

/// Combines two hashes so that the ranks of different pairs are independent.
fn mix_hashes(left: u64, right: u64) -> u64 {
    let mut value = left ^ right.rotate_left(32);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
