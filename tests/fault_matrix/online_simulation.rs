//! Simulation of one request that a caller may resend, with entries, sidecars and their targets.

use std::time::Duration;

use cv_policy::AdmitDecision;
use cv_policy::ExecutionLog;
use cv_policy::ExecutionState;
use cv_policy::KeyClaims;
use cv_policy::MonotonicTime;
use cv_policy::RefusalReason;
use cv_policy::RequestKey;
use cv_policy::RunOutcome;
use cv_policy::TargetId;
use cv_policy::flow::FlowCommand;
use cv_policy::flow::FlowEvent;
use cv_policy::flow::FlowSettings;
use cv_policy::flow::RequestFlow;

/// Number of targets, each with its sidecar.
const TARGETS: u32 = 2;

/// Number of entries.
const ENTRIES: usize = 3;

/// Maximum number of times that the caller sends the request.
const MAX_SENDS: u32 = 3;

/// Key of the request.
const REQUEST_KEY: RequestKey = RequestKey(7);

/// A step of a request at which faults are injected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OnlineStep {
    /// The entry claims the key at the keepers.
    ClaimKey,
    /// The entry connects to the sidecar.
    Connect,
    /// The entry sends the request.
    Send,
    /// The sidecar queues the request.
    Queue,
    /// The sidecar hands the request over to the target.
    HandOver,
    /// The target runs the request.
    Execute,
    /// The response head arrives.
    ResponseHead,
    /// A part of the response body has been relayed.
    ResponseBody,
    /// The response is complete.
    ResponseEnd,
    /// The entry asks the sidecar for the state of the request.
    Resolve,
}

impl OnlineStep {
    /// Returns all steps, derived from the commands of the request flow.
    pub fn all() -> Vec<Self> {
        let outcome = RunOutcome::Unknown;
        let commands = [
            FlowCommand::Route,
            FlowCommand::Send(TargetId(0)),
            FlowCommand::Resolve(TargetId(0)),
            FlowCommand::CheckRetryBudget,
            FlowCommand::Resume,
            FlowCommand::Conclude(outcome),
            FlowCommand::CutOff,
        ];
        let mut steps = vec![Self::ClaimKey];
        steps.extend(commands.into_iter().flat_map(Self::of));
        steps
    }

    /// Returns the steps of a command; the match is exhaustive, so a new command needs its steps.
    fn of(command: FlowCommand) -> Vec<Self> {
        match command {
            FlowCommand::Send(_) => vec![
                Self::Connect,
                Self::Send,
                Self::Queue,
                Self::HandOver,
                Self::Execute,
                Self::ResponseHead,
                Self::ResponseBody,
                Self::ResponseEnd,
            ],
            FlowCommand::Resolve(_) => vec![Self::Resolve],
            FlowCommand::Route
            | FlowCommand::CheckRetryBudget
            | FlowCommand::Resume
            | FlowCommand::Conclude(_)
            | FlowCommand::CutOff => Vec::new(),
        }
    }
}

/// A fault that is injected at a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OnlineFault {
    /// The connection closes.
    Disconnected,
    /// A message is delayed until after the entry has given up on it.
    Delayed,
    /// The sidecar crashes and restarts without its execution log.
    SidecarCrashed,
    /// The target crashes.
    TargetCrashed,
    /// The entry crashes.
    EntryCrashed,
    /// The deadline passes.
    DeadlinePassed,
    /// The caller resends the request while it runs.
    Resent,
}

impl OnlineFault {
    /// All faults.
    pub const ALL: [Self; 7] = [
        Self::Disconnected,
        Self::Delayed,
        Self::SidecarCrashed,
        Self::TargetCrashed,
        Self::EntryCrashed,
        Self::DeadlinePassed,
        Self::Resent,
    ];
}

/// A deliberate bug in the simulated runtime, which the checker has to detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OnlineBug {
    /// A connection lost after the send is reported as a failed connect.
    LostTreatedAsUnsent,
    /// The sidecar runs requests with a duplicate key.
    DuplicatesRun,
    /// Resolving a request does not prevent it from starting later.
    ResolveDoesNotVoid,
    /// Key claims are not replicated to other entries.
    ClaimsNotReplicated,
    /// A restart of the sidecar, shown by its incarnation, is ignored.
    IncarnationIgnored,
}

impl OnlineBug {
    /// All bugs.
    pub const ALL: [Self; 5] = [
        Self::LostTreatedAsUnsent,
        Self::DuplicatesRun,
        Self::ResolveDoesNotVoid,
        Self::ClaimsNotReplicated,
        Self::IncarnationIgnored,
    ];
}

