//! Serves one caller's online request, with up to as many attempts as its route allows.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cv_dispatch::PlacementPolicy;
use cv_dispatch::PlacementRequest;
use cv_dispatch::PromptPart;
use cv_dispatch::QuarantineDecision;
use cv_dispatch::ReservationId;
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
use cv_timeline::LinePriority;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::response::Parts as ResponseHead;

use crate::AttemptOptions;
use crate::PlatformAdapter;
use crate::QueueOptions;
use crate::RequestOptions;
use crate::ReservationTerms;
use crate::SidecarVerdict;
use crate::entry::attempt_recorder::AttemptRecorder;
use crate::entry::direct_send::DirectSend;
use crate::entry::entry_handler::EntryHandler;
use crate::entry::placed_reservations::PlacedReservations;
use crate::entry::response_relay::RelayOutcome;
use crate::entry::response_relay::ResponseRelay;
use crate::target_call::TargetCall;
use crate::target_call::TargetFault;

/// Time before the caller's deadline at which the final response is sent.
const RESPONSE_MARGIN: Duration = Duration::from_millis(25);

/// Deadline of a request that sets none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Longest time to connect to a target or its sidecar; a new connection takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Targets that may refuse a request before the caller is told to retry later.
const MAX_REFUSALS: usize = 6;

/// Sidecars at which a request that finds no free slot places reservations.
const RESERVATIONS: usize = 4;

/// Times that all of a request's reservations are denied before its caller is told to retry later.
const MAX_DENIED_ROUNDS: u32 = 2;

/// Time after the queue timeout within which a stream has to begin, otherwise another target is
/// tried.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Retry delay of a request that was refused because another is being tried, or because of what only
/// a sidecar knows yet.
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest body of a refusal after which the connection is reused, in bytes.
const MAX_REFUSAL_BYTES: usize = 4096;

/// Longest wait for the body of a refusal, which is not needed.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Share of the remaining time that one attempt of an idempotent request may take.
const ATTEMPT_TIME_SHARE: f64 = 0.45;

/// A caller's online request that is being served.
pub(crate) struct OnlineRequest<'a, P> {
    received_at: Instant,
    body: Bytes,
    deadline: Instant,
    handler: &'a EntryHandler<P>,
    headers: HeaderMap,
    is_retry: bool,
    method: Method,
    /// The shared parts of the prompt, in order.
    parts: Vec<PromptPart>,
    path: String,
    route: &'a RouteRule,
    /// Attempts that a target may have run.
    attempts: u32,
    options: RequestOptions,
    tried_targets: Vec<String>,
}

/// Terms of one attempt.
#[derive(Clone, Copy, Debug)]
struct AttemptTerms {
    /// Whether the attempt is the trial of a part in quarantine.
    is_trial: bool,
    /// The reservation by which the target keeps a slot.
    reservation: Option<ReservationId>,
}

/// How one attempt ended.
enum AttemptOutcome {
    /// The caller has its response, or has gone away.
    Finished,
    /// The target has not run the request and will not.
    NotRun,
    /// The target takes no further request at the moment.
    RateLimited,
    /// A part of the prompt ends engines; the request has not been handed over in this attempt.
    Quarantined,
    /// The target or its sidecar could not be reached.
    Unreachable,
    /// The request may have run without a complete response; holds the reason.
    Interrupted(String),
}

/// How the wait for a target that rests because of its limit ended.
enum RestOutcome {
    /// The target may take a request now.
    Over,
    /// The caller has gone away.
    CallerGone,
    /// No target takes a request before the latency objective.
    TooLong,
}

/// How the reservations of a request ended.
enum ReservationOutcome {
    /// A sidecar keeps a slot of this target free.
    Granted(TargetChoice, PlacedReservations),
    /// No sidecar will have a slot in time.
    Denied,
    /// The caller has gone away.
    CallerGone,
    /// No target has a sidecar.
    Unavailable,
}

