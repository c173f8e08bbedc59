//! One caller's request, over as many attempts as it may have.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cv_dispatch::PlacementPolicy;
use cv_dispatch::PlacementRequest;
use cv_dispatch::RouteKind;
use cv_dispatch::RouteRule;
use cv_dispatch::TargetChoice;
use cv_dispatch::WaitPolicy;
use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use cv_policy::WorkClass;
use cv_timeline::EventKind;
use cv_timeline::LineWeight;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::response::Parts as ResponseHead;

use crate::AttemptOptions;
use crate::PlatformAdapter;
use crate::QueueOptions;
use crate::RequestOptions;
use crate::SidecarVerdict;
use crate::entry::attempt_recorder::AttemptRecorder;
use crate::entry::entry_handler::EntryHandler;
use crate::entry::response_relay::RelayEnd;
use crate::entry::response_relay::ResponseRelay;
use crate::target_call::TargetCall;
use crate::target_call::TargetFault;

/// Time before the caller's limit at which the final answer is given.
const ANSWER_MARGIN: Duration = Duration::from_millis(25);

/// Deadline of a caller that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Longest time to connect to a target or its sidecar; a new connection takes a few milliseconds.
const CONNECT_PATIENCE: Duration = Duration::from_millis(250);

/// Targets that may turn a request away before the caller is told to come back.
const REFUSALS: usize = 6;

/// Time after the queue within which a resumable stream has to begin before it is tried elsewhere.
const FIRST_EVENT_PATIENCE: Duration = Duration::from_secs(1);

/// Share of the time left that one attempt of an idempotent request may take.
const ATTEMPT_SHARE: f64 = 0.45;

/// A caller's request being served.
pub(crate) struct OnlineRequest<'a, P> {
    began: Instant,
    body: Bytes,
    deadline: Instant,
    handler: &'a EntryHandler<P>,
    headers: HeaderMap,
    is_returning: bool,
    method: Method,
    path: String,
    route: &'a RouteRule,
    /// Attempts that may have run.
    sent: u32,
    terms: RequestOptions,
    tried: Vec<String>,
}

/// How one attempt ended.
enum AttemptEnd {
    /// The caller has its answer, or has gone away.
    Answered,
    /// The target has not run the request and will not.
    NotRun,
    /// The target or its sidecar could not be reached.
    Unreachable,
    /// The request may have run, or its stream broke off.
    Broken(String),
}

impl<'a, P: PlatformAdapter> OnlineRequest<'a, P> {
    /// Creates a call for the request of an exchange, whose body has been read.
    pub fn new(
        handler: &'a EntryHandler<P>,
        route: &'a RouteRule,
        exchange: &ServerExchange<'_>,
        body: Bytes,
        began: Instant,
    ) -> Self {
        let headers = exchange.head().headers.clone();
        let terms = P::request_options(&headers);
        let limit = terms.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
        Self {
            began,
            body,
            deadline: began + limit.saturating_sub(ANSWER_MARGIN),
            handler,
            is_returning: handler.is_returning(route, terms.deadline),
            headers,
            method: exchange.head().method.clone(),
            path: exchange.head().uri.to_string(),
            route,
            sent: 0,
            terms,
            tried: Vec::new(),
        }
    }

    /// Serves the request.
    ///
    /// # Errors
    /// Faults of the caller's connection; a stream that cannot go on.
    pub async fn run(mut self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let mut relay = ResponseRelay::new(self.route.kind, self.terms.resume_after);
        let draw = self.handler.view.random_number();
        let service = self.route.pick_service(draw).unwrap_or_default().to_owned();
        let mut refusals = 0;
        loop {
            if self.left().is_zero() {
                return self.conclude(exchange, &relay, "deadline").await;
            }
            let Some(choice) = self.choose(&service, draw) else {
                return self.conclude(exchange, &relay, "no_target").await;
            };
            match self.attempt(exchange, &choice, &mut relay).await? {
                AttemptEnd::Answered => return Ok(()),
                AttemptEnd::NotRun => {
                    refusals += 1;
                    self.notes().record_refusal(&choice);
                    self.tried.push(choice.id);
                    if refusals >= REFUSALS {
                        return self.conclude(exchange, &relay, "all_busy").await;
                    }
                }
                AttemptEnd::Unreachable => {
                    self.notes().record_unreachable(&choice);
                    // Without its sidecar the target itself may still take the request.
                    if !choice.through_sidecar {
                        self.tried.push(choice.id);
                    }
                }
                AttemptEnd::Broken(detail) => {
                    self.notes().record_failure(&choice, &detail);
                    self.tried.push(choice.id);
                    let may_go_on = self.route.may_repeat() && relay.can_resume();
                    if !may_go_on || self.sent >= self.route.max_attempts {
                        return self.conclude(exchange, &relay, "target_failed").await;
                    }
                }
            }
        }
    }

