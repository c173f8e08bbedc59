//! A process's view of the configuration, the targets and the keepers.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::CopiedRemovals;
use cv_dispatch::DeferredRemovals;
use cv_dispatch::KeeperRecord;
use cv_dispatch::KeeperSet;
use cv_dispatch::RouteTable;
use cv_dispatch::TargetRecord;
use cv_dispatch::TargetState;
use cv_dispatch::TargetTable;
use cv_policy::MonotonicTime;
use cv_policy::SeededRandom;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LinePriority;
use cv_timer::ProcessClock;
use cv_timer::TimerService;
use tokio::sync::Notify;

use crate::CoordinationStore;
use crate::DecodeFault;
use crate::PlatformAdapter;
use crate::PrefixWatcher;
use crate::StoreChange;
use crate::StoreFault;
use crate::StoreHealth;
use crate::StoreUpdate;
use crate::StoredItem;
use crate::WatchedPrefix;
use crate::peer_sync::ViewSnapshot;
use crate::quarantine_desk::QuarantineDesk;

/// Prefix of the keys under which keepers register.
pub const KEEPERS_PREFIX: &str = "cv/keeper/";

/// Shortest time between two watches of the targets, whose registrations change often.
const TARGETS_WATCH_INTERVAL: Duration = Duration::from_millis(400);

/// Shortest time between two watches of keys that change rarely.
const DEFAULT_WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two checks for deferred removals that have expired.
const REMOVAL_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The view of one process, kept up to date from the store or, while that is down, from peers.
pub struct FleetView {
    /// The process's clock.
    pub clock: ProcessClock,
    /// The process's log.
    pub log: LineLog,
    /// The prompt parts that end engines.
    pub(crate) quarantine: Rc<QuarantineDesk>,
    /// Whether the store responds to this process.
    pub store_health: StoreHealth,
    /// Sidecars that run items of this process, with the number of items, sorted.
    busy_sidecars: RefCell<Vec<(SocketAddr, u32)>>,
    /// The active configuration, as the operator wrote it.
    config: RefCell<Option<Vec<u8>>>,
    random: RefCell<SeededRandom>,
    copied_keeper_removals: RefCell<CopiedRemovals>,
    copied_target_removals: RefCell<CopiedRemovals>,
    keepers: RefCell<KeeperSet>,
    /// Number of registrations of keepers that were applied.
    keeper_changes: Cell<u64>,
    keeper_removals: RefCell<DeferredRemovals>,
    targets: RefCell<TargetTable>,
    target_removals: RefCell<DeferredRemovals>,
    routes: RefCell<Option<Rc<RouteTable>>>,
    keepers_loaded: Cell<bool>,
    targets_loaded: Cell<bool>,
    /// Notified when configuration, targets or keepers have been loaded for the first time.
    loaded: Notify,
}

impl FleetView {
    /// Creates an empty view; `seed` starts its random numbers.
    #[must_use]
    pub fn new(clock: ProcessClock, log: LineLog, seed: u64) -> Self {
        Self {
            busy_sidecars: RefCell::default(),
            clock,
            config: RefCell::default(),
            quarantine: QuarantineDesk::new(clock, log.clone()),
            store_health: StoreHealth::new(clock, log.clone()),
            log,
            random: RefCell::new(SeededRandom::new(seed)),
            copied_keeper_removals: RefCell::default(),
            copied_target_removals: RefCell::default(),
            keepers: RefCell::default(),
            keeper_changes: Cell::new(0),
            keeper_removals: RefCell::default(),
            targets: RefCell::default(),
            target_removals: RefCell::default(),
            routes: RefCell::default(),
            keepers_loaded: Cell::new(false),
            targets_loaded: Cell::new(false),
            loaded: Notify::new(),
        }
    }

    /// Starts the tasks that keep the view up to date.
    pub fn start<P: PlatformAdapter>(self: &Rc<Self>, store: &Rc<P::Store>, timers: &TimerService) {
        let view = Rc::clone(self);
        self.watch_prefix(store, P::CONFIG_KEY, DEFAULT_WATCH_INTERVAL, move |update| {
            view.apply_config_update::<P>(update);
        });
        let view = Rc::clone(self);
        self.watch_prefix(store, P::TARGETS_PREFIX, TARGETS_WATCH_INTERVAL, move |update| {
            view.apply_target_update::<P>(update);
        });
        let view = Rc::clone(self);
        self.watch_prefix(store, KEEPERS_PREFIX, DEFAULT_WATCH_INTERVAL, move |update| {
            view.apply_keeper_update(update);
        });
        let view = Rc::clone(self);
        let ticks = timers.subscribe(REMOVAL_CHECK_INTERVAL);
        monoio::spawn(async move {
            loop {
                let now = ticks.next().await;
                view.apply_expired_removals(now);
                view.log.flush();
            }
        });
    }

