//! What a process knows of the configuration, the targets and the keepers.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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
use cv_timeline::LineWeight;
use cv_timer::ProcessClock;
use cv_timer::TimerService;

use crate::PlatformAdapter;
use crate::PrefixWatcher;
use crate::StoreChange;
use crate::StoreHealth;
use crate::StoreUpdate;
use crate::StoredItem;
use crate::peer_sync::ViewNews;

/// Beginning of the keys under which keepers register.
pub const KEEPERS_PREFIX: &str = "cv/keeper/";

/// Shortest time between two watches of the targets, whose entries change often.
const TARGETS_INTERVAL: Duration = Duration::from_millis(400);

/// Shortest time between two watches of what changes seldom.
const SELDOM_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two looks at held removals.
const HOLD_PERIOD: Duration = Duration::from_millis(500);

/// The view of one process.
pub struct FleetView {
    /// The process's clock.
    pub clock: ProcessClock,
    /// The process's log.
    pub log: LineLog,
    /// What is known of the link to the store.
    pub store_health: StoreHealth,
    /// The configuration in force, as the operator wrote it.
    config: RefCell<Option<Vec<u8>>>,
    random: RefCell<SeededRandom>,
    ring: RefCell<KeeperSet>,
    ring_hold: RefCell<DeferredRemovals>,
    roster: RefCell<TargetTable>,
    roster_hold: RefCell<DeferredRemovals>,
    routes: RefCell<Option<Rc<RouteTable>>>,
    seen_keepers: Cell<bool>,
}

impl FleetView {
    /// Creates a view that knows nothing yet.
    #[must_use]
    pub fn new(clock: ProcessClock, log: LineLog, seed: u64) -> Self {
        Self {
            clock,
            config: RefCell::default(),
            store_health: StoreHealth::new(clock, log.clone()),
            log,
            random: RefCell::new(SeededRandom::new(seed)),
            ring: RefCell::default(),
            ring_hold: RefCell::default(),
            roster: RefCell::default(),
            roster_hold: RefCell::default(),
            routes: RefCell::default(),
            seen_keepers: Cell::new(false),
        }
    }

    /// Starts the tasks that keep the view up to date.
    pub fn start<P: PlatformAdapter>(self: &Rc<Self>, store: &Rc<P::Store>, timers: &TimerService) {
        let view = Rc::clone(self);
        self.watch_prefix(store, P::CONFIG_KEY, SELDOM_INTERVAL, move |news| {
            view.take_config::<P>(news)
        });
        let view = Rc::clone(self);
        self.watch_prefix(store, P::TARGETS_PREFIX, TARGETS_INTERVAL, move |news| {
            view.take_targets::<P>(news);
        });
        let view = Rc::clone(self);
        self.watch_prefix(store, KEEPERS_PREFIX, SELDOM_INTERVAL, move |news| {
            view.take_keepers(news)
        });
        let view = Rc::clone(self);
        let ticks = timers.subscribe(HOLD_PERIOD);
        monoio::spawn(async move {
            loop {
                let now = ticks.next().await;
                view.release_holds(now);
                view.log.flush();
            }
        });
    }

    /// Starts a task that follows one part of the store.
    pub(crate) fn watch_prefix<S: crate::CoordinationStore>(
        self: &Rc<Self>,
        store: &Rc<S>,
        prefix: &'static str,
        interval: Duration,
        apply: impl FnMut(StoreUpdate) + 'static,
    ) {
        let (view, store) = (Rc::clone(self), Rc::clone(store));
        monoio::spawn(async move {
            let random = SeededRandom::new(view.random_number());
            let link = &view.store_health;
            PrefixWatcher { interval, link, prefix, random, store: &*store }.run(apply).await;
        });
    }

    /// Returns the configuration in force, if one is known.
    #[must_use]
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Runs a function over the targets.
    pub fn with_targets<T>(&self, body: impl FnOnce(&mut TargetTable) -> T) -> T {
        body(&mut self.roster.borrow_mut())
    }

    /// Returns the known keepers.
    #[must_use]
    pub fn keepers(&self) -> KeeperSet {
        self.ring.borrow().clone()
    }

