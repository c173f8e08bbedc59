//! Serves one caller's online request, with up to as many attempts as its route allows.

use std::time::Duration;

use cv_dispatch::PlacementPolicy;
use cv_dispatch::PlacementRequest;
use cv_dispatch::QuarantineDecision;
use cv_dispatch::QuarantineSubject;
use cv_dispatch::RouteRule;
use cv_dispatch::TargetChoice;
use cv_dispatch::TargetState;
use cv_http::HttpFault;
use cv_http::ServerExchange;

use crate::PlatformAdapter;
use crate::entry::entry_handler::EntryHandler;
use crate::entry::placed_reservations::PlacedReservations;
use crate::entry::request_conclusion::RequestConclusion;
use crate::entry::request_context::ReceivedRequest;
use crate::entry::request_context::RequestContext;
use crate::entry::response_relay::ResponseRelay;
use crate::entry::slot_search::ReservationOutcome;
use crate::entry::slot_search::SlotSearch;
use crate::entry::target_attempt::AttemptOutcome;
use crate::entry::target_attempt::TargetAttempt;

/// Targets that may refuse a request before the caller is told to retry later.
const MAX_REFUSALS: usize = 6;

/// Longest wait for whether a target has ended, until the request goes to another one.
const MAX_INVESTIGATION: Duration = Duration::from_millis(50);

/// Times that all of a request's reservations are denied before its caller is told to retry later.
const MAX_DENIED_ROUNDS: u32 = 2;

/// A caller's online request that is being served.
pub(crate) struct OnlineRequest<'a, P> {
    context: RequestContext<'a, P>,
    /// Rounds of reservations that were all denied.
    denied_rounds: u32,
    /// Seed of the choices of targets.
    random: u64,
    /// Targets, and rounds of reservations, that have refused the request.
    refusals: usize,
    /// Name of the service.
    service: String,
}

/// What follows after one step of serving a request.
enum RequestStep {
    /// Another target is tried.
    Continue,
    /// The caller has its response, or has gone away.
    Finished,
    /// The request or a part of its prompt ends engines.
    Quarantined,
    /// The process exits before the request ends.
    Stopping,
    /// No target has a response; holds the reason.
    Unanswered(&'static str),
}

impl<'a, P: PlatformAdapter> OnlineRequest<'a, P> {
    /// Creates the state of an exchange's request, whose body has been read already.
    pub fn new(
        handler: &'a EntryHandler<P>,
        route: &'a RouteRule,
        exchange: &ServerExchange<'_>,
        received: ReceivedRequest,
    ) -> Self {
        let random = handler.view.random_number();
        Self {
            context: RequestContext::new(handler, route, exchange, received),
            denied_rounds: 0,
            random,
            refusals: 0,
            service: route.pick_service(random).unwrap_or_default().to_owned(),
        }
    }

    /// Serves the request.
    ///
    /// # Errors
    /// Faults of the caller's connection; `Truncated` for a stream that cannot be resumed.
    pub async fn run(mut self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let mut relay = ResponseRelay::new(&self.context);
        let gate = self.context.handler.gate.clone();
        let step = monoio::select! {
            step = self.try_targets(exchange, &mut relay) => step?,
            () = gate.exit_near() => RequestStep::Stopping,
        };
        if !relay.has_started() {
            self.context.give_back_credit();
        }
        let conclusion = self.conclusion();
        match step {
            RequestStep::Continue | RequestStep::Finished => Ok(()),
            RequestStep::Quarantined => conclusion.finish_quarantined(exchange, &relay).await,
            RequestStep::Stopping => conclusion.finish_stopping(exchange, &relay).await,
            RequestStep::Unanswered(reason) => {
                conclusion.finish_unanswered(exchange, &relay, reason).await
            }
        }
    }

    /// Sends the request to one target after the other until that ends it.
    async fn try_targets(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        relay: &mut ResponseRelay<'_>,
    ) -> Result<RequestStep, HttpFault> {
        loop {
            let step = self.try_target(exchange, relay).await?;
            if !matches!(step, RequestStep::Continue) {
                return Ok(step);
            }
        }
    }

