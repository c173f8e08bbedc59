//! Takes requests from entries and keepers to the engine.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cv_dispatch::AdmissionOptions;
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

use crate::AttemptOptions;
use crate::PlatformAdapter;
use crate::QueueOptions;
use crate::SidecarVerdict;
use crate::internal_handler::METRICS_PATH;
use crate::internal_handler::respond_metrics;
use crate::internal_headers::strip_hop_by_hop;
use crate::internal_headers::strip_internal_headers;
use crate::sidecar::batch_relay::BatchRelay;
use crate::sidecar::engine_run::EngineRun;
use crate::sidecar::sidecar_metrics::SidecarMetrics;
use crate::sidecar::slot_gate::SlotGate;
use crate::sidecar::slot_gate::SlotTicket;
use crate::target_call::TargetCall;

/// Longest request body, in bytes.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// Longest wait for the engine's answer where the caller names no deadline.
const HEAD_PATIENCE: Duration = Duration::from_secs(15);

/// Wait of an online request for a slot that is written down in any case.
const SLOW_WAIT: Duration = Duration::from_millis(150);

/// Handles the requests to one engine.
pub(crate) struct SidecarHandler<P> {
    pub clock: ProcessClock,
    pub engine: SocketAddr,
    pub gate: Rc<SlotGate>,
    pub log: LineLog,
    pub metrics: SidecarMetrics,
    pub pool: ConnectionPool,
    pub border: PhantomData<P>,
}

/// A request as it arrived.
pub(crate) struct SidecarRequest {
    pub arrived: Instant,
    pub body: Bytes,
    pub headers: HeaderMap,
    pub method: Method,
    pub path: String,
    pub request_id: Option<String>,
    pub terms: QueueOptions,
}

impl<P: PlatformAdapter> RequestHandler for SidecarHandler<P> {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        if exchange.head().uri.path() == METRICS_PATH {
            self.metrics.set_reading(&self.gate.reading());
            return respond_metrics(exchange, &self.metrics.registry).await;
        }
        let body = exchange.read_body(BODY_BYTES).await?;
        let mut headers = exchange.head().headers.clone();
        let terms = QueueOptions::read(&headers);
        let marks = P::request_options(&headers);
        strip_internal_headers(&mut headers);
        let request = SidecarRequest {
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

impl<P: PlatformAdapter> SidecarHandler<P> {
    /// Runs an online request when it has a slot.
    async fn serve_online(
        &self,
        exchange: &mut ServerExchange<'_>,
        request: &SidecarRequest,
    ) -> Result<(), HttpFault> {
        let Some(_ticket) = self.admit(exchange, request).await? else {
            return Ok(());
        };
        let call = self.call();
        let deadline = P::request_options(&request.headers).deadline;
        let left = deadline.map(|limit| limit.saturating_sub(request.arrived.elapsed()));
        let forwarded =
            Self::attempt(request, AttemptOptions { deadline: left, ..AttemptOptions::default() });
        let patience = left.unwrap_or(HEAD_PATIENCE);
        let started = monoio::select! {
            started = EngineRun::start(&call, &forwarded, request.request_id.as_deref(), patience) => started,
            () = exchange.closed() => return Err(HttpFault::Closed),
        };
        let mut run = match started {
            Ok(run) => run,
            Err(verdict) => return self.refuse(exchange, request, verdict, "engine_silent").await,
        };
        if P::response_metadata(&run.head.headers).not_run {
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
        request: &SidecarRequest,
    ) -> Result<(), HttpFault> {
        match self.admit(exchange, request).await? {
            Some(ticket) => BatchRelay::new(self, request, ticket).run(exchange).await,
            None => Ok(()),
        }
    }

    /// Queues a request; returns `None` after an answer that it has not run.
    async fn admit(
        &self,
        exchange: &mut ServerExchange<'_>,
        request: &SidecarRequest,
    ) -> Result<Option<SlotTicket>, HttpFault> {
        let QueueOptions {
            class,
            wait_budget: patience,
            expected_run: run,
            slots,
            queue_timeout: stay,
        } = request.terms;
        if slots > 0 {
            self.gate.set_slots(slots);
        }
        let has_begun = P::request_options(&request.headers).resume_after.is_some();
        let terms = AdmissionOptions {
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
    fn log_start(&self, request: &SidecarRequest) {
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
    pub async fn refuse(
        &self,
        exchange: &mut ServerExchange<'_>,
        request: &SidecarRequest,
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
    pub fn attempt(request: &SidecarRequest, terms: AttemptOptions<'_>) -> ClientRequest {
        ClientRequest {
            body: request.body.clone(),
            headers: P::attempt_headers(&request.headers, &terms),
            method: request.method.clone(),
            path: request.path.clone(),
        }
    }

    /// Returns what calls the engine.
    pub fn call(&self) -> TargetCall<'_> {
        TargetCall {
            address: self.engine,
            is_sidecar: false,
            pool: &self.pool,
            request_id_of: |headers| P::response_metadata(headers).request_id,
        }
    }
}