impl<'a, P: PlatformAdapter> OnlineRequest<'a, P> {
    /// Creates the state of an exchange's request; `body` has been read from it already.
    pub fn new(
        handler: &'a EntryHandler<P>,
        route: &'a RouteRule,
        exchange: &ServerExchange<'_>,
        body: Bytes,
        received_at: Instant,
    ) -> Self {
        let headers = exchange.head().headers.clone();
        let options = P::request_options(&headers);
        let limit = options.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
        Self {
            received_at,
            body,
            deadline: received_at + limit.saturating_sub(RESPONSE_MARGIN),
            handler,
            is_retry: handler.is_retry(route, options.deadline),
            parts: P::prompt_parts(&headers),
            headers,
            method: exchange.head().method.clone(),
            path: exchange.head().uri.to_string(),
            route,
            attempts: 0,
            options,
            tried_targets: Vec::new(),
        }
    }

    /// Serves the request.
    ///
    /// # Errors
    /// Faults of the caller's connection; `Truncated` for a stream that cannot be resumed.
    pub async fn run(mut self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let mut relay = ResponseRelay::new(self.route.kind, self.options.resume_after);
        let random = self.handler.view.random_number();
        let service = self.route.pick_service(random).unwrap_or_default().to_owned();
        let mut refusals = 0;
        let mut denied_rounds = 0;
        loop {
            if self.time_left().is_zero() {
                return self.finish_unanswered(exchange, &relay, "deadline").await;
            }
            let decision = self.decide_quarantine();
            let is_trial = matches!(decision, QuarantineDecision::Try(_));
            let choice = match decision {
                QuarantineDecision::Admit => self.choose_target(&service, random),
                QuarantineDecision::Try(part) => self.choose_for_trial(&service, part),
                QuarantineDecision::Refuse(..) => None,
            };
            let Some(choice) = choice else {
                if decision != QuarantineDecision::Admit {
                    return self.finish_quarantined(exchange, &relay).await;
                }
                match self.wait_for_rest(exchange, &service).await {
                    RestOutcome::Over => continue,
                    RestOutcome::CallerGone => return Ok(()),
                    RestOutcome::TooLong => {}
                }
                return self.finish_unanswered(exchange, &relay, "no_target").await;
            };
            let (choice, reservation) =
                if !is_trial && choice.through_sidecar && (choice.is_full || refusals > 0) {
                    match self.reserve(exchange, &service, random).await {
                        ReservationOutcome::Granted(granted, placed) => (granted, Some(placed)),
                        ReservationOutcome::Unavailable => (choice, None),
                        ReservationOutcome::CallerGone => return Ok(()),
                        ReservationOutcome::Denied => {
                            refusals += 1;
                            denied_rounds += 1;
                            if denied_rounds >= MAX_DENIED_ROUNDS {
                                return self.finish_unanswered(exchange, &relay, "all_busy").await;
                            }
                            continue;
                        }
                    }
                } else {
                    (choice, None)
                };
            let reservation = reservation.as_ref().map(PlacedReservations::id);
            let terms = AttemptTerms { is_trial, reservation };
            match self.attempt(exchange, &choice, terms, &mut relay).await? {
                AttemptOutcome::Finished => return Ok(()),
                AttemptOutcome::RateLimited => {}
                AttemptOutcome::Quarantined => {
                    return self.finish_quarantined(exchange, &relay).await;
                }
                // Only one target runs the trials.
                AttemptOutcome::NotRun | AttemptOutcome::Unreachable if is_trial => {
                    return self.finish_quarantined(exchange, &relay).await;
                }
                AttemptOutcome::NotRun => {
                    refusals += 1;
                    self.recorder().record_refusal(&choice);
                    // A sidecar that had no free slot may still be waited for.
                    if !choice.through_sidecar || reservation.is_some() {
                        self.tried_targets.push(choice.id);
                    }
                    if refusals >= MAX_REFUSALS {
                        return self.finish_unanswered(exchange, &relay, "all_busy").await;
                    }
                }
                AttemptOutcome::Unreachable => {
                    self.recorder().record_unreachable(&choice);
                    // The target may still accept the request directly, without its sidecar.
                    if !choice.through_sidecar {
                        self.tried_targets.push(choice.id);
                    }
                }
                AttemptOutcome::Interrupted(detail) => {
                    self.recorder().record_failure(&choice, &detail);
                    if !choice.through_sidecar {
                        let desk = &self.handler.view.quarantine;
                        desk.investigate(choice.address, &self.parts);
                    }
                    self.tried_targets.push(choice.id);
                    let may_retry = self.route.may_repeat() && relay.can_resume();
                    if !may_retry || self.attempts >= self.route.max_attempts {
                        return self.finish_unanswered(exchange, &relay, "target_failed").await;
                    }
                }
            }
        }
    }

