//! Starts, runs and shuts down an entry.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_control::EntryPeer;
use cv_control::accept_calls;
use cv_http::BudgetLimits;
use cv_http::ClientBudget;
use cv_http::ClientKind;
use cv_http::HttpLimits;
use cv_http::HttpServer;
use cv_http::bind_listener;
use cv_http::describe_listeners;
use cv_http::log_client_counts;
use cv_runtime::ShutdownSignal;
use cv_settings::EntrySection;
use cv_settings::ServerSettings;
use cv_storage::JournalStore;
use cv_timeline::EventKind;
use cv_timeline::EventLog;
use cv_timer::ProcessClock;
use cv_timer::TimerService;
use monoio::net::TcpListener;

use crate::api_router::ApiRouter;
use crate::batch::BatchCoordinator;
use crate::batch::JournalClient;
use crate::entry_metrics::EntryMetrics;
use crate::entry_state::EntryState;
use crate::peer_service::PeerService;
use crate::watch::watch_config;
use crate::watch::watch_instances;
use crate::watch::watch_targets;

/// Time for which a draining entry keeps accepting requests, so that the load balancer notices.
const DRAIN_DELAY: Duration = Duration::from_millis(500);

/// Why an entry could not start.
#[derive(Debug)]
pub struct EntryFault(String);

impl fmt::Display for EntryFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the entry cannot start: {}", self.0)
    }
}

impl std::error::Error for EntryFault {}

impl EntryFault {
    /// Wraps the text of an error.
    fn from_error(error: impl fmt::Display) -> Self {
        Self(error.to_string())
    }
}

/// An entry whose listeners are bound.
pub struct EntryServer {
    control: TcpListener,
    coordinator: Rc<BatchCoordinator>,
    data: TcpListener,
    state: Rc<EntryState>,
    timers: TimerService,
}

impl EntryServer {
    /// Binds an entry's addresses; must be called on the runtime that will run it.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or a file cannot be opened.
    pub fn bind(settings: ServerSettings, section: EntrySection) -> Result<Self, EntryFault> {
        let data = bind_listener(settings.listen).map_err(EntryFault::from_error)?;
        let control = bind_listener(settings.control_listen).map_err(EntryFault::from_error)?;
        let events = match &settings.event_file {
            Some(path) => EventLog::open(&settings.name, path).map_err(EntryFault::from_error)?,
            None => EventLog::disabled(&settings.name),
        };
        let metrics = EntryMetrics::new().map_err(EntryFault::from_error)?;
        let clock = ProcessClock::new();
        let timers = TimerService::start(clock);
        let store = match &section.data_folder {
            Some(folder) => Some(JournalStore::open(folder).map_err(EntryFault::from_error)?),
            None => None,
        };
        let state = Rc::new(EntryState::new(settings, section, events, metrics, clock));
        let journals = JournalClient::new(Rc::clone(&state), store);
        let coordinator = Rc::new(BatchCoordinator::new(Rc::clone(&state), journals));
        Ok(Self { control, coordinator, data, state, timers })
    }

    /// Returns the address of the request listener.
    ///
    /// # Errors
    /// Fails if the socket's address cannot be read.
    pub fn data_address(&self) -> std::io::Result<SocketAddr> {
        self.data.local_addr()
    }

    /// Returns the address of the control listener.
    ///
    /// # Errors
    /// Fails if the socket's address cannot be read.
    pub fn control_address(&self) -> std::io::Result<SocketAddr> {
        self.control.local_addr()
    }

    /// Serves until shutdown is signalled, then drains and returns.
    pub async fn run(self, shutdown: ShutdownSignal) {
        let Self { control, coordinator, data, state, timers } = self;
        let finished = ShutdownSignal::new();
        state.events.record(EventKind::Started, "", format!("zone={}", state.settings.zone));
        let disk = if state.section.data_folder.is_some() { "with" } else { "without" };
        log::info!(
            "entry {} serves in zone {}, {disk} a journal store",
            state.settings.name,
            state.settings.zone
        );
        log::info!("{}", describe_listeners(&data, &control));
        monoio::spawn(watch_instances(Rc::clone(&state), timers.clone()));
        monoio::spawn(watch_targets(Rc::clone(&state), timers.clone()));
        coordinator.start(&timers);
        monoio::spawn(watch_config(Rc::clone(&state)));
        let ended = finished.clone();
        let limits = state.settings.limits;
        let limits = BudgetLimits::of_process(limits.memory_mb, limits.max_fds);
        let budget = ClientBudget::new(limits);
        monoio::spawn(log_client_counts(Rc::clone(&budget)));
        let service = PeerService::new(Rc::clone(&coordinator)).serve();
        monoio::spawn(accept_calls(control, service, Rc::clone(&budget), async move {
            ended.triggered().await;
        }));
        let router = Rc::new(ApiRouter::new(Rc::clone(&coordinator)));
        let server = HttpServer::new(data, router, state.gate.clone(), HttpLimits::default());
        monoio::spawn(server.with_budget(&budget, ClientKind::Caller).run());
        shutdown.triggered().await;
        drain(&state, &coordinator).await;
        state.events.record(EventKind::Stopped, "", String::new());
        finished.trigger();
    }
}

/// Reports not ready for the drain delay, then waits for running requests up to the drain limit.
async fn drain(state: &EntryState, coordinator: &Rc<BatchCoordinator>) {
    state.events.record(EventKind::DrainStarted, "", String::new());
    let limit = state.settings.drain_limit;
    state.draining.set(true);
    coordinator.shut_down().await;
    monoio::time::sleep(DRAIN_DELAY.min(limit)).await;
    state.gate.start_drain();
    if !state.gate.wait_until_idle(limit).await {
        log::warn!(
            "drain limit reached: {} request(s) still running are cut off",
            state.gate.active_exchanges()
        );
    }
}
