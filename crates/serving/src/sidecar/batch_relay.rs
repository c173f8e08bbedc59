//! Runs a batch item on the engine, in as many runs as preemptions by online requests require.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use cv_dispatch::EventParser;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use http::StatusCode;
use monoio::time::timeout;

use crate::AttemptOptions;
use crate::PlatformAdapter;
use crate::SidecarVerdict;
use crate::internal_headers::strip_hop_by_hop;
use crate::sidecar::engine_run::EngineRun;
use crate::sidecar::sidecar_handler::SidecarHandler;
use crate::sidecar::sidecar_handler::SidecarRequest;
use crate::sidecar::sidecar_handler::wait_for_slot;
use crate::sidecar::slot_gate::SlotTicket;

/// Time without an event after which a batch run is abandoned. The engine produces an event every
/// few hundredths of a second, and pauses for longer only while it processes a long prompt again.
const STALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for which the output of a batch run is buffered before it is sent on.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Buffered output that is sent on at once, in bytes.
const FLUSH_BYTES: usize = 8 * 1024;

/// Retries of a batch item at an engine that refuses it.
const MAX_ENGINE_FULL_RETRIES: u32 = 20;

/// Relays the output of an admitted batch item to its keeper.
pub(crate) struct BatchRelay<'a, P> {
    handler: &'a SidecarHandler<P>,
    /// Number of the last event that the engine has produced, from which the next run resumes.
    last_event: Option<u64>,
    /// Complete events that have not been sent to the keeper.
    pending: BytesMut,
    request: &'a SidecarRequest,
    /// Whether the head of a response has been sent.
    has_started: bool,
    ticket: SlotTicket,
}

/// How one run of a batch item ended.
enum RunOutcome {
    /// The response is complete.
    Complete,
    /// An online request needed the slot.
    Preempted,
    /// The engine refused the request.
    EngineFull,
    /// A part of the item's prompt ends engines, as has been found out since it was admitted.
    Quarantined,
    /// The run failed; the keeper decides what follows.
    Interrupted,
}

impl<'a, P: PlatformAdapter> BatchRelay<'a, P> {
    /// Creates a relay for an item that has a slot.
    pub fn new(
        handler: &'a SidecarHandler<P>,
        request: &'a SidecarRequest,
        ticket: SlotTicket,
    ) -> Self {
        let last_event = P::request_options(&request.headers).resume_after;
        Self { handler, last_event, pending: BytesMut::new(), request, has_started: false, ticket }
    }

    /// Runs the item until its output is complete or a run fails.
    ///
    /// # Errors
    /// Faults of the keeper's connection; `Truncated` if the output ends before it is complete.
    pub async fn run(mut self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let mut full_retries = 0;
        loop {
            match self.run_once(exchange).await? {
                RunOutcome::Complete => return exchange.finish_stream().await,
                RunOutcome::Interrupted | RunOutcome::Quarantined if self.has_started => {
                    return Err(HttpFault::Truncated);
                }
                RunOutcome::Quarantined => {
                    return self.handler.refuse_quarantined(exchange, self.request).await;
                }
                RunOutcome::Interrupted => return Ok(()),
                RunOutcome::Preempted if wait_for_slot(exchange, &self.ticket).await? => {}
                RunOutcome::EngineFull if full_retries < MAX_ENGINE_FULL_RETRIES => {
                    full_retries += 1;
                    self.ticket.requeue(Duration::ZERO);
                    if !wait_for_slot(exchange, &self.ticket).await? {
                        break;
                    }
                }
                RunOutcome::Preempted | RunOutcome::EngineFull => break,
            }
        }
        if self.has_started {
            return Err(HttpFault::Truncated);
        }
        self.handler.refuse(exchange, self.request, SidecarVerdict::NotRun, "no_slot").await
    }

