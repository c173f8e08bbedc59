//! One attempt of a caller's request at one target.

use std::time::Duration;
use std::time::Instant;

use cv_dispatch::QuarantineDecision;
use cv_dispatch::ReservationId;
use cv_dispatch::RouteKind;
use cv_dispatch::TargetChoice;
use cv_dispatch::WaitPolicy;
use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use cv_policy::WorkClass;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;
use http::StatusCode;
use http::response::Parts as ResponseHead;

use crate::AttemptOptions;
use crate::PlatformAdapter;
use crate::QueueOptions;
use crate::SidecarVerdict;
use crate::entry::direct_send::DirectSend;
use crate::entry::in_flight_guard::InFlightGuard;
use crate::entry::request_conclusion::RequestConclusion;
use crate::entry::request_context::RequestContext;
use crate::entry::response_relay::RelayOutcome;
use crate::entry::response_relay::ResponseRelay;
use crate::target_call::HeadWait;
use crate::target_call::TargetCall;
use crate::target_call::TargetFault;
use crate::target_call::breaks_off;

/// Longest time to connect to a target or its sidecar; a new connection takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after the queue timeout within which a stream has to begin, otherwise another target is
/// tried.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest body of a refusal after which the connection is reused, in bytes.
const MAX_REFUSAL_BYTES: usize = 4096;

/// Longest wait for the body of a refusal, which is not needed.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Share of the remaining time that one attempt of an idempotent request may take.
const ATTEMPT_TIME_SHARE: f64 = 0.45;

/// One attempt of a request at one target.
pub(crate) struct TargetAttempt<'c, 'a, P> {
    /// The target.
    pub choice: &'c TargetChoice,
    /// The request.
    pub context: &'c mut RequestContext<'a, P>,
    /// Whether the attempt is the trial of a subject in quarantine.
    pub is_trial: bool,
    /// The reservation by which the target keeps a slot.
    pub reservation: Option<ReservationId>,
}

/// How one attempt ended.
pub(crate) enum AttemptOutcome {
    /// The caller has its response, or has gone away.
    Finished,
    /// The target has not run the request and will not.
    NotRun,
    /// The target takes no further request at the moment.
    RateLimited,
    /// The request or a part of its prompt ends engines; it has not been handed over in this attempt.
    Quarantined,
    /// The target or its sidecar could not be reached.
    Unreachable,
    /// The target has failed on the request, or not responded as agreed; holds the reason.
    Failed(String),
    /// The request may have run without a complete response; holds the reason.
    Interrupted(String),
}

