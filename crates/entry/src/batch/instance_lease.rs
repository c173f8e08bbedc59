//! The lease under which an instance owns jobs.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use cv_key_value::CallPurpose;
use cv_key_value::KeyValueClient;
use cv_key_value::KeyValueFault;
use cv_key_value::Transaction;
use cv_key_value::WriteOutcome;
use cv_policy::lease::LeaseClock;
use cv_timeline::EventKind;
use cv_timer::TimerService;
use serde_json::json;

use crate::entry_state::EntryState;

/// Prefix of the instance keys; each is attached to its instance's lease.
pub(crate) const INSTANCE_PREFIX: &str = "clementinevale/instances/";

/// Interval between checks of the lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for the write of the instance's key.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// The lease that covers all jobs of an instance; its epoch fences every commit.
pub(crate) struct InstanceLease {
    clock: RefCell<Option<LeaseClock>>,
    /// Id of the lease in the key-value store; 0 if there is none.
    lease_id: RefCell<u64>,
    state: Rc<EntryState>,
}

impl InstanceLease {
    /// Creates an `InstanceLease` that does not hold a lease yet.
    pub fn new(state: Rc<EntryState>) -> Self {
        Self { clock: RefCell::new(None), lease_id: RefCell::new(0), state }
    }

    /// Returns the key that is attached to the lease.
    pub fn key(&self) -> String {
        format!("{INSTANCE_PREFIX}{}", self.state.settings.name)
    }

    /// Returns the epoch if the lease is certain to hold now.
    pub fn epoch(&self) -> Option<u64> {
        let clock = *self.clock.borrow();
        clock.filter(|clock| clock.holds(self.state.clock.now())).map(|clock| clock.epoch())
    }

    /// Returns the wall-clock time until which the lease is certain to hold, in milliseconds since
    /// the Unix epoch.
    pub fn valid_until_ms(&self) -> u64 {
        let now = self.state.clock.now();
        let remaining = self.clock.borrow().map_or(Duration::ZERO, |clock| clock.remaining(now));
        self.state.clock.wall_millis() + remaining.as_millis() as u64
    }

    /// Acquires and renews the lease for as long as the entry runs; pauses while the entry drains.
    pub async fn maintain(self: Rc<Self>, timers: TimerService) {
        let Some(client) = &self.state.key_value else {
            return;
        };
        let ticks = timers.subscribe(LEASE_CHECK_INTERVAL);
        loop {
            ticks.next().await;
            if self.state.draining.get() {
                continue;
            }
            let epoch = self.epoch();
            if epoch.is_none() {
                self.mark_lost();
                if let Err(fault) = self.acquire(client).await {
                    log::warn!("failed to acquire a lease, will try again: {fault}");
                    monoio::time::sleep(client.with_jitter(Duration::from_millis(500))).await;
                }
            } else {
                self.renew_if_due(client).await;
            }
            self.state.metrics.lease_held.set(i64::from(self.epoch().is_some()));
        }
    }

    /// Revokes the lease, so that peers can claim the jobs at once.
    pub async fn revoke(&self) {
        let lease_id = self.lease_id.replace(0);
        self.mark_lost();
        if let Some(client) = &self.state.key_value
            && lease_id != 0
        {
            // If the request fails, the lease expires on its own.
            let _ = client.revoke_lease(lease_id).await;
        }
    }

    /// Acquires a new lease, which starts a new epoch.
    async fn acquire(&self, client: &KeyValueClient) -> Result<(), KeyValueFault> {
        let sent = self.state.clock.now();
        let time_to_live = self.state.section.lease_ttl;
        let lease_id = client.grant_lease(time_to_live).await?;
        let value = json!({"write_id": self.state.new_id()}).to_string().into_bytes();
        let key = self.key();
        // The key may be left over from a previous process of this instance; overwriting it fences
        // that process.
        let current = client.get(CallPurpose::Lease, &key).await?;
        let revision = current.map_or(0, |entry| entry.revision);
        let transaction = Transaction::for_key(&key)
            .if_revision(&key, revision)
            .put_with_lease(&key, &value, lease_id);
        let outcome = client
            .transact_with_retry(CallPurpose::Lease, &transaction, &value, WRITE_TIMEOUT)
            .await?;
        if let WriteOutcome::Done(epoch) = outcome {
            *self.lease_id.borrow_mut() = lease_id;
            *self.clock.borrow_mut() = Some(LeaseClock::new(epoch, sent, time_to_live));
            self.state.events.record(EventKind::LeaseAcquired, "", format!("epoch={epoch}"));
        }
        Ok(())
    }

    /// Renews the lease if the renewal is due.
    async fn renew_if_due(&self, client: &KeyValueClient) {
        let now = self.state.clock.now();
        if !self.clock.borrow().is_some_and(|clock| clock.is_renewal_due(now)) {
            return;
        }
        let lease_id = *self.lease_id.borrow();
        match client.renew_lease(lease_id).await {
            Ok(true) => {
                if let Some(clock) = &mut *self.clock.borrow_mut() {
                    clock.renew(now);
                }
            }
            Ok(false) => self.mark_lost(),
            // The lease holds until its time to live is over.
            Err(fault) => log::debug!("failed to renew the lease, will try again: {fault}"),
        }
    }

    /// Drops the lease clock and records the loss of the lease, if one was held.
    fn mark_lost(&self) {
        if self.clock.borrow_mut().take().is_some() {
            self.state.events.record(EventKind::LeaseLost, "", String::new());
        }
    }
}
