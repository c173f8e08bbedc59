//! A batch item at its engine, over as many runs as online requests leave room for.

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
use crate::sidecar::slot_gate::SlotTicket;

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

/// A batch item that has been admitted.
pub(crate) struct BatchRelay<'a, P> {
    handler: &'a SidecarHandler<P>,
    last_event: Option<u64>,
    /// Whole events that the keeper does not have yet.
    pending: BytesMut,
    request: &'a SidecarRequest,
    /// Whether the head of an answer has been sent.
    started: bool,
    ticket: SlotTicket,
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

impl<'a, P: PlatformAdapter> BatchRelay<'a, P> {
    /// Creates the relay of an item that has a slot.
    pub fn new(
        handler: &'a SidecarHandler<P>,
        request: &'a SidecarRequest,
        ticket: SlotTicket,
    ) -> Self {
        let last_event = P::request_options(&request.headers).resume_after;
        Self { handler, last_event, pending: BytesMut::new(), request, started: false, ticket }
    }

    /// Runs the item until its output is whole or the keeper has to decide.
    ///
    /// # Errors
    /// Faults of the keeper's connection; `Truncated` if the output breaks off.
    pub async fn run(mut self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let mut full = 0;
        loop {
            match self.pass(exchange).await? {
                BatchPass::Whole => return exchange.finish_stream().await,
                BatchPass::Broken if self.started => return Err(HttpFault::Truncated),
                BatchPass::Broken => return Ok(()),
                BatchPass::Preempted if self.wait_again(exchange).await? => {}
                BatchPass::Full if full < ENGINE_FULL_TRIES => {
                    full += 1;
                    self.ticket.requeue();
                    if !self.wait_again(exchange).await? {
                        break;
                    }
                    monoio::time::sleep(ENGINE_FULL_PAUSE).await;
                }
                BatchPass::Preempted | BatchPass::Full => break,
            }
        }
        if self.started {
            return Err(HttpFault::Truncated);
        }
        self.handler.refuse(exchange, self.request, SidecarVerdict::NotRun, "no_slot").await
    }

    /// Runs the item until it ends, breaks off or loses its slot.
    async fn pass(&mut self, exchange: &mut ServerExchange<'_>) -> Result<BatchPass, HttpFault> {
        let call = self.handler.call();
        let terms = AttemptOptions { resume_after: self.last_event, ..AttemptOptions::default() };
        let forwarded = SidecarHandler::<P>::attempt(self.request, terms);
        let id = self.request.request_id.as_deref();
        let started = monoio::select! {
            started = EngineRun::start(&call, &forwarded, id, STALL_PATIENCE) => started,
            () = self.ticket.preempted() => return Ok(BatchPass::Preempted),
            () = exchange.closed() => return Err(HttpFault::Closed),
        };
        let run = match started {
            Ok(run) => run,
            Err(SidecarVerdict::NotRun) => return Ok(BatchPass::Full),
            Err(SidecarVerdict::Unknown) => {
                if !self.started {
                    let verdict = SidecarVerdict::Unknown;
                    self.handler.refuse(exchange, self.request, verdict, "engine_silent").await?;
                }
                return Ok(BatchPass::Broken);
            }
        };
        let is_misdirected = run.head.status == StatusCode::MISDIRECTED_REQUEST;
        if P::response_metadata(&run.head.headers).not_run && !is_misdirected {
            run.give_back(&call);
            return Ok(BatchPass::Full);
        }
        let mut headers = run.head.headers.clone();
        strip_hop_by_hop(&mut headers);
        if !run.head.status.is_success() {
            if !self.started {
                exchange.respond(run.head.status, &headers, &Bytes::new()).await?;
            }
            return Ok(BatchPass::Broken);
        }
        if !self.started {
            exchange.start_stream(run.head.status, &headers).await?;
            self.started = true;
        }
        self.relay(exchange, run).await
    }

    /// Passes a run's whole events on, many at a time.
    async fn relay(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        mut run: EngineRun,
    ) -> Result<BatchPass, HttpFault> {
        let mut splitter = EventParser::default();
        let mut flushed = Instant::now();
        loop {
            let piece = monoio::select! {
                piece = timeout(STALL_PATIENCE, run.next_piece()) => {
                    piece.unwrap_or(Err(HttpFault::TimedOut("engine event")))
                }
                () = self.ticket.preempted() => {
                    // The slot is needed at once; the keeper hears of the last events afterwards.
                    drop(run);
                    self.flush(exchange).await?;
                    return Ok(BatchPass::Preempted);
                }
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
                self.last_event = event.id.or(self.last_event);
                self.pending.extend_from_slice(&event.raw);
            }
            let is_due = flushed.elapsed() >= FLUSH_INTERVAL || self.pending.len() >= FLUSH_BYTES;
            if is_due || ended.is_some() {
                self.flush(exchange).await?;
                flushed = Instant::now();
            }
            match ended {
                Some(BatchPass::Whole) => {
                    run.give_back(&self.handler.call());
                    return Ok(BatchPass::Whole);
                }
                Some(pass) => return Ok(pass),
                None => {}
            }
        }
    }

    /// Passes on the events that the keeper does not have yet.
    async fn flush(&mut self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        if self.pending.is_empty() {
            return Ok(());
        }
        exchange.send_piece(&self.pending.split().freeze()).await
    }

    /// Waits for the item's next slot; tells whether it has one.
    async fn wait_again(&self, exchange: &mut ServerExchange<'_>) -> Result<bool, HttpFault> {
        monoio::select! {
            started = self.ticket.started() => Ok(started),
            () = exchange.closed() => Err(HttpFault::Closed),
        }
    }
}
