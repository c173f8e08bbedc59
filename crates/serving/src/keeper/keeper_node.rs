//! Startup, shutdown and retirement of a keeper.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::RunSchedule;
use cv_dispatch::UnclaimedJobs;
use cv_http::BudgetLimits;
use cv_http::ClientBudget;
use cv_http::ClientKind;
use cv_http::ConnectionPool;
use cv_http::DrainGate;
use cv_http::HttpLimits;
use cv_http::HttpServer;
use cv_http::bind_listener;
use cv_runtime::ShutdownSignal;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LinePriority;
use cv_timer::ProcessClock;
use cv_timer::TimerService;
use monoio::net::udp::UdpSocket;
use tokio::sync::Notify;

use crate::FleetView;
use crate::NodeIdentity;
use crate::PlatformAdapter;
use crate::StoreChange;
use crate::StoreCommit;
use crate::StoreFault;
use crate::StoreUpdate;
use crate::call_log::CallLog;
use crate::client_report::start_client_report;
use crate::drain::drain_server;
use crate::keeper::job_dispatch::start_dispatch;
use crate::keeper::job_table::JobTable;
use crate::keeper::keeper_handler::KeeperHandler;
use crate::keeper::keeper_metrics::KeeperMetrics;
use crate::keeper::keeper_registration::deregister;
use crate::keeper::keeper_registration::maintain_registration;
use crate::keeper::keeper_registration::watch_isolation;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::load_gate::LoadGate;
use crate::keeper::owner_check::start_owner_check;
use crate::keeper::progress_replication::start_replication;
use crate::keeper::quota_desk::QuotaDesk;
use crate::keeper::stored_quarantines::StoredQuarantines;
use crate::keeper::wait_review::start_wait_review;
use crate::load_listener::start_load_listener;
use crate::peer_sync::start_peer_sync;
use crate::permit_desk::PermitDesk;
use crate::stall_watch::start_stall_watch;
use crate::store_contact::start_outage_check;

/// Minimum time between two watches of the operator's requests to retire instances.
const RETIRE_WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two checks of whether another keeper can take over a retiring one's jobs.
const SUCCESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which the write of a retirement's status is repeated while its outcome is unknown.
const RETIRE_STATUS_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings of a keeper.
#[derive(Clone, Debug)]
pub struct KeeperSettings {
    /// Time within which running calls must end after a shutdown signal.
    pub grace: Duration,
    /// Name, zone and addresses of the process.
    pub identity: NodeIdentity,
    /// What clients may use of the process's memory and descriptors.
    pub limits: BudgetLimits,
    /// Seed of the process's random numbers.
    pub seed: u64,
    /// Address of the coordination store.
    pub store: SocketAddr,
}

/// The process that accepts batch jobs and runs their items.
pub struct KeeperNode<P> {
    /// The platform adapter, of which only associated functions are used.
    adapter: PhantomData<P>,
    log: LineLog,
    settings: KeeperSettings,
}

impl<P: PlatformAdapter> KeeperNode<P> {
    /// Creates a keeper; [`Self::run`] starts it.
    #[must_use]
    pub fn new(settings: KeeperSettings, log: LineLog) -> Self {
        Self { adapter: PhantomData, log, settings }
    }

