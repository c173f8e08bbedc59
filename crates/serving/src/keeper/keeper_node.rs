//! The keeper's life.

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
use cv_timeline::LineWeight;
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
use crate::load_listener::start_load_listener;
use crate::peer_sync::start_peer_sync;

/// Shortest time between two watches of the operator's requests.
const RETIRE_WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time in which a retirement's answer to the operator is repeated while its outcome is
/// unknown.
const RETIRE_STATUS_TIMEOUT: Duration = Duration::from_secs(30);

/// What a keeper needs to know.
#[derive(Clone, Debug)]
pub struct KeeperSettings {
    /// Time for which running calls may go on after a shutdown signal.
    pub grace: Duration,
    /// Who the process is.
    pub identity: NodeIdentity,
    /// Starts the process's random numbers.
    pub seed: u64,
    /// Where the store listens.
    pub store: SocketAddr,
}

/// An instance that keeps and runs batch jobs.
pub struct KeeperNode<P> {
    border: PhantomData<P>,
    log: LineLog,
    settings: KeeperSettings,
}

impl<P: PlatformAdapter> KeeperNode<P> {
    /// Creates a server.
    #[must_use]
    pub fn new(settings: KeeperSettings, log: LineLog) -> Self {
        Self { border: PhantomData, log, settings }
    }

    /// Serves until the signal, then until what runs has ended.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or a metric cannot be made.
    pub async fn run(self, shutdown: ShutdownSignal) -> io::Result<()> {
        let Self { log, settings, .. } = self;
        let clock = ProcessClock::new();
        let timers = TimerService::start(clock);
        let store = Rc::new(P::store(settings.store));
        let view = Rc::new(FleetView::new(clock, log.clone(), settings.seed));
        view.start::<P>(&store, &timers);
        let identity = Rc::new(settings.identity);
        let address = identity.internal_address();
        start_load_listener(&view, &identity, UdpSocket::bind(address)?, &timers);
        start_peer_sync::<P>(&view, &identity, &timers);
        let state = Rc::new(KeeperState::<P> {
            border: PhantomData,
            estimate: Cell::default(),
            identity,
            is_isolated: Cell::new(false),
            is_known_to_peers: Cell::new(false),
            is_leaving: Cell::new(false),
            lease: Cell::default(),
            metrics: KeeperMetrics::new().map_err(io::Error::other)?,
            pool: ConnectionPool::new(HttpLimits::default()),
            schedule: RefCell::new(RunSchedule::default()),
            jobs: JobTable::default(),
            store,
            view,
            withdrawals: RefCell::default(),
            work_available: Notify::new(),
        });
        let drain = DrainGate::default();
        let handler = KeeperHandler { state: Rc::clone(&state) };
        let listener = bind_listener(address)?;
        let server =
            HttpServer::new(listener, Rc::new(handler), drain.clone(), HttpLimits::default());
        monoio::spawn(server.run());
        monoio::spawn(maintain_registration(Rc::clone(&state)));
        monoio::spawn(watch_isolation(Rc::clone(&state)));
        start_dispatch(&state, &timers);
        start_replication(&state, &timers);
        watch_retirement(&state);
        log.record(LineWeight::Essential, EventKind::Started, "keeper", || {
            format!("listen={address}")
        });
        shutdown.given().await;
        // A store that does not answer must not use up the time for what runs.
        futures::join!(deregister(&state), drain_server(&drain, &log, settings.grace));
        Ok(())
    }
}

/// Leaves when the operator asks for this instance to be emptied.
///
/// Nothing that lasts lies on the instance, so it is empty once it runs no jobs.
fn watch_retirement<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    let following = Rc::clone(state);
    state.view.watch_prefix(&state.store, P::RETIRE_PREFIX, RETIRE_WATCH_INTERVAL, move |news| {
        let key = format!("{}{}", P::RETIRE_PREFIX, following.identity.name);
        let is_asked = match news {
            StoreUpdate::Snapshot(items) => items.iter().any(|item| item.key == key),
            StoreUpdate::Changes(changes) => changes
                .iter()
                .any(|change| matches!(change, StoreChange::Put(item) if item.key == key)),
        };
        if is_asked && !following.is_leaving.get() {
            let state = Rc::clone(&following);
            monoio::spawn(async move { retire(&state).await });
        }
    });
}

/// Hands the jobs to others and tells the operator.
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
    state.view.log.record(LineWeight::Essential, EventKind::Stopped, "keeper", || {
        format!("retired={outcome:?}")
    });
}
