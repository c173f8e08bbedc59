//! Starts and stops a sidecar process.

use std::cell::RefCell;
use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::PeerPresence;
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

use crate::NodeIdentity;
use crate::PlatformAdapter;
use crate::call_log::CallLog;
use crate::client_report::start_client_report;
use crate::drain::drain_delay;
use crate::drain::drain_server;
use crate::quarantine_desk::QuarantineDesk;
use crate::quarantine_exchange::DirectoryPeers;
use crate::quarantine_exchange::QuarantineExchange;
use crate::sidecar::engine_responses::EngineResponses;
use crate::sidecar::engine_watch::EngineWatch;
use crate::sidecar::engine_watch::EngineWatchParts;
use crate::sidecar::load_reporter::LoadReporter;
use crate::sidecar::load_reporter::LoadReporterParts;
use crate::sidecar::sidecar_handler::SidecarHandler;
use crate::sidecar::sidecar_metrics::SidecarMetrics;
use crate::sidecar::slot_gate::SlotGate;
use crate::stall_watch::start_stall_watch;

/// Slots of an engine until a request reports their number.
const DEFAULT_SLOTS: u32 = 8;

/// Time between two flushes of the log.
const LOG_FLUSH_INTERVAL: Duration = Duration::from_millis(500);

/// The settings of a sidecar.
#[derive(Clone, Debug)]
pub struct SidecarSettings {
    /// Address that the engine listens on.
    pub engine: SocketAddr,
    /// Time from the shutdown signal until the platform kills the process.
    pub grace: Duration,
    /// The process's name and addresses.
    pub identity: NodeIdentity,
    /// What clients may use of the process's memory and descriptors.
    pub limits: BudgetLimits,
}

/// The sidecar process of a model target, which queues requests to its engine.
pub struct SidecarNode<P> {
    adapter: PhantomData<P>,
    log: LineLog,
    settings: SidecarSettings,
}

impl<P: PlatformAdapter> SidecarNode<P> {
    /// Creates a sidecar that has not been started.
    #[must_use]
    pub fn new(settings: SidecarSettings, log: LineLog) -> Self {
        Self { adapter: PhantomData, log, settings }
    }

    /// Serves until the shutdown signal, then drains.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or a metric cannot be registered.
    pub async fn run(self, shutdown: ShutdownSignal) -> io::Result<()> {
        let clock = ProcessClock::new();
        let timers = TimerService::start(clock);
        start_stall_watch(clock, self.log.clone(), &timers);
        let address = self.settings.identity.internal_address();
        let listener = bind_listener(self.settings.identity.internal_listen)?;
        let socket = Rc::new(UdpSocket::bind(address)?);
        let gate = SlotGate::new(clock, DEFAULT_SLOTS);
        monoio::spawn(Rc::clone(&gate).run_ticks());
        let quarantine = QuarantineDesk::new(clock, self.log.clone());
        let exchange = QuarantineExchange::start(
            clock,
            Rc::clone(&quarantine),
            Rc::clone(&socket),
            &timers,
            DirectoryPeers::default,
        );
        let metrics = SidecarMetrics::new().map_err(io::Error::other)?;
        let failures = metrics.engine_failures.clone();
        let responses = EngineResponses::new(clock, failures, self.log.clone());
        let presence = Rc::new(RefCell::new(PeerPresence::default()));
        let parts = LoadReporterParts {
            clock,
            gate: Rc::clone(&gate),
            log: self.log.clone(),
            exchange,
            presence: Rc::clone(&presence),
            responses: Rc::clone(&responses),
            socket,
        };
        let desk = LoadReporter::start(parts, &timers);
        let budget = ClientBudget::new(self.settings.limits);
        start_client_report(&budget, &metrics.registry, self.log.clone(), &timers)
            .map_err(io::Error::other)?;
        let call_log =
            CallLog::register(self.log.clone(), &metrics.registry, "cv_side_stray_responses_total")
                .map_err(io::Error::other)?;
        let engine = self.settings.engine;
        let watch_parts = EngineWatchParts {
            clock,
            desk: Rc::clone(&quarantine),
            engine,
            gate: Rc::clone(&gate),
            instance: self.settings.identity.ip,
            log: self.log.clone(),
            losses: metrics.engine_losses.clone(),
            responses,
        };
        let watch = EngineWatch::start(watch_parts, &timers);
        let handler = SidecarHandler::<P> {
            adapter: PhantomData,
            call_log,
            clock,
            desk: Rc::clone(&desk),
            engine,
            gate: Rc::clone(&gate),
            log: self.log.clone(),
            metrics,
            pool: ConnectionPool::new(HttpLimits::default()),
            presence,
            quarantine,
            watch,
        };
        let drain = DrainGate::default();
        let server =
            HttpServer::new(listener, Rc::new(handler), drain.clone(), HttpLimits::default());
        monoio::spawn(server.with_budget(&budget, ClientKind::Internal).run());
        let (log, ticks) = (self.log.clone(), timers.subscribe(LOG_FLUSH_INTERVAL));
        monoio::spawn(async move {
            loop {
                ticks.next().await;
                log.flush();
            }
        });
        self.log.record(LinePriority::Essential, EventKind::Started, "sidecar", || {
            format!("engine={} listen={address}", self.settings.engine)
        });
        shutdown.triggered().await;
        let grace = self.settings.grace;
        let evict_batch = async {
            monoio::time::sleep(drain_delay(grace)).await;
            gate.evict_batch();
            desk.close();
        };
        futures::join!(drain_server(&drain, &self.log, grace), evict_batch);
        Ok(())
    }
}
