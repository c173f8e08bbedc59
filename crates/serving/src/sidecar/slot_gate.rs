//! Lets requests to the engine one by one, as the queue decides.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use cv_dispatch::AdmissionDecision;
use cv_dispatch::AdmissionOptions;
use cv_dispatch::LoadReport;
use cv_dispatch::QueueCommand;
use cv_dispatch::SlotQueue;
use cv_policy::TicketId;
use cv_timer::ProcessClock;
use tokio::sync::Notify;

/// What the queue last said to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TicketSignal {
    /// It waits.
    Waiting,
    /// It may run.
    Started,
    /// Its run has to end; it waits again already.
    Preempted,
    /// It is turned away.
    Expired,
}

/// Where a request's task hears from the queue.
#[derive(Debug)]
struct TicketCell {
    signal: Cell<TicketSignal>,
    wake: Notify,
}

/// The queue with the tasks that wait in it.
#[derive(Debug)]
pub(crate) struct SlotGate {
    /// Sorted by ticket.
    cells: RefCell<Vec<(TicketId, Rc<TicketCell>)>>,
    changed: Notify,
    clock: ProcessClock,
    next_ticket: Cell<u64>,
    queue: RefCell<SlotQueue>,
}

impl SlotGate {
    /// Creates a gate before an engine with so many slots.
    pub fn new(clock: ProcessClock, slots: u32) -> Rc<Self> {
        Rc::new(Self {
            cells: RefCell::default(),
            changed: Notify::new(),
            clock,
            next_ticket: Cell::new(0),
            queue: RefCell::new(SlotQueue::new(slots)),
        })
    }

    /// Takes the engine's number of slots.
    pub fn set_slots(&self, slots: u32) {
        self.queue.borrow_mut().set_slots(slots);
    }

    /// Takes whether the engine is leaving; tells whether that is news.
    pub fn set_leaving(&self, is_leaving: bool) -> bool {
        if self.queue.borrow().is_leaving() == is_leaving {
            return false;
        }
        let mut commands = Vec::new();
        self.queue.borrow_mut().set_leaving(is_leaving, &mut commands);
        self.carry_out(&commands);
        true
    }

    /// Turns all batch requests away, for good.
    pub fn hand_back_batch(&self) {
        let mut commands = Vec::new();
        self.queue.borrow_mut().hand_back_batch(&mut commands);
        self.carry_out(&commands);
    }

    /// Returns the queue's counts.
    pub fn reading(&self) -> LoadReport {
        self.queue.borrow().reading()
    }

    /// Takes an arrival; returns `Err` with the expected wait in seconds if it is refused.
    pub fn arrive(self: &Rc<Self>, terms: &AdmissionOptions) -> Result<SlotTicket, f64> {
        let id = TicketId(self.next_ticket.replace(self.next_ticket.get() + 1));
        let mut commands = Vec::new();
        let now = self.clock.now();
        let verdict = self.queue.borrow_mut().arrive(now, id, terms, &mut commands);
        let signal = match verdict {
            AdmissionDecision::Refuse(wait) => return Err(wait.as_secs_f64()),
            AdmissionDecision::Start => TicketSignal::Started,
            AdmissionDecision::Wait => TicketSignal::Waiting,
        };
        let cell = Rc::new(TicketCell { signal: Cell::new(signal), wake: Notify::new() });
        // Tickets grow, so the end is the place in order.
        self.cells.borrow_mut().push((id, Rc::clone(&cell)));
        self.carry_out(&commands);
        Ok(SlotTicket { cell, gate: Rc::clone(self), id })
    }

    /// Lets time pass in the queue for as long as the process runs.
    pub async fn run_ticks(self: Rc<Self>) {
        loop {
            let next = self.queue.borrow().next_tick(self.clock.now());
            match next {
                None => self.changed.notified().await,
                Some(due) => {
                    let pause = self.clock.now().until(due);
                    monoio::select! {
                        () = monoio::time::sleep(pause) => self.tick(),
                        () = self.changed.notified() => {}
                    }
                }
            }
        }
    }

    /// Lets the queue look at the time.
    fn tick(&self) {
        let mut commands = Vec::new();
        self.queue.borrow_mut().tick(self.clock.now(), &mut commands);
        self.carry_out(&commands);
    }

    /// Tells the tasks what the queue has decided.
    fn carry_out(&self, commands: &[QueueCommand]) {
        let cells = self.cells.borrow();
        for command in commands {
            let (ticket, signal) = match command {
                QueueCommand::Start(ticket) => (ticket, TicketSignal::Started),
                QueueCommand::Preempt(ticket) => (ticket, TicketSignal::Preempted),
                QueueCommand::Expire(ticket) => (ticket, TicketSignal::Expired),
            };
            if let Ok(position) = cells.binary_search_by_key(ticket, |(id, _)| *id) {
                cells[position].1.signal.set(signal);
                cells[position].1.wake.notify_one();
            }
        }
        self.changed.notify_one();
    }

    /// Takes the end of a request.
    fn finish(&self, id: TicketId) {
        let mut commands = Vec::new();
        self.queue.borrow_mut().finish(self.clock.now(), id, &mut commands);
        self.cells.borrow_mut().retain(|(other, _)| *other != id);
        self.carry_out(&commands);
    }
}

/// A request's place in the queue or at the engine; dropping it gives the place up.
#[derive(Debug)]
pub(crate) struct SlotTicket {
    cell: Rc<TicketCell>,
    gate: Rc<SlotGate>,
    id: TicketId,
}

impl SlotTicket {
    /// Waits for a slot; tells whether there is one, or the patience is over.
    pub async fn started(&self) -> bool {
        loop {
            match self.cell.signal.get() {
                TicketSignal::Started => return true,
                TicketSignal::Expired => return false,
                TicketSignal::Waiting | TicketSignal::Preempted => self.cell.wake.notified().await,
            }
        }
    }

    /// Resolves when the run has to give its slot back.
    pub async fn preempted(&self) {
        while self.cell.signal.get() == TicketSignal::Started {
            self.cell.wake.notified().await;
        }
    }

    /// Waits again after the engine did not take the request.
    pub fn requeue(&self) {
        if self.cell.signal.get() == TicketSignal::Started {
            self.cell.signal.set(TicketSignal::Waiting);
        }
        let mut commands = Vec::new();
        self.gate.queue.borrow_mut().requeue(self.id, &mut commands);
        self.gate.carry_out(&commands);
        self.gate.tick();
    }
}

impl Drop for SlotTicket {
    fn drop(&mut self) {
        self.gate.finish(self.id);
    }
}
