//! Connects the tasks of requests with the queue that decides when each may use the engine.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::AdmissionDecision;
use cv_dispatch::AdmissionOptions;
use cv_dispatch::CustomerId;
use cv_dispatch::LoadReport;
use cv_dispatch::QueueCommand;
use cv_dispatch::ShareKey;
use cv_dispatch::SlotQueue;
use cv_policy::TicketId;
use cv_timer::ProcessClock;
use tokio::sync::Notify;

/// The queue's latest decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TicketSignal {
    /// The request waits for a slot.
    Waiting,
    /// The request may run.
    Started,
    /// The request is preempted: its run has to end, and it is already back in the queue.
    Preempted,
    /// The request has been removed from the queue and is refused.
    Evicted,
}

/// The state of a ticket, which the queue sets and the request's task waits on.
#[derive(Debug)]
struct TicketState {
    signal: Cell<TicketSignal>,
    wake: Notify,
}

/// The queue of one engine with the tickets of its requests.
#[derive(Debug)]
pub(crate) struct SlotGate {
    /// Sorted by ticket id.
    tickets: RefCell<Vec<(TicketId, Rc<TicketState>)>>,
    /// Notified when the time of the next tick may have changed.
    changed: Notify,
    clock: ProcessClock,
    /// Notified when a waiting request has been started or evicted.
    decided: Notify,
    next_ticket: Cell<u64>,
    queue: RefCell<SlotQueue>,
}

impl SlotGate {
    /// Creates a gate for an engine that runs `slots` requests at once.
    pub fn new(clock: ProcessClock, slots: u32) -> Rc<Self> {
        Rc::new(Self {
            tickets: RefCell::default(),
            changed: Notify::new(),
            clock,
            decided: Notify::new(),
            next_ticket: Cell::new(0),
            queue: RefCell::new(SlotQueue::new(slots)),
        })
    }

    /// Sets the engine's number of slots.
    pub fn set_slots(&self, slots: u32) {
        self.queue.borrow_mut().set_slots(slots);
        self.changed.notify_one();
    }

    /// Sets the limit that the engine names, in requests a second; `None` if it names none.
    pub fn set_request_limit(&self, limit: Option<f64>) {
        if limit.is_none() && !self.queue.borrow().is_limited() {
            return;
        }
        self.queue.borrow_mut().set_request_limit(self.clock.now(), limit);
        self.changed.notify_one();
    }

    /// Sets whether the engine is draining; returns whether that is a change.
    pub fn set_draining(&self, is_draining: bool) -> bool {
        if self.queue.borrow().is_draining() == is_draining {
            return false;
        }
        let mut commands = Vec::new();
        self.queue.borrow_mut().set_draining(is_draining, &mut commands);
        self.apply_commands(&commands);
        true
    }

    /// Returns whether the engine is draining.
    pub fn is_draining(&self) -> bool {
        self.queue.borrow().is_draining()
    }

    /// Evicts all batch requests and refuses new ones from now on.
    pub fn evict_batch(&self) {
        let mut commands = Vec::new();
        self.queue.borrow_mut().evict_batch(&mut commands);
        self.apply_commands(&commands);
    }

    /// Returns the queue's counts. An engine that takes no further request at the moment counts as
    /// full.
    pub fn load_report(&self) -> LoadReport {
        let queue = self.queue.borrow();
        let mut report = queue.load_report();
        if queue.is_rate_limited(self.clock.now()) {
            report.online_running = report.online_running.max(report.slots);
        }
        report
    }

    /// Returns whether an online request that arrived now would start at once.
    pub fn has_free_slot(&self) -> bool {
        let queue = self.queue.borrow();
        !queue.is_draining() && queue.expected_wait(self.clock.now()).is_zero()
    }

    /// Waits until a waiting request has been started or evicted.
    pub async fn decided(&self) {
        self.decided.notified().await;
    }

    /// Admits a request to the queue.
    ///
    /// # Errors
    /// The expected wait in seconds, if the request is refused because of it.
    pub fn admit(self: &Rc<Self>, options: &AdmissionOptions) -> Result<SlotTicket, f64> {
        let id = TicketId(self.next_ticket.replace(self.next_ticket.get() + 1));
        let mut commands = Vec::new();
        let now = self.clock.now();
        let decision = self.queue.borrow_mut().admit(now, id, options, &mut commands);
        let signal = match decision {
            AdmissionDecision::Refuse(wait) => return Err(wait.as_secs_f64()),
            AdmissionDecision::Start => TicketSignal::Started,
            AdmissionDecision::Wait => TicketSignal::Waiting,
        };
        let state = Rc::new(TicketState { signal: Cell::new(signal), wake: Notify::new() });
        // Ticket ids increase, so appending keeps the list sorted.
        self.tickets.borrow_mut().push((id, Rc::clone(&state)));
        self.apply_commands(&commands);
        Ok(SlotTicket { state, gate: Rc::clone(self), id, is_complete: false })
    }