    /// Chooses the next target.
    fn choose_target(&self, service: &str, random: u64) -> Option<TargetChoice> {
        let view = &self.handler.view;
        let zone = &self.handler.identity.zone;
        let request = PlacementRequest { seed: random, service, tried: &self.tried_targets, zone };
        let is_model = view
            .routes()
            .is_some_and(|routes| routes.service(service).is_some_and(|rule| rule.is_model));
        let now = view.clock.now();
        let choice = view.with_targets(|targets| PlacementPolicy.choose(targets, now, &request))?;
        Some(TargetChoice { through_sidecar: choice.through_sidecar && is_model, ..choice })
    }

    /// Decides whether the parts of the prompt allow the request to be handed over.
    fn decide_quarantine(&self) -> QuarantineDecision {
        self.handler.view.quarantine.decide(&self.parts)
    }

    /// Chooses the target that runs the trial of a part in quarantine.
    fn choose_for_trial(&self, service: &str, part: PromptPart) -> Option<TargetChoice> {
        let view = &self.handler.view;
        let now = view.clock.now();
        view.with_targets(|targets| PlacementPolicy.choose_for_trial(targets, now, service, part))
    }

    /// Places reservations at a few sidecars and waits for the first slot that is granted.
    async fn reserve(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        service: &str,
        random: u64,
    ) -> ReservationOutcome {
        let candidates = self.choose_for_reservations(service, random);
        if candidates.is_empty() {
            return ReservationOutcome::Unavailable;
        }
        let placed_at = Instant::now();
        let mut placed = self.place_reservations(&candidates).await;
        let granted = monoio::select! {
            granted = placed.granted() => granted,
            () = exchange.closed() => {
                self.record_abandoned();
                return ReservationOutcome::CallerGone;
            }
        };
        self.record_reservations(&candidates, granted, placed_at.elapsed());
        let Some(index) = granted else {
            self.tried_targets.extend(candidates.into_iter().map(|choice| choice.id));
            return ReservationOutcome::Denied;
        };
        placed.release_others().await;
        ReservationOutcome::Granted(candidates[index].clone(), placed)
    }

    /// Records where the request waited for a slot, for how long, and which target granted one.
    fn record_reservations(
        &self,
        candidates: &[TargetChoice],
        granted: Option<usize>,
        waited: Duration,
    ) {
        let handler = self.handler;
        let outcomes = &handler.metrics;
        match granted {
            Some(_) => outcomes.reservations_granted.inc(),
            None => outcomes.reservations_denied.inc(),
        }
        let subject = self.options.request_id.as_deref().unwrap_or_default();
        handler.view.log.record(LinePriority::Routine, EventKind::AttemptQueued, subject, || {
            let target = granted.map_or("none", |index| candidates[index].id.as_str());
            let ids: Vec<&str> = candidates.iter().map(|choice| choice.id.as_str()).collect();
            let waited_ms = waited.as_millis();
            format!("granted={target} at={} waited_ms={waited_ms}", ids.join(","))
        });
    }

    /// Chooses the targets at which the request places reservations.
    fn choose_for_reservations(&self, service: &str, random: u64) -> Vec<TargetChoice> {
        let view = &self.handler.view;
        let zone = &self.handler.identity.zone;
        let request = PlacementRequest { seed: random, service, tried: &self.tried_targets, zone };
        let now = view.clock.now();
        view.with_targets(|targets| {
            PlacementPolicy.choose_for_reservations(targets, now, &request, RESERVATIONS)
        })
    }

    /// Places reservations at the sidecars of the given targets.
    async fn place_reservations(&self, choices: &[TargetChoice]) -> PlacedReservations {
        let identity = &self.handler.identity;
        let sidecars = choices.iter().map(|choice| identity.sidecar_address(choice.address));
        let terms = ReservationTerms {
            max_expected_wait: self.max_expected_wait(),
            objective_left: self.objective_left(),
            queue_timeout: WaitPolicy.queue_timeout(self.time_left()),
            queues: choices.len() as u8,
        };
        self.handler.reservations.place(sidecars.collect(), terms).await
    }

