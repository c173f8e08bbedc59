//! The state machine of one online request: attempts, retries and the final outcome.

use std::time::Duration;

use crate::ExecutionState;
use crate::NotRunProof;
use crate::RefusalReason;
use crate::RunOutcome;
use crate::TargetId;

/// Retry limits of one request.
#[derive(Clone, Copy, Debug)]
pub struct FlowSettings {
    /// Maximum number of attempts, the first included.
    pub max_attempts: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether an interrupted response can be continued after the part already relayed.
    pub resumable: bool,
}

/// Input of a [`RequestFlow`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowEvent {
    /// Routing picked a target, or found none.
    Routed(Option<TargetId>),
    /// The connection to the target failed before any byte was sent.
    ConnectFailed,
    /// The sidecar refused the request; a retry may succeed after the given time.
    Refused(RefusalReason, Option<Duration>),
    /// The connection was lost after the request was sent and before any of the response was
    /// relayed.
    LostBeforeResponse,
    /// The connection was lost after part of the response was relayed to the caller.
    LostDuringResponse,
    /// The sidecar reported the execution state of the request.
    Resolved(ExecutionState),
    /// The sidecar is unreachable, or has restarted and lost its execution log.
    Unresolved,
    /// The target reported that the request ran and failed, before any of the response was relayed.
    TargetFailed,
    /// The whole response was relayed.
    Completed,
    /// The deadline has passed.
    DeadlinePassed,
    /// Whether the retry budget allows the retry.
    RetryGranted(bool),
}

/// Output of a [`RequestFlow`]: the next action.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowCommand {
    /// Pick a target.
    Route,
    /// Send the request to the target.
    Send(TargetId),
    /// Query the request's execution state at the target's sidecar, which voids it if it has not
    /// started.
    Resolve(TargetId),
    /// Spend retry budget; the reply is [`FlowEvent::RetryGranted`].
    CheckRetryBudget,
    /// Continue the response on another target, after the part already relayed.
    Resume,
    /// Report the outcome to the caller.
    Conclude(RunOutcome),
    /// Close the caller's connection: part of the response was relayed and the rest is lost.
    CutOff,
}

/// State of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FlowStage {
    Routing,
    Sent(TargetId),
    Resolving(TargetId),
    /// `resume` is set if part of the response was relayed.
    AwaitingGrant {
        last: RunOutcome,
        resume: bool,
    },
    Done,
}

/// The state machine of one request.
#[derive(Clone, Debug)]
pub struct RequestFlow {
    attempts: u32,
    excluded: Vec<TargetId>,
    /// Combined outcome of the attempts so far: `Unknown` once one of them may have run, else
    /// `Failed` once one failed, else that of the latest.
    outcome: Option<RunOutcome>,
    /// Whether part of the response was relayed to the caller.
    relayed: bool,
    settings: FlowSettings,
    stage: FlowStage,
}

impl RequestFlow {
    /// Creates the flow of a newly admitted request. The first event has to be
    /// [`FlowEvent::Routed`].
    #[must_use]
    pub fn new(settings: FlowSettings) -> Self {
        Self {
            attempts: 0,
            excluded: Vec::new(),
            outcome: None,
            relayed: false,
            settings,
            stage: FlowStage::Routing,
        }
    }

    /// Returns the targets of failed attempts, which must not be picked again.
    #[must_use]
    pub fn excluded(&self) -> &[TargetId] {
        &self.excluded
    }

    /// Returns the number of attempts sent.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Processes an event and returns the next action.
    pub fn handle(&mut self, event: FlowEvent) -> FlowCommand {
        match (self.stage, event) {
            (FlowStage::Routing, FlowEvent::Routed(Some(target))) => self.send(target),
            (FlowStage::Routing, FlowEvent::Routed(None)) => self.finish_without_target(),
            (FlowStage::Routing, FlowEvent::DeadlinePassed) => {
                let proof = NotRunProof::never_sent(RefusalReason::DeadlinePassed);
                self.finish(RunOutcome::NotRun(proof))
            }
            (FlowStage::Sent(target), event) => self.handle_sent(target, event),
            (FlowStage::Resolving(_), event) => self.handle_resolving(event),
            (FlowStage::AwaitingGrant { resume, .. }, FlowEvent::RetryGranted(true)) => {
                self.stage = FlowStage::Routing;
                if resume { FlowCommand::Resume } else { FlowCommand::Route }
            }
            (FlowStage::AwaitingGrant { last, .. }, _) => self.finish(last),
            // A late event of an earlier stage does not change the outcome.
            (FlowStage::Routing | FlowStage::Done, _) => self.report_outcome(),
        }
    }