/// The properties of a request that decide how it may be retried.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the response is streamed, so that a cut response can be resumed.
    pub streamed: bool,
}

/// What the caller learned about one send of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    /// The request ran and its whole response arrived.
    Completed,
    /// The request did not run.
    NotRun,
    /// The request ran and failed.
    Failed,
    /// Whether the request ran is unknown.
    Unknown,
    /// The response was cut off after a part of it had arrived.
    CutOff,
    /// The send was rejected as a duplicate of an earlier one.
    Duplicate,
    /// The entry crashed before it responded.
    NoResponse,
}

/// The observable events of a run, for the checker.
#[derive(Clone, Debug, Default)]
pub struct OnlineHistory {
    /// Each execution of the request, as the number of the send that caused it.
    pub executions: Vec<u32>,
    /// The outcome of each send.
    pub outcomes: Vec<(u32, CallerOutcome)>,
}

/// The result of one attempt, as the entry sees it.
enum AttemptResult {
    /// An event for the request flow.
    Event(FlowEvent),
    /// The entry crashed, and its flow with it.
    EntryCrashed,
    /// The sidecar rejected the attempt as a duplicate.
    Duplicate,
}

/// The message of one attempt to a sidecar.
struct AttemptMessage {
    attempt: u32,
    send: u32,
    target: u32,
}

/// The simulation of one request.
pub struct OnlineSimulation {
    bug: Option<OnlineBug>,
    faults: Vec<(OnlineStep, OnlineFault)>,
    history: OnlineHistory,
    incarnations: Vec<u64>,
    kind: RequestKind,
    late_messages: Vec<AttemptMessage>,
    execution_logs: Vec<ExecutionLog>,
    now: MonotonicTime,
    key_claims: Vec<KeyClaims>,
    resend_pending: bool,
}

impl OnlineSimulation {
    /// Creates a simulation that injects each fault once, at its step.
    pub fn new(
        kind: RequestKind,
        faults: Vec<(OnlineStep, OnlineFault)>,
        bug: Option<OnlineBug>,
    ) -> Self {
        let retention = Duration::from_mins(15);
        Self {
            bug,
            faults,
            history: OnlineHistory::default(),
            incarnations: vec![1; TARGETS as usize],
            kind,
            late_messages: Vec::new(),
            execution_logs: vec![ExecutionLog::new(retention); TARGETS as usize],
            now: MonotonicTime::ZERO,
            key_claims: vec![KeyClaims::new(retention); ENTRIES],
            resend_pending: false,
        }
    }

    /// Sends the request, and resends it after an outcome that a caller would retry; returns the
    /// history.
    pub fn run(mut self) -> OnlineHistory {
        for send in 0..MAX_SENDS {
            let outcome = self.send_request(send, send as usize % ENTRIES);
            self.history.outcomes.push((send, outcome));
            let resend = std::mem::take(&mut self.resend_pending);
            let may_retry = matches!(
                outcome,
                CallerOutcome::NoResponse
                    | CallerOutcome::Unknown
                    | CallerOutcome::NotRun
                    | CallerOutcome::CutOff
            );
            if !may_retry && !resend {
                break;
            }
        }
        self.deliver_delayed();
        self.history
    }

    /// Sends the request once, through one entry.
    fn send_request(&mut self, send: u32, entry: usize) -> CallerOutcome {
        if self.take_fault(OnlineStep::ClaimKey, OnlineFault::EntryCrashed) {
            return CallerOutcome::NoResponse;
        }
        if !self.kind.repeatable && !self.claim_key(send, entry) {
            return CallerOutcome::Duplicate;
        }
        let mut flow = RequestFlow::new(FlowSettings {
            max_attempts: 3,
            repeatable: self.kind.repeatable,
            resumable: self.kind.streamed && self.kind.repeatable,
        });
        let mut command = FlowCommand::Route;
        let mut incarnation = 0;
        loop {
            let event = match command {
                FlowCommand::Route | FlowCommand::Resume => {
                    let targets = (0..TARGETS).map(TargetId);
                    let mut targets = targets.filter(|target| !flow.excluded().contains(target));
                    FlowEvent::Routed(targets.next())
                }
                FlowCommand::Send(target) => {
                    incarnation = self.incarnations[target.0 as usize];
                    match self.run_attempt(send, flow.attempts(), target.0) {
                        AttemptResult::Event(event) => event,
                        AttemptResult::EntryCrashed => {
                            self.key_claims[entry] = KeyClaims::new(Duration::from_mins(15));
                            return CallerOutcome::NoResponse;
                        }
                        AttemptResult::Duplicate => return CallerOutcome::Duplicate,
                    }
                }
                FlowCommand::Resolve(target) => {
                    self.resolve(target.0, flow.attempts(), incarnation)
                }
                FlowCommand::CheckRetryBudget => FlowEvent::RetryGranted(true),
                FlowCommand::Conclude(outcome) => return self.conclude_request(send, outcome),
                FlowCommand::CutOff => return CallerOutcome::CutOff,
            };
            command = flow.handle(event);
        }
    }