    /// Sends the request to one target and relays its response.
    async fn attempt(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        choice: &TargetChoice,
        terms: AttemptTerms,
        relay: &mut ResponseRelay,
    ) -> Result<AttemptOutcome, HttpFault> {
        // The request may have waited for a slot since the last decision.
        if !terms.is_trial && self.decide_quarantine() != QuarantineDecision::Admit {
            return Ok(AttemptOutcome::Quarantined);
        }
        let handler = self.handler;
        let _in_flight = InFlightGuard::begin(handler, &choice.id);
        if !choice.through_sidecar {
            let request = self.options.request_id.as_deref().unwrap_or_default();
            if !(DirectSend { handler, request }).is_permitted(choice).await {
                return Ok(AttemptOutcome::RateLimited);
            }
        }
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
        let request = self.build_request(choice, terms, relay);
        handler.metrics.attempts.inc();
        let timeout = self.response_timeout();
        let id = self.options.request_id.as_deref();
        let connect_timeout = CONNECT_TIMEOUT.min(self.time_left());
        let opened = monoio::select! {
            opened = call.open(&request, id, connect_timeout, timeout) => opened,
            () = exchange.closed() => return Ok(self.record_abandoned()),
        };
        let (connection, head) = match opened {
            Ok(opened) => opened,
            Err(TargetFault::NotSent(_)) => return Ok(AttemptOutcome::Unreachable),
            Err(fault) => {
                self.attempts += 1;
                return Ok(AttemptOutcome::Interrupted(fault.to_string()));
            }
        };
        self.handle_response(exchange, &call, connection, &head, relay, choice).await
    }

    /// Waits until a target that rests because of its limit takes the next request, if that is soon.
    async fn wait_for_rest(&self, exchange: &mut ServerExchange<'_>, service: &str) -> RestOutcome {
        let view = &self.handler.view;
        let now = view.clock.now();
        let rest = view.with_targets(|targets| targets.shortest_rest(service, now));
        let max_rest = self.objective_left().min(self.time_left());
        match rest.filter(|rest| *rest <= max_rest) {
            None => RestOutcome::TooLong,
            Some(rest) => monoio::select! {
                () = monoio::time::sleep(rest) => RestOutcome::Over,
                () = exchange.closed() => {
                    self.record_abandoned();
                    RestOutcome::CallerGone
                }
            },
        }
    }

    /// Handles a response whose head has arrived.
    async fn handle_response(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        call: &TargetCall<'_>,
        connection: ClientConnection,
        head: &ResponseHead,
        relay: &mut ResponseRelay,
        choice: &TargetChoice,
    ) -> Result<AttemptOutcome, HttpFault> {
        let marks = P::response_metadata(&head.headers);
        if let Some(limit) = marks.named_limit() {
            self.handler.view.with_targets(|targets| {
                if let Some(row) = targets.get_mut(&choice.id) {
                    row.request_limit = limit;
                }
            });
        }
        let verdict = SidecarVerdict::read(&head.headers);
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        if marks.not_run || is_misdirected || verdict == Some(SidecarVerdict::NotRun) {
            return Ok(self.handle_refusal(call, connection, choice).await);
        }
        if verdict == Some(SidecarVerdict::Quarantined) {
            self.handle_refusal(call, connection, choice).await;
            return Ok(AttemptOutcome::Quarantined);
        }
        self.attempts += 1;
        if !marks.is_signed || verdict.is_some() {
            return Ok(AttemptOutcome::Interrupted(format!("status={} unsigned", head.status)));
        }
        let is_last = self.attempts >= self.route.max_attempts || !self.route.may_repeat();
        if head.status.is_server_error() && (!is_last || relay.has_started()) {
            return Ok(AttemptOutcome::Interrupted(format!("status={}", head.status)));
        }
        let headers = P::response_headers(&head.headers);
        let time_left = self.time_left();
        let may_continue = self.route.resumable && !is_last;
        let end = relay
            .relay(exchange, connection, head.status, &headers, time_left, may_continue)
            .await?;
        match end {
            RelayOutcome::Complete(connection) => {
                call.release(*connection);
                self.record_success(&choice.id, head.status, relay);
                self.record_survival(choice, head.status);
                Ok(AttemptOutcome::Finished)
            }
            RelayOutcome::CallerGone => Ok(self.record_abandoned()),
            RelayOutcome::Interrupted(detail) => Ok(AttemptOutcome::Interrupted(detail)),
        }
    }

