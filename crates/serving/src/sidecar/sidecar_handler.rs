//! Handles requests from entries and keepers to the engine.

use std::cell::RefCell;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cv_dispatch::AdmissionOptions;
use cv_dispatch::CustomerId;
use cv_dispatch::PeerPresence;
use cv_dispatch::QuarantineDecision;
use cv_dispatch::QuarantineSubject;
use cv_dispatch::ShareKey;
use cv_http::ClientRequest;
use cv_http::ConnectionPool;
use cv_http::HttpFault;
use cv_http::RequestHandler;
use cv_http::ServerExchange;
use cv_policy::WorkClass;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LinePriority;
use cv_timer::ProcessClock;
use http::HeaderMap;
use http::Method;
use http::StatusCode;

use crate::AttemptOptions;
use crate::PlatformAdapter;
use crate::QueueOptions;
use crate::ResponseMetadata;
use crate::SidecarVerdict;
use crate::call_log::CallLog;
use crate::internal_handler::METRICS_PATH;
use crate::internal_handler::respond_metrics;
use crate::internal_headers::WAITING_COMMENT;
use crate::internal_headers::strip_hop_by_hop;
use crate::internal_headers::strip_internal_headers;
use crate::platform_adapter::item_subjects;
use crate::platform_adapter::part_subjects;
use crate::quarantine_desk::QuarantineDesk;
use crate::sidecar::batch_relay::BatchRelay;
use crate::sidecar::engine_run::EngineRun;
use crate::sidecar::engine_watch::EngineWatch;
use crate::sidecar::reservation_desk::ReservationDesk;
use crate::sidecar::sidecar_metrics::SidecarMetrics;
use crate::sidecar::slot_gate::SlotGate;
use crate::sidecar::slot_gate::SlotTicket;
use crate::target_call::TargetCall;

/// Longest request body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Longest wait for the head of the engine's response to a request without a deadline.
const DEFAULT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time without a datagram of an item's keeper, which sends two a second, after which the item is
/// dropped; shorter than the time in which another keeper takes over a lost one's jobs.
const MAX_KEEPER_SILENCE: Duration = Duration::from_secs(2);

/// Time between two signs of life that the keeper of a waiting item gets.
const WAIT_NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// Times that an online request is sent again to an engine that refuses it. One that is larger than
/// the engine's memory is refused each time.
const MAX_ENGINE_FULL_RETRIES: u32 = 5;

/// Wait for a slot above which the start of an online request is an essential log line.
const SLOW_WAIT: Duration = Duration::from_millis(150);

/// Queues and forwards the requests to one engine.
pub(crate) struct SidecarHandler<P> {
    /// Log of the calls to the engine.
    pub call_log: CallLog,
    /// The process's clock.
    pub clock: ProcessClock,
    /// Holds the reservations of requests that are still at their entries.
    pub desk: Rc<ReservationDesk>,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Queues the requests.
    pub gate: Rc<SlotGate>,
    /// The process's log.
    pub log: LineLog,
    /// The sidecar's metrics.
    pub metrics: SidecarMetrics,
    /// Pool of connections to the engine.
    pub pool: ConnectionPool,
    /// When the keepers were last heard.
    pub presence: Rc<RefCell<PeerPresence>>,
    /// The subjects that end engines.
    pub quarantine: Rc<QuarantineDesk>,
    /// Watches the runs of the engine.
    pub watch: Rc<EngineWatch>,
    /// Selects the platform adapter.
    pub adapter: PhantomData<P>,
}

/// A request from an entry or a keeper.
pub(crate) struct SidecarRequest {
    /// Time at which the whole request had been received.
    pub received_at: Instant,
    /// The request body.
    pub body: Bytes,
    /// The headers without internal ones.
    pub headers: HeaderMap,
    /// The request method.
    pub method: Method,
    /// The request target with its query.
    pub path: String,
    /// Id of the request, if it has one.
    pub request_id: Option<String>,
    /// Options with which the request is queued.
    pub options: QueueOptions,
    /// What may end the engine: the shared parts of the prompt in order, then the request.
    pub subjects: Vec<QuarantineSubject>,
}