    /// Claims the key at all keepers; returns whether no other send holds it at any of them.
    fn claim_key(&mut self, send: u32, entry: usize) -> bool {
        let keepers = if self.bug == Some(OnlineBug::ClaimsNotReplicated) {
            entry..entry + 1
        } else {
            0..ENTRIES
        };
        let claim = u64::from(send);
        let mut is_unclaimed = true;
        for keeper in keepers {
            is_unclaimed &= self.key_claims[keeper].claim(self.now, REQUEST_KEY, claim);
        }
        is_unclaimed
    }

    /// Maps the flow's outcome to the caller's; releases the key of a request that did not run.
    fn conclude_request(&mut self, send: u32, outcome: RunOutcome) -> CallerOutcome {
        match outcome {
            RunOutcome::Completed => CallerOutcome::Completed,
            RunOutcome::NotRun(_) => {
                for claims in &mut self.key_claims {
                    claims.release(REQUEST_KEY, u64::from(send));
                }
                CallerOutcome::NotRun
            }
            RunOutcome::Failed => CallerOutcome::Failed,
            RunOutcome::Unknown => CallerOutcome::Unknown,
        }
    }

    /// Runs the steps of one attempt, with the faults injected at them.
    fn run_attempt(&mut self, send: u32, attempt: u32, target: u32) -> AttemptResult {
        let message = AttemptMessage { attempt, send, target };
        for step in OnlineStep::of(FlowCommand::Send(TargetId(target))) {
            if self.take_fault(step, OnlineFault::Resent) {
                self.resend_pending = true;
            }
            let fault = OnlineFault::ALL
                .into_iter()
                .find(|fault| *fault != OnlineFault::Resent && self.take_fault(step, *fault));
            let result = match fault {
                Some(fault) => self.apply_fault(step, fault, &message),
                None => self.perform_step(step, &message),
            };
            if let Some(result) = result {
                return result;
            }
        }
        AttemptResult::Event(FlowEvent::Completed)
    }

    /// Performs one step without a fault; returns a result if the attempt ends here.
    fn perform_step(
        &mut self,
        step: OnlineStep,
        message: &AttemptMessage,
    ) -> Option<AttemptResult> {
        let log = &mut self.execution_logs[message.target as usize];
        match step {
            OnlineStep::Queue if !self.kind.repeatable => {
                let decision = log.admit(self.now, REQUEST_KEY, message.attempt);
                let allows_duplicates = self.bug == Some(OnlineBug::DuplicatesRun);
                let is_duplicate = matches!(decision, AdmitDecision::Duplicate(_));
                (is_duplicate && !allows_duplicates).then_some(AttemptResult::Duplicate)
            }
            OnlineStep::HandOver if !self.kind.repeatable => {
                let allows_duplicates = self.bug == Some(OnlineBug::DuplicatesRun);
                let is_refused = !log.hand_over(REQUEST_KEY) && !allows_duplicates;
                let event = FlowEvent::Refused(RefusalReason::TargetDown, None);
                is_refused.then_some(AttemptResult::Event(event))
            }
            OnlineStep::Execute => {
                self.history.executions.push(message.send);
                None
            }
            OnlineStep::ResponseHead if !self.kind.repeatable => {
                log.finish(REQUEST_KEY, true);
                None
            }
            _ => None,
        }
    }