    /// Chooses a target, waits for a slot if it seems full, and sends the request to it.
    async fn try_target(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        relay: &mut ResponseRelay<'_>,
    ) -> Result<RequestStep, HttpFault> {
        if self.context.time_left().is_zero() {
            return Ok(RequestStep::Unanswered("deadline"));
        }
        if self.context.has_not_run() && !self.context.ends_in_time() {
            return Ok(RequestStep::Stopping);
        }
        let decision = self.context.decide_quarantine();
        let choice = match decision {
            QuarantineDecision::Admit => self.choose_target(),
            QuarantineDecision::Try(subject) => self.choose_for_trial(subject),
            QuarantineDecision::Refuse(..) => None,
        };
        let is_trial = decision != QuarantineDecision::Admit;
        let Some(choice) = choice else {
            if is_trial {
                return Ok(RequestStep::Quarantined);
            }
            return Ok(self.wait_for_rest(exchange).await);
        };
        let must_wait = choice.through_sidecar && (choice.is_full || self.refusals > 0);
        let (choice, reservation) = if is_trial || !must_wait {
            (choice, None)
        } else {
            let context = &mut self.context;
            let (random, service) = (self.random, self.service.as_str());
            match (SlotSearch { context, random, service }).reserve(exchange).await {
                ReservationOutcome::Granted(granted, placed) => (granted, Some(placed)),
                ReservationOutcome::Unavailable => (choice, None),
                ReservationOutcome::CallerGone => return Ok(RequestStep::Finished),
                ReservationOutcome::Denied => return Ok(self.record_denied_round()),
            }
        };
        let reservation = reservation.as_ref().map(PlacedReservations::id);
        let context = &mut self.context;
        let mut attempt = TargetAttempt { choice: &choice, context, is_trial, reservation };
        let outcome = attempt.send(exchange, relay).await?;
        self.context.is_handed_over = matches!(
            outcome,
            AttemptOutcome::Finished | AttemptOutcome::Failed(_) | AttemptOutcome::Interrupted(_)
        );
        Ok(match outcome {
            AttemptOutcome::Finished => RequestStep::Finished,
            AttemptOutcome::RateLimited => RequestStep::Continue,
            AttemptOutcome::Quarantined => RequestStep::Quarantined,
            // Only one target runs the trials.
            AttemptOutcome::NotRun | AttemptOutcome::Unreachable if is_trial => {
                RequestStep::Quarantined
            }
            AttemptOutcome::NotRun => self.record_refusal(choice, reservation.is_some()),
            AttemptOutcome::Unreachable => self.record_unreachable(choice),
            AttemptOutcome::Failed(detail) => {
                self.record_failure(choice, &detail, relay.can_resume())
            }
            AttemptOutcome::Interrupted(detail) => {
                self.investigate(&choice).await;
                self.record_failure(choice, &detail, relay.can_resume())
            }
        })
    }

    /// Records that all reservations of a round were denied.
    fn record_denied_round(&mut self) -> RequestStep {
        self.refusals += 1;
        self.denied_rounds += 1;
        if self.denied_rounds >= MAX_DENIED_ROUNDS {
            return RequestStep::Unanswered("all_busy");
        }
        RequestStep::Continue
    }

    /// Records that a target has refused the request, `was_granted` if it had granted a slot before.
    fn record_refusal(&mut self, choice: TargetChoice, was_granted: bool) -> RequestStep {
        self.refusals += 1;
        self.context.recorder().record_refusal(&choice);
        // A sidecar that had no free slot may still be waited for.
        if !choice.through_sidecar || was_granted {
            self.context.tried_targets.push(choice.id);
        }
        if self.refusals >= MAX_REFUSALS {
            return RequestStep::Unanswered("all_busy");
        }
        RequestStep::Continue
    }

    /// Records that a target or its sidecar could not be reached.
    fn record_unreachable(&mut self, choice: TargetChoice) -> RequestStep {
        self.context.recorder().record_unreachable(&choice);
        // The target may still accept the request directly, without its sidecar.
        if !choice.through_sidecar {
            self.context.tried_targets.push(choice.id);
        }
        RequestStep::Continue
    }

