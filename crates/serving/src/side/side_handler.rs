//! Takes requests from entries and keepers to the engine.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use cv_dispatch::ArrivalTerms;
use cv_dispatch::EventSplitter;
use cv_http::ClientRequest;
use cv_http::ConnectionPool;
use cv_http::HttpFault;
use cv_http::RequestHandler;
use cv_http::ServerExchange;
use cv_policy::WorkClass;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LineWeight;
use cv_timer::ProcessClock;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use monoio::time::timeout;

use crate::AttemptTerms;
use crate::PlatformBorder;
use crate::QueueTerms;
use crate::SidecarVerdict;
use crate::metrics_handler::METRICS_PATH;
use crate::metrics_handler::respond_metrics;
use crate::own_headers::strip_hop_by_hop;
use crate::own_headers::strip_own;
use crate::side::engine_run::EngineRun;
use crate::side::side_metrics::SideMetrics;
use crate::side::slot_gate::SlotGate;
use crate::side::slot_gate::SlotTicket;
use crate::target_call::TargetCall;

/// Longest request body, in bytes.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// Longest wait for the engine's answer where the caller names no deadline.
const HEAD_PATIENCE: Duration = Duration::from_secs(15);

/// Wait of an online request for a slot that is written down in any case.
const SLOW_WAIT: Duration = Duration::from_millis(150);

/// Silence of the engine after which a batch run is given up; it makes an event every few
/// hundredths of a second, and is silent for longer only while it reads a long prompt again.
const STALL_PATIENCE: Duration = Duration::from_millis(2_500);

/// Time for which the output of batch runs is collected before it is passed on.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Output of a batch run that is passed on at once, in bytes.
const FLUSH_BYTES: usize = 8 * 1024;

/// Pause of a batch request that the engine turned away although a slot seemed free.
const ENGINE_FULL_PAUSE: Duration = Duration::from_millis(100);

/// Times that a batch request is tried again at an engine that turns it away.
const ENGINE_FULL_TRIES: u32 = 20;

/// Handles the requests to one engine.
pub(crate) struct SideHandler<P> {
    pub clock: ProcessClock,
    pub engine: SocketAddr,
    pub gate: Rc<SlotGate>,
    pub log: LineLog,
    pub metrics: SideMetrics,
    pub pool: ConnectionPool,
    pub border: PhantomData<P>,
}

/// A request as it arrived.
struct SideRequest {
    arrived: Instant,
    body: Bytes,
    headers: HeaderMap,
    method: Method,
    path: String,
    request_id: Option<String>,
    terms: QueueTerms,
}

/// How one run of a batch item ended.
enum BatchPass {
    /// The answer is whole.
    Whole,
    /// The slot was needed for an online request.
    Preempted,
    /// The engine did not take the request.
    Full,
    /// The run broke off; the keeper decides what to do.
    Broken,
}

/// What has been passed on of a batch item.
#[derive(Default)]
struct BatchProgress {
    last_event: Option<u64>,
    pending: BytesMut,
    started: bool,
}

impl<P: PlatformBorder> RequestHandler for SideHandler<P> {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        if exchange.head().uri.path() == METRICS_PATH {
            self.metrics.set_reading(&self.gate.reading());
            return respond_metrics(exchange, &self.metrics.registry).await;
        }
        let body = exchange.read_body(BODY_BYTES).await?;
        let mut headers = exchange.head().headers.clone();
        let terms = QueueTerms::read(&headers);
        let marks = P::request_terms(&headers);
        strip_own(&mut headers);
        let request = SideRequest {
            arrived: Instant::now(),
            body,
            headers,
            method: exchange.head().method.clone(),
            path: exchange.head().uri.to_string(),
            request_id: marks.request_id,
            terms,
        };
        let result = match terms.class {
            WorkClass::Online => self.serve_online(exchange, &request).await,
            WorkClass::Batch => self.serve_batch(exchange, &request).await,
        };
        // A fault of the engine's side must not turn into an answer that promises something.
        result.map_err(|fault| if exchange.has_responded() { fault } else { HttpFault::Closed })
    }
}

impl<P: PlatformBorder> SideHandler<P> {
    /// Runs an online request when it has a slot.
    async fn serve_online(
        &self,
        exchange: &mut ServerExchange<'_>,
        request: &SideRequest,
    ) -> Result<(), HttpFault> {
        let Some(_ticket) = self.admit(exchange, request).await? else {
            return Ok(());
        };
        let call = self.call();
        let deadline = P::request_terms(&request.headers).deadline;
        let left = deadline.map(|limit| limit.saturating_sub(request.arrived.elapsed()));
        let forwarded =
            Self::attempt(request, AttemptTerms { deadline: left, ..AttemptTerms::default() });
        let patience = left.unwrap_or(HEAD_PATIENCE);
        let started = monoio::select! {
            started = EngineRun::start(&call, &forwarded, request.request_id.as_deref(), patience) => started,
            () = exchange.closed() => return Err(HttpFault::Closed),
        };
        let mut run = match started {
            Ok(run) => run,
            Err(verdict) => return self.refuse(exchange, request, verdict, "engine_silent").await,
        };
        if P::answer_marks(&run.head.headers).not_run {
            run.give_back(&call);
            return self.refuse(exchange, request, SidecarVerdict::NotRun, "engine_full").await;
        }
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
        run.give_back(&call);
        exchange.finish_stream().await
    }

