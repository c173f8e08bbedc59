//! Places an entry's reservations and waits for the first slot that is granted.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use cv_dispatch::ReservationId;
use cv_dispatch::ReservationReply;
use cv_dispatch::ReservationRound;
use cv_dispatch::RoundDecision;
use cv_timer::ProcessClock;
use monoio::net::udp::UdpSocket;
use tokio::sync::Notify;

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

/// The reservations of one request.
#[derive(Debug)]
struct OpenRound {
    replied: Notify,
    round: RefCell<ReservationRound>,
    sidecars: Vec<SocketAddr>,
}

/// A request's reservations; dropping it releases those that are still open.
pub(crate) struct PlacedReservations {
    client: Rc<ReservationClient>,
    id: ReservationId,
    round: Rc<OpenRound>,
    /// Index of the sidecar to which the request is sent.
    taken: Option<usize>,
    terms: ReservationTerms,
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
        let placed = PlacedReservations { client: Rc::clone(self), id, round, taken: None, terms };
        let all: Vec<usize> = (0..placed.round.sidecars.len()).collect();
        placed.send(ReservationMessage::Place(id, terms), &all).await;
        placed
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

impl PlacedReservations {
    /// Returns the id, which the request carries to the sidecar that granted it a slot.
    pub fn id(&self) -> ReservationId {
        self.id
    }

    /// Waits until a sidecar grants a slot and returns its index, or `None` if none will.
    pub async fn granted(&mut self) -> Option<usize> {
        loop {
            let now = self.client.clock.now();
            let decision = self.round.round.borrow().decide(now);
            match decision {
                RoundDecision::Send(index) => {
                    self.taken = Some(index);
                    return Some(index);
                }
                RoundDecision::GiveUp => return None,
                RoundDecision::Wait(until) => {
                    let _ = monoio::time::timeout(now.until(until), self.round.replied.notified())
                        .await;
                }
            }
            let renewals = self.round.round.borrow_mut().take_renewals(self.client.clock.now());
            self.send(ReservationMessage::Place(self.id, self.terms), &renewals).await;
        }
    }

    /// Releases all reservations but the one that the request uses.
    pub async fn release_others(&self) {
        self.send(ReservationMessage::Release(self.id), &self.unused()).await;
        for index in self.unused() {
            self.round.round.borrow_mut().record_reply(index, ReservationReply::Denied);
        }
    }

    /// Returns the sidecars at which an unused reservation may still be open.
    fn unused(&self) -> Vec<usize> {
        let open = self.round.round.borrow().open_targets();
        open.into_iter().filter(|index| Some(*index) != self.taken).collect()
    }

    /// Sends a message to some of the sidecars; a lost one is made up for by renewal or expiry.
    async fn send(&self, message: ReservationMessage, indices: &[usize]) {
        for index in indices {
            let address = self.round.sidecars[*index];
            let _ = self.client.socket.send_to(message.encode(), address).await;
        }
    }
}

impl Drop for PlacedReservations {
    fn drop(&mut self) {
        let mut rounds = self.client.rounds.borrow_mut();
        if let Ok(position) = rounds.binary_search_by_key(&self.id, |(other, _)| *other) {
            rounds.remove(position);
        }
        let (socket, unused) = (Rc::clone(&self.client.socket), self.unused());
        if unused.is_empty() {
            return;
        }
        let (id, round) = (self.id, Rc::clone(&self.round));
        monoio::spawn(async move {
            for index in unused {
                let datagram = ReservationMessage::Release(id).encode();
                let _ = socket.send_to(datagram, round.sidecars[index]).await;
            }
        });
    }
}