    /// Handles the response of a target that has not run the request.
    async fn handle_refusal(
        &self,
        call: &TargetCall<'_>,
        mut connection: ClientConnection,
        choice: &TargetChoice,
    ) -> AttemptOutcome {
        let skipped = connection.skip_response(MAX_REFUSAL_BYTES);
        // The body of a refusal may end with its connection, which the target closes when it likes.
        if monoio::time::timeout(REFUSAL_BODY_TIMEOUT, skipped).await.is_ok_and(|read| read.is_ok())
        {
            call.release(connection);
        }
        self.handler.view.log.record(
            LinePriority::Routine,
            EventKind::Refused,
            self.options.request_id.as_deref().unwrap_or_default(),
            || format!("target={} believed_full={}", choice.id, choice.is_full),
        );
        AttemptOutcome::NotRun
    }

    /// Builds the request for one attempt.
    fn build_request(
        &self,
        choice: &TargetChoice,
        terms: AttemptTerms,
        relay: &ResponseRelay,
    ) -> ClientRequest {
        let AttemptTerms { is_trial, reservation } = terms;
        let attempt = AttemptOptions {
            deadline: Some(self.time_left()),
            expected_target: Some(&choice.id),
            resume_after: relay.resume_after(),
        };
        let mut headers = P::attempt_headers(&self.headers, &attempt);
        if choice.through_sidecar {
            let options = QueueOptions {
                class: WorkClass::Online,
                // Without a reservation the request would wait for this one target only.
                wait_budget: reservation.map_or(Duration::ZERO, |_| self.max_expected_wait()),
                expected_run: Duration::ZERO,
                objective_left: self.objective_left(),
                slots: choice.slots,
                queue_timeout: WaitPolicy.queue_timeout(self.time_left()),
                reservation,
                is_trial,
            };
            options.write(&mut headers);
        }
        ClientRequest {
            body: self.body.clone(),
            headers,
            method: self.method.clone(),
            path: self.path.clone(),
        }
    }

    /// Returns the longest expected wait at which the request enters a sidecar's queue.
    fn max_expected_wait(&self) -> Duration {
        let is_retry = self.is_retry || self.attempts > 0;
        WaitPolicy.max_expected_wait(self.route.objective, self.time_left(), is_retry)
    }

    /// Returns the time in which the request has to start to meet its latency objective.
    fn objective_left(&self) -> Duration {
        WaitPolicy.objective_left(self.route.objective, self.received_at.elapsed())
    }

    /// Returns the longest wait for the head of a response.
    fn response_timeout(&self) -> Duration {
        let time_left = self.time_left();
        let is_last = self.attempts + 1 >= self.route.max_attempts;
        if !self.route.may_repeat() || is_last {
            return time_left;
        }
        match self.route.kind {
            RouteKind::Streaming => {
                time_left.min(WaitPolicy.queue_timeout(time_left) + FIRST_EVENT_TIMEOUT)
            }
            _ => time_left.mul_f64(ATTEMPT_TIME_SHARE),
        }
    }

    /// Ends a request that has no complete response from any target: the caller is told to retry
    /// if nothing has run, otherwise it gets an error.
    async fn finish_unanswered(
        &self,
        exchange: &mut ServerExchange<'_>,
        relay: &ResponseRelay,
        reason: &str,
    ) -> Result<(), HttpFault> {
        let handler = self.handler;
        if self.attempts == 0 && !relay.has_started() {
            let now = handler.view.clock.now();
            let time_left = self.time_left();
            let random = handler.view.random_fraction();
            let after = handler.retry_advice.borrow_mut().record_refusal(now, time_left, random);
            let details = format!(
                "tried={} returning={} held_ms={} version={}",
                self.tried_targets.join(","),
                self.is_retry,
                self.received_at.elapsed().as_millis(),
                handler.view.routes().map_or(0, |routes| routes.version),
            );
            return handler.refuse(exchange, after, reason, &details).await;
        }
        handler.metrics.failed.inc();
        let subject = self.options.request_id.as_deref().unwrap_or_default();
        handler.view.log.record(
            LinePriority::Essential,
            EventKind::RequestConcluded,
            subject,
            || {
                format!(
                    "outcome=failed reason={reason} attempts={} tried={} total_ms={} left_ms={}",
                    self.attempts,
                    self.tried_targets.join(","),
                    self.received_at.elapsed().as_millis(),
                    self.time_left().as_millis(),
                )
            },
        );
        if relay.has_started() {
            return Err(HttpFault::Truncated);
        }
        let is_late = self.time_left().is_zero();
        let status = if is_late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        exchange.respond(status, &HeaderMap::new(), &Bytes::new()).await
    }