    /// Runs a batch item in the slots that online requests leave.
    async fn serve_batch(
        &self,
        exchange: &mut ServerExchange<'_>,
        request: &SideRequest,
    ) -> Result<(), HttpFault> {
        let Some(ticket) = self.admit(exchange, request).await? else {
            return Ok(());
        };
        let mut progress = BatchProgress {
            last_event: P::request_terms(&request.headers).resume_after,
            ..BatchProgress::default()
        };
        let mut full = 0;
        loop {
            match self.batch_pass(exchange, request, &ticket, &mut progress).await? {
                BatchPass::Whole => return exchange.finish_stream().await,
                BatchPass::Broken if progress.started => return Err(HttpFault::Truncated),
                BatchPass::Broken => return Ok(()),
                BatchPass::Preempted if self.wait_again(exchange, &ticket).await? => {}
                BatchPass::Full if full < ENGINE_FULL_TRIES => {
                    full += 1;
                    ticket.requeue();
                    if !self.wait_again(exchange, &ticket).await? {
                        break;
                    }
                    monoio::time::sleep(ENGINE_FULL_PAUSE).await;
                }
                BatchPass::Preempted | BatchPass::Full => break,
            }
        }
        if progress.started {
            return Err(HttpFault::Truncated);
        }
        self.refuse(exchange, request, SidecarVerdict::NotRun, "no_slot").await
    }

    /// Runs a batch item until it ends, breaks off or loses its slot.
    async fn batch_pass(
        &self,
        exchange: &mut ServerExchange<'_>,
        request: &SideRequest,
        ticket: &SlotTicket,
        progress: &mut BatchProgress,
    ) -> Result<BatchPass, HttpFault> {
        let call = self.call();
        let terms = AttemptTerms { resume_after: progress.last_event, ..AttemptTerms::default() };
        let forwarded = Self::attempt(request, terms);
        let started = monoio::select! {
            started = EngineRun::start(&call, &forwarded, request.request_id.as_deref(), STALL_PATIENCE) => started,
            () = ticket.preempted() => return Ok(BatchPass::Preempted),
            () = exchange.closed() => return Err(HttpFault::Closed),
        };
        let run = match started {
            Ok(run) => run,
            Err(SidecarVerdict::NotRun) => return Ok(BatchPass::Full),
            Err(SidecarVerdict::Unknown) => {
                if !progress.started {
                    self.refuse(exchange, request, SidecarVerdict::Unknown, "engine_silent")
                        .await?;
                }
                return Ok(BatchPass::Broken);
            }
        };
        if P::answer_marks(&run.head.headers).not_run
            && run.head.status != StatusCode::MISDIRECTED_REQUEST
        {
            run.give_back(&call);
            return Ok(BatchPass::Full);
        }
        let mut headers = run.head.headers.clone();
        strip_hop_by_hop(&mut headers);
        if !run.head.status.is_success() {
            if !progress.started {
                exchange.respond(run.head.status, &headers, &Bytes::new()).await?;
            }
            return Ok(BatchPass::Broken);
        }
        if !progress.started {
            exchange.start_stream(run.head.status, &headers).await?;
            progress.started = true;
        }
        self.relay_batch(exchange, run, ticket, progress).await
    }

    /// Passes a batch run's whole events on, many at a time.
    async fn relay_batch(
        &self,
        exchange: &mut ServerExchange<'_>,
        mut run: EngineRun,
        ticket: &SlotTicket,
        progress: &mut BatchProgress,
    ) -> Result<BatchPass, HttpFault> {
        let mut splitter = EventSplitter::default();
        let mut flushed = Instant::now();
        loop {
            let piece = monoio::select! {
                piece = timeout(STALL_PATIENCE, run.next_piece()) => {
                    piece.unwrap_or(Err(HttpFault::TimedOut("engine event")))
                }
                () = ticket.preempted() => return Ok(BatchPass::Preempted),
                () = exchange.closed() => return Err(HttpFault::Closed),
            };
            let ended = match piece {
                Ok(Some(piece)) => {
                    splitter.push(&piece);
                    None
                }
                Ok(None) if splitter.has_rest() => Some(BatchPass::Broken),
                Ok(None) => Some(BatchPass::Whole),
                Err(_) => Some(BatchPass::Broken),
            };
            while let Some(event) = splitter.next_event() {
                progress.last_event = event.id.or(progress.last_event);
                progress.pending.extend_from_slice(&event.raw);
            }
            let is_due =
                flushed.elapsed() >= FLUSH_INTERVAL || progress.pending.len() >= FLUSH_BYTES;
            if (is_due || ended.is_some()) && !progress.pending.is_empty() {
                exchange.send_piece(&progress.pending.split().freeze()).await?;
                flushed = Instant::now();
            }
            match ended {
                Some(BatchPass::Whole) => {
                    run.give_back(&self.call());
                    return Ok(BatchPass::Whole);
                }
                Some(pass) => return Ok(pass),
                None => {}
            }
        }
    }

