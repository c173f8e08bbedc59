//! Shares of the customers in scarce capacity.
//!
//! Answers a customer that sends many times its usual load while there is less capacity than is
//! requested: in order of arrival it gets capacity in proportion to its requests and displaces the
//! others. Here it gets what the others of its rank leave, and at least [`FLOOR`] of what it would
//! get in proportion.

use crate::CustomerId;
use crate::RequestRank;

/// Least service of a customer, as a share of what it would get in proportion to its requests. The
/// requirement is a quarter; the margin covers the requests that are counted late.
const FLOOR: f64 = 0.3;

/// Weight of the counts that stays with each further request, so that they cover the last hundred.
const COUNT_DECAY: f64 = 0.99;

/// Most starts that a customer can be owed, so that a long wait is not followed by a burst.
const MAX_CREDIT: f64 = 2.0;

/// Most customers whose level is remembered, about ten times those of a large deployment.
const MAX_ROWS: usize = 1_000;

/// Who requests capacity. Requests with the same key form one queue in order of arrival.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ShareKey {
    /// Rank of the requests; the smallest goes first.
    pub rank: RequestRank,
    /// Customer; all callers that are no customer count as one.
    pub customer: Option<CustomerId>,
}

/// Where a customer stands among those that want capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareStanding {
    /// Whether the customer has got so little that its next request goes before all others, of
    /// whatever rank.
    pub is_owed: bool,
    /// What the customer has got; of two that wait in one rank, the one with the lower level goes
    /// first.
    pub level: f64,
}

/// What a customer has got.
#[derive(Clone, Debug)]
struct ShareRow {
    /// Starts that the customer is owed so that it does not fall below [`FLOOR`].
    credit: f64,
    key: ShareKey,
    /// Cost of what was started, counted from the level of the rank at the first start.
    level: f64,
}

/// Decides which customer gets the next free slot.
///
/// Start-time fair queueing: of the waiting customers of a rank, the one with the lowest level goes
/// first, and each start raises its level by the cost. One that has not waited begins at the rank's
/// level, the lowest of those that wait, and so gets nothing for the time in which it was idle.
/// Weights are equal.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    /// Requests of all customers.
    offered: f64,
    /// Level of each rank, sorted by rank.
    ranks: Vec<(RequestRank, f64)>,
    /// Sorted by key.
    rows: Vec<ShareRow>,
    /// Starts of all customers.
    started: f64,
}

impl FairShare {
    /// Records that a request arrives, whether it is admitted or not; `weight` is below 1 if it waits
    /// in other queues, too.
    pub fn record_offer(&mut self, key: ShareKey, weight: f64) {
        self.offered = self.offered * COUNT_DECAY + weight;
        self.started *= COUNT_DECAY;
        let served_share = (self.started / self.offered).min(1.0);
        let row = self.row_mut(key);
        row.credit = (row.credit + weight * FLOOR * served_share).min(MAX_CREDIT);
    }

    /// Records that a request starts; `waiting` are the keys of the requests that go on waiting and
    /// compete with it.
    pub fn record_start(
        &mut self,
        key: ShareKey,
        cost: f64,
        waiting: impl Iterator<Item = ShareKey>,
    ) {
        let level = self.standing(key).level;
        let competing = waiting.filter(|other| other.rank == key.rank && *other != key);
        let lowest = competing.map(|other| self.standing(other).level).fold(level, f64::min);
        self.started += 1.0;
        let row = self.row_mut(key);
        row.level = level + cost;
        row.credit = (row.credit - 1.0).max(0.0);
        match self.ranks.binary_search_by_key(&key.rank, |(rank, _)| *rank) {
            Ok(position) => self.ranks[position].1 = lowest,
            Err(position) => self.ranks.insert(position, (key.rank, lowest)),
        }
    }

    /// Takes back the cost, or a part of it, of a start that was not used.
    pub fn refund(&mut self, key: ShareKey, cost: f64) {
        if let Ok(position) = self.position(key) {
            self.rows[position].level -= cost.max(0.0);
        }
    }

    /// Returns where a customer stands.
    #[must_use]
    pub fn standing(&self, key: ShareKey) -> ShareStanding {
        let level = self.rank_level(key.rank);
        match self.position(key).map(|position| &self.rows[position]) {
            Ok(row) => ShareStanding { is_owed: row.credit >= 1.0, level: row.level.max(level) },
            Err(_) => ShareStanding { is_owed: false, level },
        }
    }

    /// Returns the number of customers that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no customer is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the level of a rank, at which customers begin.
    fn rank_level(&self, rank: RequestRank) -> f64 {
        let position = self.ranks.binary_search_by_key(&rank, |(other, _)| *other);
        position.map_or(0.0, |position| self.ranks[position].1)
    }

    /// Returns the row of a customer, which is added if it has none.
    fn row_mut(&mut self, key: ShareKey) -> &mut ShareRow {
        if self.rows.len() >= MAX_ROWS && self.position(key).is_err() {
            self.forget_idle();
        }
        let position = match self.position(key) {
            Ok(position) => position,
            Err(position) => {
                let level = self.rank_level(key.rank);
                self.rows.insert(position, ShareRow { credit: 0.0, key, level });
                position
            }
        };
        &mut self.rows[position]
    }

    /// Removes the customers that are not ahead of their rank's level, or all if there are too many
    /// others; those begin again at the level of their rank.
    fn forget_idle(&mut self) {
        let Self { ranks, rows, .. } = self;
        rows.retain(|row| {
            let position = ranks.binary_search_by_key(&row.key.rank, |(rank, _)| *rank);
            position.is_ok_and(|position| row.level > ranks[position].1)
        });
        if rows.len() >= MAX_ROWS {
            rows.clear();
        }
        ranks.retain(|(rank, _)| rows.iter().any(|row| row.key.rank == *rank));
    }

    /// Returns the index of a customer's row, or the index at which to insert it.
    fn position(&self, key: ShareKey) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&key, |row| row.key)
    }
}
