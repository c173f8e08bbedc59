//! All buckets of a keeper.
//!
//! Answers the load of more customers than a keeper has memory for: those that ask for nothing make
//! room, and no customer gets its burst twice.

use std::time::Duration;

use cv_policy::MonotonicTime;

use crate::CreditBucket;
use crate::CreditGrant;
use crate::CreditTerms;
use crate::CustomerId;

/// Most customers whose buckets are kept; one takes 72 bytes.
const MAX_BUCKETS: usize = 4_096;

/// Wait of customers for which there is no room.
const FULL_LEDGER_WAIT: Duration = Duration::from_secs(1);

/// The buckets of a keeper, one for each customer of which it has a shard.
#[derive(Clone, Debug, Default)]
pub struct CreditLedger {
    /// Sorted by customer.
    buckets: Vec<(CustomerId, CreditBucket)>,
    started_at: MonotonicTime,
}

impl CreditLedger {
    /// Creates the ledger of a process that starts now.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self { buckets: Vec::new(), started_at: now }
    }

    /// Grants credit for up to `wanted` requests of a customer to an entry that returns `returned`
    /// unused ones and knows the given terms.
    pub fn grant(
        &mut self,
        now: MonotonicTime,
        customer: CustomerId,
        terms: CreditTerms,
        wanted: u32,
        returned: u32,
    ) -> CreditGrant {
        if self.buckets.len() >= MAX_BUCKETS {
            // A full bucket is like one of a customer that is seen for the first time.
            self.buckets.retain(|(other, bucket)| *other == customer || !bucket.is_full(now));
        }
        let position = match self.buckets.binary_search_by_key(&customer, |(other, _)| *other) {
            Ok(position) => position,
            // Dropping a bucket that is not full would grant its burst twice.
            Err(_) if self.buckets.len() >= MAX_BUCKETS => {
                return CreditGrant { granted: 0, wait: FULL_LEDGER_WAIT };
            }
            Err(position) => {
                let bucket = CreditBucket::new(now, self.started_at, terms);
                self.buckets.insert(position, (customer, bucket));
                position
            }
        };
        self.buckets[position].1.grant(now, terms, wanted, returned)
    }
}