    /// Tells whether the keepers' registrations have been read at least once.
    #[must_use]
    pub fn has_loaded_keepers(&self) -> bool {
        self.seen_keepers.get()
    }

    /// Tells whether requests can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.routes.borrow().is_some() && !self.roster.borrow().rows().is_empty()
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

    /// Returns what peers are told.
    pub(crate) fn news(&self) -> ViewNews {
        let roster = self.roster.borrow();
        ViewNews {
            config: self.config.borrow().clone(),
            keepers: self.ring.borrow().keepers().to_vec(),
            targets: roster.rows().iter().map(|row| row.record.clone()).collect(),
        }
    }

    /// Takes what a peer knows that the store answers.
    pub(crate) fn take_news<P: PlatformAdapter>(&self, news: ViewNews, peer: SocketAddr) {
        self.log.record(LineWeight::Routine, EventKind::DirectoryChanged, "relay", || {
            let (keepers, targets) = (news.keepers.len(), news.targets.len());
            format!("peer={peer} targets={targets} keepers={keepers}")
        });
        if let Some(value) = &news.config {
            self.take_config_value::<P>(value);
        }
        let known = self.with_targets(|roster| {
            roster.rows().iter().map(|row| row.record.id.clone()).collect::<Vec<_>>()
        });
        // The peer has held removals back itself as long as need be.
        for id in known {
            if !news.targets.iter().any(|target| target.id == id) {
                self.drop_target(&id);
            }
        }
        for target in news.targets {
            self.put_record(target);
        }
        let mut ring = KeeperSet::default();
        for keeper in news.keepers {
            self.ring_hold.borrow_mut().restore(&keeper.name);
            ring.upsert(keeper);
        }
        self.ring.replace(ring);
        self.seen_keepers.set(true);
    }

    /// Takes a configuration, unless a newer one is in force; tells whether it did.
    pub fn apply_routes(&self, table: RouteTable) -> bool {
        let current = self.routes.borrow().as_ref().map(|routes| routes.version);
        if current.is_some_and(|version| version >= table.version) {
            return false;
        }
        self.log.record(LineWeight::Essential, EventKind::ConfigInForce, "config", || {
            let routes = table.routes().len();
            format!("version={} before={} routes={routes}", table.version, current.unwrap_or(0))
        });
        self.routes.replace(Some(Rc::new(table)));
        true
    }

    /// Takes news of the configuration.
    fn take_config<P: PlatformAdapter>(&self, news: StoreUpdate) {
        for item in written_items(news) {
            if item.key != P::CONFIG_KEY {
                continue;
            }
            self.take_config_value::<P>(&item.value);
        }
    }

    /// Takes a configuration as the operator wrote it.
    fn take_config_value<P: PlatformAdapter>(&self, value: &[u8]) {
        match P::decode_routes(value) {
            Ok(table) => {
                if self.apply_routes(table) {
                    self.config.replace(Some(value.to_vec()));
                }
            }
            Err(fault) => self.reject_entry(P::CONFIG_KEY, &fault.to_string()),
        }
    }

    /// Takes news of the targets.
    fn take_targets<P: PlatformAdapter>(&self, news: StoreUpdate) {
        let known = || {
            let roster = self.roster.borrow();
            roster.rows().iter().map(|row| row.record.id.clone()).collect::<Vec<_>>()
        };
        let id_of = |key: &str| key.strip_prefix(P::TARGETS_PREFIX).unwrap_or(key).to_owned();
        match news {
            StoreUpdate::Snapshot(items) => {
                for id in known() {
                    if !items.iter().any(|item| id_of(&item.key) == id) {
                        self.remove_target(&id);
                    }
                }
                for item in &items {
                    self.put_target::<P>(&id_of(&item.key), item);
                }
            }
            StoreUpdate::Changes(changes) => {
                for change in changes {
                    match change {
                        StoreChange::Put(item) => self.put_target::<P>(&id_of(&item.key), &item),
                        StoreChange::Deleted(key) => self.remove_target(&id_of(&key)),
                    }
                }
            }
        }
    }

    /// Takes a target's entry.
    fn put_target<P: PlatformAdapter>(&self, id: &str, item: &StoredItem) {
        match P::decode_target(id, &item.value) {
            Ok(record) => self.put_record(record),
            Err(fault) => {
                self.roster.borrow_mut().remove(id);
                self.reject_entry(&item.key, &fault.to_string());
            }
        }
    }

