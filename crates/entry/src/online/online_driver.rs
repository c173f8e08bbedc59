//! Execution of the decisions of a request's flow.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cv_control::call_context;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use cv_policy::ExecutionState;
use cv_policy::RunOutcome;
use cv_policy::TargetId;
use cv_policy::WorkClass;
use cv_policy::flow::FlowCommand;
use cv_policy::flow::FlowEvent;
use cv_policy::flow::FlowSettings;
use cv_policy::flow::RequestFlow;
use cv_policy::routing::RouteRequest;
use cv_policy::stable_hash;
use cv_timeline::EventKind;
use http::StatusCode;

use super::EventParser;
use super::GeneratedText;
use super::OnlineRequest;
use super::continuation_body;
use super::key_claim::KeyClaim;
use super::target_attempt::AttemptResult;
use super::target_attempt::TargetAttempt;
use crate::caller_response::CallerError;
use crate::entry_state::EntryState;

/// Timeout of a call that resolves an attempt.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of calls to resolve an attempt.
const RESOLVE_ATTEMPTS: u32 = 3;

/// Maximum delay before a retry; the actual one is random.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Drives one request from admission to its final response.
pub(crate) struct OnlineDriver<'a> {
    /// The claim on the request's key, if the caller may retry with the same key.
    claim: Option<KeyClaim>,
    flow: RequestFlow,
    /// Incarnation of the sidecar of the current attempt.
    incarnation: u64,
    request: &'a OnlineRequest,
    parser: EventParser,
    state: &'a Rc<EntryState>,
}

impl<'a> OnlineDriver<'a> {
    /// Creates the driver of a request.
    pub fn new(state: &'a Rc<EntryState>, request: &'a OnlineRequest) -> Self {
        let flow = RequestFlow::new(FlowSettings {
            max_attempts: request.policy.request_attempts,
            repeatable: request.policy.repeatable,
            resumable: request.is_resumable(),
        });
        let claim = request.strict_affinity.then(|| {
            let id = state.random.borrow_mut().number();
            KeyClaim { id, key: request.key() }
        });
        Self { claim, flow, incarnation: 0, request, parser: EventParser::default(), state }
    }

    /// Drives the request until a response is sent or the caller is gone.
    pub async fn run(mut self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        self.record(EventKind::RequestReceived, || format!("service={}", self.request.service));
        if let Some(claim) = self.claim
            && !claim.acquire(self.state).await
        {
            let run = self.first_outcome(claim).await;
            return self.reject_duplicate(exchange, run).await;
        }
        let mut command = FlowCommand::Route;
        loop {
            let event = match command {
                FlowCommand::Route | FlowCommand::Resume if self.request.time_left().is_zero() => {
                    FlowEvent::DeadlinePassed
                }
                FlowCommand::Route => FlowEvent::Routed(self.choose_target()),
                FlowCommand::Resume => {
                    self.state.metrics.resumes.inc();
                    FlowEvent::Routed(self.choose_target())
                }
                FlowCommand::Send(target) => match self.attempt(exchange, target).await {
                    AttemptResult::Event(event) => event,
                    AttemptResult::CallerGone => return self.conclude_abandoned().await,
                    AttemptResult::Duplicate(run) => {
                        return self.reject_duplicate(exchange, &run).await;
                    }
                },
                FlowCommand::Resolve(target) => self.resolve(target).await,
                FlowCommand::CheckRetryBudget => self.check_retry_budget().await,
                FlowCommand::Conclude(outcome) => return self.conclude(exchange, outcome).await,
                FlowCommand::CutOff => return self.conclude_cut_off(),
            };
            command = self.flow.handle(event);
        }
    }

    /// Chooses a target for the next attempt.
    fn choose_target(&self) -> Option<TargetId> {
        let request = RouteRequest {
            affinity: self.request.affinity,
            strict_affinity: self.request.strict_affinity,
            class: WorkClass::Online,
            excluded: self.flow.excluded(),
            service: stable_hash(&[&self.request.service]),
        };
        let now = self.state.clock.now();
        self.state.router.borrow_mut().choose(now, &self.state.targets.borrow(), &request)
    }

    /// Makes one attempt at a target.
    async fn attempt(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        target: TargetId,
    ) -> AttemptResult {
        let Some(body) = self.remaining_body() else {
            // All tokens were forwarded and only the end of the stream is missing.
            return self.finish_forwarded(exchange).await;
        };
        self.incarnation = self.state.targets.borrow().get(target).map_or(0, |row| row.incarnation);
        self.record(EventKind::AttemptSent, || {
            let table = self.state.targets.borrow();
            let name = table.get(target).map_or("", |row| row.name.as_str());
            format!("attempt={} target={name}", self.flow.attempts())
        });
        let attempt = TargetAttempt {
            body,
            number: self.flow.attempts(),
            request: self.request,
            state: self.state,
            target,
        };
        attempt.run(exchange, &mut self.parser).await
    }

    /// Returns the request body for the rest of the response; `None` if all tokens were forwarded.
    fn remaining_body(&self) -> Option<Bytes> {
        let generated = match self.parser.history() {
            Some(events) if !events.is_empty() => GeneratedText::parse(events),
            _ => return Some(self.request.body.clone()),
        };
        continuation_body(&self.request.body, &generated.text, generated.tokens)
    }

