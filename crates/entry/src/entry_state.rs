//! Shared state of an entry.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use cv_control::CallMetadata;
use cv_control::EntryClientPool;
use cv_control::SidecarClientPool;
use cv_http::ConnectionPool;
use cv_http::DrainGate;
use cv_http::HttpLimits;
use cv_key_value::InstanceRecord;
use cv_key_value::KeyValueClient;
use cv_policy::KeyClaims;
use cv_policy::RequestKey;
use cv_policy::SeededRandom;
use cv_policy::TargetId;
use cv_policy::config::ActiveConfig;
use cv_policy::config::ConfigDocument;
use cv_policy::routing::OutlierDetector;
use cv_policy::routing::RetryBudget;
use cv_policy::routing::TargetRouter;
use cv_policy::routing::TargetTable;
use cv_settings::EntrySection;
use cv_settings::ServerSettings;
use cv_timeline::EventKind;
use cv_timeline::EventLog;
use cv_timer::ProcessClock;
use tokio::sync::Notify;

use crate::entry_metrics::EntryMetrics;

/// Time for which request keys are kept; longer than callers keep retrying.
const KEY_RETENTION: Duration = Duration::from_mins(15);

/// Maximum rate of calls from one entry to the key-value service, per second.
const KEY_VALUE_CALLS_PER_SECOND: u32 = 100;

/// Shared state of an entry, except its jobs; no borrow of a part is held across an await.
pub(crate) struct EntryState {
    /// Credit for retries, earned by successful requests.
    pub retry_budget: RefCell<RetryBudget>,
    /// Monotonic and wall-clock time of the process.
    pub clock: ProcessClock,
    /// The active configuration.
    pub config: RefCell<ActiveConfig>,
    /// Notified when a newer configuration becomes active.
    pub config_changed: Notify,
    /// The entry's event log.
    pub events: EventLog,
    /// Tracks running exchanges, so that a drain can wait for them.
    pub gate: DrainGate,
    /// The platform's latest list of instances.
    pub instances: RefCell<Vec<InstanceRecord>>,
    /// Client of the key-value service, if one is configured.
    pub key_value: Option<KeyValueClient>,
    /// Request keys that this entry tracks for itself and its peers.
    pub key_claims: RefCell<KeyClaims>,
    /// Set when shutdown begins, so that the load balancer stops sending requests.
    pub draining: Cell<bool>,
    /// The entry's metrics.
    pub metrics: EntryMetrics,
    /// Counter for [`Self::new_id`].
    next_id: Cell<u64>,
    /// Ejects targets that fail repeatedly or respond slowly.
    pub outliers: OutlierDetector,
    /// Clients for calls to other entries.
    pub peers: EntryClientPool,
    /// HTTP connections to sidecars.
    pub pool: ConnectionPool,
    /// Random numbers for claims and delays.
    pub random: RefCell<SeededRandom>,
    /// Chooses targets for requests.
    pub router: RefCell<TargetRouter>,
    /// The settings of the entry role.
    pub section: EntrySection,
    /// The settings common to all roles.
    pub settings: ServerSettings,
    /// Clients for calls to sidecars.
    pub sidecars: SidecarClientPool,
    /// Wall-clock start time, in milliseconds since the Unix epoch.
    started_ms: u64,
    /// The targets known to this entry.
    pub targets: RefCell<TargetTable>,
    /// Notified when a target may have been lost.
    pub target_lost: Notify,
}

impl EntryState {
    /// Creates the state of an entry that has just started.
    pub fn new(
        settings: ServerSettings,
        section: EntrySection,
        events: EventLog,
        metrics: EntryMetrics,
        clock: ProcessClock,
    ) -> Self {
        let started_ms = clock.wall_millis();
        // Random numbers must differ between entries, but need not be reproducible.
        let seed = cv_policy::stable_hash(&[&settings.name, &started_ms.to_string()]);
        let key_value = (!settings.platform.key_value.is_empty()).then(|| {
            KeyValueClient::new(
                settings.platform.key_value.clone(),
                KEY_VALUE_CALLS_PER_SECOND,
                seed,
            )
        });
        let router = TargetRouter::new(section.routing, &settings.zone, seed);
        Self {
            retry_budget: RefCell::default(),
            clock,
            config: RefCell::default(),
            config_changed: Notify::new(),
            events,
            gate: DrainGate::default(),
            instances: RefCell::default(),
            key_value,
            key_claims: RefCell::new(KeyClaims::new(KEY_RETENTION)),
            draining: Cell::new(false),
            metrics,
            next_id: Cell::new(1),
            outliers: OutlierDetector,
            peers: EntryClientPool::default(),
            pool: ConnectionPool::new(HttpLimits::default()),
            random: RefCell::new(SeededRandom::new(seed)),
            router: RefCell::new(router),
            section,
            settings,
            sidecars: SidecarClientPool::default(),
            started_ms,
            targets: RefCell::default(),
            target_lost: Notify::new(),
        }
    }

    /// Returns a new id for a request or job whose caller gives none, unique across processes.
    pub fn new_id(&self) -> String {
        let count = self.next_id.replace(self.next_id.get() + 1);
        let key = RequestKey::derive(&self.settings.name, &format!("{}/{count}", self.started_ms));
        format!("{:024x}", key.0 >> 32)
    }

    /// Returns the metadata of a call to another process of the system.
    pub fn call_metadata(&self) -> CallMetadata {
        CallMetadata { clock: self.events.next_timestamp(), secret: self.settings.secret.clone() }
    }

    /// Advances the clock past the caller's and returns whether the call carried the shared secret.
    pub fn authenticate(&self, metadata: &CallMetadata) -> bool {
        self.events.observe(metadata.clock);
        metadata.secret == self.settings.secret
    }

    /// Activates a configuration if it is newer; returns whether it was.
    pub fn offer_config(&self, document: ConfigDocument) -> bool {
        if !self.config.borrow_mut().apply_if_newer(document) {
            return false;
        }
        let revision = self.config.borrow().revision();
        self.metrics.config_revision.set(revision.cast_signed());
        self.events.record(EventKind::ConfigInForce, "", format!("revision={revision}"));
        self.config_changed.notify_waiters();
        true
    }

    /// Returns the other entries on the platform's list of instances.
    pub fn other_entries(&self) -> Vec<InstanceRecord> {
        let instances = self.instances.borrow();
        let others = instances
            .iter()
            .filter(|record| record.role == "entry" && record.name != self.settings.name);
        others.cloned().collect()
    }

    /// Counts a request as in flight at its target until the returned guard is dropped.
    pub fn track_in_flight(self: &Rc<Self>, target: TargetId) -> InFlightGuard {
        if let Some(row) = self.targets.borrow_mut().get_mut(target) {
            row.in_flight += 1;
        }
        InFlightGuard { state: Rc::clone(self), target }
    }

    /// Waits until a target is no longer ready or is no longer in the target table.
    pub async fn wait_until_lost(&self, target: TargetId) {
        loop {
            let changed = self.target_lost.notified();
            if !self.targets.borrow().get(target).is_some_and(|row| row.ready) {
                return;
            }
            changed.await;
        }
    }
}

/// Decrements a target's count of in-flight requests when dropped.
pub(crate) struct InFlightGuard {
    state: Rc<EntryState>,
    target: TargetId,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(row) = self.state.targets.borrow_mut().get_mut(self.target) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }
}