    /// Ends a request that is not handed over because of a part of its prompt.
    async fn finish_quarantined(
        &self,
        exchange: &mut ServerExchange<'_>,
        relay: &ResponseRelay,
    ) -> Result<(), HttpFault> {
        const REASON: &str = "quarantined";
        if self.attempts > 0 || relay.has_started() {
            return self.finish_unanswered(exchange, relay, REASON).await;
        }
        let handler = self.handler;
        handler.metrics.quarantined.inc();
        let (part, retry_after) = match self.decide_quarantine() {
            QuarantineDecision::Refuse(part, left) => (Some(part), left),
            QuarantineDecision::Try(part) => (Some(part), TRIAL_RETRY_DELAY),
            QuarantineDecision::Admit => (None, TRIAL_RETRY_DELAY),
        };
        let details = format!(
            "part={} held_ms={}",
            part.map_or_else(|| "unknown".to_owned(), |part| part.to_string()),
            self.received_at.elapsed().as_millis(),
        );
        handler.refuse(exchange, retry_after, REASON, &details).await
    }

    /// Records that the engine may have survived the prompt.
    fn record_survival(&self, choice: &TargetChoice, status: StatusCode) {
        if self.parts.is_empty() || !status.is_success() {
            return;
        }
        let desk = &self.handler.view.quarantine;
        if choice.through_sidecar {
            desk.record_response(&self.parts);
        } else {
            desk.judge_response(choice.address, &self.parts);
        }
    }

    /// Records a complete response.
    fn record_success(&self, target: &str, status: StatusCode, relay: &ResponseRelay) {
        let handler = self.handler;
        handler.metrics.answered.inc();
        let now = handler.view.clock.now();
        handler.retry_advice.borrow_mut().record_admission(now);
        handler.view.with_targets(|targets| {
            if let Some(row) = targets.get_mut(target) {
                row.record_success();
            }
        });
        let subject = self.options.request_id.as_deref().unwrap_or_default();
        let time_to_first = relay.first_sent_at().map(|time| time.duration_since(self.received_at));
        let is_late = time_to_first.is_some_and(|time| time > self.route.objective);
        let priority = if is_late { LinePriority::Essential } else { LinePriority::Routine };
        handler.view.log.record(priority, EventKind::RequestConcluded, subject, || {
            format!(
                "outcome=answered late={is_late} first_ms={} total_ms={} objective_ms={} \
                 status={status} target={target} attempts={} refused_by={} returning={}",
                time_to_first.unwrap_or_default().as_millis(),
                self.received_at.elapsed().as_millis(),
                self.route.objective.as_millis(),
                self.attempts,
                self.tried_targets.len(),
                self.is_retry,
            )
        });
        if let Some(time_to_first) = time_to_first {
            handler.metrics.first_response.observe(time_to_first.as_secs_f64());
        }
    }

    /// Records that the caller has gone away; dropping the attempt's connection cancels it.
    fn record_abandoned(&self) -> AttemptOutcome {
        self.handler.metrics.abandoned.inc();
        AttemptOutcome::Finished
    }

    /// Returns the recorder of this request's failed attempts.
    fn recorder(&self) -> AttemptRecorder<'_> {
        let request = self.options.request_id.as_deref().unwrap_or_default();
        AttemptRecorder { parts: &self.parts, request, view: &self.handler.view }
    }

    /// Returns the time left until the final response is due.
    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Counts a request as in flight at a target until the guard is dropped.
struct InFlightGuard<'a, P> {
    handler: &'a EntryHandler<P>,
    target: String,
}

impl<'a, P> InFlightGuard<'a, P> {
    /// Counts a request that is about to be sent.
    fn begin(handler: &'a EntryHandler<P>, target: &str) -> Self {
        handler.view.with_targets(|targets| targets.begin_request(target));
        Self { handler, target: target.to_owned() }
    }
}

impl<P> Drop for InFlightGuard<'_, P> {
    fn drop(&mut self) {
        self.handler.view.with_targets(|targets| targets.end_request(&self.target));
    }
}
