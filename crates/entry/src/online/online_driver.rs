//! Carries out what the flow of a request decides.

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
use super::target_attempt::AttemptEnd;
use super::target_attempt::TargetAttempt;
use crate::caller_response::CallerError;
use crate::entry_state::EntryState;

/// Longest time to ask a sidecar what became of a request.
const RESOLVE_PATIENCE: Duration = Duration::from_secs(1);

/// Tries to ask a sidecar.
const RESOLVE_TRIES: u32 = 3;

/// Longest pause before a retry; the actual one is drawn below it.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Drives one request from admission to its last word.
pub(crate) struct OnlineDriver<'a> {
    /// The claim of a key by which the caller may send the request again.
    claim: Option<KeyClaim>,
    flow: RequestFlow,
    incarnation: u64,
    request: &'a OnlineRequest,
    parser: EventParser,
    state: &'a Rc<EntryState>,
}

impl<'a> OnlineDriver<'a> {
    /// Creates the driver of a request.
    pub fn new(state: &'a Rc<EntryState>, request: &'a OnlineRequest) -> Self {
        let flow = RequestFlow::new(FlowSettings {
            max_attempts: request.rules.request_attempts,
            repeatable: request.rules.repeatable,
            resumable: request.is_resumable(),
        });
        let claim = request.binding.then(|| {
            let claim = state.random.borrow_mut().number();
            KeyClaim { claim, key: request.key() }
        });
        Self { claim, flow, incarnation: 0, request, parser: EventParser::default(), state }
    }

    /// Drives the request to its end.
    pub async fn run(mut self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        self.record(EventKind::RequestReceived, || format!("service={}", self.request.service));
        if let Some(claim) = self.claim
            && !claim.acquire(self.state).await
        {
            let run = self.first_outcome(claim).await;
            return self.duplicate(exchange, run).await;
        }
        let mut command = FlowCommand::Route;
        loop {
            let event = match command {
                FlowCommand::Route | FlowCommand::Resume if self.request.time_left().is_zero() => {
                    FlowEvent::DeadlinePassed
                }
                FlowCommand::Route => FlowEvent::Routed(self.choose()),
                FlowCommand::Resume => {
                    self.state.metrics.resumes.inc();
                    FlowEvent::Routed(self.choose())
                }
                FlowCommand::Send(target) => match self.attempt(exchange, target).await {
                    AttemptEnd::Event(event) => event,
                    AttemptEnd::CallerGone => return self.abandon().await,
                    AttemptEnd::Duplicate(run) => return self.duplicate(exchange, &run).await,
                },
                FlowCommand::Resolve(target) => self.resolve(target).await,
                FlowCommand::CheckRetryBudget => self.ask_retry().await,
                FlowCommand::Conclude(outcome) => return self.conclude(exchange, outcome).await,
                FlowCommand::CutOff => return self.cut_off(),
            };
            command = self.flow.handle(event);
        }
    }

    /// Picks a target.
    fn choose(&self) -> Option<TargetId> {
        let request = RouteRequest {
            affinity: self.request.affinity,
            strict_affinity: self.request.binding,
            class: WorkClass::Online,
            excluded: self.flow.excluded(),
            service: stable_hash(&[&self.request.service]),
        };
        let now = self.state.clock.now();
        self.state.router.borrow_mut().choose(now, &self.state.targets.borrow(), &request)
    }

