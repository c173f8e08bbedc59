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
const SENDS: u32 = 3;

/// The request's key.
const KEY: RequestKey = RequestKey(7);

/// The steps of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OnlineStep {
    /// The key is claimed at the keepers.
    Claim,
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
    AnswerHead,
    /// A part of the answer has been relayed.
    AnswerBody,
    /// The answer is whole.
    AnswerEnd,
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
        let mut steps = vec![Self::Claim];
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
                Self::AnswerHead,
                Self::AnswerBody,
                Self::AnswerEnd,
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
    Cut,
    /// What was sent arrives much later.
    Delayed,
    /// The sidecar dies and another one starts in its place.
    SidecarDies,
    /// The target dies.
    TargetDies,
    /// The entry dies.
    EntryDies,
    /// The deadline passes.
    DeadlinePasses,
    /// The caller sends the request again while it runs.
    Resent,
}

impl OnlineFault {
    /// All faults.
    pub const ALL: [Self; 7] = [
        Self::Cut,
        Self::Delayed,
        Self::SidecarDies,
        Self::TargetDies,
        Self::EntryDies,
        Self::DeadlinePasses,
        Self::Resent,
    ];
}

/// A bug in the runtime around the decisions, which the checker has to find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OnlineBug {
    /// A lost request is taken for one that was never sent.
    LostIsNeverSent,
    /// The sidecar runs duplicates.
    DuplicatesRun,
    /// A question about a request does not keep it from starting.
    ResolveDoesNotVoid,
    /// Keys are not kept by other entries.
    NoKeepers,
    /// The sidecar's restart is not noticed.
    IncarnationIgnored,
}

impl OnlineBug {
    /// All bugs.
    pub const ALL: [Self; 5] = [
        Self::LostIsNeverSent,
        Self::DuplicatesRun,
        Self::ResolveDoesNotVoid,
        Self::NoKeepers,
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
pub enum Told {
    Completed,
    NotRun,
    Failed,
    Unknown,
    CutOff,
    Duplicate,
    /// The entry died, so the caller heard nothing.
    Nothing,
}

/// What happened, for the checker.
#[derive(Clone, Debug, Default)]
pub struct OnlineHistory {
    /// The send that each execution belongs to.
    pub executions: Vec<u32>,
    /// What was told of each send.
    pub told: Vec<(u32, Told)>,
}

/// How an attempt ended.
enum AttemptResult {
    Event(FlowEvent),
    EntryDied,
    Duplicate,
}

/// A request on its way that will arrive late.
struct LateMessage {
    attempt: u32,
    send: u32,
    target: u32,
}

/// The world of one request.
pub struct OnlineWorld {
    bug: Option<OnlineBug>,
    faults: Vec<(OnlineStep, OnlineFault)>,
    history: OnlineHistory,
    incarnations: Vec<u64>,
    kind: RequestKind,
    late: Vec<LateMessage>,
    logs: Vec<ExecutionLog>,
    now: MonotonicTime,
    registers: Vec<KeyClaims>,
    resend_pending: bool,
}

impl OnlineWorld {
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
            late: Vec::new(),
            logs: vec![ExecutionLog::new(retention); TARGETS as usize],
            now: MonotonicTime::ZERO,
            registers: vec![KeyClaims::new(retention); ENTRIES],
            resend_pending: false,
        }
    }

    /// Sends the request as a caller would until it is told something final, and returns what
    /// happened.
    pub fn run(mut self) -> OnlineHistory {
        for send in 0..SENDS {
            let told = self.send(send, send as usize % ENTRIES);
            self.history.told.push((send, told));
            let resend = std::mem::take(&mut self.resend_pending);
            let open = matches!(told, Told::Nothing | Told::Unknown | Told::NotRun | Told::CutOff);
            if !open && !resend {
                break;
            }
        }
        self.deliver_late();
        self.history
    }