impl<P: PlatformAdapter> RequestHandler for SidecarHandler<P> {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        if exchange.head().uri.path() == METRICS_PATH {
            self.metrics.set_load(&self.gate.load_report(), self.watch.responses.condition());
            self.metrics.set_denied(self.desk.denied());
            return respond_metrics(exchange, &self.metrics.registry).await;
        }
        let body = exchange.read_body(MAX_BODY_BYTES).await?;
        let mut headers = exchange.head().headers.clone();
        let options = QueueOptions::read(&headers);
        let request_options = P::request_options(&headers);
        strip_internal_headers(&mut headers);
        let mut subjects = match options.class {
            WorkClass::Online => part_subjects::<P>(&headers),
            WorkClass::Batch => item_subjects::<P>(&headers),
        };
        subjects.extend(options.digest.map(QuarantineSubject::Request));
        let request = SidecarRequest {
            received_at: Instant::now(),
            body,
            headers,
            method: exchange.head().method.clone(),
            path: exchange.head().uri.to_string(),
            request_id: request_options.request_id,
            options,
            subjects,
        };
        if !self.passes_quarantine(&request) {
            return self.refuse_quarantined(exchange, &request).await;
        }
        let result = match options.class {
            WorkClass::Online => self.serve_online(exchange, &request).await,
            WorkClass::Batch => self.serve_batch(exchange, &request).await,
        };
        // After a fault on the engine's side the request may have run, so the connection is closed
        // without a response that could say otherwise.
        result.map_err(|fault| if exchange.has_responded() { fault } else { HttpFault::Closed })
    }
}

impl<P: PlatformAdapter> SidecarHandler<P> {
    /// Returns whether its subjects allow a request to enter the queue.
    fn passes_quarantine(&self, request: &SidecarRequest) -> bool {
        match self.quarantine.decide(&request.subjects) {
            QuarantineDecision::Admit => true,
            QuarantineDecision::Try(_) => request.options.is_trial,
            QuarantineDecision::Refuse(..) => false,
        }
    }

    /// Returns whether a request that has a slot may be handed over. Begins the trial of a
    /// quarantine if it is one, so that a request which gets no slot uses up none.
    pub fn may_hand_over(&self, request: &SidecarRequest) -> bool {
        let decision = self.quarantine.decide(&request.subjects);
        let is_trial = matches!(decision, QuarantineDecision::Try(_)) && request.options.is_trial;
        if is_trial {
            self.quarantine.begin_trial(&request.subjects);
        }
        is_trial || decision == QuarantineDecision::Admit
    }

    /// Records that the engine has not run a request, in case it was a trial.
    fn withdraw_trial(&self, request: &SidecarRequest) {
        if request.options.is_trial {
            self.quarantine.withdraw_trial(&request.subjects);
        }
    }

    /// Applies the limit and the slowness that a response of the engine names.
    pub fn record_metadata(&self, metadata: &ResponseMetadata) {
        if let Some(percent) = metadata.slowness_percent {
            self.watch.responses.record_slowness(percent);
        }
        if let Some(limit) = metadata.named_limit() {
            self.gate.set_request_limit(limit);
        }
    }

    /// Refuses a request because of a subject in quarantine.
    pub async fn refuse_quarantined(
        &self,
        exchange: &mut ServerExchange<'_>,
        request: &SidecarRequest,
    ) -> Result<(), HttpFault> {
        self.refuse(exchange, request, SidecarVerdict::Quarantined, "quarantined").await
    }

    /// Queues an online request and relays the engine's response.
    async fn serve_online(
        &self,
        exchange: &mut ServerExchange<'_>,
        request: &SidecarRequest,
    ) -> Result<(), HttpFault> {
        let Some(ticket) = self.admit(exchange, request).await? else {
            return Ok(());
        };
        let call = self.engine_call();
        let Some(mut run) = self.start_online_run(exchange, request, &ticket, &call).await? else {
            return Ok(());
        };
        let mut headers = run.head.headers.clone();
        strip_hop_by_hop(&mut headers);
        exchange.start_stream(run.head.status, &headers).await?;
        loop {
            let piece = monoio::select! {
                piece = run.next_piece() => piece?,
                () = exchange.closed() => return Err(HttpFault::Closed),
            };
            match piece {
                Some(piece) => exchange.send_piece(&piece).await?,
                None => break,
            }
        }
        if run.head.status.is_success() {
            self.watch.responses.record_run(run.started_at.elapsed());
        }
        run.complete(&call);
        ticket.complete();
        exchange.finish_stream().await
    }