    /// Makes one attempt.
    async fn attempt(&mut self, exchange: &mut ServerExchange<'_>, target: TargetId) -> AttemptEnd {
        let Some(body) = self.remaining_body() else {
            // All tokens were relayed and only the end of the stream is missing.
            return self.finish_relayed(exchange).await;
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

    /// Returns the body that leads to the rest of the answer.
    fn remaining_body(&self) -> Option<Bytes> {
        let generated = match self.parser.kept() {
            Some(events) if !events.is_empty() => GeneratedText::parse(events),
            _ => return Some(self.request.body.clone()),
        };
        continuation_body(&self.request.body, &generated.text, generated.tokens)
    }

    /// Ends a stream whose tokens were all relayed before it was cut.
    async fn finish_relayed(&self, exchange: &mut ServerExchange<'_>) -> AttemptEnd {
        let last = Bytes::from_static(b"data: [DONE]\n\n");
        if exchange.send_piece(&last).await.is_ok() && exchange.finish_stream().await.is_ok() {
            AttemptEnd::Event(FlowEvent::Completed)
        } else {
            AttemptEnd::CallerGone
        }
    }

    /// Asks a sidecar what became of an attempt, and voids it where it has not started.
    async fn resolve(&self, target: TargetId) -> FlowEvent {
        let Some(address) = self.state.targets.borrow().get(target).map(|row| row.control) else {
            return FlowEvent::Unresolved;
        };
        let key = self.request.key();
        for _ in 0..RESOLVE_TRIES {
            let Ok(client) = self.state.sidecars.client(address).await else {
                continue;
            };
            let (stamp, attempt) = (self.state.call_metadata(), self.flow.attempts());
            let answer = client.resolve(call_context(RESOLVE_PATIENCE), stamp, key, attempt).await;
            match answer {
                // A sidecar that has restarted since knows nothing of the attempt.
                Ok(Some(answer)) if answer.incarnation == self.incarnation => {
                    return FlowEvent::Resolved(answer.state);
                }
                Ok(_) => return FlowEvent::Unresolved,
                Err(_) => self.state.sidecars.forget(address),
            }
        }
        FlowEvent::Unresolved
    }

    /// Asks the retry budget, and pauses for a moment where it grants a retry.
    async fn ask_retry(&self) -> FlowEvent {
        let granted = self.state.retry_budget.borrow_mut().try_spend();
        if granted {
            let share = self.state.random.borrow_mut().fraction();
            monoio::time::sleep(RETRY_PAUSE.mul_f64(share)).await;
        }
        FlowEvent::RetryGranted(granted)
    }

    /// Asks the sidecar that the key is bound to what became of the first request.
    async fn first_outcome(&self, claim: KeyClaim) -> &'static str {
        let target = self.choose();
        let control = target
            .and_then(|target| self.state.targets.borrow().get(target).map(|row| row.control));
        let Some(control) = control else { return "unknown" };
        let Ok(client) = self.state.sidecars.client(control).await else { return "unknown" };
        let context = call_context(RESOLVE_PATIENCE);
        match client.peek(context, self.state.call_metadata(), claim.key).await {
            Ok(Some(ExecutionState::Completed)) => "completed",
            Ok(Some(ExecutionState::Failed)) => "failed",
            _ => "unknown",
        }
    }

    /// Tells the caller the outcome.
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
        let late = self.request.time_left().is_zero();
        let error = CallerError::of_outcome(outcome, &self.request.request_id, late);
        error.respond(exchange).await
    }

    /// Tells the caller that this request was seen before.
    async fn duplicate(
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

    /// Ends a request whose caller has gone away.
    async fn abandon(&self) -> Result<(), HttpFault> {
        if let Some(claim) = self.claim.filter(|_| self.flow.attempts() == 0) {
            claim.release(self.state).await;
        }
        self.state.metrics.outcomes.with_label_values(&["abandoned", ""]).inc();
        self.record(EventKind::RequestConcluded, || "outcome=abandoned".to_owned());
        Err(HttpFault::Closed)
    }

    /// Cuts the caller's connection, which shows that the answer is not whole.
    fn cut_off(&self) -> Result<(), HttpFault> {
        self.state.metrics.outcomes.with_label_values(&["cut_off", ""]).inc();
        self.record(EventKind::RequestConcluded, || "outcome=cut_off".to_owned());
        Err(HttpFault::Truncated)
    }

    /// Records an event about the request.
    fn record(&self, kind: EventKind, detail: impl FnOnce() -> String) {
        if self.state.events.is_enabled() {
            self.state.events.record(kind, &self.request.request_id, detail());
        }
    }
}
