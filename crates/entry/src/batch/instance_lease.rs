//! The lease by which an instance owns jobs.

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

/// Prefix of the keys that live as long as their instance's lease.
pub(crate) const INSTANCE_PREFIX: &str = "clementinevale/instances/";

/// Time between two looks at the lease.
const PERIOD: Duration = Duration::from_millis(100);

/// Longest time to settle the write of the instance's key.
const WRITE_PATIENCE: Duration = Duration::from_secs(3);

/// One lease for all jobs of an instance; its epoch fences every commit.
pub(crate) struct InstanceLease {
    clock: RefCell<Option<LeaseClock>>,
    lease: RefCell<u64>,
    state: Rc<EntryState>,
}

impl InstanceLease {
    /// Creates the holder of a lease that has not been granted yet.
    pub fn new(state: Rc<EntryState>) -> Self {
        Self { clock: RefCell::new(None), lease: RefCell::new(0), state }
    }

    /// Returns the key that lives as long as the lease.
    pub fn key(&self) -> String {
        format!("{INSTANCE_PREFIX}{}", self.state.settings.name)
    }

    /// Returns the epoch while the lease provably holds.
    pub fn epoch(&self) -> Option<u64> {
        let clock = *self.clock.borrow();
        clock.filter(|clock| clock.holds(self.state.clock.now())).map(|clock| clock.epoch())
    }

    /// Returns the wall-clock time until which the lease provably holds, in milliseconds since the
    /// Unix epoch.
    pub fn valid_until_ms(&self) -> u64 {
        let now = self.state.clock.now();
        let remaining = self.clock.borrow().map_or(Duration::ZERO, |clock| clock.remaining(now));
        self.state.clock.wall_millis() + remaining.as_millis() as u64
    }

    /// Keeps the lease for as long as the entry runs.
    pub async fn keep(self: Rc<Self>, timers: TimerService) {
        let Some(client) = &self.state.key_value else {
            return;
        };
        let ticks = timers.subscribe(PERIOD);
        loop {
            ticks.next().await;
            if self.state.draining.get() {
                continue;
            }
            let before = self.epoch();
            if before.is_none() {
                self.drop_clock();
                if let Err(fault) = self.acquire(client).await {
                    log::warn!("no lease: {fault}");
                    monoio::time::sleep(client.with_jitter(Duration::from_millis(500))).await;
                }
            } else {
                self.renew_if_due(client).await;
            }
            self.state.metrics.lease_held.set(i64::from(self.epoch().is_some()));
        }
    }

    /// Gives the lease back, so that peers take over at once.
    pub async fn release(&self) {
        let lease = self.lease.replace(0);
        self.drop_clock();
        if let Some(client) = &self.state.key_value
            && lease != 0
        {
            // Without an answer the lease ends by itself.
            let _ = client.revoke_lease(lease).await;
        }
    }

    /// Gets a new lease and with it a new epoch.
    async fn acquire(&self, client: &KeyValueClient) -> Result<(), KeyValueFault> {
        let sent = self.state.clock.now();
        let time_to_live = self.state.section.lease_ttl;
        let lease = client.grant_lease(time_to_live).await?;
        let value = json!({"write_id": self.state.new_id()}).to_string().into_bytes();
        let key = self.key();
        // An earlier life of this instance may have left the key; overwriting it fences that life.
        let current = client.get(CallPurpose::Lease, &key).await?;
        let revision = current.map_or(0, |entry| entry.revision);
        let transaction = Transaction::for_key(&key)
            .if_revision(&key, revision)
            .put_with_lease(&key, &value, lease);
        let answer = client
            .transact_with_retry(CallPurpose::Lease, &transaction, &value, WRITE_PATIENCE)
            .await?;
        if let WriteOutcome::Done(epoch) = answer {
            *self.lease.borrow_mut() = lease;
            *self.clock.borrow_mut() = Some(LeaseClock::new(epoch, sent, time_to_live));
            self.state.events.record(EventKind::LeaseAcquired, "", format!("epoch={epoch}"));
        }
        Ok(())
    }

    /// Renews the lease when it is time to.
    async fn renew_if_due(&self, client: &KeyValueClient) {
        let now = self.state.clock.now();
        if !self.clock.borrow().is_some_and(|clock| clock.is_renewal_due(now)) {
            return;
        }
        let lease = *self.lease.borrow();
        match client.renew_lease(lease).await {
            Ok(true) => {
                if let Some(clock) = &mut *self.clock.borrow_mut() {
                    clock.renew(now);
                }
            }
            Ok(false) => self.drop_clock(),
            // The lease goes on until its time is over.
            Err(fault) => log::debug!("lease not renewed: {fault}"),
        }
    }

    /// Forgets the lease.
    fn drop_clock(&self) {
        if self.clock.borrow_mut().take().is_some() {
            self.state.events.record(EventKind::LeaseLost, "", String::new());
        }
    }
}