    /// Chooses the next target.
    fn choose(&self, service: &str, draw: u64) -> Option<TargetChoice> {
        let view = &self.handler.view;
        let zone = &self.handler.identity.zone;
        let request = PlacementRequest { draw, service, tried: &self.tried, zone };
        let is_model = view
            .routes()
            .is_some_and(|routes| routes.service(service).is_some_and(|rule| rule.is_model));
        let now = view.clock.now();
        let choice = view.with_targets(|roster| PlacementPolicy.choose(roster, now, &request))?;
        Some(TargetChoice { through_sidecar: choice.through_sidecar && is_model, ..choice })
    }

    /// Sends the request to one target and relays its answer.
    async fn attempt(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        choice: &TargetChoice,
        relay: &mut ResponseRelay,
    ) -> Result<AttemptEnd, HttpFault> {
        let handler = self.handler;
        let _flight = TargetFlight::begin(handler, &choice.id);
        let address = if choice.through_sidecar {
            handler.identity.sidecar_address(choice.address)
        } else {
            choice.address
        };
        let call = TargetCall {
            address,
            is_sidecar: choice.through_sidecar,
            pool: &handler.pool,
            request_id_of: |headers| P::response_metadata(headers).request_id,
        };
        let request = self.request_for(choice, relay);
        handler.metrics.attempts.inc();
        let patience = self.head_patience();
        let id = self.terms.request_id.as_deref();
        let connect_patience = CONNECT_PATIENCE.min(self.left());
        let opened = monoio::select! {
            opened = call.open(&request, id, connect_patience, patience) => opened,
            () = exchange.closed() => return Ok(self.abandon()),
        };
        let (connection, head) = match opened {
            Ok(opened) => opened,
            Err(TargetFault::NotSent(_)) => return Ok(AttemptEnd::Unreachable),
            Err(fault) => {
                self.sent += 1;
                return Ok(AttemptEnd::Broken(fault.to_string()));
            }
        };
        self.take_answer(exchange, &call, connection, &head, relay, choice).await
    }

    /// Takes an answer whose head has arrived.
    async fn take_answer(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        call: &TargetCall<'_>,
        connection: ClientConnection,
        head: &ResponseHead,
        relay: &mut ResponseRelay,
        choice: &TargetChoice,
    ) -> Result<AttemptEnd, HttpFault> {
        let marks = P::response_metadata(&head.headers);
        let verdict = SidecarVerdict::read(&head.headers);
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        if marks.not_run || is_misdirected || verdict == Some(SidecarVerdict::NotRun) {
            return Ok(self.take_refusal(call, connection, choice).await);
        }
        self.sent += 1;
        if !marks.is_signed || verdict.is_some() {
            return Ok(AttemptEnd::Broken(format!("status={} unsigned", head.status)));
        }
        let is_last = self.sent >= self.route.max_attempts || !self.route.may_repeat();
        if head.status.is_server_error() && (!is_last || relay.has_started()) {
            return Ok(AttemptEnd::Broken(format!("status={}", head.status)));
        }
        let headers = P::response_headers(&head.headers);
        let left = self.left();
        let end =
            relay.relay(exchange, connection, head.status, &headers, left, self.route).await?;
        match end {
            RelayEnd::Whole(connection) => {
                call.release(*connection);
                self.note_success(&choice.id, head.status, relay);
                Ok(AttemptEnd::Answered)
            }
            RelayEnd::CallerGone => Ok(self.abandon()),
            RelayEnd::Broken(detail) => Ok(AttemptEnd::Broken(detail)),
        }
    }

    /// Takes the word of a target that it has not run the request.
    async fn take_refusal(
        &self,
        call: &TargetCall<'_>,
        mut connection: ClientConnection,
        choice: &TargetChoice,
    ) -> AttemptEnd {
        if connection.skip_response(4096).await.is_ok() {
            call.release(connection);
        }
        self.handler.view.log.record(
            LineWeight::Routine,
            EventKind::Refused,
            self.terms.request_id.as_deref().unwrap_or_default(),
            || format!("target={} believed_full={}", choice.id, choice.is_full),
        );
        AttemptEnd::NotRun
    }

    /// Makes the request for one attempt.
    fn request_for(&self, choice: &TargetChoice, relay: &ResponseRelay) -> ClientRequest {
        let attempt = AttemptOptions {
            deadline: Some(self.left()),
            expected_target: Some(&choice.id),
            resume_after: relay.resume_after(),
        };
        let mut headers = P::attempt_headers(&self.headers, &attempt);
        if choice.through_sidecar {
            let terms = QueueOptions {
                class: WorkClass::Online,
                wait_budget: self.queue_patience(),
                expected_run: Duration::ZERO,
                slots: choice.slots,
                queue_timeout: WaitPolicy.stay(self.left()),
            };
            terms.write(&mut headers);
        }
        ClientRequest {
            body: self.body.clone(),
            headers,
            method: self.method.clone(),
            path: self.path.clone(),
        }
    }