    /// Applies a fault at a step; returns a result if the attempt ends here.
    fn apply_fault(
        &mut self,
        step: OnlineStep,
        fault: OnlineFault,
        message: &AttemptMessage,
    ) -> Option<AttemptResult> {
        let before_send = step == OnlineStep::Connect;
        match fault {
            OnlineFault::SidecarCrashed => {
                if step == OnlineStep::Execute {
                    // The target already has the request and runs it.
                    self.history.executions.push(message.send);
                }
                self.restart_sidecar(message.target);
            }
            OnlineFault::Delayed if before_send => return self.perform_step(step, message),
            OnlineFault::Disconnected | OnlineFault::Delayed if step == OnlineStep::Send => {
                self.late_messages.push(AttemptMessage { ..*message });
            }
            OnlineFault::EntryCrashed => {
                if step == OnlineStep::Send {
                    self.late_messages.push(AttemptMessage { ..*message });
                }
                // The sidecar continues a request that it has queued, without the entry.
                self.run_detached(step, message);
                return Some(AttemptResult::EntryCrashed);
            }
            OnlineFault::TargetCrashed if step == OnlineStep::Execute => {
                // The target may have run the request before it crashed.
                self.history.executions.push(message.send);
            }
            OnlineFault::TargetCrashed => return self.perform_step(step, message),
            OnlineFault::DeadlinePassed if before_send => {}
            OnlineFault::DeadlinePassed => {
                self.run_detached(step, message);
                return Some(AttemptResult::Event(FlowEvent::DeadlinePassed));
            }
            OnlineFault::Disconnected | OnlineFault::Delayed => self.run_detached(step, message),
            OnlineFault::Resent => {}
        }
        Some(AttemptResult::Event(self.loss_event(step)))
    }

    /// Returns the event that the entry observes when an attempt is lost at a step.
    fn loss_event(&self, step: OnlineStep) -> FlowEvent {
        match step {
            OnlineStep::Connect => FlowEvent::ConnectFailed,
            OnlineStep::ResponseBody | OnlineStep::ResponseEnd if self.kind.streamed => {
                FlowEvent::LostDuringResponse
            }
            _ if self.bug == Some(OnlineBug::LostTreatedAsUnsent) => FlowEvent::ConnectFailed,
            _ => FlowEvent::LostBeforeResponse,
        }
    }

    /// Continues a request at the sidecar and the target after its entry has lost the connection.
    fn run_detached(&mut self, from: OnlineStep, message: &AttemptMessage) {
        let steps = OnlineStep::of(FlowCommand::Send(TargetId(message.target)));
        let from_index = steps.iter().position(|step| *step == from).unwrap_or(0);
        let queue_index = steps.iter().position(|step| *step == OnlineStep::Queue).unwrap_or(0);
        if from_index < queue_index {
            return;
        }
        for step in &steps[from_index..] {
            if self.perform_step(*step, message).is_some() {
                return;
            }
        }
    }

    /// Asks a sidecar for the state of an attempt; a queued one is voided, so that it never starts.
    fn resolve(&mut self, target: u32, attempt: u32, incarnation: u64) -> FlowEvent {
        let query_faults =
            [OnlineFault::Disconnected, OnlineFault::Delayed, OnlineFault::DeadlinePassed];
        if query_faults.into_iter().any(|fault| self.take_fault(OnlineStep::Resolve, fault)) {
            return FlowEvent::Unresolved;
        }
        if self.take_fault(OnlineStep::Resolve, OnlineFault::SidecarCrashed) {
            self.restart_sidecar(target);
        }
        let is_same_sidecar = self.incarnations[target as usize] == incarnation;
        if !is_same_sidecar && self.bug != Some(OnlineBug::IncarnationIgnored) {
            return FlowEvent::Unresolved;
        }
        let log = &mut self.execution_logs[target as usize];
        let state = if self.bug == Some(OnlineBug::ResolveDoesNotVoid) {
            log.state_of(REQUEST_KEY).unwrap_or(ExecutionState::Voided)
        } else {
            log.resolve(self.now, REQUEST_KEY, attempt)
        };
        FlowEvent::Resolved(state)
    }

    /// Restarts a sidecar with an empty execution log and the next incarnation number.
    fn restart_sidecar(&mut self, target: u32) {
        self.execution_logs[target as usize] = ExecutionLog::new(Duration::from_mins(15));
        self.incarnations[target as usize] += 1;
    }

    /// Delivers the delayed messages to their sidecars.
    fn deliver_delayed(&mut self) {
        for message in std::mem::take(&mut self.late_messages) {
            self.run_detached(OnlineStep::Queue, &message);
        }
    }

    /// Removes a fault planned for a step; returns whether there was one.
    fn take_fault(&mut self, step: OnlineStep, fault: OnlineFault) -> bool {
        let position = self.faults.iter().position(|planned| *planned == (step, fault));
        position.map(|position| self.faults.remove(position)).is_some()
    }
}
