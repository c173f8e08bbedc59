//! Starts and stops an entry process.

use std::cell::RefCell;
use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use cv_dispatch::RetryAdvice;
use cv_dispatch::ZoneTerms;
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

use crate::FleetView;
use crate::NodeIdentity;
use crate::PlatformAdapter;
use crate::call_log::CallLog;
use crate::client_report::start_client_report;
use crate::drain::drain_server;
use crate::entry::entry_handler::EntryHandler;
use crate::entry::entry_metrics::EntryMetrics;
use crate::entry::job_relay::JobRelay;
use crate::entry::long_bodies::LongBodies;
use crate::entry::permit_client::PermitClient;
use crate::entry::quota_client::QuotaClient;
use crate::entry::quota_stage::QuotaStage;
use crate::entry::ready_handler::ReadyHandler;
use crate::entry::reservation_client::ReservationClient;
use crate::internal_handler::InternalHandler;
use crate::keeper::load_quarantines;
use crate::load_listener::start_load_listener;
use crate::peer_sync::start_peer_sync;
use crate::stall_watch::start_stall_watch;
use crate::store_contact::start_outage_check;

/// The settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Time from the shutdown signal until the platform kills the process.
    pub grace: Duration,
    /// The process's name and addresses.
    pub identity: NodeIdentity,
    /// What clients may use of the process's memory and descriptors.
    pub limits: BudgetLimits,
    /// Address for callers' requests.
    pub listen: SocketAddr,
    /// Address for the platform's readiness probes.
    pub ready: SocketAddr,
    /// Seed of the process's random numbers.
    pub seed: u64,
    /// Address of the coordination store.
    pub store: SocketAddr,
    /// What traffic between zones costs, if their load decides how much there is.
    pub zone_terms: Option<ZoneTerms>,
}

/// The entry process, which accepts callers' requests and sends them to targets and keepers.
pub struct EntryNode<P> {
    adapter: PhantomData<P>,
    log: LineLog,
    settings: EntrySettings,
}

impl<P: PlatformAdapter> EntryNode<P> {
    /// Creates an entry that has not been started.
    #[must_use]
    pub fn new(settings: EntrySettings, log: LineLog) -> Self {
        Self { adapter: PhantomData, log, settings }
    }

    /// Serves until the shutdown signal, then drains.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or a metric cannot be registered.
    pub async fn run(self, shutdown: ShutdownSignal) -> io::Result<()> {
        let Self { log, settings, .. } = self;
        let clock = ProcessClock::new();
        let timers = TimerService::start(clock);
        let view = Rc::new(FleetView::new(clock, log.clone(), settings.seed));
        if let Some(terms) = settings.zone_terms {
            let zone = &settings.identity.zone;
            view.with_targets(|targets| targets.choose_zones(zone, terms));
        }
        let store = Rc::new(P::store(settings.store));
        view.start::<P>(&store, &timers);
        let loading_view = Rc::clone(&view);
        monoio::spawn(async move { load_quarantines(&loading_view, &*store).await });
        let identity = Rc::new(settings.identity);
        let socket = Rc::new(UdpSocket::bind(identity.internal_address())?);
        let reservations = ReservationClient::new(clock, Rc::clone(&socket), view.random_number());
        let permits = PermitClient::new(clock, Rc::clone(&socket), view.random_number());
        let metrics = EntryMetrics::new().map_err(io::Error::other)?;
        let credit_requests = metrics.credit_requests.clone();
        let quota_socket = Rc::clone(&socket);
        let credits = QuotaClient::new(clock, quota_socket, view.random_number(), credit_requests);
        credits.start_probes(&view, &timers);
        let ready_quotas = Rc::clone(&credits);
        let quota = QuotaStage {
            client: Rc::clone(&credits),
            over_quota: metrics.over_quota.clone(),
            unknown: metrics.quota_unknown.clone(),
            view: Rc::clone(&view),
        };
        let (reservation_replies, permit_replies) = (Rc::clone(&reservations), Rc::clone(&permits));
        start_load_listener(&view, &identity, socket, &timers, move |peer, datagram| {
            reservation_replies.handle_reply(peer, datagram);
            permit_replies.handle_reply(datagram);
            credits.handle_reply(datagram);
        });
        start_peer_sync::<P>(&view, &identity, &timers);
        start_outage_check(&view, &identity, &timers);
        start_stall_watch(clock, log.clone(), &timers);
        let call_log =
            CallLog::register(log.clone(), &metrics.registry, "cv_front_stray_responses_total")
                .map_err(io::Error::other)?;
        let budget = ClientBudget::new(settings.limits);
        start_client_report(&budget, &metrics.registry, log.clone(), &timers)
            .map_err(io::Error::other)?;
        let drain = DrainGate::default();
        let limits = HttpLimits::default();
        let inner = InternalHandler { registry: metrics.registry.clone(), view: Rc::clone(&view) };
        let inner_listener = bind_listener(identity.internal_listen)?;
        let inner_server =
            HttpServer::new(inner_listener, Rc::new(inner), DrainGate::default(), limits);
        monoio::spawn(inner_server.with_budget(&budget, ClientKind::Internal).run());
        let handler = EntryHandler::<P> {
            retry_advice: RefCell::new(RetryAdvice::default()),
            call_log,
            adapter: PhantomData,
            gate: drain.clone(),
            identity,
            jobs: JobRelay { pool: ConnectionPool::new(limits), view: Rc::clone(&view) },
            long_bodies: LongBodies::default(),
            metrics,
            permits,
            pool: ConnectionPool::new(limits),
            quota,
            reservations,
            retry_detector: RefCell::default(),
            run_times: RefCell::default(),
            started_at: Instant::now(),
            view: Rc::clone(&view),
        };
        let ready = ReadyHandler { gate: drain.clone(), quotas: ready_quotas, view };
        let ready_listener = bind_listener(settings.ready)?;
        let ready_server =
            HttpServer::new(ready_listener, Rc::new(ready), DrainGate::default(), limits);
        monoio::spawn(ready_server.with_budget(&budget, ClientKind::Internal).run());
        let listener = bind_listener(settings.listen)?;
        let server = HttpServer::new(listener, Rc::new(handler), drain.clone(), limits);
        monoio::spawn(server.with_budget(&budget, ClientKind::Caller).run());
        log.record(LinePriority::Essential, EventKind::Started, "entry", || {
            format!("listen={}", settings.listen)
        });
        shutdown.triggered().await;
        drain_server(&drain, &log, settings.grace).await;
        Ok(())
    }
}
