//! Entries, sidecars and one target each, with one request that a caller may send again.

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

/// Number of targets.
const TARGETS: u32 = 2;

/// Number of entries.
const ENTRIES: usize = 3;

/// Times that the caller sends the request at the most.
const MAX_SENDS: u32 = 3;

/// The request's key.
const REQUEST_KEY: RequestKey = RequestKey(7);

/// The steps of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OnlineStep {
    /// The key is claimed at the keepers.
    ClaimKey,
    /// A connection is made.
    Connect,
    /// The request is on its way.
    Send,
    /// The sidecar has it.
    Queue,
    /// The target gets it.
    HandOver,
    /// The target runs it.
    Execute,
    /// The answer begins.
    ResponseHead,
    /// A part of the answer has been relayed.
    ResponseBody,
    /// The answer is whole.
    ResponseEnd,
    /// The sidecar is asked what became of it.
    Resolve,
}

impl OnlineStep {
    /// All steps, derived from the commands that the flow gives.
    pub fn all() -> Vec<Self> {
        let none = RunOutcome::Unknown;
        let commands = [
            FlowCommand::Route,
            FlowCommand::Send(TargetId(0)),
            FlowCommand::Resolve(TargetId(0)),
            FlowCommand::CheckRetryBudget,
            FlowCommand::Resume,
            FlowCommand::Conclude(none),
            FlowCommand::CutOff,
        ];
        let mut steps = vec![Self::ClaimKey];
        steps.extend(commands.into_iter().flat_map(Self::of));
        steps
    }

    /// Returns the steps of a command; a new command does not compile without its steps.
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

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OnlineFault {
    /// The connection ends.
    Disconnected,
    /// What was sent arrives much later.
    Delayed,
    /// The sidecar dies and another one starts in its place.
    SidecarCrashed,
    /// The target dies.
    TargetCrashed,
    /// The entry dies.
    EntryCrashed,
    /// The deadline passes.
    DeadlinePassed,
    /// The caller sends the request again while it runs.
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

/// A bug in the runtime around the decisions, which the checker has to find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OnlineBug {
    /// A lost request is taken for one that was never sent.
    LostTreatedAsUnsent,
    /// The sidecar runs duplicates.
    DuplicatesRun,
    /// A question about a request does not keep it from starting.
    ResolveDoesNotVoid,
    /// Keys are not kept by other entries.
    ClaimsNotReplicated,
    /// The sidecar's restart is not noticed.
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

/// What the request is like.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    pub repeatable: bool,
    pub streamed: bool,
}

/// What the caller was told of one send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    Completed,
    NotRun,
    Failed,
    Unknown,
    CutOff,
    Duplicate,
    /// The entry died, so the caller heard nothing.
    NoResponse,
}

/// What happened, for the checker.
#[derive(Clone, Debug, Default)]
pub struct OnlineHistory {
    /// The send that each execution belongs to.
    pub executions: Vec<u32>,
    /// What was told of each send.
    pub outcomes: Vec<(u32, CallerOutcome)>,
}

/// How an attempt ended.
enum AttemptResult {
    Event(FlowEvent),
    EntryCrashed,
    Duplicate,
}

/// A request on its way that will arrive late.
struct AttemptMessage {
    attempt: u32,
    send: u32,
    target: u32,
}

/// The world of one request.
pub struct OnlineSimulation {
    bug: Option<OnlineBug>,
    faults: Vec<(OnlineStep, OnlineFault)>,
    history: OnlineHistory,
    incarnations: Vec<u64>,
    kind: RequestKind,
    delayed: Vec<AttemptMessage>,
    execution_logs: Vec<ExecutionLog>,
    now: MonotonicTime,
    key_claims: Vec<KeyClaims>,
    resend_pending: bool,
}

