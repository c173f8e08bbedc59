//! The sidecar's decisions and the requests that wait for them.

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

use crate::message_labels::MessageLabels;
use crate::sidecar_metrics::SidecarMetrics;

/// Time for which request keys are remembered; longer than any retry can come.
const LOG_RETENTION: Duration = Duration::from_mins(15);

/// What a request's task is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TicketSignal {
    /// Hand the request to the target.
    Start,
    /// Refuse the request.
    Refuse(RefusalReason, Option<Duration>),
    /// Give the slot back and return what there is of the answer.
    Preempt,
    /// Stop; nobody waits for the answer.
    Cancel,
}

/// All state of a sidecar; its parts are borrowed for the length of one decision.
#[derive(Debug)]
pub(crate) struct SidecarState {
    pub clock: ProcessClock,
    pub config: RefCell<ActiveConfig>,
    pub draining: Cell<bool>,
    pub events: EventLog,
    pub gate: DrainGate,
    pub incarnation: u64,
    pub log: RefCell<ExecutionLog>,
    pub metrics: SidecarMetrics,
    /// Keys of the requests that wait or run, sorted.
    present: RefCell<Vec<RequestKey>>,
    next_ticket: Cell<u64>,
    organisations: RefCell<OrganisationTable>,
    queue: RefCell<AdmissionQueue>,
    pub secret: String,
    pub section: SidecarSection,
    signals: RefCell<Vec<(TicketId, UnboundedSender<TicketSignal>)>>,
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
            // Two starts within one microsecond do not happen to one sidecar.
            incarnation: std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default()
                .as_micros() as u64,
            log: RefCell::new(ExecutionLog::new(LOG_RETENTION)),
            metrics,
            next_ticket: Cell::new(1),
            present: RefCell::default(),
            organisations: RefCell::default(),
            queue: RefCell::new(AdmissionQueue::new(section.admission.0.clone())),
            secret,
            section,
            signals: RefCell::default(),
            target_up: Cell::new(false),
        }
    }

    /// Queues a request and returns its ticket and the channel of its signals.
    pub fn enqueue(
        &self,
        labels: &MessageLabels,
        cost: u32,
        preemptible: bool,
    ) -> (TicketId, UnboundedReceiver<TicketSignal>) {
        let now = self.clock.now();
        let ticket = TicketId(self.next_ticket.replace(self.next_ticket.get() + 1));
        let (sender, receiver) = unbounded_channel();
        // Tickets grow, so the table stays sorted.
        self.signals.borrow_mut().push((ticket, sender));
        let arrival = RequestArrival::builder()
            .class(labels.class)
            .cost(cost)
            .deadline(now + labels.deadline)
            .organisation(self.organisations.borrow_mut().intern(&labels.organisation))
            .preemptible(preemptible)
            .ticket(ticket)
            .weight(labels.weight)
            .build();
        self.handle(AdmissionEvent::Arrived(arrival));
        (ticket, receiver)
    }

    /// Notes that a request has arrived.
    pub fn enter(&self, key: RequestKey) {
        let mut present = self.present.borrow_mut();
        let position = present.partition_point(|known| *known < key);
        present.insert(position, key);
    }

    /// Notes that a request has been answered or given up.
    pub fn leave(&self, key: RequestKey) {
        let mut present = self.present.borrow_mut();
        if let Ok(position) = present.binary_search(&key) {
            present.remove(position);
        }
    }

    /// Tells whether a request waits or runs here.
    pub fn is_present(&self, key: RequestKey) -> bool {
        self.present.borrow().binary_search(&key).is_ok()
    }

    /// Gives the queue an event and delivers its commands.
    pub fn handle(&self, event: AdmissionEvent) {
        let mut commands = Vec::new();
        self.queue.borrow_mut().handle(self.clock.now(), event, &mut commands);
        for command in commands {
            let (ticket, signal) = match command {
                AdmissionCommand::Start(ticket) => (ticket, TicketSignal::Start),
                AdmissionCommand::Refuse(ticket, reason, after) => {
                    (ticket, TicketSignal::Refuse(reason, after))
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

    /// Forgets a request's channel once its task is over.
    pub fn release(&self, ticket: TicketId) {
        let mut signals = self.signals.borrow_mut();
        if let Ok(position) = signals.binary_search_by_key(&ticket, |row| row.0) {
            signals.remove(position);
        }
    }

    /// Returns the queue's counts; a target that is down or leaving offers nothing.
    pub fn reading(&self) -> TargetLoad {
        self.queue.borrow_mut().load(self.clock.now())
    }

    /// Tells whether new work is refused because the target is going.
    pub fn is_leaving(&self) -> bool {
        self.draining.get()
    }

    /// Stops taking new work.
    pub fn start_drain(&self) {
        if !self.draining.replace(true) {
            self.handle(AdmissionEvent::DrainStarted);
        }
    }

    /// Runs the systems that depend on time.
    pub fn tick(&self, now: MonotonicTime) {
        self.handle(AdmissionEvent::Ticked);
        self.log.borrow_mut().expire(now);
    }

    /// Sends a signal to a request's task, if it still runs.
    fn signal(&self, ticket: TicketId, signal: TicketSignal) {
        let signals = self.signals.borrow();
        if let Ok(position) = signals.binary_search_by_key(&ticket, |row| row.0) {
            // A task that has just ended needs no signal.
            let _ = signals[position].1.send(signal);
        }
    }
}