    /// Returns whether an online request was refused because its customer has used its share: one of
    /// the same rank that has used nothing would have been admitted.
    pub fn is_over_share(&self, options: &AdmissionOptions) -> bool {
        let queue = self.queue.borrow();
        // No customer has this id, which datagrams use for none.
        let key = ShareKey { customer: Some(CustomerId(0)), ..options.share };
        let wait = queue.expected_wait_of(self.clock.now(), key);
        options.share.customer.is_some()
            && !queue.is_draining()
            && wait <= options.max_expected_wait
    }

    /// Runs the queue's timers for as long as the process runs.
    pub async fn run_ticks(self: Rc<Self>) {
        loop {
            let next = self.queue.borrow().next_tick(self.clock.now());
            match next {
                None => self.changed.notified().await,
                Some(due) => {
                    let delay = self.clock.now().until(due);
                    monoio::select! {
                        () = monoio::time::sleep(delay) => self.tick(),
                        () = self.changed.notified() => {}
                    }
                }
            }
        }
    }

    /// Lets the queue act on the current time.
    fn tick(&self) {
        let mut commands = Vec::new();
        self.queue.borrow_mut().tick(self.clock.now(), &mut commands);
        self.apply_commands(&commands);
    }

    /// Passes the queue's decisions to the tasks of the requests.
    fn apply_commands(&self, commands: &[QueueCommand]) {
        let tickets = self.tickets.borrow();
        for command in commands {
            let (ticket, signal) = match command {
                QueueCommand::Start(ticket) => (ticket, TicketSignal::Started),
                QueueCommand::Preempt(ticket) => (ticket, TicketSignal::Preempted),
                QueueCommand::Evict(ticket) => (ticket, TicketSignal::Evicted),
            };
            if let Ok(position) = tickets.binary_search_by_key(ticket, |(id, _)| *id) {
                tickets[position].1.signal.set(signal);
                tickets[position].1.wake.notify_one();
            }
        }
        self.changed.notify_one();
        if !commands.is_empty() {
            self.decided.notify_one();
        }
    }

    /// Removes a request that has ended, `is_complete` if its whole response has been relayed.
    fn finish(&self, id: TicketId, is_complete: bool) {
        let mut commands = Vec::new();
        let now = self.clock.now();
        if is_complete {
            self.queue.borrow_mut().finish(now, id, &mut commands);
        } else {
            self.queue.borrow_mut().remove(now, id, &mut commands);
        }
        self.tickets.borrow_mut().retain(|(other, _)| *other != id);
        self.apply_commands(&commands);
    }
}

/// A request's place in the queue or on the engine; dropping it releases the place.
#[derive(Debug)]
pub(crate) struct SlotTicket {
    state: Rc<TicketState>,
    gate: Rc<SlotGate>,
    id: TicketId,
    is_complete: bool,
}

impl SlotTicket {
    /// Returns the ticket's id.
    pub fn id(&self) -> TicketId {
        self.id
    }

    /// Returns whether the request may run.
    pub fn has_started(&self) -> bool {
        self.state.signal.get() == TicketSignal::Started
    }

    /// Returns whether the queue has evicted the request.
    pub fn is_evicted(&self) -> bool {
        self.state.signal.get() == TicketSignal::Evicted
    }

    /// Releases the place of a request whose whole response has been relayed.
    pub fn complete(mut self) {
        self.is_complete = true;
    }

    /// Waits for a slot; returns `false` if the queue evicts the request instead.
    pub async fn started(&self) -> bool {
        loop {
            match self.state.signal.get() {
                TicketSignal::Started => return true,
                TicketSignal::Evicted => return false,
                TicketSignal::Waiting | TicketSignal::Preempted => self.state.wake.notified().await,
            }
        }
    }

    /// Resolves when the run has to release its slot.
    pub async fn preempted(&self) {
        while self.state.signal.get() == TicketSignal::Started {
            self.state.wake.notified().await;
        }
    }

    /// Puts the request back into the queue after the engine has refused it; an online request whose
    /// expected wait is longer than `max_expected_wait` is evicted instead.
    pub fn requeue(&self, max_expected_wait: Duration) {
        if self.state.signal.get() == TicketSignal::Started {
            self.state.signal.set(TicketSignal::Waiting);
        }
        let (now, mut commands) = (self.gate.clock.now(), Vec::new());
        self.gate.queue.borrow_mut().requeue(now, self.id, max_expected_wait, &mut commands);
        self.gate.apply_commands(&commands);
        self.gate.tick();
    }
}

impl Drop for SlotTicket {
    fn drop(&mut self) {
        self.gate.finish(self.id, self.is_complete);
    }
}