    /// Serves until the shutdown signal, then drains within the grace period.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or a metric cannot be registered.
    pub async fn run(self, shutdown: ShutdownSignal) -> io::Result<()> {
        let Self { log, settings, .. } = self;
        let clock = ProcessClock::new();
        let timers = TimerService::start(clock);
        let store = Rc::new(P::store(settings.store));
        let view = Rc::new(FleetView::new(clock, log.clone(), settings.seed));
        view.start::<P>(&store, &timers);
        let identity = Rc::new(settings.identity);
        let address = identity.internal_address();
        let socket = Rc::new(UdpSocket::bind(address)?);
        let permits = PermitDesk::new(clock, Rc::clone(&socket));
        let metrics = KeeperMetrics::new().map_err(io::Error::other)?;
        let granted = metrics.credit_granted.clone();
        let denied = metrics.credit_denied.clone();
        let quotas = QuotaDesk::new(clock, Rc::clone(&socket), granted, denied);
        start_load_listener(&view, &identity, socket, &timers, move |entry, datagram| {
            let _ = permits.handle(entry, datagram) || quotas.handle(entry, datagram);
        });
        start_peer_sync::<P>(&view, &identity, &timers);
        start_outage_check(&view, &identity, &timers);
        start_stall_watch(clock, log.clone(), &timers);
        let budget = ClientBudget::new(settings.limits);
        start_client_report(&budget, &metrics.registry, log.clone(), &timers)
            .map_err(io::Error::other)?;
        let call_log =
            CallLog::register(log.clone(), &metrics.registry, "cv_keeper_stray_responses_total")
                .map_err(io::Error::other)?;
        let state = Rc::new(KeeperState::<P> {
            adapter: PhantomData,
            estimate: Cell::default(),
            identity,
            closes: Cell::default(),
            is_isolated: Cell::new(false),
            is_outage_confirmed: Cell::new(false),
            is_known_to_peers: Cell::new(false),
            is_draining: Cell::new(false),
            is_expiring: Cell::new(false),
            is_retiring: Cell::new(false),
            retiring: RefCell::default(),
            lease: Cell::default(),
            item_order: RefCell::default(),
            lookups: RefCell::default(),
            metrics,
            call_log,
            pool: ConnectionPool::new(HttpLimits::default()),
            schedule: RefCell::new(RunSchedule::default()),
            jobs: JobTable::default(),
            stored_quarantines: StoredQuarantines::default(),
            store,
            unclaimed: RefCell::new(UnclaimedJobs::default()),
            view,
            placed_runs: RefCell::default(),
            work_available: Notify::new(),
            work_loaded: LoadGate::default(),
        });
        let drain = DrainGate::default();
        let handler = KeeperHandler { state: Rc::clone(&state) };
        let listener = bind_listener(state.identity.internal_listen)?;
        let server =
            HttpServer::new(listener, Rc::new(handler), drain.clone(), HttpLimits::default());
        monoio::spawn(server.with_budget(&budget, ClientKind::Internal).run());
        monoio::spawn(maintain_registration(Rc::clone(&state)));
        monoio::spawn(watch_isolation(Rc::clone(&state)));
        start_dispatch(&state, &timers);
        start_replication(&state, &timers);
        start_owner_check(&state, &timers);
        start_wait_review(&state, &timers);
        watch_retirement(&state);
        log.record(LinePriority::Essential, EventKind::Started, "keeper", || {
            format!("listen={address}")
        });
        shutdown.triggered().await;
        // A store that does not respond must not use up the grace period of running calls.
        futures::join!(deregister(&state), drain_server(&drain, &log, settings.grace));
        Ok(())
    }
}

/// Starts the retirement when the operator asks for this instance to be drained.
///
/// The instance holds no durable state, so it is drained once it owns no jobs.
fn watch_retirement<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    let watched_state = Rc::clone(state);
    state.view.watch_prefix(&state.store, P::RETIRE_PREFIX, RETIRE_WATCH_INTERVAL, move |update| {
        let mut retiring = watched_state.retiring.borrow_mut();
        let name_of = |key: &str| key.strip_prefix(P::RETIRE_PREFIX).unwrap_or(key).to_owned();
        match update {
            StoreUpdate::Snapshot(items) => {
                *retiring = items.iter().map(|item| name_of(&item.key)).collect();
            }
            StoreUpdate::Changes(changes) => {
                for change in changes {
                    match change {
                        StoreChange::Put(item) => retiring.push(name_of(&item.key)),
                        StoreChange::Deleted(key) => retiring.retain(|name| *name != name_of(&key)),
                    }
                }
            }
        }
        let is_requested = retiring.contains(&watched_state.identity.name);
        if is_requested && !watched_state.is_retiring.replace(true) {
            let state = Rc::clone(&watched_state);
            monoio::spawn(async move { retire(&state).await });
        }
    });
}

/// Hands the jobs over to other keepers and writes the status that the operator reads.
///
/// An instance whose retirement is completed is removed at once, so the last keeper that is not to be
/// retired goes on until there is another one.
async fn retire<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    if !has_successor(state) {
        write_retire_status(state, false).await;
        while !has_successor(state) {
            monoio::time::sleep(SUCCESSOR_CHECK_INTERVAL).await;
        }
    }
    deregister(state).await;
    write_retire_status(state, true).await;
}

/// Returns whether another keeper is registered that is not to be retired.
fn has_successor<P: PlatformAdapter>(state: &KeeperState<P>) -> bool {
    let retiring = state.retiring.borrow();
    let keeper_set = state.view.keepers();
    keeper_set
        .keepers()
        .iter()
        .any(|keeper| keeper.name != state.identity.name && !retiring.contains(&keeper.name))
}

/// Writes the status of the retirement, again until the store has it.
async fn write_retire_status<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, is_done: bool) {
    let (key, value) = P::retire_status(&state.identity.name, is_done);
    let commit = StoreCommit::put(&key, value, 0);
    let outcome = loop {
        match state.commit_with_retry(&commit, RETIRE_STATUS_TIMEOUT).await {
            Err(StoreFault::Unavailable(_)) => state.view.store_health.wait_until_up().await,
            outcome => break outcome,
        }
    };
    let kind = if is_done { EventKind::Stopped } else { EventKind::DrainStarted };
    state.view.log.record(LinePriority::Essential, kind, "keeper", || {
        format!("retired={is_done} status={outcome:?}")
    });
}
