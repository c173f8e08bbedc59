//! The order in which the requests that wait at one engine get slots.

use std::cmp::Ordering;
use std::time::Duration;

use cv_policy::MonotonicTime;

use crate::FairShare;
use crate::ShareKey;
use crate::ShareStanding;
use crate::waiting_request::WaitingRequest;

/// Time before the end of its queue timeout in which an online request goes first.
const LAST_CHANCE_TIME: Duration = Duration::from_millis(300);

/// Batch requests that may wait at one engine; their keepers hold the others.
const MAX_BATCH_WAITING: usize = 64;

/// Most batch requests that may wait at one engine if customers with few of them find the queue
/// full.
const MAX_BATCH_WAITING_OVER_ALL: usize = 96;

/// How urgent a request is among those of its customer; the smallest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Urgency {
    /// It would soon be evicted.
    LastChance,
    /// It can still meet its objective, or its due time.
    InTime,
    /// It is late whenever it starts.
    Late,
}

/// Orders waiting requests: by rank; then those that are late last, whoever sends them; then by what
/// their customers have got; then by the rules for requests of one customer.
///
/// At a load peak of all customers, late requests that took their customers' turns would make the
/// requests behind them late, too.
pub(crate) struct WaitingOrder<'a> {
    /// Current time.
    pub now: MonotonicTime,
    /// Shares of the customers in the slots for the requests.
    pub shares: &'a FairShare,
}

impl WaitingOrder<'_> {
    /// Returns the index of the online request that is to run next; `requests` are in order of
    /// arrival.
    ///
    /// At a load peak a queue in order of arrival makes every request slightly late. Those that can
    /// still meet their objective go first; the others have lost it anyway and wait for the end of
    /// the peak. One that would soon be evicted goes before all others of its customer: late is better
    /// than refused.
    pub fn next_online(&self, requests: &[WaitingRequest]) -> Option<usize> {
        let urgency = |request: &WaitingRequest| {
            if request.deadline <= self.now + LAST_CHANCE_TIME {
                Urgency::LastChance
            } else if request.meets_objective_until >= self.now {
                Urgency::InTime
            } else {
                Urgency::Late
            }
        };
        self.first(requests, urgency)
    }

    /// Returns the index of the batch request that is to run next; `requests` are sorted by due
    /// time.
    ///
    /// Within a customer, the order is that of [`crate::BatchOrder`], except that requests that will
    /// probably be late are taken earliest due time first.
    pub fn next_batch(&self, requests: &[WaitingRequest]) -> Option<usize> {
        let is_in_time = |request: &WaitingRequest| request.latest_start >= self.now;
        let urgency = |request: &WaitingRequest| {
            if is_in_time(request) { Urgency::InTime } else { Urgency::Late }
        };
        let first = self.first(requests, urgency)?;
        if !is_in_time(&requests[first]) {
            return Some(first);
        }
        let key = requests[first].key;
        let is_candidate = |request: &WaitingRequest| request.key == key && is_in_time(request);
        let begun = requests.iter().position(|request| is_candidate(request) && request.has_begun);
        begun.or_else(|| requests.iter().rposition(is_candidate))
    }

    /// Returns whether no further batch request of a customer may wait. Some places are kept for
    /// customers that have fewer than an equal share of them.
    pub fn is_batch_full(requests: &[WaitingRequest], key: ShareKey) -> bool {
        if requests.len() < MAX_BATCH_WAITING {
            return false;
        }
        let mut keys: Vec<ShareKey> = requests.iter().map(|request| request.key).collect();
        let own = keys.iter().filter(|other| **other == key).count();
        keys.push(key);
        keys.sort_unstable();
        keys.dedup();
        requests.len() >= MAX_BATCH_WAITING_OVER_ALL || own * keys.len() >= MAX_BATCH_WAITING
    }

    /// Returns the expected number of online requests that go before one of a customer that arrives
    /// now and can still meet its objective.
    pub fn count_ahead(&self, requests: &[WaitingRequest], key: ShareKey) -> f64 {
        let in_time = || requests.iter().filter(|other| other.meets_objective_until >= self.now);
        let own: f64 = in_time().filter(|other| other.key == key).map(|other| other.share).sum();
        if in_time().all(|other| other.key == key) {
            return own;
        }
        let ShareStanding { is_owed, level } = self.shares.standing(key);
        let level = level + own;
        // Standing of each customer after its requests so far, sorted by key.
        let mut standings: Vec<(ShareKey, ShareStanding)> = Vec::new();
        let mut ahead = own;
        for other in in_time().filter(|other| other.key != key) {
            let position = standings.binary_search_by_key(&other.key, |(key, _)| *key);
            let position = position.unwrap_or_else(|position| {
                standings.insert(position, (other.key, self.shares.standing(other.key)));
                position
            });
            let standing = &mut standings[position].1;
            let other_level = standing.level;
            standing.level += other.share;
            let is_ahead = match (!standing.is_owed, other.key.rank).cmp(&(!is_owed, key.rank)) {
                Ordering::Less => true,
                Ordering::Equal => other_level <= level,
                Ordering::Greater => false,
            };
            ahead += if is_ahead { other.share } else { 0.0 };
        }
        ahead
    }

    /// Returns the index of the request that goes first; those of customers that are owed a start go
    /// before all others.
    fn first(
        &self,
        requests: &[WaitingRequest],
        urgency: impl Fn(&WaitingRequest) -> Urgency,
    ) -> Option<usize> {
        let mut first: Option<(usize, _)> = None;
        let mut last_standing: Option<(ShareKey, ShareStanding)> = None;
        for (position, request) in requests.iter().enumerate() {
            let (key, urgency) = (request.key, urgency(request));
            let standing = match last_standing {
                Some((last_key, standing)) if last_key == key => standing,
                _ => self.shares.standing(key),
            };
            last_standing = Some((key, standing));
            let ShareStanding { is_owed, level } = standing;
            let precedence = (!is_owed, key.rank, urgency == Urgency::Late);
            let is_first =
                first.is_none_or(|(_, (first_precedence, first_level, first_urgency))| {
                    let by_level = level.total_cmp(&first_level);
                    let order = precedence.cmp(&first_precedence).then(by_level);
                    order.then(urgency.cmp(&first_urgency)).is_lt()
                });
            if is_first {
                first = Some((position, (precedence, level, urgency)));
            }
        }
        first.map(|(position, _)| position)
    }
}