    /// Finds out whether a target without a sidecar has ended, before another one gets the request.
    async fn investigate(&self, choice: &TargetChoice) {
        let view = &self.context.handler.view;
        // A target that leaves ends by itself.
        let is_leaving = view.with_targets(|targets| {
            targets.get(&choice.id).is_some_and(|row| row.record.state == TargetState::Draining)
        });
        if !choice.through_sidecar && !is_leaving {
            let desk = &view.quarantine;
            let verdict = desk.investigate(choice.address, &self.context.subjects);
            let _ = monoio::time::timeout(MAX_INVESTIGATION, verdict).await;
        }
    }

    /// Records that a target failed on the request or broke it off, for the reason in `detail`.
    fn record_failure(
        &mut self,
        choice: TargetChoice,
        detail: &str,
        can_resume: bool,
    ) -> RequestStep {
        let context = &mut self.context;
        context.recorder().record_failure(&choice, detail);
        context.tried_targets.push(choice.id);
        let may_retry = context.route.may_repeat() && can_resume;
        if !may_retry || context.attempts >= context.route.max_attempts {
            return RequestStep::Unanswered("target_failed");
        }
        RequestStep::Continue
    }

    /// Chooses the next target. A request that has failed already has nothing to lose at one that is
    /// held back, if no other is left.
    fn choose_target(&self) -> Option<TargetChoice> {
        let may_fail = self.context.may_fail();
        let choice = self.choose_by_load(may_fail);
        let choice = match choice {
            None if self.context.attempts > 0 => self.choose_by_load(true),
            choice => choice,
        }?;
        let through_sidecar = choice.through_sidecar && self.is_model();
        Some(TargetChoice { through_sidecar, ..choice })
    }

    /// Chooses a target by its expected time; `may_fail` tells whether another attempt is left.
    fn choose_by_load(&self, may_fail: bool) -> Option<TargetChoice> {
        let view = &self.context.handler.view;
        let request = PlacementRequest {
            may_fail,
            seed: self.random,
            service: &self.service,
            tried: &self.context.tried_targets,
            zone: &self.context.handler.identity.zone,
        };
        let now = view.clock.now();
        view.with_targets(|targets| PlacementPolicy.choose(targets, now, &request))
    }

    /// Returns whether the targets of the service are model engines.
    fn is_model(&self) -> bool {
        let routes = self.context.handler.view.routes();
        routes.is_some_and(|routes| routes.service(&self.service).is_some_and(|rule| rule.is_model))
    }

    /// Chooses the target that runs the trial of a subject in quarantine. Services without sidecars
    /// get it from the entry to which the request comes first when it is due.
    fn choose_for_trial(&self, subject: QuarantineSubject) -> Option<TargetChoice> {
        if subject.is_request() && !self.is_model() {
            return self.choose_target();
        }
        let view = &self.context.handler.view;
        let now = view.clock.now();
        view.with_targets(|targets| {
            let turn = view.quarantine.trial_turn(subject);
            PlacementPolicy.choose_for_trial(targets, now, &self.service, subject, turn)
        })
    }

    /// Waits until a target that rests because of its limit takes the next request, if that is soon.
    async fn wait_for_rest(&self, exchange: &mut ServerExchange<'_>) -> RequestStep {
        let view = &self.context.handler.view;
        let now = view.clock.now();
        let rest = view.with_targets(|targets| targets.shortest_rest(&self.service, now));
        let max_rest = self.context.objective_left().min(self.context.time_left());
        match rest.filter(|rest| *rest <= max_rest) {
            None => RequestStep::Unanswered("no_target"),
            Some(rest) => monoio::select! {
                () = monoio::time::sleep(rest) => RequestStep::Continue,
                () = exchange.closed() => {
                    self.conclusion().record_abandoned();
                    RequestStep::Finished
                }
            },
        }
    }

    /// Returns what ends the request.
    fn conclusion(&self) -> RequestConclusion<'_, 'a, P> {
        RequestConclusion { context: &self.context }
    }
}