    /// Sends an online request to the engine; one that the engine refuses waits for the next slot.
    /// Returns `None` after the request has been refused.
    async fn start_online_run(
        &self,
        exchange: &mut ServerExchange<'_>,
        request: &SidecarRequest,
        ticket: &SlotTicket,
        call: &TargetCall<'_>,
    ) -> Result<Option<EngineRun>, HttpFault> {
        let deadline = P::request_options(&request.headers).deadline;
        let id = request.request_id.as_deref();
        for _ in 0..=MAX_ENGINE_FULL_RETRIES {
            if !self.may_hand_over(request) {
                self.refuse_quarantined(exchange, request).await?;
                return Ok(None);
            }
            let elapsed = request.received_at.elapsed();
            let time_left = deadline.map(|limit| limit.saturating_sub(elapsed));
            let options = AttemptOptions { deadline: time_left, ..AttemptOptions::default() };
            let forwarded = Self::engine_request(request, options);
            let timeout = time_left.unwrap_or(DEFAULT_RESPONSE_TIMEOUT);
            let guard = self.watch.begin(id.unwrap_or_default(), &request.subjects);
            let started = monoio::select! {
                started = EngineRun::start(call, &forwarded, id, guard, timeout) => started,
                () = exchange.closed() => return Err(HttpFault::Closed),
            };
            let run = match started {
                Ok(run) => run,
                Err(verdict) => {
                    if verdict == SidecarVerdict::NotRun {
                        self.withdraw_trial(request);
                        // An engine that is down has no free slots, however few runs it has. The
                        // request goes elsewhere, and the slots are tried again one by one.
                        ticket.requeue(Duration::ZERO);
                    }
                    self.refuse(exchange, request, verdict, "engine_silent").await?;
                    return Ok(None);
                }
            };
            let is_misdirected = run.head.status == StatusCode::MISDIRECTED_REQUEST;
            let metadata = P::response_metadata(&run.head.headers);
            self.record_metadata(&metadata);
            let is_full = metadata.not_run && !is_misdirected;
            if !is_full {
                run.record_status();
                return Ok(Some(run));
            }
            run.reject(call);
            self.withdraw_trial(request);
            ticket.requeue(request.options.wait_budget);
            let started = monoio::select! {
                started = ticket.started() => started,
                () = exchange.closed() => return Err(HttpFault::Closed),
            };
            if !started {
                break;
            }
        }
        self.refuse(exchange, request, SidecarVerdict::NotRun, "engine_full").await?;
        Ok(None)
    }

    /// Queues a batch item and runs it in the slots that online requests leave free, for as long as
    /// its keeper is heard.
    ///
    /// The connection of a frozen keeper stays open, while another one takes its jobs over and may
    /// let the item go on at another engine, or close the job.
    async fn serve_batch(
        &self,
        exchange: &mut ServerExchange<'_>,
        request: &SidecarRequest,
    ) -> Result<(), HttpFault> {
        let Some(keeper) = request.options.keeper else {
            return self.queue_and_run(exchange, request).await;
        };
        monoio::select! {
            result = self.queue_and_run(exchange, request) => result,
            () = self.wait_for_silence(keeper) => {
                let subject = request.request_id.as_deref().unwrap_or_default();
                self.log.record(LinePriority::Essential, EventKind::ItemReleased, subject, || {
                    format!("keeper={keeper} silent_ms={}", MAX_KEEPER_SILENCE.as_millis())
                });
                Err(HttpFault::Closed)
            }
        }
    }

    /// Resolves when a keeper has not been heard for [`MAX_KEEPER_SILENCE`].
    async fn wait_for_silence(&self, keeper: SocketAddr) {
        let since = self.clock.now();
        loop {
            let silence = self.presence.borrow().silence(keeper, since, self.clock.now());
            let Some(left) = MAX_KEEPER_SILENCE.checked_sub(silence).filter(|left| !left.is_zero())
            else {
                return;
            };
            monoio::time::sleep(left).await;
        }
    }

    /// Queues a batch item and runs it in the slots that online requests leave free.
    async fn queue_and_run(
        &self,
        exchange: &mut ServerExchange<'_>,
        request: &SidecarRequest,
    ) -> Result<(), HttpFault> {
        match self.admit(exchange, request).await? {
            Some(ticket) => BatchRelay::new(self, request, ticket).run(exchange).await,
            None => Ok(()),
        }
    }

    /// Queues a request until it gets a slot; returns `None` after it has been refused.
    async fn admit(
        &self,
        exchange: &mut ServerExchange<'_>,
        request: &SidecarRequest,
    ) -> Result<Option<SlotTicket>, HttpFault> {
        let QueueOptions { class, wait_budget, slots, reservation, .. } = request.options;
        if let Some(ticket) = reservation.and_then(|id| self.desk.claim(id)) {
            self.log_start(request);
            return Ok(Some(ticket));
        }
        if slots > 0 {
            self.gate.set_slots(slots);
        }
        let has_begun = P::request_options(&request.headers).resume_after.is_some();
        let options = AdmissionOptions {
            has_begun,
            class,
            due: self.clock.now() + wait_budget,
            max_expected_wait: wait_budget,
            objective_left: request.options.objective_left,
            expected_run: request.options.expected_run,
            queues: 1,
            queue_timeout: request.options.queue_timeout,
            share: request.options.share,
        };
        let Ok(ticket) = self.gate.admit(&options) else {
            let reason = match class {
                _ if self.gate.is_draining() => "draining",
                WorkClass::Online if self.gate.is_over_share(&options) => "over_share",
                _ => "queue_full",
            };
            self.refuse(exchange, request, SidecarVerdict::NotRun, reason).await?;
            return Ok(None);
        };
        let started = match class {
            WorkClass::Batch => wait_for_slot(exchange, &ticket).await?,
            WorkClass::Online => monoio::select! {
                started = ticket.started() => started,
                () = exchange.closed() => return Err(HttpFault::Closed),
            },
        };
        if started {
            self.log_start(request);
            return Ok(Some(ticket));
        }
        self.refuse(exchange, request, SidecarVerdict::NotRun, "patience_over").await?;
        Ok(None)
    }