    /// Sends the request through one entry.
    fn send(&mut self, send: u32, entry: usize) -> Told {
        if self.strikes(OnlineStep::Claim, OnlineFault::EntryDies) {
            return Told::Nothing;
        }
        if !self.kind.repeatable && !self.claim(send, entry) {
            return Told::Duplicate;
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
                    match self.attempt(send, flow.attempts(), target.0) {
                        AttemptResult::Event(event) => event,
                        AttemptResult::EntryDied => {
                            self.registers[entry] = KeyClaims::new(Duration::from_mins(15));
                            return Told::Nothing;
                        }
                        AttemptResult::Duplicate => return Told::Duplicate,
                    }
                }
                FlowCommand::Resolve(target) => {
                    self.resolve(target.0, flow.attempts(), incarnation)
                }
                FlowCommand::CheckRetryBudget => FlowEvent::RetryGranted(true),
                FlowCommand::Conclude(outcome) => return self.conclude(send, outcome),
                FlowCommand::CutOff => return Told::CutOff,
            };
            command = flow.handle(event);
        }
    }

    /// Claims the key at this entry and its keepers.
    fn claim(&mut self, send: u32, entry: usize) -> bool {
        let keepers =
            if self.bug == Some(OnlineBug::NoKeepers) { entry..entry + 1 } else { 0..ENTRIES };
        let claim = u64::from(send);
        let mut fresh = true;
        for keeper in keepers {
            fresh &= self.registers[keeper].claim(self.now, KEY, claim);
        }
        fresh
    }

    /// Tells the caller an outcome.
    fn conclude(&mut self, send: u32, outcome: RunOutcome) -> Told {
        match outcome {
            RunOutcome::Completed => Told::Completed,
            RunOutcome::NotRun(_) => {
                for register in &mut self.registers {
                    register.release(KEY, u64::from(send));
                }
                Told::NotRun
            }
            RunOutcome::Failed => Told::Failed,
            RunOutcome::Unknown => Told::Unknown,
        }
    }

    /// Makes one attempt.
    fn attempt(&mut self, send: u32, attempt: u32, target: u32) -> AttemptResult {
        let message = LateMessage { attempt, send, target };
        for step in OnlineStep::of(FlowCommand::Send(TargetId(target))) {
            if self.strikes(step, OnlineFault::Resent) {
                self.resend_pending = true;
            }
            let fault = OnlineFault::ALL
                .into_iter()
                .find(|fault| *fault != OnlineFault::Resent && self.strikes(step, *fault));
            let result = match fault {
                Some(fault) => self.strike(step, fault, &message),
                None => self.proceed(step, &message),
            };
            if let Some(result) = result {
                return result;
            }
        }
        AttemptResult::Event(FlowEvent::Completed)
    }

    /// Takes one step of an attempt without a fault.
    fn proceed(&mut self, step: OnlineStep, message: &LateMessage) -> Option<AttemptResult> {
        let log = &mut self.logs[message.target as usize];
        match step {
            OnlineStep::Queue if !self.kind.repeatable => {
                let decision = log.admit(self.now, KEY, message.attempt);
                let ignored = self.bug == Some(OnlineBug::DuplicatesRun);
                let duplicate = matches!(decision, AdmitDecision::Duplicate(_));
                (duplicate && !ignored).then_some(AttemptResult::Duplicate)
            }
            OnlineStep::HandOver if !self.kind.repeatable => {
                let ignored = self.bug == Some(OnlineBug::DuplicatesRun);
                let refused = !log.hand_over(KEY) && !ignored;
                let event = FlowEvent::Refused(RefusalReason::TargetDown, None);
                refused.then_some(AttemptResult::Event(event))
            }
            OnlineStep::Execute => {
                self.history.executions.push(message.send);
                None
            }
            OnlineStep::AnswerHead if !self.kind.repeatable => {
                log.finish(KEY, true);
                None
            }
            _ => None,
        }
    }

    /// Lets a fault strike at a step.
    fn strike(
        &mut self,
        step: OnlineStep,
        fault: OnlineFault,
        message: &LateMessage,
    ) -> Option<AttemptResult> {
        let before_send = step == OnlineStep::Connect;
        match fault {
            OnlineFault::SidecarDies => {
                if step == OnlineStep::Execute {
                    // The target has the request already and runs it.
                    self.history.executions.push(message.send);
                }
                self.restart_sidecar(message.target);
            }
            OnlineFault::Delayed if before_send => return self.proceed(step, message),
            OnlineFault::Cut | OnlineFault::Delayed if step == OnlineStep::Send => {
                self.late.push(LateMessage { ..*message });
            }
            OnlineFault::EntryDies => {
                if step == OnlineStep::Send {
                    self.late.push(LateMessage { ..*message });
                }
                // What the sidecar has goes on without the entry.
                self.finish_alone(step, message);
                return Some(AttemptResult::EntryDied);
            }
            OnlineFault::TargetDies if step == OnlineStep::Execute => {
                // It may have run the request before it died.
                self.history.executions.push(message.send);
            }
            OnlineFault::TargetDies => return self.proceed(step, message),
            OnlineFault::DeadlinePasses if before_send => {}
            OnlineFault::DeadlinePasses => {
                self.finish_alone(step, message);
                return Some(AttemptResult::Event(FlowEvent::DeadlinePassed));
            }
            OnlineFault::Cut | OnlineFault::Delayed => self.finish_alone(step, message),
            OnlineFault::Resent => {}
        }
        Some(AttemptResult::Event(self.lost_at(step)))
    }

    /// Returns what the entry sees of an attempt that ends at a step.
    fn lost_at(&self, step: OnlineStep) -> FlowEvent {
        match step {
            OnlineStep::Connect => FlowEvent::ConnectFailed,
            OnlineStep::AnswerBody | OnlineStep::AnswerEnd if self.kind.streamed => {
                FlowEvent::LostDuringResponse
            }
            _ if self.bug == Some(OnlineBug::LostIsNeverSent) => FlowEvent::ConnectFailed,
            _ => FlowEvent::LostBeforeResponse,
        }
    }

    /// Lets the sidecar and the target finish a request whose entry hears nothing any more.
    fn finish_alone(&mut self, from: OnlineStep, message: &LateMessage) {
        let steps = OnlineStep::of(FlowCommand::Send(TargetId(message.target)));
        let reached = steps.iter().position(|step| *step == from).unwrap_or(0);
        let queued = steps.iter().position(|step| *step == OnlineStep::Queue).unwrap_or(0);
        if reached < queued {
            return;
        }
        for step in &steps[reached..] {
            if self.proceed(*step, message).is_some() {
                return;
            }
        }
    }

    /// Asks a sidecar what became of an attempt.
    fn resolve(&mut self, target: u32, attempt: u32, incarnation: u64) -> FlowEvent {
        let lost = [OnlineFault::Cut, OnlineFault::Delayed, OnlineFault::DeadlinePasses];
        if lost.into_iter().any(|fault| self.strikes(OnlineStep::Resolve, fault)) {
            return FlowEvent::Unresolved;
        }
        if self.strikes(OnlineStep::Resolve, OnlineFault::SidecarDies) {
            self.restart_sidecar(target);
        }
        let known = self.incarnations[target as usize] == incarnation;
        if !known && self.bug != Some(OnlineBug::IncarnationIgnored) {
            return FlowEvent::Unresolved;
        }
        let log = &mut self.logs[target as usize];
        let state = if self.bug == Some(OnlineBug::ResolveDoesNotVoid) {
            log.state_of(KEY).unwrap_or(ExecutionState::Voided)
        } else {
            log.resolve(self.now, KEY, attempt)
        };
        FlowEvent::Resolved(state)
    }

    /// Starts another sidecar, which remembers nothing.
    fn restart_sidecar(&mut self, target: u32) {
        self.logs[target as usize] = ExecutionLog::new(Duration::from_mins(15));
        self.incarnations[target as usize] += 1;
    }

    /// Delivers what was delayed on its way to a sidecar that still runs.
    fn deliver_late(&mut self) {
        for message in std::mem::take(&mut self.late) {
            self.finish_alone(OnlineStep::Queue, &message);
        }
    }

    /// Tells whether a fault strikes at a step now; each strikes once.
    fn strikes(&mut self, step: OnlineStep, fault: OnlineFault) -> bool {
        let position = self.faults.iter().position(|known| *known == (step, fault));
        position.map(|position| self.faults.remove(position)).is_some()
    }
}