    /// Starts a task that passes all updates of the watched keys to `apply`.
    pub(crate) fn watch_prefix<S: CoordinationStore>(
        self: &Rc<Self>,
        store: &Rc<S>,
        keys: impl Into<WatchedPrefix<'static>>,
        interval: Duration,
        apply: impl FnMut(StoreUpdate) + 'static,
    ) {
        let (view, store, keys) = (Rc::clone(self), Rc::clone(store), keys.into());
        monoio::spawn(async move {
            let random = SeededRandom::new(view.random_number());
            let store_health = &view.store_health;
            PrefixWatcher { interval, store_health, keys, random, store: &*store }.run(apply).await;
        });
    }

    /// Returns the routes of the active configuration, or `None` if none has been received.
    #[must_use]
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Runs a function on the target table.
    pub fn with_targets<T>(&self, body: impl FnOnce(&mut TargetTable) -> T) -> T {
        body(&mut self.targets.borrow_mut())
    }

    /// Records that a sidecar gets an item of this process.
    pub(crate) fn begin_item_at(&self, sidecar: SocketAddr) {
        let mut sidecars = self.busy_sidecars.borrow_mut();
        match sidecars.binary_search_by_key(&sidecar, |(address, _)| *address) {
            Ok(position) => sidecars[position].1 += 1,
            Err(position) => sidecars.insert(position, (sidecar, 1)),
        }
    }

    /// Records that a sidecar no longer has an item of this process.
    pub(crate) fn end_item_at(&self, sidecar: SocketAddr) {
        let mut sidecars = self.busy_sidecars.borrow_mut();
        if let Ok(position) = sidecars.binary_search_by_key(&sidecar, |(address, _)| *address) {
            sidecars[position].1 -= 1;
            if sidecars[position].1 == 0 {
                sidecars.remove(position);
            }
        }
    }

    /// Returns the sidecars that have items of this process, sorted.
    pub(crate) fn busy_sidecars(&self) -> Vec<SocketAddr> {
        self.busy_sidecars.borrow().iter().map(|(address, _)| *address).collect()
    }

    /// Returns the known keepers.
    #[must_use]
    pub fn keepers(&self) -> KeeperSet {
        self.keepers.borrow().clone()
    }

    /// Returns whether the keepers' registrations have been loaded at least once.
    #[must_use]
    pub fn has_loaded_keepers(&self) -> bool {
        self.keepers_loaded.get()
    }

