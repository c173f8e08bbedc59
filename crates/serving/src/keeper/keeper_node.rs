//! Startup, shutdown and retirement of a keeper.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::RunSchedule;
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
use crate::drain::drain_server;
use crate::keeper::job_dispatch::start_dispatch;
use crate::keeper::job_table::JobTable;
use crate::keeper::keeper_handler::KeeperHandler;
use crate::keeper::keeper_metrics::KeeperMetrics;
use crate::keeper::keeper_registration::deregister;
use crate::keeper::keeper_registration::maintain_registration;
use crate::keeper::keeper_registration::watch_isolation;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::progress_replication::start_replication;
use crate::keeper::stored_quarantines::StoredQuarantines;
use crate::load_listener::start_load_listener;
use crate::peer_sync::start_peer_sync;
use crate::permit_desk::PermitDesk;

/// Minimum time between two watches of the operator's requests to retire instances.
const RETIRE_WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the write of a retirement's status is repeated while its outcome is unknown.
const RETIRE_STATUS_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings of a keeper.
#[derive(Clone, Debug)]
pub struct KeeperSettings {
    /// Time within which running calls must end after a shutdown signal.
    pub grace: Duration,
    /// Name, zone and addresses of the process.
    pub identity: NodeIdentity,
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
        start_load_listener(&view, &identity, socket, &timers, move |entry, datagram| {
            permits.handle(entry, datagram);
        });
        start_peer_sync::<P>(&view, &identity, &timers);
        let state = Rc::new(KeeperState::<P> {
            adapter: PhantomData,
            estimate: Cell::default(),
            identity,
            knows_closed_jobs: Cell::new(false),
            is_reading_closed: Cell::new(false),
            is_isolated: Cell::new(false),
            is_outage_confirmed: Cell::new(false),
            is_known_to_peers: Cell::new(false),
            is_draining: Cell::new(false),
            is_expiring: Cell::new(false),
            lease: Cell::default(),
            metrics: KeeperMetrics::new().map_err(io::Error::other)?,
            pool: ConnectionPool::new(HttpLimits::default()),
            schedule: RefCell::new(RunSchedule::default()),
            jobs: JobTable::default(),
            stored_quarantines: StoredQuarantines::default(),
            store,
            view,
            withdrawals: RefCell::default(),
            work_available: Notify::new(),
        });
        let drain = DrainGate::default();
        let handler = KeeperHandler { state: Rc::clone(&state) };
        let listener = bind_listener(state.identity.internal_listen)?;
        let server =
            HttpServer::new(listener, Rc::new(handler), drain.clone(), HttpLimits::default());
        monoio::spawn(server.run());
        monoio::spawn(maintain_registration(Rc::clone(&state)));
        monoio::spawn(watch_isolation(Rc::clone(&state)));
        start_dispatch(&state, &timers);
        start_replication(&state, &timers);
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
        let key = format!("{}{}", P::RETIRE_PREFIX, watched_state.identity.name);
        let is_requested = match update {
            StoreUpdate::Snapshot(items) => items.iter().any(|item| item.key == key),
            StoreUpdate::Changes(changes) => changes
                .iter()
                .any(|change| matches!(change, StoreChange::Put(item) if item.key == key)),
        };
        if is_requested && !watched_state.is_draining.get() {
            let state = Rc::clone(&watched_state);
            monoio::spawn(async move { retire(&state).await });
        }
    });
}

/// Hands the jobs over to other keepers and writes the status that the operator reads.
async fn retire<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    deregister(state).await;
    let (key, value) = P::retire_status(&state.identity.name, true);
    let commit = StoreCommit::put(&key, value, 0);
    let outcome = loop {
        match state.commit_with_retry(&commit, RETIRE_STATUS_TIMEOUT).await {
            Err(StoreFault::Unavailable(_)) => state.view.store_health.wait_until_up().await,
            outcome => break outcome,
        }
    };
    state.view.log.record(LinePriority::Essential, EventKind::Stopped, "keeper", || {
        format!("retired={outcome:?}")
    });
}