    /// Waits for a batch item's next slot; tells whether it has one.
    async fn wait_again(
        &self,
        exchange: &mut ServerExchange<'_>,
        ticket: &SlotTicket,
    ) -> Result<bool, HttpFault> {
        monoio::select! {
            started = ticket.started() => Ok(started),
            () = exchange.closed() => Err(HttpFault::Closed),
        }
    }

    /// Queues a request; returns `None` after an answer that it has not run.
    async fn admit(
        &self,
        exchange: &mut ServerExchange<'_>,
        request: &SideRequest,
    ) -> Result<Option<SlotTicket>, HttpFault> {
        let QueueTerms { class, patience, run, slots, stay } = request.terms;
        if slots > 0 {
            self.gate.set_slots(slots);
        }
        let has_begun = P::request_terms(&request.headers).resume_after.is_some();
        let terms = ArrivalTerms {
            has_begun,
            class,
            due: self.clock.now() + patience,
            patience,
            run,
            stay,
        };
        let Ok(ticket) = self.gate.arrive(&terms) else {
            self.refuse(exchange, request, SidecarVerdict::NotRun, "queue_full").await?;
            return Ok(None);
        };
        let started = monoio::select! {
            started = ticket.started() => started,
            () = exchange.closed() => return Err(HttpFault::Closed),
        };
        if started {
            self.log_start(request);
            return Ok(Some(ticket));
        }
        self.refuse(exchange, request, SidecarVerdict::NotRun, "patience_over").await?;
        Ok(None)
    }

    /// Writes a line about a request that has a slot; one that waited for long explains a late
    /// answer.
    fn log_start(&self, request: &SideRequest) {
        let waited = request.arrived.elapsed();
        let is_slow = request.terms.class == WorkClass::Online && waited > SLOW_WAIT;
        let weight = if is_slow { LineWeight::Essential } else { LineWeight::Routine };
        let subject = request.request_id.as_deref().unwrap_or_default();
        self.log.record(weight, EventKind::HandedOver, subject, || {
            let reading = self.gate.reading();
            format!(
                "class={:?} waited_ms={} online={}+{} batch={}+{} slots={}",
                request.terms.class,
                waited.as_millis(),
                reading.online_running,
                reading.online_waiting,
                reading.batch_running,
                reading.batch_waiting,
                reading.slots,
            )
        });
    }

    /// Answers a request that gets no answer of the engine.
    async fn refuse(
        &self,
        exchange: &mut ServerExchange<'_>,
        request: &SideRequest,
        verdict: SidecarVerdict,
        reason: &str,
    ) -> Result<(), HttpFault> {
        self.metrics.refused.inc();
        let subject = request.request_id.as_deref().unwrap_or_default();
        self.log.record(LineWeight::Routine, EventKind::Refused, subject, || {
            let reading = self.gate.reading();
            format!(
                "reason={reason} verdict={verdict:?} online={}+{} batch={}+{} slots={} waited_ms={}",
                reading.online_running,
                reading.online_waiting,
                reading.batch_running,
                reading.batch_waiting,
                reading.slots,
                request.arrived.elapsed().as_millis(),
            )
        });
        let mut headers = HeaderMap::new();
        verdict.write(&mut headers);
        exchange.respond(StatusCode::SERVICE_UNAVAILABLE, &headers, &Bytes::new()).await
    }

    /// Makes the engine's request from one that arrived.
    fn attempt(request: &SideRequest, terms: AttemptTerms<'_>) -> ClientRequest {
        ClientRequest {
            body: request.body.clone(),
            headers: P::attempt_headers(&request.headers, &terms),
            method: request.method.clone(),
            path: request.path.clone(),
        }
    }

    /// Returns what calls the engine.
    fn call(&self) -> TargetCall<'_> {
        TargetCall {
            address: self.engine,
            pool: &self.pool,
            request_id_of: |headers| P::answer_marks(headers).request_id,
        }
    }
}