impl<P: PlatformAdapter> TargetAttempt<'_, '_, P> {
    /// Sends the request to one target and relays its response.
    ///
    /// # Errors
    /// Faults of the caller's connection.
    pub async fn send(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        relay: &mut ResponseRelay<'_>,
    ) -> Result<AttemptOutcome, HttpFault> {
        // The request may have waited for a slot since the last decision.
        if !self.passes_quarantine() {
            return Ok(AttemptOutcome::Quarantined);
        }
        let (choice, handler) = (self.choice, self.context.handler);
        let _in_flight = InFlightGuard::begin(handler, &choice.id);
        if !choice.through_sidecar {
            let request = self.context.subject();
            if !(DirectSend { handler, request }).is_permitted(choice).await {
                return Ok(AttemptOutcome::RateLimited);
            }
            if !self.passes_quarantine() {
                return Ok(AttemptOutcome::Quarantined);
            }
            if self.is_trial {
                handler.view.quarantine.begin_trial(&self.context.subjects);
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
            log: &handler.call_log,
            pool: &handler.pool,
            request_id_of: |headers| P::response_metadata(headers).request_id,
        };
        let request = self.build_request(relay);
        handler.metrics.attempts.inc();
        let leaves_zone = handler.view.with_targets(|targets| {
            let row = targets.get(&choice.id);
            row.is_some_and(|row| row.record.zone != handler.identity.zone)
        });
        if leaves_zone {
            handler.metrics.cross_zone.inc();
        }
        self.context.is_handed_over = true;
        let wait = HeadWait::Total(self.response_timeout());
        let id = self.context.options.request_id.as_deref();
        let connect_timeout = CONNECT_TIMEOUT.min(self.context.time_left());
        let sent_at = Instant::now();
        let opened = monoio::select! {
            opened = call.open(&request, id, connect_timeout, wait) => opened,
            () = exchange.closed() => return Ok(self.abandon()),
        };
        let (connection, head) = match opened {
            Ok(opened) => opened,
            Err(TargetFault::NotSent(_)) => {
                self.withdraw_trial();
                return Ok(AttemptOutcome::Unreachable);
            }
            Err(fault) => {
                self.context.attempts += 1;
                if matches!(&fault, TargetFault::Unknown(fault) if breaks_off(fault)) {
                    self.record_response(true);
                }
                return Ok(AttemptOutcome::Interrupted(fault.to_string()));
            }
        };
        let outcome = self.handle_response(exchange, &call, connection, &head, relay).await?;
        let is_served = matches!(outcome, AttemptOutcome::Finished) && head.status.is_success();
        if is_served && !choice.through_sidecar {
            self.context.recorder().record_run(choice, sent_at.elapsed());
        }
        Ok(outcome)
    }

    /// Records that no target has run the request, in case this process began a trial with it.
    fn withdraw_trial(&self) {
        if self.is_trial && !self.choice.through_sidecar {
            self.context.handler.view.quarantine.withdraw_trial(&self.context.subjects);
        }
    }

    /// Returns whether the request may be handed over now. A sidecar decides itself on a trial.
    fn passes_quarantine(&self) -> bool {
        match self.context.decide_quarantine() {
            QuarantineDecision::Admit => true,
            QuarantineDecision::Try(_) => self.is_trial,
            QuarantineDecision::Refuse(..) => self.is_trial && self.choice.through_sidecar,
        }
    }

    /// Handles a response whose head has arrived.
    async fn handle_response(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        call: &TargetCall<'_>,
        connection: ClientConnection,
        head: &ResponseHead,
        relay: &mut ResponseRelay<'_>,
    ) -> Result<AttemptOutcome, HttpFault> {
        let choice = self.choice;
        let marks = P::response_metadata(&head.headers);
        if let Some(limit) = marks.named_limit() {
            self.context.handler.view.with_targets(|targets| {
                if let Some(row) = targets.get_mut(&choice.id) {
                    row.request_limit = limit;
                }
            });
        }
        if let Some(percent) = marks.slowness_percent
            && !choice.through_sidecar
        {
            self.context.recorder().record_slowness(choice, percent);
        }
        let verdict = SidecarVerdict::read(&head.headers);
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        if marks.not_run || is_misdirected || verdict == Some(SidecarVerdict::NotRun) {
            self.withdraw_trial();
            return Ok(self.handle_refusal(call, connection).await);
        }
        if verdict == Some(SidecarVerdict::Quarantined) {
            self.handle_refusal(call, connection).await;
            return Ok(AttemptOutcome::Quarantined);
        }
        self.context.attempts += 1;
        if head.status.is_server_error() {
            self.record_response(true);
        }
        if !marks.is_signed || verdict.is_some() {
            return Ok(AttemptOutcome::Failed(format!("status={} unsigned", head.status)));
        }
        let is_last = self.context.attempts >= self.context.route.max_attempts
            || !self.context.route.may_repeat();
        // Only a stream can go on within the response that the caller has begun to receive.
        let breaks_stream = relay.has_started() && !head.status.is_success();
        if breaks_stream || head.status.is_server_error() && !is_last {
            return Ok(AttemptOutcome::Failed(format!("status={}", head.status)));
        }
        let headers = P::response_headers(&head.headers);
        let time_left = self.context.time_left();
        let may_continue = self.context.route.resumable && !is_last;
        let end = relay
            .relay(exchange, connection, head.status, &headers, time_left, may_continue)
            .await?;
        match end {
            RelayOutcome::Complete(connection) => {
                call.release(*connection);
                if head.status.is_server_error() {
                    self.context.recorder().record_failure(choice, "relayed error");
                } else {
                    self.record_response(false);
                }
                self.conclusion().record_success(&choice.id, head.status, relay);
                self.conclusion().record_survival(choice, head.status);
                Ok(AttemptOutcome::Finished)
            }
            RelayOutcome::CallerGone => Ok(self.abandon()),
            RelayOutcome::Broken(detail) => {
                if !head.status.is_server_error() {
                    self.record_response(true);
                }
                Ok(AttemptOutcome::Interrupted(detail))
            }
            RelayOutcome::Interrupted(detail) => Ok(AttemptOutcome::Interrupted(detail)),
        }
    }

    /// Records a response, whole or a failure of the target, for which its sidecar does not answer.
    fn record_response(&self, is_failure: bool) {
        if !self.choice.through_sidecar {
            self.context.recorder().record_response(self.choice, is_failure);
        }
    }

    /// Handles the response of a target that has not run the request.
    async fn handle_refusal(
        &self,
        call: &TargetCall<'_>,
        mut connection: ClientConnection,
    ) -> AttemptOutcome {
        let choice = self.choice;
        let skipped = connection.skip_response(MAX_REFUSAL_BYTES);
        // The body of a refusal may end with its connection, which the target closes when it likes.
        if monoio::time::timeout(REFUSAL_BODY_TIMEOUT, skipped).await.is_ok_and(|read| read.is_ok())
        {
            call.release(connection);
        }
        self.context.handler.view.log.record(
            LinePriority::Routine,
            EventKind::Refused,
            self.context.subject(),
            || format!("target={} believed_full={}", choice.id, choice.is_full),
        );
        AttemptOutcome::NotRun
    }

    /// Builds the request for one attempt.
    fn build_request(&self, relay: &ResponseRelay<'_>) -> ClientRequest {
        let Self { choice, is_trial, reservation, .. } = *self;
        let attempt = AttemptOptions {
            caller: Some(&self.context.caller),
            deadline: Some(self.context.time_left()),
            expected_target: Some(&choice.id),
            resume_after: relay.resume_after(),
        };
        let mut headers = P::attempt_headers(&self.context.headers, &attempt);
        if choice.through_sidecar {
            let options = QueueOptions {
                class: WorkClass::Online,
                digest: Some(self.context.digest),
                // Without a reservation the request would wait for this one target only.
                wait_budget: reservation
                    .map_or(Duration::ZERO, |_| self.context.max_expected_wait()),
                expected_run: Duration::ZERO,
                keeper: None,
                objective_left: self.context.objective_left(),
                slots: choice.slots,
                queue_timeout: WaitPolicy.queue_timeout(self.context.time_left()),
                reservation,
                share: self.context.share_key(),
                is_trial,
            };
            options.write(&mut headers);
        }
        ClientRequest {
            body: self.context.body.clone(),
            headers,
            method: self.context.method.clone(),
            path: self.context.path.clone(),
        }
    }

    /// Returns the longest wait for the head of a response.
    fn response_timeout(&self) -> Duration {
        let time_left = self.context.time_left();
        let is_last = self.context.attempts + 1 >= self.context.route.max_attempts;
        if !self.context.route.may_repeat() || is_last {
            return time_left;
        }
        match self.context.route.kind {
            RouteKind::Streaming => {
                time_left.min(WaitPolicy.queue_timeout(time_left) + FIRST_EVENT_TIMEOUT)
            }
            _ => time_left.mul_f64(ATTEMPT_TIME_SHARE),
        }
    }

    /// Records that the caller has gone away.
    fn abandon(&self) -> AttemptOutcome {
        self.conclusion().record_abandoned();
        AttemptOutcome::Finished
    }

    /// Returns what ends the request.
    fn conclusion(&self) -> RequestConclusion<'_, '_, P> {
        RequestConclusion { context: self.context }
    }
}
