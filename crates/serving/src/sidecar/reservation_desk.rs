//! Takes entries' reservations into the queue and tells them when a slot is free.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::AdmissionOptions;
use cv_dispatch::ReservationId;
use cv_dispatch::ReservationReply;
use cv_dispatch::ReservationTable;
use cv_policy::TicketId;
use cv_policy::WorkClass;
use cv_timer::ProcessClock;
use monoio::net::udp::UdpSocket;

use crate::reservation_message::ReservationMessage;
use crate::reservation_message::ReservationTerms;
use crate::reservation_message::encode_reply;
use crate::sidecar::slot_gate::SlotGate;
use crate::sidecar::slot_gate::SlotTicket;

/// Time between two checks for reservations that have expired, while there are any.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Numbers of reservations that were denied, by cause.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DeniedReservations {
    /// The customer has used its share; one of the same rank that has not would have been admitted.
    pub over_share: u64,
    /// All requests would wait for too long, or the engine or this process is draining.
    pub queue_full: u64,
}

/// The reservations at one sidecar, with the tickets by which they wait in its queue.
pub(crate) struct ReservationDesk {
    clock: ProcessClock,
    denied: Cell<DeniedReservations>,
    gate: Rc<SlotGate>,
    /// Whether new reservations are denied, because this process accepts no more connections.
    is_closed: Cell<bool>,
    socket: Rc<UdpSocket>,
    table: RefCell<ReservationTable>,
    /// Sorted by ticket id; dropping a ticket gives up its place or slot.
    tickets: RefCell<Vec<(TicketId, SlotTicket)>>,
}

impl ReservationDesk {
    /// Starts the task that grants and ends reservations.
    pub fn start(clock: ProcessClock, gate: Rc<SlotGate>, socket: Rc<UdpSocket>) -> Rc<Self> {
        let (table, tickets) = (RefCell::default(), RefCell::default());
        let (denied, is_closed) = (Cell::default(), Cell::new(false));
        let desk = Rc::new(Self { clock, denied, gate, is_closed, socket, table, tickets });
        let granting = Rc::clone(&desk);
        monoio::spawn(async move {
            loop {
                let decided = granting.gate.decided();
                if granting.table.borrow().is_empty() {
                    decided.await;
                } else {
                    let _ = monoio::time::timeout(EXPIRY_INTERVAL, decided).await;
                }
                granting.send_decisions().await;
            }
        });
        desk
    }

    /// Returns the numbers of reservations that were denied so far.
    pub fn denied(&self) -> DeniedReservations {
        self.denied.get()
    }

    /// Denies all new reservations from now on.
    pub fn close(&self) {
        self.is_closed.set(true);
    }

    /// Handles a message of the entry at an address.
    pub async fn handle(&self, message: ReservationMessage, entry: SocketAddr) {
        match message {
            ReservationMessage::Place(id, terms) => {
                let reply = self.place(id, &terms, entry);
                self.send(id, reply, entry).await;
            }
            ReservationMessage::Release(id) => {
                let ticket = self.table.borrow_mut().release(id);
                drop(ticket.and_then(|ticket| self.take_ticket(ticket)));
            }
        }
    }

    /// Returns the ticket of the slot that is kept free for a request, if it still is.
    pub fn claim(&self, id: ReservationId) -> Option<SlotTicket> {
        let ticket = self.table.borrow_mut().claim(id)?;
        self.take_ticket(ticket)
    }

    /// Renews a reservation, or places it if it is new.
    fn place(
        &self,
        id: ReservationId,
        terms: &ReservationTerms,
        entry: SocketAddr,
    ) -> ReservationReply {
        let now = self.clock.now();
        if let Some(reply) = self.table.borrow_mut().renew(now, id) {
            return reply;
        }
        if self.is_closed.get() {
            return ReservationReply::Denied;
        }
        if self.gate.has_free_slot() {
            // The slot is not kept: an online request that arrives first takes it.
            return ReservationReply::Granted;
        }
        let options = AdmissionOptions {
            has_begun: false,
            class: WorkClass::Online,
            due: now,
            max_expected_wait: terms.max_expected_wait,
            objective_left: terms.objective_left,
            expected_run: Duration::ZERO,
            queues: terms.queues.into(),
            queue_timeout: terms.queue_timeout,
            share: terms.share,
        };
        let Ok(ticket) = self.gate.admit(&options) else {
            let mut denied = self.denied.get();
            if self.gate.is_over_share(&options) {
                denied.over_share += 1;
            } else {
                denied.queue_full += 1;
            }
            self.denied.set(denied);
            return ReservationReply::Denied;
        };
        self.table.borrow_mut().insert(now, id, entry, ticket.id());
        self.tickets.borrow_mut().push((ticket.id(), ticket));
        ReservationReply::Waiting
    }

    /// Tells the entries which reservations have been granted or evicted, and ends expired ones.
    async fn send_decisions(&self) {
        let now = self.clock.now();
        let mut replies = Vec::new();
        let mut ended = self.table.borrow_mut().take_expired(now);
        for (id, ticket) in self.tickets.borrow().iter() {
            if ticket.has_started() {
                let granted = self.table.borrow_mut().grant(now, *id);
                replies.extend(granted.map(|granted| (granted, ReservationReply::Granted)));
            } else if ticket.is_evicted() {
                let evicted = self.table.borrow_mut().evict(*id);
                replies.extend(evicted.map(|evicted| (evicted, ReservationReply::Denied)));
                ended.push(*id);
            }
        }
        for ticket in ended {
            drop(self.take_ticket(ticket));
        }
        for ((id, entry), reply) in replies {
            self.send(id, reply, entry).await;
        }
    }

    /// Removes and returns a ticket; the caller drops it outside of any borrow.
    fn take_ticket(&self, id: TicketId) -> Option<SlotTicket> {
        let mut tickets = self.tickets.borrow_mut();
        let position = tickets.binary_search_by_key(&id, |(other, _)| *other).ok()?;
        Some(tickets.remove(position).1)
    }

    /// Sends a reply to an entry; the entry's next renewal replaces one that is lost.
    async fn send(&self, id: ReservationId, reply: ReservationReply, entry: SocketAddr) {
        let _ = self.socket.send_to(encode_reply(id, reply), entry).await;
    }
}