    /// Returns the longest expected wait with which a sidecar's queue is entered.
    fn queue_patience(&self) -> Duration {
        let is_returning = self.is_returning || self.sent > 0;
        WaitPolicy.queue_patience(self.route.objective, self.left(), is_returning)
    }

    /// Returns the longest wait for the head of an answer.
    fn head_patience(&self) -> Duration {
        let left = self.left();
        let is_last = self.sent + 1 >= self.route.max_attempts;
        if !self.route.may_repeat() || is_last {
            return left;
        }
        match self.route.kind {
            RouteKind::Streaming => left.min(WaitPolicy.stay(left) + FIRST_EVENT_PATIENCE),
            _ => left.mul_f64(ATTEMPT_SHARE),
        }
    }

    /// Gives the final answer of a request that no target has answered.
    async fn conclude(
        &self,
        exchange: &mut ServerExchange<'_>,
        relay: &ResponseRelay,
        reason: &str,
    ) -> Result<(), HttpFault> {
        let handler = self.handler;
        if self.sent == 0 && !relay.has_started() {
            let now = handler.view.clock.now();
            let left = self.left();
            let draw = handler.view.random_fraction();
            let after = handler.advice.borrow_mut().refuse(now, left, draw);
            let inputs = format!(
                "tried={} returning={} held_ms={} version={}",
                self.tried.join(","),
                self.is_returning,
                self.began.elapsed().as_millis(),
                handler.view.routes().map_or(0, |routes| routes.version),
            );
            return handler.refuse(exchange, after, reason, &inputs).await;
        }
        handler.metrics.failed.inc();
        let subject = self.terms.request_id.as_deref().unwrap_or_default();
        handler.view.log.record(
            LineWeight::Essential,
            EventKind::RequestConcluded,
            subject,
            || {
                format!(
                    "outcome=failed reason={reason} attempts={} tried={} total_ms={} left_ms={}",
                    self.sent,
                    self.tried.join(","),
                    self.began.elapsed().as_millis(),
                    self.left().as_millis(),
                )
            },
        );
        if relay.has_started() {
            return Err(HttpFault::Truncated);
        }
        let is_late = self.left().is_zero();
        let status = if is_late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        exchange.respond(status, &HeaderMap::new(), &Bytes::new()).await
    }

    /// Notes an answer.
    fn note_success(&self, target: &str, status: StatusCode, relay: &ResponseRelay) {
        let handler = self.handler;
        handler.metrics.answered.inc();
        let now = handler.view.clock.now();
        handler.advice.borrow_mut().record_admission(now);
        handler.view.with_targets(|roster| {
            if let Some(row) = roster.get_mut(target) {
                row.record_success();
            }
        });
        let subject = self.terms.request_id.as_deref().unwrap_or_default();
        let first = relay.first_at().map(|first| first.duration_since(self.began));
        let is_late = first.is_some_and(|first| first > self.route.objective);
        let weight = if is_late { LineWeight::Essential } else { LineWeight::Routine };
        handler.view.log.record(weight, EventKind::RequestConcluded, subject, || {
            format!(
                "outcome=answered late={is_late} first_ms={} total_ms={} objective_ms={} \
                 status={status} target={target} attempts={} refused_by={} returning={}",
                first.unwrap_or_default().as_millis(),
                self.began.elapsed().as_millis(),
                self.route.objective.as_millis(),
                self.sent,
                self.tried.len(),
                self.is_returning,
            )
        });
        if let Some(first) = first {
            handler.metrics.first_answer.observe(first.as_secs_f64());
        }
    }

    /// Notes that the caller has gone away, which ends the attempt by closing its connection.
    fn abandon(&self) -> AttemptEnd {
        self.handler.metrics.abandoned.inc();
        AttemptEnd::Answered
    }

    /// Returns what takes notes of attempts.
    fn notes(&self) -> AttemptRecorder<'_> {
        let request = self.terms.request_id.as_deref().unwrap_or_default();
        AttemptRecorder { request, view: &self.handler.view }
    }

    /// Returns the time left for the final answer.
    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Counts a request at a target until it is dropped.
struct TargetFlight<'a, P> {
    handler: &'a EntryHandler<P>,
    target: String,
}

impl<'a, P> TargetFlight<'a, P> {
    /// Counts a request that is being sent.
    fn begin(handler: &'a EntryHandler<P>, target: &str) -> Self {
        handler.view.with_targets(|roster| roster.begin(target));
        Self { handler, target: target.to_owned() }
    }
}

impl<P> Drop for TargetFlight<'_, P> {
    fn drop(&mut self) {
        self.handler.view.with_targets(|roster| roster.end(&self.target));
    }
}
