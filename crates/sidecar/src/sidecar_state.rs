//! State of a sidecar: its queue, execution log and the requests that wait for signals.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use cv_http::DrainGate;
use cv_policy::ExecutionLog;
use cv_policy::MonotonicTime;
use cv_policy::OrganisationTable;
use cv_policy::RefusalReason;
use cv_policy::RequestKey;
use cv_policy::TargetLoad;
use cv_policy::TicketId;
use cv_policy::admission::AdmissionCommand;
use cv_policy::admission::AdmissionEvent;
use cv_policy::admission::AdmissionQueue;
use cv_policy::admission::RequestArrival;
use cv_policy::config::ActiveConfig;
use cv_settings::SidecarSection;
use cv_timeline::EventLog;
use cv_timer::ProcessClock;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;

use crate::request_metadata::RequestMetadata;
use crate::sidecar_metrics::SidecarMetrics;

/// Time for which request keys are kept; longer than any retry can be delayed.
const EXECUTION_LOG_RETENTION: Duration = Duration::from_mins(15);

/// Signal to a request's task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TicketSignal {
    /// Send the request to the target.
    Start,
    /// Refuse the request, with an optional retry delay.
    Refuse(RefusalReason, Option<Duration>),
    /// Release the slot and end the response after what was produced so far.
    Preempt,
    /// Stop; the caller no longer waits for the response.
    Cancel,
}

/// Shared state of a sidecar; no borrow of a part is held across an await.
#[derive(Debug)]
pub(crate) struct SidecarState {
    /// Monotonic and wall-clock time of the process.
    pub clock: ProcessClock,
    /// The active configuration.
    pub config: RefCell<ActiveConfig>,
    /// Whether new work is refused because of a drain.
    pub draining: Cell<bool>,
    /// The sidecar's event log.
    pub events: EventLog,
    /// Tracks running exchanges, so that a drain can wait for them.
    pub gate: DrainGate,
    /// Start time in microseconds since the Unix epoch, which identifies this run of the sidecar.
    pub incarnation: u64,
    /// Execution states of non-repeatable requests.
    pub execution_log: RefCell<ExecutionLog>,
    /// The sidecar's metrics.
    pub metrics: SidecarMetrics,
    /// Keys of the requests that are queued or running, sorted.
    present_keys: RefCell<Vec<RequestKey>>,
    /// Number of the next ticket.
    next_ticket: Cell<u64>,
    /// Interned names of organisations.
    organisations: RefCell<OrganisationTable>,
    /// Decides which requests run.
    queue: RefCell<AdmissionQueue>,
    /// Secret shared by the processes of the system.
    pub secret: String,
    /// The settings of the sidecar role.
    pub section: SidecarSection,
    /// Signal channels of the requests, sorted by ticket.
    signals: RefCell<Vec<(TicketId, UnboundedSender<TicketSignal>)>>,
    /// Whether the target answers health probes.
    pub target_up: Cell<bool>,
}

impl SidecarState {
    /// Creates the state of a sidecar that has just started.
    pub fn new(
        section: SidecarSection,
        secret: String,
        clock: ProcessClock,
        events: EventLog,
        metrics: SidecarMetrics,
    ) -> Self {
        Self {
            clock,
            config: RefCell::default(),
            draining: Cell::new(false),
            events,
            gate: DrainGate::default(),
            // One sidecar cannot start twice within a microsecond.
            incarnation: std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default()
                .as_micros() as u64,
            execution_log: RefCell::new(ExecutionLog::new(EXECUTION_LOG_RETENTION)),
            metrics,
            next_ticket: Cell::new(1),
            present_keys: RefCell::default(),
            organisations: RefCell::default(),
            queue: RefCell::new(AdmissionQueue::new(section.admission.0.clone())),
            secret,
            section,
            signals: RefCell::default(),
            target_up: Cell::new(false),
        }
    }

    /// Queues a request and returns its ticket and the receiver of its signals.
    pub fn enqueue(
        &self,
        metadata: &RequestMetadata,
        cost: u32,
        preemptible: bool,
    ) -> (TicketId, UnboundedReceiver<TicketSignal>) {
        let now = self.clock.now();
        let ticket = TicketId(self.next_ticket.replace(self.next_ticket.get() + 1));
        let (sender, receiver) = unbounded_channel();
        // Ticket numbers increase, so the vector stays sorted.
        self.signals.borrow_mut().push((ticket, sender));
        let arrival = RequestArrival::builder()
            .class(metadata.class)
            .cost(cost)
            .deadline(now + metadata.deadline)
            .organisation(self.organisations.borrow_mut().intern(&metadata.organisation))
            .preemptible(preemptible)
            .ticket(ticket)
            .weight(metadata.weight)
            .build();
        self.handle(AdmissionEvent::Arrived(arrival));
        (ticket, receiver)
    }

    /// Records that a request has arrived.
    pub fn add_present(&self, key: RequestKey) {
        let mut keys = self.present_keys.borrow_mut();
        let position = keys.partition_point(|present| *present < key);
        keys.insert(position, key);
    }

    /// Records that a request has ended.
    pub fn remove_present(&self, key: RequestKey) {
        let mut keys = self.present_keys.borrow_mut();
        if let Ok(position) = keys.binary_search(&key) {
            keys.remove(position);
        }
    }

    /// Returns whether a request is queued or running.
    pub fn is_present(&self, key: RequestKey) -> bool {
        self.present_keys.borrow().binary_search(&key).is_ok()
    }

    /// Passes an event to the queue and delivers the resulting signals.
    pub fn handle(&self, event: AdmissionEvent) {
        let mut commands = Vec::new();
        self.queue.borrow_mut().handle(self.clock.now(), event, &mut commands);
        for command in commands {
            let (ticket, signal) = match command {
                AdmissionCommand::Start(ticket) => (ticket, TicketSignal::Start),
                AdmissionCommand::Refuse(ticket, reason, retry_after) => {
                    (ticket, TicketSignal::Refuse(reason, retry_after))
                }
                AdmissionCommand::Preempt(ticket) => {
                    self.metrics.preemptions.inc();
                    (ticket, TicketSignal::Preempt)
                }
                AdmissionCommand::Cancel(ticket) => (ticket, TicketSignal::Cancel),
            };
            self.signal(ticket, signal);
        }
    }

    /// Removes a request's signal channel once its task has ended.
    pub fn remove_ticket(&self, ticket: TicketId) {
        let mut signals = self.signals.borrow_mut();
        if let Ok(position) = signals.binary_search_by_key(&ticket, |row| row.0) {
            signals.remove(position);
        }
    }

    /// Returns the queue's load.
    pub fn load(&self) -> TargetLoad {
        self.queue.borrow_mut().load(self.clock.now())
    }

    /// Returns whether new work is refused because of a drain.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Starts refusing new work.
    pub fn start_drain(&self) {
        if !self.draining.replace(true) {
            self.handle(AdmissionEvent::DrainStarted);
        }
    }

    /// Updates the time-dependent state of the queue and the execution log.
    pub fn tick(&self, now: MonotonicTime) {
        self.handle(AdmissionEvent::Ticked);
        self.execution_log.borrow_mut().expire(now);
    }

    /// Sends a signal to a request's task, if the task still runs.
    fn signal(&self, ticket: TicketId, signal: TicketSignal) {
        let signals = self.signals.borrow();
        if let Ok(position) = signals.binary_search_by_key(&ticket, |row| row.0) {
            // The task may have just ended, and then needs no signal.
            let _ = signals[position].1.send(signal);
        }
    }
}