    /// Ends a stream that was interrupted after all of its tokens were forwarded.
    async fn finish_forwarded(&self, exchange: &mut ServerExchange<'_>) -> AttemptResult {
        let last = Bytes::from_static(b"data: [DONE]\n\n");
        if exchange.send_piece(&last).await.is_ok() && exchange.finish_stream().await.is_ok() {
            AttemptResult::Event(FlowEvent::Completed)
        } else {
            AttemptResult::CallerGone
        }
    }

    /// Resolves an attempt at its sidecar, which voids the attempt if it has not started.
    async fn resolve(&self, target: TargetId) -> FlowEvent {
        let Some(address) = self.state.targets.borrow().get(target).map(|row| row.control) else {
            return FlowEvent::Unresolved;
        };
        let key = self.request.key();
        for _ in 0..RESOLVE_ATTEMPTS {
            let Ok(client) = self.state.sidecars.client(address).await else {
                continue;
            };
            let (metadata, attempt) = (self.state.call_metadata(), self.flow.attempts());
            let response =
                client.resolve(call_context(RESOLVE_TIMEOUT), metadata, key, attempt).await;
            match response {
                // A sidecar that restarted since then has no record of the attempt.
                Ok(Some(response)) if response.incarnation == self.incarnation => {
                    return FlowEvent::Resolved(response.state);
                }
                Ok(_) => return FlowEvent::Unresolved,
                Err(_) => self.state.sidecars.forget(address),
            }
        }
        FlowEvent::Unresolved
    }

    /// Spends from the retry budget and, if it grants the retry, waits for a random delay.
    async fn check_retry_budget(&self) -> FlowEvent {
        let granted = self.state.retry_budget.borrow_mut().try_spend();
        if granted {
            let random_fraction = self.state.random.borrow_mut().fraction();
            monoio::time::sleep(MAX_RETRY_DELAY.mul_f64(random_fraction)).await;
        }
        FlowEvent::RetryGranted(granted)
    }

    /// Returns the outcome of the first request with this key, from the sidecar of its target.
    async fn first_outcome(&self, claim: KeyClaim) -> &'static str {
        let target = self.choose_target();
        let control = target
            .and_then(|target| self.state.targets.borrow().get(target).map(|row| row.control));
        let Some(control) = control else { return "unknown" };
        let Ok(client) = self.state.sidecars.client(control).await else { return "unknown" };
        let context = call_context(RESOLVE_TIMEOUT);
        match client.peek(context, self.state.call_metadata(), claim.key).await {
            Ok(Some(ExecutionState::Completed)) => "completed",
            Ok(Some(ExecutionState::Failed)) => "failed",
            _ => "unknown",
        }
    }

    /// Records the outcome and responds with an error if it is not a success.
    async fn conclude(
        &self,
        exchange: &mut ServerExchange<'_>,
        outcome: RunOutcome,
    ) -> Result<(), HttpFault> {
        let reason = match outcome {
            RunOutcome::NotRun(proof) => proof.reason().as_str(),
            _ => "",
        };
        self.state.metrics.outcomes.with_label_values(&[outcome.as_str(), reason]).inc();
        self.record(EventKind::RequestConcluded, || {
            format!("outcome={} reason={reason}", outcome.as_str())
        });
        if outcome == RunOutcome::Completed {
            self.state.retry_budget.borrow_mut().record_success();
            return Ok(());
        }
        if let (RunOutcome::NotRun(_), Some(claim)) = (outcome, self.claim) {
            claim.release(self.state).await;
        }
        let deadline_passed = self.request.time_left().is_zero();
        let error = CallerError::from_outcome(outcome, &self.request.request_id, deadline_passed);
        error.respond(exchange).await
    }

    /// Rejects the request as a duplicate, reporting the outcome of the first one.
    async fn reject_duplicate(
        &self,
        exchange: &mut ServerExchange<'_>,
        run: &str,
    ) -> Result<(), HttpFault> {
        self.state.metrics.outcomes.with_label_values(&["duplicate", ""]).inc();
        self.record(EventKind::RequestConcluded, || "outcome=duplicate".to_owned());
        let run = match run {
            "completed" => "completed",
            "failed" => "failed",
            _ => "unknown",
        };
        let error = CallerError {
            message: "A request with this key was received before and is not run again.".to_owned(),
            reason: "duplicate",
            request_id: self.request.request_id.clone(),
            retry_after: None,
            run,
            status: StatusCode::CONFLICT,
        };
        error.respond(exchange).await
    }

    /// Records that the caller has closed its connection.
    async fn conclude_abandoned(&self) -> Result<(), HttpFault> {
        if let Some(claim) = self.claim.filter(|_| self.flow.attempts() == 0) {
            claim.release(self.state).await;
        }
        self.state.metrics.outcomes.with_label_values(&["abandoned", ""]).inc();
        self.record(EventKind::RequestConcluded, || "outcome=abandoned".to_owned());
        Err(HttpFault::Closed)
    }

    /// Closes the caller's connection, which signals that the response is incomplete.
    fn conclude_cut_off(&self) -> Result<(), HttpFault> {
        self.state.metrics.outcomes.with_label_values(&["cut_off", ""]).inc();
        self.record(EventKind::RequestConcluded, || "outcome=cut_off".to_owned());
        Err(HttpFault::Truncated)
    }

    /// Records an event of the request, if events are enabled.
    fn record(&self, kind: EventKind, detail: impl FnOnce() -> String) {
        if self.state.events.is_enabled() {
            self.state.events.record(kind, &self.request.request_id, detail());
        }
    }
}
