//! Decides on attempts, retries and the final word about one request.

use std::time::Duration;

use crate::ExecutionState;
use crate::NotRunProof;
use crate::RefusalReason;
use crate::RunOutcome;
use crate::TargetId;

/// What a request allows.
#[derive(Clone, Copy, Debug)]
pub struct FlowSettings {
    /// Attempts in all.
    pub max_attempts: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether a cut answer can be continued from what has been relayed.
    pub resumable: bool,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowEvent {
    /// Routing found a target, or none.
    Routed(Option<TargetId>),
    /// No connection to the target could be made, so no byte was sent.
    ConnectFailed,
    /// The sidecar refused the request.
    Refused(RefusalReason, Option<Duration>),
    /// The connection ended after the request was sent and before any of the answer was relayed.
    LostBeforeResponse,
    /// The connection ended inside an answer that the caller has seen a part of.
    LostDuringResponse,
    /// The sidecar told what became of the request.
    Resolved(ExecutionState),
    /// The sidecar could not be asked, or has restarted and does not know.
    Unresolved,
    /// The target reported that the request ran and failed, before any of the answer was relayed.
    TargetFailed,
    /// The whole answer was relayed.
    Completed,
    /// The deadline has passed.
    DeadlinePassed,
    /// The retry budget answered a request for a retry.
    RetryGranted(bool),
}

/// What a request needs next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowCommand {
    /// Pick a target.
    Route,
    /// Send the request to the target.
    Send(TargetId),
    /// Ask the target's sidecar what became of the request, and void it where it has not started.
    Resolve(TargetId),
    /// Ask the retry budget.
    CheckRetryBudget,
    /// Continue the answer elsewhere from the part that has been relayed.
    Resume,
    /// Tell the caller.
    Conclude(RunOutcome),
    /// Cut the caller's connection: part of the answer was relayed and the rest is lost.
    CutOff,
}

/// How far a request has got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FlowStage {
    Routing,
    Sent(TargetId),
    Resolving(TargetId),
    AwaitingGrant { last: RunOutcome, inside: bool },
    Done,
}

/// The state machine of one request.
#[derive(Clone, Debug)]
pub struct RequestFlow {
    attempts: u32,
    excluded: Vec<TargetId>,
    /// What is known of the attempts so far; `Unknown` once one of them may have run.
    known: Option<RunOutcome>,
    /// Whether the caller has seen a part of the answer.
    relayed: bool,
    settings: FlowSettings,
    stage: FlowStage,
}

impl RequestFlow {
    /// Creates the flow of a request that has just been admitted; route it first.
    #[must_use]
    pub fn new(settings: FlowSettings) -> Self {
        Self {
            attempts: 0,
            excluded: Vec::new(),
            known: None,
            relayed: false,
            settings,
            stage: FlowStage::Routing,
        }
    }

    /// Returns the targets that shall not get the request again.
    #[must_use]
    pub fn excluded(&self) -> &[TargetId] {
        &self.excluded
    }

    /// Returns the number of attempts that were sent.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Takes one event and returns what comes next.
    pub fn handle(&mut self, event: FlowEvent) -> FlowCommand {
        match (self.stage, event) {
            (FlowStage::Routing, FlowEvent::Routed(Some(target))) => self.send(target),
            (FlowStage::Routing, FlowEvent::Routed(None)) => self.conclude_unroutable(),
            (FlowStage::Routing, FlowEvent::DeadlinePassed) => {
                let late = NotRunProof::never_sent(RefusalReason::DeadlinePassed);
                self.finish(RunOutcome::NotRun(late))
            }
            (FlowStage::Sent(target), event) => self.handle_sent(target, event),
            (FlowStage::Resolving(_), event) => self.handle_resolving(event),
            (FlowStage::AwaitingGrant { inside, .. }, FlowEvent::RetryGranted(true)) => {
                self.stage = FlowStage::Routing;
                if inside { FlowCommand::Resume } else { FlowCommand::Route }
            }
            (FlowStage::AwaitingGrant { last, .. }, _) => self.finish(last),
            // Events that belong to an earlier stage change nothing that was told.
            (FlowStage::Routing | FlowStage::Done, _) => self.finish_now(),
        }
    }

    /// Sends an attempt.
    fn send(&mut self, target: TargetId) -> FlowCommand {
        self.attempts += 1;
        self.stage = FlowStage::Sent(target);
        FlowCommand::Send(target)
    }

    /// Ends a request for which there is no target.
    fn conclude_unroutable(&mut self) -> FlowCommand {
        // What an earlier attempt was told says more than that there is no further target.
        if self.known.is_some() {
            return self.finish_now();
        }
        let none = RunOutcome::NotRun(NotRunProof::never_sent(RefusalReason::NoTarget));
        self.finish(none)
    }

    /// Handles an event of an attempt that was sent.
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
            // The target may still be running it, so nothing better than this is known.
            FlowEvent::DeadlinePassed
            | FlowEvent::Routed(_)
            | FlowEvent::Resolved(_)
            | FlowEvent::Unresolved
            | FlowEvent::RetryGranted(_) => self.finish(RunOutcome::Unknown),
        }
    }

    /// Handles the answer to a question about an attempt that was lost.
    fn handle_resolving(&mut self, event: FlowEvent) -> FlowCommand {
        let FlowStage::Resolving(target) = self.stage else {
            return self.finish_now();
        };
        let outcome = match event {
            FlowEvent::Resolved(ExecutionState::Failed) => RunOutcome::Failed,
            FlowEvent::Resolved(state) => NotRunProof::from_execution_state(state)
                .map_or(RunOutcome::Unknown, RunOutcome::NotRun),
            _ => RunOutcome::Unknown,
        };
        self.consider_retry(target, outcome)
    }

    /// Asks for a retry if the outcome of an attempt permits one.
    fn consider_retry(&mut self, target: TargetId, outcome: RunOutcome) -> FlowCommand {
        self.note(outcome);
        self.excluded.push(target);
        let inside = self.relayed;
        let possible = if inside {
            self.settings.repeatable && self.settings.resumable
        } else {
            outcome.permits_retry(self.settings.repeatable)
        };
        if !possible || self.attempts >= self.settings.max_attempts {
            return self.finish(outcome);
        }
        self.stage = FlowStage::AwaitingGrant { last: outcome, inside };
        FlowCommand::CheckRetryBudget
    }

    /// Remembers the worst that is known of any attempt.
    fn note(&mut self, outcome: RunOutcome) {
        self.known = Some(match (self.known, outcome) {
            (Some(RunOutcome::Unknown), _) | (_, RunOutcome::Unknown) => RunOutcome::Unknown,
            (Some(RunOutcome::Failed), _) | (_, RunOutcome::Failed) => RunOutcome::Failed,
            (_, latest) => latest,
        });
    }

    /// Ends the request with what is known of all attempts together.
    fn finish(&mut self, last: RunOutcome) -> FlowCommand {
        self.stage = FlowStage::Done;
        if last == RunOutcome::Completed {
            return FlowCommand::Conclude(last);
        }
        self.note(last);
        self.finish_now()
    }

    /// Tells the caller, or cuts it off where a part of the answer was relayed.
    fn finish_now(&mut self) -> FlowCommand {
        self.stage = FlowStage::Done;
        if self.relayed {
            return FlowCommand::CutOff;
        }
        FlowCommand::Conclude(self.known.unwrap_or(RunOutcome::Unknown))
    }
}
