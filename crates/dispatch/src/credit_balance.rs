//! The credit of customers that an entry holds, and which keeper it asks for more.
//!
//! Answers the load of a customer that sends at its limit or many times above it, through any number
//! of entries, while keepers may be silent: credit is found wherever it is left, and once none is
//! left requests are rejected without a message until there is some again.

use std::net::SocketAddr;
use std::time::Duration;

use cv_policy::MonotonicTime;

use crate::CreditGrant;
use crate::CreditTerms;
use crate::CustomerId;
use crate::QuotaShards;

/// Time from a credit request until unspent credit expires. A window of 5 s can see the quota of this
/// time in addition, which takes up 6 of the 10% by which it may exceed the quota.
const CREDIT_LIFETIME: Duration = Duration::from_millis(300);

/// Time from a credit request until credit can be returned.
///
/// Returned credit that was granted before a window lets more requests pass in the window, so this
/// is within the 10% too.
const RETURN_TIME: Duration = Duration::from_millis(500);

/// Time for which a keeper is not asked again that has not replied once: a datagram may be lost.
const FIRST_SILENCE_TIME: Duration = Duration::from_millis(100);

/// Time for which a keeper is not asked again that has not replied repeatedly.
const SILENCE_TIME: Duration = Duration::from_secs(1);

/// Time constant of the recent demand.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// Time for which a batch of credit is meant to last, in seconds.
const BATCH_SECONDS: f64 = 0.2;

/// Most credit that is asked for at once.
const MAX_BATCH: f64 = 64.0;

/// Time between two requests of a customer that an entry lets pass without credit while no keeper
/// replies. All entries of a fleet together stay within the slack of the bound, and most customers
/// send less than that through one entry.
const UNCREDITED_INTERVAL: Duration = Duration::from_millis(5_300);

/// Time without a reply of any keeper after which the entry counts as cut off from them.
const CUT_OFF_TIME: Duration = Duration::from_millis(300);

/// Time after which a customer that sends nothing is forgotten.
const IDLE_TIME: Duration = Duration::from_mins(1);

/// Credit for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Credit {
    /// When the credit was asked for.
    asked_at: MonotonicTime,
    /// The customer.
    pub customer: CustomerId,
    /// The keeper that has granted the credit.
    keeper: SocketAddr,
    /// Terms of the keeper's bucket.
    terms: CreditTerms,
}

/// A request for credit to a keeper.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CreditAsk {
    /// Address of the keeper.
    pub keeper: SocketAddr,
    /// Unspent credit that the entry returns.
    pub returned: u32,
    /// Terms of the keeper's bucket.
    pub terms: CreditTerms,
    /// Requests for which credit is wanted; 0 if some is only returned, which needs no reply.
    pub wanted: u32,
}

/// What follows for a request that needs credit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CreditStep {
    /// A keeper is asked.
    Ask(CreditAsk),
    /// No keeper has credit; holds the time until one has some again.
    OverLimit(Duration),
    /// The request gets this credit.
    Take(Credit),
    /// No keeper of the customer replies.
    Unknown,
}

/// The credit that an entry holds, and what it knows of keepers.
#[derive(Clone, Debug, Default)]
pub struct CreditBalance {
    /// Sorted by customer.
    customers: Vec<(CustomerId, CustomerBalance)>,
    /// The keepers that were known last, and since when.
    keepers: Vec<SocketAddr>,
    keepers_since: MonotonicTime,
    /// When a keeper did not reply for the first time since the last reply of any.
    silent_since: Option<MonotonicTime>,
    /// Keepers that have not replied since, with the time until which they are not asked.
    silent_until: Vec<(SocketAddr, MonotonicTime)>,
}

/// What an entry knows of one customer.
#[derive(Clone, Debug, Default)]
struct CustomerBalance {
    /// Requests of the last [`DEMAND_TIME`], older ones with less weight, at `demand_at`.
    demand: f64,
    demand_at: MonotonicTime,
    /// Keepers without credit, with the time when they have some again.
    empty_until: Vec<(SocketAddr, MonotonicTime)>,
    /// Unspent credit, the oldest first.
    held: Vec<Credit>,
    /// Credit beyond the first request that has been asked for and not granted yet.
    pending: u32,
    /// When the last request passed without credit.
    uncredited_at: Option<MonotonicTime>,
    /// Credit that has expired unspent and can be returned.
    unused: Vec<Credit>,
}