impl OnlineSimulation {
    /// Creates a world in which each fault happens once, at its step.
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
            delayed: Vec::new(),
            execution_logs: vec![ExecutionLog::new(retention); TARGETS as usize],
            now: MonotonicTime::ZERO,
            key_claims: vec![KeyClaims::new(retention); ENTRIES],
            resend_pending: false,
        }
    }

    /// Sends the request as a caller would until it is told something final, and returns what
    /// happened.
    pub fn run(mut self) -> OnlineHistory {
        for send in 0..MAX_SENDS {
            let told = self.send_request(send, send as usize % ENTRIES);
            self.history.outcomes.push((send, told));
            let resend = std::mem::take(&mut self.resend_pending);
            let open = matches!(
                told,
                CallerOutcome::NoResponse
                    | CallerOutcome::Unknown
                    | CallerOutcome::NotRun
                    | CallerOutcome::CutOff
            );
            if !open && !resend {
                break;
            }
        }
        self.deliver_delayed();
        self.history
    }

    /// Sends the request through one entry.
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
                    let open = (0..TARGETS).map(TargetId);
                    let mut open = open.filter(|target| !flow.excluded().contains(target));
                    FlowEvent::Routed(open.next())
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

    /// Claims the key at this entry and its keepers.
    fn claim_key(&mut self, send: u32, entry: usize) -> bool {
        let keepers = if self.bug == Some(OnlineBug::ClaimsNotReplicated) {
            entry..entry + 1
        } else {
            0..ENTRIES
        };
        let claim = u64::from(send);
        let mut fresh = true;
        for keeper in keepers {
            fresh &= self.key_claims[keeper].claim(self.now, REQUEST_KEY, claim);
        }
        fresh
    }

    /// Tells the caller an outcome.
    fn conclude_request(&mut self, send: u32, outcome: RunOutcome) -> CallerOutcome {
        match outcome {
            RunOutcome::Completed => CallerOutcome::Completed,
            RunOutcome::NotRun(_) => {
                for register in &mut self.key_claims {
                    register.release(REQUEST_KEY, u64::from(send));
                }
                CallerOutcome::NotRun
            }
            RunOutcome::Failed => CallerOutcome::Failed,
            RunOutcome::Unknown => CallerOutcome::Unknown,
        }
    }

    /// Makes one attempt.
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

    /// Takes one step of an attempt without a fault.
    fn perform_step(
        &mut self,
        step: OnlineStep,
        message: &AttemptMessage,
    ) -> Option<AttemptResult> {
        let log = &mut self.execution_logs[message.target as usize];
        match step {
            OnlineStep::Queue if !self.kind.repeatable => {
                let decision = log.admit(self.now, REQUEST_KEY, message.attempt);
                let ignored = self.bug == Some(OnlineBug::DuplicatesRun);
                let duplicate = matches!(decision, AdmitDecision::Duplicate(_));
                (duplicate && !ignored).then_some(AttemptResult::Duplicate)
            }
            OnlineStep::HandOver if !self.kind.repeatable => {
                let ignored = self.bug == Some(OnlineBug::DuplicatesRun);
                let refused = !log.hand_over(REQUEST_KEY) && !ignored;
                let event = FlowEvent::Refused(RefusalReason::TargetDown, None);
                refused.then_some(AttemptResult::Event(event))
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

    /// Lets a fault strike at a step.
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
                    // The target has the request already and runs it.
                    self.history.executions.push(message.send);
                }
                self.restart_sidecar(message.target);
            }
            OnlineFault::Delayed if before_send => return self.perform_step(step, message),
            OnlineFault::Disconnected | OnlineFault::Delayed if step == OnlineStep::Send => {
                self.delayed.push(AttemptMessage { ..*message });
            }
            OnlineFault::EntryCrashed => {
                if step == OnlineStep::Send {
                    self.delayed.push(AttemptMessage { ..*message });
                }
                // What the sidecar has goes on without the entry.
                self.run_detached(step, message);
                return Some(AttemptResult::EntryCrashed);
            }
            OnlineFault::TargetCrashed if step == OnlineStep::Execute => {
                // It may have run the request before it died.
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

    /// Returns what the entry sees of an attempt that ends at a step.
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

    /// Lets the sidecar and the target finish a request whose entry hears nothing any more.
    fn run_detached(&mut self, from: OnlineStep, message: &AttemptMessage) {
        let steps = OnlineStep::of(FlowCommand::Send(TargetId(message.target)));
        let reached = steps.iter().position(|step| *step == from).unwrap_or(0);
        let queued = steps.iter().position(|step| *step == OnlineStep::Queue).unwrap_or(0);
        if reached < queued {
            return;
        }
        for step in &steps[reached..] {
            if self.perform_step(*step, message).is_some() {
                return;
            }
        }
    }

    /// Asks a sidecar what became of an attempt.
    fn resolve(&mut self, target: u32, attempt: u32, incarnation: u64) -> FlowEvent {
        let lost = [OnlineFault::Disconnected, OnlineFault::Delayed, OnlineFault::DeadlinePassed];
        if lost.into_iter().any(|fault| self.take_fault(OnlineStep::Resolve, fault)) {
            return FlowEvent::Unresolved;
        }
        if self.take_fault(OnlineStep::Resolve, OnlineFault::SidecarCrashed) {
            self.restart_sidecar(target);
        }
        let known = self.incarnations[target as usize] == incarnation;
        if !known && self.bug != Some(OnlineBug::IncarnationIgnored) {
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

    /// Starts another sidecar, which remembers nothing.
    fn restart_sidecar(&mut self, target: u32) {
        self.execution_logs[target as usize] = ExecutionLog::new(Duration::from_mins(15));
        self.incarnations[target as usize] += 1;
    }

    /// Delivers what was delayed on its way to a sidecar that still runs.
    fn deliver_delayed(&mut self) {
        for message in std::mem::take(&mut self.delayed) {
            self.run_detached(OnlineStep::Queue, &message);
        }
    }

    /// Tells whether a fault strikes at a step now; each strikes once.
    fn take_fault(&mut self, step: OnlineStep, fault: OnlineFault) -> bool {
        let position = self.faults.iter().position(|known| *known == (step, fault));
        position.map(|position| self.faults.remove(position)).is_some()
    }
}
