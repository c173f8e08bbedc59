//! Starts, runs and shuts down a sidecar.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_control::SidecarControl;
use cv_control::accept_calls;
use cv_http::BudgetLimits;
use cv_http::ClientBudget;
use cv_http::ClientKind;
use cv_http::DrainGate;
use cv_http::HttpLimits;
use cv_http::HttpServer;
use cv_http::bind_listener;
use cv_http::describe_listeners;
use cv_http::log_client_counts;
use cv_runtime::ShutdownSignal;
use cv_settings::ServerSettings;
use cv_settings::SidecarSection;
use cv_timeline::EventKind;
use cv_timeline::EventLog;
use cv_timer::ProcessClock;
use cv_timer::TimerService;
use monoio::net::TcpListener;

use crate::control_service::ControlService;
use crate::request_handler::SidecarHandler;
use crate::sidecar_metrics::SidecarMetrics;
use crate::sidecar_state::SidecarState;
use crate::target_probe::probe_target;

/// Interval between two updates of time-dependent state.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which a draining sidecar keeps refusing requests, so that entries notice the drain.
const DRAIN_DELAY: Duration = Duration::from_millis(1_500);

/// Why a sidecar could not start.
#[derive(Debug)]
pub struct SidecarFault(String);

impl fmt::Display for SidecarFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the sidecar cannot start: {}", self.0)
    }
}

impl std::error::Error for SidecarFault {}

impl SidecarFault {
    /// Wraps the text of an error.
    fn from_error(error: impl fmt::Display) -> Self {
        Self(error.to_string())
    }
}

/// A sidecar whose listeners are bound.
pub struct SidecarServer {
    control: TcpListener,
    data: TcpListener,
    settings: ServerSettings,
    state: Rc<SidecarState>,
    timers: TimerService,
}

impl SidecarServer {
    /// Binds a sidecar's addresses; must be called on the runtime that will run it.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or the event file cannot be opened.
    pub fn bind(settings: ServerSettings, section: SidecarSection) -> Result<Self, SidecarFault> {
        let data = bind_listener(settings.listen).map_err(SidecarFault::from_error)?;
        let control = bind_listener(settings.control_listen).map_err(SidecarFault::from_error)?;
        let events = match &settings.event_file {
            Some(path) => EventLog::open(&settings.name, path).map_err(SidecarFault::from_error)?,
            None => EventLog::disabled(&settings.name),
        };
        let metrics = SidecarMetrics::new().map_err(SidecarFault::from_error)?;
        let clock = ProcessClock::new();
        let timers = TimerService::start(clock);
        let secret = settings.secret.clone();
        let state = Rc::new(SidecarState::new(section, secret, clock, events, metrics));
        Ok(Self { control, data, settings, state, timers })
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
        let Self { control, data, settings, state, timers } = self;
        let finished = ShutdownSignal::new();
        state.events.record(EventKind::Started, "", format!("zone={}", settings.zone));
        log::info!("sidecar {} serves {}", settings.name, state.section.service);
        log::info!("{}", describe_listeners(&data, &control));
        monoio::spawn(probe_target(Rc::clone(&state), timers.clone()));
        monoio::spawn(run_ticks(Rc::clone(&state), timers));
        let limits = settings.limits;
        let limits = BudgetLimits::of_process(limits.memory_mb, limits.max_fds);
        let budget = ClientBudget::new(limits);
        monoio::spawn(log_client_counts(Rc::clone(&budget)));
        let service = ControlService::new(Rc::clone(&state));
        let ended = finished.clone();
        monoio::spawn(accept_calls(control, service.serve(), Rc::clone(&budget), async move {
            ended.triggered().await;
        }));
        let handler = Rc::new(SidecarHandler::new(Rc::clone(&state), settings.max_body_bytes));
        let limits = HttpLimits::default();
        let server = HttpServer::new(data, handler, state.gate.clone(), limits);
        monoio::spawn(server.with_budget(&budget, ClientKind::Caller).run());
        shutdown.triggered().await;
        drain(&state, &state.gate.clone(), settings.drain_limit).await;
        state.events.record(EventKind::Stopped, "", String::new());
        finished.trigger();
    }
}

/// Refuses new work and waits for running requests, at most for the drain limit.
///
/// The listeners stay open for the drain delay, so that entries learn of the drain.
async fn drain(state: &SidecarState, gate: &DrainGate, limit: Duration) {
    state.events.record(EventKind::DrainStarted, "", String::new());
    state.start_drain();
    monoio::time::sleep(DRAIN_DELAY.min(limit)).await;
    gate.start_drain();
    if !gate.wait_until_idle(limit).await {
        log::warn!(
            "drain limit reached: {} request(s) still running are cut off",
            gate.active_exchanges()
        );
    }
}

/// Updates time-dependent state for as long as the sidecar runs.
async fn run_ticks(state: Rc<SidecarState>, timers: TimerService) {
    let ticks = timers.subscribe(TICK_INTERVAL);
    loop {
        let now = ticks.next().await;
        state.tick(now);
    }
}