impl CreditBalance {
    /// Records the known keepers, and returns for how long they have been the same: at most since the
    /// origin of the entry's clock.
    pub fn record_keepers(&mut self, now: MonotonicTime, keepers: &[SocketAddr]) -> Duration {
        if self.keepers != keepers {
            if !self.keepers.is_empty() {
                self.keepers_since = now;
            }
            self.keepers = keepers.to_vec();
        }
        now.since(self.keepers_since)
    }

    /// Records that a request of a customer has come in.
    pub fn record_request(&mut self, now: MonotonicTime, customer: CustomerId) {
        let balance = self.balance_mut(now, customer);
        balance.demand = balance.demand_at(now) + 1.0;
        balance.demand_at = now;
    }

    /// Returns what follows for a request that needs credit. `asked` has the keepers that have been
    /// asked for it; `random` spreads the requests over the keepers.
    pub fn next_step(
        &mut self,
        now: MonotonicTime,
        customer: CustomerId,
        shards: &QuotaShards,
        asked: &[SocketAddr],
        random: u64,
    ) -> CreditStep {
        let position = self.position(now, customer);
        let balance = &mut self.customers[position].1;
        balance.expire(now);
        if !balance.held.is_empty() {
            return CreditStep::Take(balance.held.remove(0));
        }
        let count = shards.owners.len();
        // With most keepers silent this entry is probably cut off with the others: for the rest of
        // the fleet their shards are with other keepers, which grant the whole quota.
        let is_silent =
            |keeper: &&SocketAddr| self.silent_until.iter().any(|(silent, _)| silent == *keeper);
        let silent_owners = shards.owners.iter().filter(is_silent).count();
        let is_cut_off = !shards.has_successor && 2 * silent_owners > count;
        let first = if shards.has_successor { 0 } else { (random % count.max(1) as u64) as usize };
        let mut shortest_wait: Option<Duration> = None;
        for index in (0..count).map(|offset| (first + offset) % count) {
            let keeper = shards.owners[index];
            let silence = self.silent_until.iter().find(|(silent, _)| *silent == keeper);
            if silence.map_or(is_cut_off, |(_, until)| *until > now) {
                continue;
            }
            let wait = balance.wait_for(now, keeper);
            if wait.is_none() && !asked.contains(&keeper) {
                let wanted = if shards.has_successor { 1 } else { balance.batch(now) };
                let terms = shards.terms(index);
                balance.pending += wanted - 1;
                return CreditStep::Ask(CreditAsk { keeper, returned: 0, terms, wanted });
            }
            let wait = wait.unwrap_or_default();
            shortest_wait = Some(shortest_wait.map_or(wait, |shortest| shortest.min(wait)));
            if shards.has_successor {
                break;
            }
        }
        shortest_wait.map_or(CreditStep::Unknown, CreditStep::OverLimit)
    }

    /// Records the reply to a request for credit of a customer that was sent at `asked_at`, and
    /// returns the credit for the request on whose behalf it was sent, if there is some.
    pub fn record_reply(
        &mut self,
        now: MonotonicTime,
        asked_at: MonotonicTime,
        customer: CustomerId,
        ask: &CreditAsk,
        grant: CreditGrant,
    ) -> Option<Credit> {
        let keeper = ask.keeper;
        self.silent_since = None;
        self.silent_until.retain(|(silent, _)| *silent != keeper);
        let balance = self.balance_mut(now, customer);
        balance.empty_until.retain(|(empty, until)| *empty != keeper && *until > now);
        if grant.granted == 0 {
            balance.empty_until.push((keeper, now + grant.wait));
            return None;
        }
        // Counted from the request, so that a reply that this process reads late is no new credit.
        let credit = Credit { asked_at, customer, keeper, terms: ask.terms };
        balance.held.extend((0..grant.granted).map(|_| credit));
        balance.held.sort_by_key(|held| held.asked_at);
        balance.expire(now);
        (!balance.held.is_empty()).then(|| balance.held.remove(0))
    }

    /// Records that a keeper has not replied.
    pub fn record_silence(&mut self, now: MonotonicTime, keeper: SocketAddr) {
        self.silent_since.get_or_insert(now);
        let is_repeated = self.silent_until.iter().any(|(silent, _)| *silent == keeper);
        let time = if is_repeated { SILENCE_TIME } else { FIRST_SILENCE_TIME };
        self.silent_until
            .retain(|(silent, until)| *silent != keeper && now.since(*until) < IDLE_TIME);
        self.silent_until.push((keeper, now + time));
    }

    /// Returns whether no keeper has replied for a while, so that callers are served better by other
    /// entries.
    #[must_use]
    pub fn is_cut_off(&self, now: MonotonicTime) -> bool {
        self.silent_since.is_some_and(|since| now.since(since) >= CUT_OFF_TIME)
    }

