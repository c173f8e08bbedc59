//! Picks a target.

use super::RouteRequest;
use super::RoutingPolicy;
use super::TargetRow;
use super::TargetTable;
use crate::MonotonicTime;
use crate::SeededRandom;
use crate::TargetId;
use crate::WorkClass;

/// Load over the mean up to which affinity is followed, as a share of a target's limit.
const AFFINITY_MARGIN: f64 = 0.25;

/// Load that a target of another zone must save before a request crosses zones.
const ZONE_PENALTY: f64 = 0.3;

/// Rendezvous ranks that affinity may fall back to before it gives up.
const AFFINITY_RANKS: usize = 2;

/// Picks the target of each request.
#[derive(Clone, Debug)]
pub struct TargetRouter {
    policy: RoutingPolicy,
    random: SeededRandom,
    turn: usize,
    zone: String,
}

impl TargetRouter {
    /// Creates a router for an entry in the given availability zone.
    #[must_use]
    pub fn new(policy: RoutingPolicy, zone: &str, seed: u64) -> Self {
        Self { policy, random: SeededRandom::new(seed), turn: 0, zone: zone.to_owned() }
    }

    /// Picks a target, or returns `None` if no target of the service may get the request.
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
            return most_room(&candidates);
        }
        if let Some(affinity) = request.affinity {
            if request.strict_affinity {
                return by_rendezvous(&candidates, affinity).first().map(|row| row.id);
            }
            if self.policy == RoutingPolicy::BoundedAffinity
                && let Some(id) = Self::affine(now, &candidates, affinity)
            {
                return Some(id);
            }
        }
        match self.policy {
            RoutingPolicy::RoundRobin => Some(self.next_in_turn(&candidates)),
            RoutingPolicy::BoundedAffinity | RoutingPolicy::TwoChoices => {
                Some(self.better_of_two(now, &candidates))
            }
        }
    }

    /// Collects the targets that may get the request.
    fn candidates<'t>(
        &self,
        now: MonotonicTime,
        table: &'t TargetTable,
        request: &RouteRequest<'_>,
    ) -> Vec<&'t TargetRow> {
        let of_service = table.rows().iter().filter(|row| row.service == request.service);
        let open: Vec<&TargetRow> = of_service
            .filter(|row| row.is_eligible() && !request.excluded.contains(&row.id))
            .collect();
        let binding = request.strict_affinity && request.affinity.is_some();
        if self.policy == RoutingPolicy::RoundRobin || binding {
            return open;
        }
        let sound: Vec<&TargetRow> = open
            .iter()
            .copied()
            .filter(|row| !row.is_ejected(now) && !row.has_been_probed())
            .collect();
        // A target in doubt is better than none.
        if sound.is_empty() { open } else { sound }
    }

    /// Picks the first target in the affinity's own order whose load is within the bound.
    fn affine(now: MonotonicTime, candidates: &[&TargetRow], affinity: u64) -> Option<TargetId> {
        let total: f64 = candidates.iter().map(|row| row.load(now)).sum();
        let bound = total / candidates.len() as f64 + AFFINITY_MARGIN;
        let ranked = by_rendezvous(candidates, affinity);
        let first = ranked.iter().take(AFFINITY_RANKS);
        first.copied().find(|row| row.load(now) <= bound).map(|row| row.id)
    }

    /// Picks the less loaded of two random targets; those of other zones carry a penalty.
    fn better_of_two(&mut self, now: MonotonicTime, candidates: &[&TargetRow]) -> TargetId {
        let first = candidates[self.random.below(candidates.len())];
        let second = candidates[self.random.below(candidates.len())];
        let local: Vec<&TargetRow> =
            candidates.iter().copied().filter(|row| row.zone == self.zone).collect();
        let mut best = if self.cost(now, second) < self.cost(now, first) { second } else { first };
        for _ in 0..2 {
            if local.is_empty() {
                break;
            }
            let near = local[self.random.below(local.len())];
            if self.cost(now, near) < self.cost(now, best) {
                best = near;
            }
        }
        best.id
    }

    /// Returns what it costs to send a request to a target, in loads.
    fn cost(&self, now: MonotonicTime, row: &TargetRow) -> f64 {
        let distance = if row.zone == self.zone { 0.0 } else { ZONE_PENALTY };
        row.load(now) + distance
    }

    /// Picks the next target of a fixed cycle.
    fn next_in_turn(&mut self, candidates: &[&TargetRow]) -> TargetId {
        self.turn = self.turn.wrapping_add(1);
        candidates[self.turn % candidates.len()].id
    }
}

/// Picks the target with the most room for batch requests.
fn most_room(candidates: &[&TargetRow]) -> Option<TargetId> {
    let open = candidates.iter().filter(|row| row.batch_capacity() > 0);
    open.max_by_key(|row| row.batch_capacity()).map(|row| row.id)
}

/// Orders targets by rendezvous hashing, the best first.
fn by_rendezvous<'t>(candidates: &[&'t TargetRow], affinity: u64) -> Vec<&'t TargetRow> {
    let mut ranked = candidates.to_vec();
    ranked.sort_by_cached_key(|row| std::cmp::Reverse(mix(affinity, row.name_hash)));
    ranked
}

/// Mixes two hashes so that each pair ranks independently.
fn mix(left: u64, right: u64) -> u64 {
    let mut value = left ^ right.rotate_left(32);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