    /// Runs the item once, until it ends, fails or loses its slot.
    async fn run_once(
        &mut self,
        exchange: &mut ServerExchange<'_>,
    ) -> Result<RunOutcome, HttpFault> {
        if !self.handler.may_hand_over(self.request) {
            return Ok(RunOutcome::Quarantined);
        }
        let call = self.handler.engine_call();
        let options = AttemptOptions { resume_after: self.last_event, ..AttemptOptions::default() };
        let forwarded = SidecarHandler::<P>::engine_request(self.request, options);
        let id = self.request.request_id.as_deref();
        let guard = self.handler.watch.begin(id.unwrap_or_default(), &self.request.subjects);
        let started = monoio::select! {
            started = EngineRun::start(&call, &forwarded, id, guard, STALL_TIMEOUT) => started,
            () = self.ticket.preempted() => return Ok(RunOutcome::Preempted),
            () = exchange.closed() => return Err(HttpFault::Closed),
        };
        let run = match started {
            Ok(run) => run,
            Err(SidecarVerdict::NotRun) => return Ok(RunOutcome::EngineFull),
            Err(SidecarVerdict::Quarantined | SidecarVerdict::Unknown) => {
                if !self.has_started {
                    let verdict = SidecarVerdict::Unknown;
                    self.handler.refuse(exchange, self.request, verdict, "engine_silent").await?;
                }
                return Ok(RunOutcome::Interrupted);
            }
        };
        let is_misdirected = run.head.status == StatusCode::MISDIRECTED_REQUEST;
        let metadata = P::response_metadata(&run.head.headers);
        self.handler.record_metadata(&metadata);
        if metadata.not_run && !is_misdirected {
            run.reject(&call);
            return Ok(RunOutcome::EngineFull);
        }
        let mut headers = run.head.headers.clone();
        strip_hop_by_hop(&mut headers);
        run.record_status();
        if !run.head.status.is_success() {
            if !self.has_started {
                exchange.respond(run.head.status, &headers, &Bytes::new()).await?;
            }
            return Ok(RunOutcome::Interrupted);
        }
        if !self.has_started {
            exchange.start_stream(run.head.status, &headers).await?;
            self.has_started = true;
        }
        self.relay(exchange, run).await
    }

    /// Sends a run's complete events to the keeper, in batches.
    async fn relay(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        mut run: EngineRun,
    ) -> Result<RunOutcome, HttpFault> {
        let mut parser = EventParser::default();
        let mut flushed = Instant::now();
        let mut event_due = Instant::now() + STALL_TIMEOUT;
        loop {
            // Bytes that complete no event do not count as progress.
            let left = event_due.saturating_duration_since(Instant::now());
            let piece = monoio::select! {
                piece = timeout(left, run.next_piece()) => {
                    piece.unwrap_or(Err(HttpFault::TimedOut("engine event")))
                }
                () = self.ticket.preempted() => {
                    // Releases the slot at once, before the last events are sent to the keeper.
                    drop(run);
                    self.flush(exchange).await?;
                    return Ok(RunOutcome::Preempted);
                }
                () = exchange.closed() => return Err(HttpFault::Closed),
            };
            let mut ended = match piece {
                Ok(Some(piece)) => {
                    parser.push(&piece);
                    None
                }
                Ok(None) if parser.has_partial_event() => Some(RunOutcome::Interrupted),
                Ok(None) => Some(RunOutcome::Complete),
                Err(_) => Some(RunOutcome::Interrupted),
            };
            while let Some(event) = parser.next_event() {
                self.last_event = event.id.or(self.last_event);
                self.pending.extend_from_slice(&event.raw);
                if !event.is_blank() {
                    event_due = Instant::now() + STALL_TIMEOUT;
                }
                if parser.is_oversized() {
                    break;
                }
            }
            if parser.is_oversized() {
                ended = Some(RunOutcome::Interrupted);
            }
            let is_due = flushed.elapsed() >= FLUSH_INTERVAL || self.pending.len() >= FLUSH_BYTES;
            if is_due || ended.is_some() {
                self.flush(exchange).await?;
                flushed = Instant::now();
            }
            match ended {
                Some(RunOutcome::Complete) => {
                    run.complete(&self.handler.engine_call());
                    return Ok(RunOutcome::Complete);
                }
                Some(outcome) => return Ok(outcome),
                None => {}
            }
        }
    }

    /// Sends the buffered events to the keeper.
    async fn flush(&mut self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        if self.pending.is_empty() {
            return Ok(());
        }
        exchange.send_piece(&self.pending.split().freeze()).await
    }
}
