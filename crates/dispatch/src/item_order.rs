//! The order in which a keeper starts the waiting items of different customers.
//!
//! Answers a customer whose jobs bring more items than there are slots: with one order by due time
//! the items of all other customers become late with its own.

use std::cmp::Reverse;

use cv_policy::MonotonicTime;

use crate::FairShare;
use crate::ShareKey;

/// Of this many starts, one is made in the order of all items, whatever their customers, so that those
/// of a bad rank do not starve.
const COMMON_START_INTERVAL: u64 = 4;

/// Least cost of an item, in seconds, so that the first items count before any run time is known.
const MIN_COST: f64 = 0.1;

/// Place of an item among those of its customer, see [`crate::BatchOrder::sort_key`].
type BatchKey = (bool, bool, Reverse<MonotonicTime>);

/// What decides when a waiting item starts.
#[derive(Clone, Copy, Debug)]
pub struct ItemTurn {
    /// Expected run time, in seconds.
    pub cost: f64,
    /// When the item is due, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// Rank and customer of the item's job.
    pub key: ShareKey,
    /// Place of the item among those of its customer; the first part says that it will probably be
    /// late.
    pub order: BatchKey,
}

/// Orders the waiting items of a keeper: by rank; then those that will be late last; then by what
/// their customers have got. Items of one customer stay in batch order.
#[derive(Clone, Debug, Default)]
pub struct ItemOrder {
    shares: FairShare,
    /// Number of starts.
    starts: u64,
}

impl ItemOrder {
    /// Sorts waiting items in the order of their starts.
    #[must_use]
    pub fn sort<T>(&self, mut items: Vec<(ItemTurn, T)>) -> Vec<(ItemTurn, T)> {
        items.sort_by_key(|(turn, _)| turn.order);
        if items.windows(2).all(|pair| pair[0].0.key == pair[1].0.key) {
            return items;
        }
        // Level of each customer after its items so far, sorted by key.
        let mut levels: Vec<(ShareKey, f64)> = Vec::new();
        let mut turns: Vec<(usize, f64)> = Vec::with_capacity(items.len());
        for (index, (turn, _)) in items.iter().enumerate() {
            let position = levels.binary_search_by_key(&turn.key, |(key, _)| *key);
            let position = position.unwrap_or_else(|position| {
                levels.insert(position, (turn.key, self.shares.standing(turn.key).level));
                position
            });
            turns.push((index, levels[position].1));
            levels[position].1 += turn.cost.max(MIN_COST);
        }
        turns.sort_by(|(left, left_level), (right, right_level)| {
            let precedence = |index: usize| (items[index].0.key.rank, items[index].0.order.0);
            precedence(*left).cmp(&precedence(*right)).then(left_level.total_cmp(right_level))
        });
        let mut places: Vec<Option<(ItemTurn, T)>> = items.into_iter().map(Some).collect();
        let (mut next, mut next_common) = (0, 0);
        let mut sorted = Vec::with_capacity(places.len());
        while sorted.len() < places.len() {
            let start = self.starts + sorted.len() as u64;
            let is_common = start % COMMON_START_INTERVAL == COMMON_START_INTERVAL - 1;
            let (index, position) = if is_common {
                (next_common, &mut next_common)
            } else {
                (turns[next].0, &mut next)
            };
            *position += 1;
            sorted.extend(places[index].take());
        }
        sorted
    }

    /// Records that an item starts; `waiting` are the keys of the customers whose items compete with
    /// it.
    pub fn record_start(&mut self, turn: &ItemTurn, waiting: &[ShareKey]) {
        self.starts += 1;
        self.shares.record_start(turn.key, turn.cost.max(MIN_COST), waiting.iter().copied());
    }

    /// Takes back the cost of a start after which the item did not run.
    pub fn refund(&mut self, turn: &ItemTurn) {
        self.shares.refund(turn.key, turn.cost.max(MIN_COST));
    }
}