    /// Starts an attempt.
    fn send(&mut self, target: TargetId) -> FlowCommand {
        self.attempts += 1;
        self.stage = FlowStage::Sent(target);
        FlowCommand::Send(target)
    }

    /// Ends a request for which no target is left.
    fn finish_without_target(&mut self) -> FlowCommand {
        // The outcome of an earlier attempt is more specific than a missing target.
        if self.outcome.is_some() {
            return self.report_outcome();
        }
        let outcome = RunOutcome::NotRun(NotRunProof::never_sent(RefusalReason::NoTarget));
        self.finish(outcome)
    }

    /// Processes an event of an attempt that was sent.
    fn handle_sent(&mut self, target: TargetId, event: FlowEvent) -> FlowCommand {
        match event {
            FlowEvent::Completed => self.finish(RunOutcome::Completed),
            FlowEvent::ConnectFailed => {
                let proof = NotRunProof::never_sent(RefusalReason::TargetDown);
                self.consider_retry(target, RunOutcome::NotRun(proof))
            }
            FlowEvent::Refused(reason, after) => {
                let proof = NotRunProof::refused_by_sidecar(reason, after);
                if reason.is_local_to_target() {
                    self.consider_retry(target, RunOutcome::NotRun(proof))
                } else {
                    self.finish(RunOutcome::NotRun(proof))
                }
            }
            FlowEvent::TargetFailed => self.consider_retry(target, RunOutcome::Failed),
            FlowEvent::LostBeforeResponse if self.settings.repeatable => {
                self.consider_retry(target, RunOutcome::Unknown)
            }
            FlowEvent::LostBeforeResponse => {
                self.stage = FlowStage::Resolving(target);
                FlowCommand::Resolve(target)
            }
            FlowEvent::LostDuringResponse => {
                self.relayed = true;
                self.consider_retry(target, RunOutcome::Unknown)
            }
            // The target may still be running the request.
            FlowEvent::DeadlinePassed
            | FlowEvent::Routed(_)
            | FlowEvent::Resolved(_)
            | FlowEvent::Unresolved
            | FlowEvent::RetryGranted(_) => self.finish(RunOutcome::Unknown),
        }
    }

    /// Processes the execution state of an attempt whose connection was lost.
    fn handle_resolving(&mut self, event: FlowEvent) -> FlowCommand {
        let FlowStage::Resolving(target) = self.stage else {
            return self.report_outcome();
        };
        let outcome = match event {
            FlowEvent::Resolved(ExecutionState::Failed) => RunOutcome::Failed,
            FlowEvent::Resolved(state) => NotRunProof::from_execution_state(state)
                .map_or(RunOutcome::Unknown, RunOutcome::NotRun),
            _ => RunOutcome::Unknown,
        };
        self.consider_retry(target, outcome)
    }

    /// Asks for retry budget if the outcome of an attempt permits a retry, else ends the request.
    fn consider_retry(&mut self, target: TargetId, outcome: RunOutcome) -> FlowCommand {
        self.merge_outcome(outcome);
        self.excluded.push(target);
        let resume = self.relayed;
        let can_retry = if resume {
            self.settings.repeatable && self.settings.resumable
        } else {
            outcome.permits_retry(self.settings.repeatable)
        };
        if !can_retry || self.attempts >= self.settings.max_attempts {
            return self.finish(outcome);
        }
        self.stage = FlowStage::AwaitingGrant { last: outcome, resume };
        FlowCommand::CheckRetryBudget
    }

    /// Merges the outcome of an attempt into the combined one.
    fn merge_outcome(&mut self, outcome: RunOutcome) {
        self.outcome = Some(match (self.outcome, outcome) {
            (Some(RunOutcome::Unknown), _) | (_, RunOutcome::Unknown) => RunOutcome::Unknown,
            (Some(RunOutcome::Failed), _) | (_, RunOutcome::Failed) => RunOutcome::Failed,
            (_, latest) => latest,
        });
    }

    /// Ends the request with the combined outcome of all attempts.
    fn finish(&mut self, last: RunOutcome) -> FlowCommand {
        self.stage = FlowStage::Done;
        if last == RunOutcome::Completed {
            return FlowCommand::Conclude(last);
        }
        self.merge_outcome(last);
        self.report_outcome()
    }

    /// Reports the combined outcome, or closes the connection if part of the response was relayed.
    fn report_outcome(&mut self) -> FlowCommand {
        self.stage = FlowStage::Done;
        if self.relayed {
            return FlowCommand::CutOff;
        }
        FlowCommand::Conclude(self.outcome.unwrap_or(RunOutcome::Unknown))
    }
}