    /// Logs that a request has got a slot; a long wait for it explains a late response.
    fn log_start(&self, request: &SidecarRequest) {
        let waited = request.received_at.elapsed();
        let is_slow = request.options.class == WorkClass::Online && waited > SLOW_WAIT;
        let priority = if is_slow { LinePriority::Essential } else { LinePriority::Routine };
        let subject = request.request_id.as_deref().unwrap_or_default();
        self.log.record(priority, EventKind::HandedOver, subject, || {
            let report = self.gate.load_report();
            format!(
                "class={:?} waited_ms={} online={}+{} batch={}+{} slots={}",
                request.options.class,
                waited.as_millis(),
                report.online_running,
                report.online_waiting,
                report.batch_running,
                report.batch_waiting,
                report.slots,
            )
        });
    }

    /// Responds with a verdict to a request that gets no response from the engine.
    pub async fn refuse(
        &self,
        exchange: &mut ServerExchange<'_>,
        request: &SidecarRequest,
        verdict: SidecarVerdict,
        reason: &str,
    ) -> Result<(), HttpFault> {
        self.metrics.refused.inc();
        self.metrics.refused_by_reason.with_label_values(&[reason]).inc();
        let subject = request.request_id.as_deref().unwrap_or_default();
        self.log.record(LinePriority::Routine, EventKind::Refused, subject, || {
            let report = self.gate.load_report();
            format!(
                "reason={reason} verdict={verdict:?} {}online={}+{} batch={}+{} slots={} \
                 waited_ms={}",
                describe_share(request.options.share),
                report.online_running,
                report.online_waiting,
                report.batch_running,
                report.batch_waiting,
                report.slots,
                request.received_at.elapsed().as_millis(),
            )
        });
        let mut headers = HeaderMap::new();
        verdict.write(&mut headers);
        exchange.respond(StatusCode::SERVICE_UNAVAILABLE, &headers, &Bytes::new()).await
    }

    /// Builds the request to the engine from the one that was received.
    pub fn engine_request(request: &SidecarRequest, options: AttemptOptions<'_>) -> ClientRequest {
        ClientRequest {
            body: request.body.clone(),
            headers: P::attempt_headers(&request.headers, &options),
            method: request.method.clone(),
            path: request.path.clone(),
        }
    }

    /// Returns the call parameters of the engine.
    pub fn engine_call(&self) -> TargetCall<'_> {
        TargetCall {
            address: self.engine,
            is_sidecar: false,
            log: &self.call_log,
            pool: &self.pool,
            request_id_of: |headers| P::response_metadata(headers).request_id,
        }
    }
}

/// Describes the rank and the customer of a request, by its id since logs hold no names; empty if
/// callers are not identified.
fn describe_share(share: ShareKey) -> String {
    if share == ShareKey::default() {
        return String::new();
    }
    let ShareKey { rank, customer } = share;
    let id = customer.map_or_else(|| "none".to_owned(), |CustomerId(id)| format!("{id:016x}"));
    format!("rank={}.{} customer={id} ", rank.customer, rank.route)
}

/// Waits for a batch item's slot and meanwhile shows its keeper that the connection lives; returns
/// `false` if the queue evicts the item instead.
pub(crate) async fn wait_for_slot(
    exchange: &mut ServerExchange<'_>,
    ticket: &SlotTicket,
) -> Result<bool, HttpFault> {
    loop {
        monoio::select! {
            started = ticket.started() => return Ok(started),
            () = exchange.closed() => return Err(HttpFault::Closed),
            () = monoio::time::sleep(WAIT_NOTICE_INTERVAL) => {}
        }
        if exchange.has_responded() {
            exchange.send_piece(&Bytes::from_static(WAITING_COMMENT)).await?;
        } else {
            exchange.send_processing().await?;
        }
    }
}
