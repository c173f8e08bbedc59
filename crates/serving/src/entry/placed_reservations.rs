//! The reservations of one request, from placing them to the first slot that is granted.

use std::net::SocketAddr;
use std::rc::Rc;

use cv_dispatch::ReservationId;
use cv_dispatch::RoundDecision;

use crate::entry::reservation_client::OpenRound;
use crate::entry::reservation_client::ReservationClient;
use crate::reservation_message::ReservationMessage;
use crate::reservation_message::ReservationTerms;

/// A request's reservations; dropping it releases those that are still open.
pub(crate) struct PlacedReservations {
    client: Rc<ReservationClient>,
    id: ReservationId,
    round: Rc<OpenRound>,
    /// Index of the sidecar to which the request is sent.
    taken: Option<usize>,
    terms: ReservationTerms,
}

impl PlacedReservations {
    /// Creates the reservations of a round that has been added to its client.
    pub fn new(
        client: Rc<ReservationClient>,
        id: ReservationId,
        round: Rc<OpenRound>,
        terms: ReservationTerms,
    ) -> Self {
        Self { client, id, round, taken: None, terms }
    }

    /// Returns the id, which the request carries to the sidecar that granted it a slot.
    pub fn id(&self) -> ReservationId {
        self.id
    }

    /// Waits until a sidecar grants a slot and returns its index, or `None` if none will.
    pub async fn granted(&mut self) -> Option<usize> {
        loop {
            let now = self.client.now();
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
            let renewals = self.round.round.borrow_mut().take_renewals(self.client.now());
            let message = ReservationMessage::Place(self.id, self.terms);
            self.client.send(message, &self.addresses(&renewals)).await;
        }
    }

    /// Releases all reservations but the one that the request uses.
    pub async fn release_others(&self) {
        let unused = self.unused();
        for index in &unused {
            self.round.round.borrow_mut().end(*index);
        }
        let message = ReservationMessage::Release(self.id);
        self.client.send(message, &self.addresses(&unused)).await;
    }

    /// Returns the sidecars at which an unused reservation may still be open.
    fn unused(&self) -> Vec<usize> {
        let open = self.round.round.borrow().open_targets();
        open.into_iter().filter(|index| Some(*index) != self.taken).collect()
    }

    /// Places all reservations.
    pub async fn send_all(&self) {
        let message = ReservationMessage::Place(self.id, self.terms);
        self.client.send(message, &self.round.sidecars).await;
    }

    /// Returns the addresses of the sidecars with the given indices.
    fn addresses(&self, indices: &[usize]) -> Vec<SocketAddr> {
        indices.iter().map(|index| self.round.sidecars[*index]).collect()
    }
}

impl Drop for PlacedReservations {
    fn drop(&mut self) {
        self.client.remove_round(self.id);
        let unused = self.addresses(&self.unused());
        if unused.is_empty() {
            return;
        }
        let (client, id) = (Rc::clone(&self.client), self.id);
        monoio::spawn(async move {
            client.send(ReservationMessage::Release(id), &unused).await;
        });
    }
}