    /// Returns whether a request passes although no keeper of the customer replies: one now and then,
    /// so that an entry that is cut off from the keepers goes on serving small customers.
    pub fn passes_without_credit(&mut self, now: MonotonicTime, customer: CustomerId) -> bool {
        let balance = self.balance_mut(now, customer);
        let is_due = |time| now.since(time) >= UNCREDITED_INTERVAL;
        let passes = balance.uncredited_at.is_none_or(is_due);
        if passes {
            balance.uncredited_at = Some(now);
        }
        passes
    }

    /// Records that a request for credit has ended, with or without a reply.
    pub fn end_ask(&mut self, customer: CustomerId, wanted: u32) {
        if let Ok(position) = self.customers.binary_search_by_key(&customer, |(id, _)| *id) {
            let balance = &mut self.customers[position].1;
            balance.pending = balance.pending.saturating_sub(wanted - 1);
        }
    }

    /// Takes back the credit of a request that has not run and never will. The entry keeps it if it
    /// will soon need it, and otherwise returns it to the keeper.
    pub fn give_back(&mut self, now: MonotonicTime, credit: Credit) -> Option<CreditAsk> {
        let balance = self.balance_mut(now, credit.customer);
        if credit.is_valid(now) && balance.batch(now) > 1 {
            let position = balance.held.partition_point(|held| held.asked_at <= credit.asked_at);
            balance.held.insert(position, credit);
            return None;
        }
        let Credit { keeper, terms, .. } = credit;
        credit.can_be_returned(now).then_some(CreditAsk { keeper, returned: 1, terms, wanted: 0 })
    }

    /// Returns the next message that returns credit of a customer that has expired unspent, if there
    /// is some.
    pub fn next_return(&mut self, now: MonotonicTime, customer: CustomerId) -> Option<CreditAsk> {
        let balance = self.balance_mut(now, customer);
        balance.expire(now);
        let Credit { keeper, terms, .. } = *balance.unused.first()?;
        let known = balance.unused.len();
        balance.unused.retain(|credit| credit.keeper != keeper);
        let returned = (known - balance.unused.len()) as u32;
        Some(CreditAsk { keeper, returned, terms, wanted: 0 })
    }

    /// Returns the balance of a customer.
    fn balance_mut(&mut self, now: MonotonicTime, customer: CustomerId) -> &mut CustomerBalance {
        let position = self.position(now, customer);
        &mut self.customers[position].1
    }

    /// Returns the index of a customer, which is added if it is not known.
    fn position(&mut self, now: MonotonicTime, customer: CustomerId) -> usize {
        let found = self.customers.binary_search_by_key(&customer, |(id, _)| *id);
        found.unwrap_or_else(|_| {
            self.customers.retain(|(_, balance)| now.since(balance.demand_at) < IDLE_TIME);
            let position = self.customers.partition_point(|(id, _)| *id < customer);
            let balance = CustomerBalance { demand_at: now, ..CustomerBalance::default() };
            self.customers.insert(position, (customer, balance));
            position
        })
    }
}

impl CustomerBalance {
    /// Returns the recent demand, in requests per [`DEMAND_TIME`].
    fn demand_at(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.demand_at).as_secs_f64() / DEMAND_TIME.as_secs_f64();
        self.demand * (-age).exp()
    }

    /// Returns for how many requests to ask credit: for one, and as much as is needed soon.
    fn batch(&self, now: MonotonicTime) -> u32 {
        let needed = self.demand_at(now) * BATCH_SECONDS - f64::from(self.pending);
        1 + needed.clamp(0.0, MAX_BATCH - 1.0) as u32
    }

    /// Returns the time until a keeper has credit again, unless it may have some.
    fn wait_for(&self, now: MonotonicTime, keeper: SocketAddr) -> Option<Duration> {
        let (_, until) = self.empty_until.iter().find(|(empty, _)| *empty == keeper)?;
        (*until > now).then(|| now.until(*until))
    }

    /// Sets expired credit aside so that it is returned.
    fn expire(&mut self, now: MonotonicTime) {
        let expired = self.held.partition_point(|credit| !credit.is_valid(now));
        self.unused.extend(self.held.drain(..expired));
        self.unused.retain(|credit| credit.can_be_returned(now));
    }
}

impl Credit {
    /// Returns whether a request may use the credit.
    fn is_valid(&self, now: MonotonicTime) -> bool {
        now.since(self.asked_at) < CREDIT_LIFETIME
    }

    /// Returns whether the keeper may grant the credit to another request.
    fn can_be_returned(&self, now: MonotonicTime) -> bool {
        now.since(self.asked_at) < RETURN_TIME
    }
}