    /// Returns whether configuration, targets and keepers have all been loaded at least once.
    ///
    /// Until then, a target or keeper that is missing says nothing.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        let has_routes = self.routes.borrow().is_some();
        has_routes && self.targets_loaded.get() && self.keepers_loaded.get()
    }

    /// Waits until the view is loaded.
    pub async fn wait_until_loaded(&self) {
        while !self.is_loaded() {
            self.loaded.notified().await;
        }
        // Passes the notification on to the next waiting request.
        self.loaded.notify_one();
    }

    /// Returns whether requests can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.routes.borrow().is_some() && !self.targets.borrow().rows().is_empty()
    }

    /// Returns a random number.
    #[must_use]
    pub fn random_number(&self) -> u64 {
        self.random.borrow_mut().number()
    }

    /// Returns a random number from 0 up to, but not including, 1.
    #[must_use]
    pub fn random_fraction(&self) -> f64 {
        self.random.borrow_mut().fraction()
    }

    /// Returns the part of the view that is shared with peers.
    pub(crate) fn snapshot(&self) -> ViewSnapshot {
        let targets = self.targets.borrow();
        ViewSnapshot {
            config: self.config.borrow().clone(),
            keepers: self.keepers.borrow().keepers().to_vec(),
            targets: targets.rows().iter().map(|row| row.record.clone()).collect(),
            contact_time: self.store_health.contact_time(),
        }
    }

    /// Applies the targets and keepers of a peer to which the store responds, and the peer's
    /// configuration if it is newer. What the peer does not list is removed as far as the peer can know.
    pub(crate) fn apply_snapshot<P: PlatformAdapter>(
        &self,
        snapshot: ViewSnapshot,
        peer: SocketAddr,
    ) {
        self.log.record(LinePriority::Routine, EventKind::DirectoryChanged, "relay", || {
            let (keepers, targets) = (snapshot.keepers.len(), snapshot.targets.len());
            let contact_ms = snapshot.contact_time.map_or(0, |time| time.as_millis());
            format!("peer={peer} targets={targets} keepers={keepers} contact_ms={contact_ms}")
        });
        if let Some(value) = &snapshot.config {
            // One that cannot be decoded has been logged, and the active one stays.
            let _ = self.apply_config::<P>(value);
        }
        self.apply_copied_removals(&snapshot);
        let is_steady = CopiedRemovals::is_steady(snapshot.contact_time);
        for target in snapshot.targets {
            // Otherwise the peer may not have read yet that the target drains.
            if is_steady || !self.is_draining(&target.id) {
                self.upsert_target(target);
            }
        }
        // The peer may know less than the watches have told before.
        self.store_health.record_missed_changes();
        for keeper in snapshot.keepers {
            self.keeper_removals.borrow_mut().restore(&keeper.name);
            self.keepers.borrow_mut().upsert(keeper);
        }
        self.keeper_changes.set(self.keeper_changes.get() + 1);
        self.targets_loaded.set(true);
        self.keepers_loaded.set(true);
        self.loaded.notify_one();
    }

    /// Removes the targets and keepers that a peer does not list and that count as removed.
    fn apply_copied_removals(&self, snapshot: &ViewSnapshot) {
        let (now, peer_contact) = (self.clock.now(), snapshot.contact_time);
        let is_listed = |id: &String| snapshot.targets.iter().any(|target| target.id == *id);
        let missing = self.known_targets().into_iter().filter(|id| !is_listed(id)).collect();
        let removed = self.copied_target_removals.borrow_mut().remove(now, peer_contact, missing);
        for id in &removed {
            self.forget_target(id);
        }
        let is_listed = |name: &String| snapshot.keepers.iter().any(|keeper| keeper.name == *name);
        let missing = self.known_keepers().into_iter().filter(|name| !is_listed(name)).collect();
        let removed = self.copied_keeper_removals.borrow_mut().remove(now, peer_contact, missing);
        for name in &removed {
            self.keepers.borrow_mut().remove(name);
        }
    }

    /// Returns whether a target is known to accept no new requests.
    fn is_draining(&self, id: &str) -> bool {
        let targets = self.targets.borrow();
        targets.get(id).is_some_and(|row| row.record.state == TargetState::Draining)
    }

    /// Returns the ids of the known targets, sorted.
    fn known_targets(&self) -> Vec<String> {
        self.targets.borrow().rows().iter().map(|row| row.record.id.clone()).collect()
    }

    /// Returns the names of the known keepers, sorted.
    fn known_keepers(&self) -> Vec<String> {
        self.keepers.borrow().keepers().iter().map(|keeper| keeper.name.clone()).collect()
    }

    /// Activates a configuration unless the active one is as new; returns whether it did.
    pub fn apply_routes(&self, table: RouteTable) -> bool {
        let current = self.routes.borrow().as_ref().map(|routes| routes.version);
        if current.is_some_and(|version| version >= table.version) {
            return false;
        }
        self.log.record(LinePriority::Essential, EventKind::ConfigInForce, "config", || {
            let routes = table.routes().len();
            format!("version={} before={} routes={routes}", table.version, current.unwrap_or(0))
        });
        self.routes.replace(Some(Rc::new(table)));
        self.loaded.notify_one();
        true
    }

    /// Applies an update of the configuration's key.
    fn apply_config_update<P: PlatformAdapter>(&self, update: StoreUpdate) {
        for item in put_items(update) {
            if item.key != P::CONFIG_KEY {
                continue;
            }
            // One that cannot be decoded has been logged, and the active one stays.
            let _ = self.apply_config::<P>(&item.value);
        }
    }

    /// Reads the configuration from the store and applies it.
    ///
    /// Afterwards the active configuration is at least as new as any that another process had
    /// received before the call, which cannot be said of a watch that is about to resume.
    ///
    /// # Errors
    /// Faults of the store; `Invalid` if there is no configuration or it cannot be decoded.
    pub(crate) async fn refresh_config<P: PlatformAdapter>(
        &self,
        store: &P::Store,
    ) -> Result<(), StoreFault> {
        let item = self.store_health.observe(store.get(P::CONFIG_KEY).await)?;
        let Some(item) = item else {
            return Err(StoreFault::Invalid(format!("{} does not exist", P::CONFIG_KEY)));
        };
        self.apply_config::<P>(&item.value).map_err(|fault| StoreFault::Invalid(fault.0))
    }

    /// Decodes and applies a configuration as the operator wrote it.
    ///
    /// # Errors
    /// The configuration cannot be decoded; the active one stays.
    fn apply_config<P: PlatformAdapter>(&self, value: &[u8]) -> Result<(), DecodeFault> {
        match P::decode_routes(value) {
            Ok(table) => {
                if self.apply_routes(table) {
                    self.config.replace(Some(value.to_vec()));
                }
                Ok(())
            }
            Err(fault) => {
                self.log_rejected(P::CONFIG_KEY, &fault.to_string());
                Err(fault)
            }
        }
    }

    /// Applies an update of the targets' registrations.
    fn apply_target_update<P: PlatformAdapter>(&self, update: StoreUpdate) {
        let id_of = |key: &str| key.strip_prefix(P::TARGETS_PREFIX).unwrap_or(key).to_owned();
        match update {
            StoreUpdate::Snapshot(items) => {
                let is_listed =
                    |id: &String| items.iter().any(|item| id_of(&item.key) == id.as_str());
                self.copied_target_removals.borrow_mut().clear();
                let known = self.known_targets();
                let missing: Vec<&String> = known.iter().filter(|id| !is_listed(id)).collect();
                self.record_target_removals(missing.len());
                for id in missing {
                    self.remove_or_defer_target(id);
                }
                for item in &items {
                    self.apply_target::<P>(&id_of(&item.key), item);
                }
                self.targets_loaded.set(true);
                self.loaded.notify_one();
            }
            StoreUpdate::Changes(changes) => {
                let is_removal = |change: &&StoreChange| matches!(change, StoreChange::Deleted(_));
                self.record_target_removals(changes.iter().filter(is_removal).count());
                for change in changes {
                    match change {
                        StoreChange::Put(item) => self.apply_target::<P>(&id_of(&item.key), &item),
                        StoreChange::Deleted(key) => self.remove_or_defer_target(&id_of(&key)),
                    }
                }
            }
        }
    }

    /// Applies a target's registration; one that cannot be decoded removes the target.
    fn apply_target<P: PlatformAdapter>(&self, id: &str, item: &StoredItem) {
        match P::decode_target(id, &item.value) {
            Ok(record) => self.upsert_target(record),
            Err(fault) => {
                self.targets.borrow_mut().remove(id);
                self.log_rejected(&item.key, &fault.to_string());
            }
        }
    }

    /// Inserts or updates a target and cancels its removal.
    fn upsert_target(&self, record: TargetRecord) {
        self.target_removals.borrow_mut().restore(&record.id);
        self.log_target_change(&record);
        self.targets.borrow_mut().upsert(record, self.clock.now());
    }

    /// Logs a target's record unless it is unchanged.
    fn log_target_change(&self, record: &TargetRecord) {
        let targets = self.targets.borrow();
        if targets.get(&record.id).is_some_and(|row| row.record == *record) {
            return;
        }
        self.log.record(LinePriority::Essential, EventKind::DirectoryChanged, &record.id, || {
            let state = if record.state == TargetState::Ready { "ready" } else { "draining" };
            format!("state={state} service={} address={}", record.service, record.address)
        });
    }

    /// Chooses a random process that shares its view: a keeper or one of `seeds`.
    pub(crate) fn random_peer(
        &self,
        seeds: &[SocketAddr],
        own_address: SocketAddr,
    ) -> Option<SocketAddr> {
        let keepers = self.keepers();
        let addresses = keepers.keepers().iter().map(|keeper| keeper.address);
        let mut peers: Vec<SocketAddr> = addresses.chain(seeds.iter().copied()).collect();
        peers.retain(|address| *address != own_address);
        peers.get((self.random_fraction() * peers.len() as f64) as usize).copied()
    }

    /// Applies all deferred removals if `peer` has had contact with the store for so long that the
    /// failures concerned this process alone.
    pub(crate) fn end_own_outage(&self, peer: SocketAddr, peer_contact: Duration) {
        let Some(last_failure) = self.store_health.forget_own_failures(peer_contact) else {
            return;
        };
        self.log.record(LinePriority::Essential, EventKind::DependencyRegained, "store", || {
            format!("failed for this process alone, peer={peer}")
        });
        let now = self.clock.now();
        self.target_removals.borrow_mut().end_outage(now, last_failure);
        self.keeper_removals.borrow_mut().end_outage(now, last_failure);
        self.apply_expired_removals(now);
    }

    /// Records how many targets vanish in one update.
    fn record_target_removals(&self, removed: usize) {
        let known = self.targets.borrow().rows().len();
        self.target_removals.borrow_mut().record_removals(self.clock.now(), removed, known);
    }

    /// Removes a target whose registration is gone, or defers that after an outage of the store.
    fn remove_or_defer_target(&self, id: &str) {
        let now = self.record_store_outage(&self.target_removals);
        if self.target_removals.borrow_mut().remove(now, id) {
            self.forget_target(id);
        }
    }

    /// Removes a target from the table.
    fn forget_target(&self, id: &str) {
        self.targets.borrow_mut().remove(id);
        self.log.record(LinePriority::Essential, EventKind::DirectoryChanged, id, || {
            "state=gone".to_owned()
        });
    }

    /// Removes a keeper if the store confirms that its registration is gone, also where the removal is
    /// deferred; returns whether it was removed. A keeper that has registered again meanwhile stays.
    ///
    /// # Errors
    /// Faults of the store.
    pub(crate) async fn remove_keeper_if_gone<S: CoordinationStore>(
        &self,
        store: &S,
        name: &str,
    ) -> Result<bool, StoreFault> {
        let changes = self.keeper_changes.get();
        let key = format!("{KEEPERS_PREFIX}{name}");
        let registration = self.store_health.observe(store.get(&key).await)?;
        let is_gone = registration.is_none() && self.keeper_changes.get() == changes;
        if is_gone {
            self.keeper_removals.borrow_mut().restore(name);
            self.keepers.borrow_mut().remove(name);
        }
        Ok(is_gone)
    }

    /// Applies an update of the keepers' registrations.
    fn apply_keeper_update(&self, update: StoreUpdate) {
        match update {
            StoreUpdate::Snapshot(items) => {
                self.keepers_loaded.set(true);
                self.copied_keeper_removals.borrow_mut().clear();
                for name in self.known_keepers() {
                    if !items.iter().any(|item| keeper_name(&item.key) == name) {
                        self.remove_or_defer_keeper(&name);
                    }
                }
                for item in &items {
                    self.apply_keeper(item);
                }
                self.loaded.notify_one();
            }
            StoreUpdate::Changes(changes) => {
                for change in changes {
                    match change {
                        StoreChange::Put(item) => self.apply_keeper(&item),
                        StoreChange::Deleted(key) => self.remove_or_defer_keeper(keeper_name(&key)),
                    }
                }
            }
        }
    }

    /// Applies a keeper's registration; one that cannot be decoded is ignored.
    fn apply_keeper(&self, item: &StoredItem) {
        let name = keeper_name(&item.key);
        match KeeperRecord::decode(name, &item.value) {
            Some(record) => {
                self.keeper_removals.borrow_mut().restore(name);
                self.keepers.borrow_mut().upsert(record);
                self.keeper_changes.set(self.keeper_changes.get() + 1);
            }
            None => self.log_rejected(&item.key, "not a keeper's registration"),
        }
    }

    /// Removes a keeper whose registration is gone, or defers that after an outage of the store.
    fn remove_or_defer_keeper(&self, name: &str) {
        let now = self.record_store_outage(&self.keeper_removals);
        if self.keeper_removals.borrow_mut().remove(now, name) {
            self.keepers.borrow_mut().remove(name);
        }
    }

    /// Reports to `removals` when the store failed and for how long it has responded; returns the
    /// current time.
    fn record_store_outage(&self, removals: &RefCell<DeferredRemovals>) -> MonotonicTime {
        removals.borrow_mut().record_responding_time(self.store_health.responding_time());
        if let Some(time) = self.store_health.last_failure() {
            removals.borrow_mut().record_outage(time);
        }
        self.clock.now()
    }

    /// Applies the removals that have been deferred for long enough.
    fn apply_expired_removals(&self, now: MonotonicTime) {
        self.record_store_outage(&self.target_removals);
        self.record_store_outage(&self.keeper_removals);
        let expired = self.target_removals.borrow_mut().take_expired(now);
        for id in &expired {
            self.forget_target(id);
        }
        let expired = self.keeper_removals.borrow_mut().take_expired(now);
        for name in &expired {
            self.keepers.borrow_mut().remove(name);
        }
    }

    /// Logs a store key whose value cannot be decoded.
    fn log_rejected(&self, key: &str, detail: &str) {
        self.log
            .record(LinePriority::Essential, EventKind::EntryRejected, key, || detail.to_owned());
    }
}

/// Returns the items that an update writes.
fn put_items(update: StoreUpdate) -> Vec<StoredItem> {
    match update {
        StoreUpdate::Snapshot(items) => items,
        StoreUpdate::Changes(changes) => changes
            .into_iter()
            .filter_map(|change| match change {
                StoreChange::Put(item) => Some(item),
                StoreChange::Deleted(_) => None,
            })
            .collect(),
    }
}

/// Returns the name of the keeper that is registered under a key.
fn keeper_name(key: &str) -> &str {
    key.strip_prefix(KEEPERS_PREFIX).unwrap_or(key)
}