    /// Takes what the directory says of a target.
    fn put_record(&self, record: TargetRecord) {
        self.roster_hold.borrow_mut().restore(&record.id);
        self.log_target(&record);
        self.roster.borrow_mut().upsert(record, self.clock.now());
    }

    /// Writes a line if the entry says something new.
    fn log_target(&self, record: &TargetRecord) {
        let roster = self.roster.borrow();
        if roster.get(&record.id).is_some_and(|row| row.record == *record) {
            return;
        }
        self.log.record(LineWeight::Essential, EventKind::DirectoryChanged, &record.id, || {
            let state = if record.state == TargetState::Ready { "ready" } else { "draining" };
            format!("state={state} service={} address={}", record.service, record.address)
        });
    }

    /// Takes the removal of a target's entry.
    fn remove_target(&self, id: &str) {
        let now = self.note_trouble(&self.roster_hold);
        if self.roster_hold.borrow_mut().remove(now, id) {
            self.drop_target(id);
        }
    }

    /// Forgets a target.
    fn drop_target(&self, id: &str) {
        self.roster.borrow_mut().remove(id);
        self.log.record(LineWeight::Essential, EventKind::DirectoryChanged, id, || {
            "state=gone".to_owned()
        });
    }

    /// Takes news of the keepers.
    fn take_keepers(&self, news: StoreUpdate) {
        match news {
            StoreUpdate::Snapshot(items) => {
                self.seen_keepers.set(true);
                let names: Vec<String> =
                    self.ring.borrow().keepers().iter().map(|keeper| keeper.name.clone()).collect();
                for name in names {
                    if !items.iter().any(|item| keeper_name(&item.key) == name) {
                        self.remove_keeper(&name);
                    }
                }
                for item in &items {
                    self.put_keeper(item);
                }
            }
            StoreUpdate::Changes(changes) => {
                for change in changes {
                    match change {
                        StoreChange::Put(item) => self.put_keeper(&item),
                        StoreChange::Deleted(key) => self.remove_keeper(keeper_name(&key)),
                    }
                }
            }
        }
    }

    /// Takes a keeper's registration.
    fn put_keeper(&self, item: &StoredItem) {
        let name = keeper_name(&item.key);
        match KeeperRecord::decode(name, &item.value) {
            Some(record) => {
                self.ring_hold.borrow_mut().restore(name);
                self.ring.borrow_mut().upsert(record);
            }
            None => self.reject_entry(&item.key, "no keeper's registration"),
        }
    }

    /// Takes the removal of a keeper's registration.
    fn remove_keeper(&self, name: &str) {
        let now = self.note_trouble(&self.ring_hold);
        if self.ring_hold.borrow_mut().remove(now, name) {
            self.ring.borrow_mut().remove(name);
        }
    }

    /// Tells a hold about the store's last trouble and returns the time.
    fn note_trouble(&self, hold: &RefCell<DeferredRemovals>) -> MonotonicTime {
        if let Some(time) = self.store_health.last_failure() {
            hold.borrow_mut().record_trouble(time);
        }
        self.clock.now()
    }

    /// Lets removals take effect that were held back for long enough.
    fn release_holds(&self, now: MonotonicTime) {
        self.note_trouble(&self.roster_hold);
        self.note_trouble(&self.ring_hold);
        let gone = self.roster_hold.borrow_mut().take_gone(now);
        for id in &gone {
            self.drop_target(id);
        }
        let gone = self.ring_hold.borrow_mut().take_gone(now);
        for name in &gone {
            self.ring.borrow_mut().remove(name);
        }
    }

    /// Writes a line about an entry that cannot be read.
    fn reject_entry(&self, key: &str, detail: &str) {
        self.log.record(LineWeight::Essential, EventKind::EntryRejected, key, || detail.to_owned());
    }
}

/// Returns the items that news write.
fn written_items(news: StoreUpdate) -> Vec<StoredItem> {
    match news {
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

/// Returns the name of the keeper that registers under a key.
fn keeper_name(key: &str) -> &str {
    key.strip_prefix(KEEPERS_PREFIX).unwrap_or(key)
}
