//! Sends an entry's reservations and receives the replies.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use cv_dispatch::ReservationId;
use cv_dispatch::ReservationRound;
use cv_policy::MonotonicTime;
use cv_timer::ProcessClock;
use monoio::net::udp::UdpSocket;
use tokio::sync::Notify;

use crate::entry::placed_reservations::PlacedReservations;
use crate::reservation_message::ReservationMessage;
use crate::reservation_message::ReservationTerms;
use crate::reservation_message::decode_reply;

/// Places reservations for the requests of one entry.
pub(crate) struct ReservationClient {
    clock: ProcessClock,
    next_id: Cell<u64>,
    /// Rounds in progress, sorted by id.
    rounds: RefCell<Vec<(ReservationId, Rc<OpenRound>)>>,
    socket: Rc<UdpSocket>,
}

/// The reservations of one request, shared by the task that waits for a slot and the one that
/// receives the replies.
#[derive(Debug)]
pub(crate) struct OpenRound {
    /// Notified of each reply.
    pub replied: Notify,
    /// The state of each reservation.
    pub round: RefCell<ReservationRound>,
    /// The sidecars, by the index that `round` uses.
    pub sidecars: Vec<SocketAddr>,
}

impl ReservationClient {
    /// Creates a client that sends from a socket; `first_id` has to differ between entries.
    pub fn new(clock: ProcessClock, socket: Rc<UdpSocket>, first_id: u64) -> Rc<Self> {
        let (next_id, rounds) = (Cell::new(first_id), RefCell::default());
        Rc::new(Self { clock, next_id, rounds, socket })
    }

    /// Places a request's reservations at sidecars; none waits for longer than the terms allow.
    pub async fn place(
        self: &Rc<Self>,
        sidecars: Vec<SocketAddr>,
        terms: ReservationTerms,
    ) -> PlacedReservations {
        let id = ReservationId(self.next_id.get());
        self.next_id.set(id.0.wrapping_add(1));
        let now = self.clock.now();
        let round = ReservationRound::new(now, sidecars.len(), now + terms.queue_timeout);
        let (round, replied) = (RefCell::new(round), Notify::new());
        let round = Rc::new(OpenRound { replied, round, sidecars });
        self.add_round(id, Rc::clone(&round));
        let placed = PlacedReservations::new(Rc::clone(self), id, round, terms);
        placed.send_all().await;
        placed
    }

    /// Returns the current time.
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Sends a message to some of a round's sidecars; renewal or expiry makes up for a lost one.
    pub async fn send(&self, message: ReservationMessage, sidecars: &[SocketAddr]) {
        for sidecar in sidecars {
            let _ = self.socket.send_to(message.encode(), *sidecar).await;
        }
    }

    /// Ends a round, whose replies are ignored from now on.
    pub fn remove_round(&self, id: ReservationId) {
        let mut rounds = self.rounds.borrow_mut();
        if let Ok(position) = rounds.binary_search_by_key(&id, |(other, _)| *other) {
            rounds.remove(position);
        }
    }

    /// Adds a round in order of id.
    fn add_round(&self, id: ReservationId, round: Rc<OpenRound>) {
        let mut rounds = self.rounds.borrow_mut();
        let position = rounds.partition_point(|(other, _)| *other < id);
        rounds.insert(position, (id, round));
    }

    /// Handles a datagram of the sidecar at an address, if it is a reply to a reservation.
    pub fn handle_reply(&self, sidecar: SocketAddr, datagram: &[u8]) {
        let Some((id, reply)) = decode_reply(datagram) else {
            return;
        };
        let rounds = self.rounds.borrow();
        let Ok(position) = rounds.binary_search_by_key(&id, |(other, _)| *other) else {
            return;
        };
        let round = &rounds[position].1;
        if let Some(index) = round.sidecars.iter().position(|address| *address == sidecar) {
            round.round.borrow_mut().record_reply(index, reply);
            round.replied.notify_one();
        }
    }
}
