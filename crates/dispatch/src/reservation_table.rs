//! Reservations that wait in one engine's queue on behalf of requests that stay at their entries.

use std::net::SocketAddr;
use std::time::Duration;

use cv_policy::MonotonicTime;
use cv_policy::TicketId;

/// Time for which a granted slot is kept free for its request; several round trips between
/// availability zones.
const GRANT_TTL: Duration = Duration::from_millis(50);

/// Time after which a waiting reservation ends unless its entry renews it, so that the reservations
/// of an entry that died or hangs take no slot.
const RESERVATION_TTL: Duration = Duration::from_millis(200);

/// Identifies one request's reservations in all queues in which it waits.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReservationId(pub u64);

/// A sidecar's reply to a reservation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReservationReply {
    /// A slot is free: the request should be sent now.
    Granted,
    /// The reservation waits in the queue.
    Waiting,
    /// The request would wait for too long, or the engine is draining.
    Denied,
}

/// A reservation in the queue.
#[derive(Clone, Copy, Debug)]
struct ReservationRow {
    /// Address of the entry.
    entry: SocketAddr,
    id: ReservationId,
    /// When a granted slot is released; `None` while the reservation waits.
    granted_until: Option<MonotonicTime>,
    /// When the entry last confirmed the reservation.
    renewed_at: MonotonicTime,
    ticket: TicketId,
}

/// The reservations in the queue of one engine.
///
/// Answers load peaks at which most queues are full: a request that waits in a few queues at once
/// and is sent to the first free slot does not stay behind the slowest of them. A reservation
/// carries no request, so one that ends unused has provably not run.
#[derive(Clone, Debug, Default)]
pub struct ReservationTable {
    /// Sorted by id.
    rows: Vec<ReservationRow>,
}

impl ReservationTable {
    /// Returns whether there are no reservations.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Adds a reservation that waits in the queue with a ticket.
    pub fn insert(
        &mut self,
        now: MonotonicTime,
        id: ReservationId,
        entry: SocketAddr,
        ticket: TicketId,
    ) {
        let row = ReservationRow { entry, id, granted_until: None, renewed_at: now, ticket };
        match self.position(id) {
            Ok(position) => self.rows[position] = row,
            Err(position) => self.rows.insert(position, row),
        }
    }

    /// Renews a reservation and returns its state, or `None` if it is unknown.
    pub fn renew(&mut self, now: MonotonicTime, id: ReservationId) -> Option<ReservationReply> {
        let row = self.position(id).ok().map(|position| &mut self.rows[position])?;
        row.renewed_at = now;
        let is_granted = row.granted_until.is_some();
        Some(if is_granted { ReservationReply::Granted } else { ReservationReply::Waiting })
    }

    /// Grants the reservation of a ticket whose slot is free; returns the reservation and the
    /// address of its entry.
    pub fn grant(
        &mut self,
        now: MonotonicTime,
        ticket: TicketId,
    ) -> Option<(ReservationId, SocketAddr)> {
        let row = self.rows.iter_mut().find(|row| row.ticket == ticket)?;
        if row.granted_until.is_some() {
            return None;
        }
        row.granted_until = Some(now + GRANT_TTL);
        Some((row.id, row.entry))
    }

    /// Removes a reservation that is granted and returns its ticket, which its request takes over.
    pub fn claim(&mut self, id: ReservationId) -> Option<TicketId> {
        let position = self.position(id).ok()?;
        self.rows[position].granted_until?;
        Some(self.rows.remove(position).ticket)
    }

    /// Removes a reservation that its entry no longer needs, and returns its ticket.
    pub fn release(&mut self, id: ReservationId) -> Option<TicketId> {
        let position = self.position(id).ok()?;
        Some(self.rows.remove(position).ticket)
    }

    /// Removes the reservation of a ticket that the queue has evicted; returns it with the address
    /// of its entry.
    pub fn evict(&mut self, ticket: TicketId) -> Option<(ReservationId, SocketAddr)> {
        let position = self.rows.iter().position(|row| row.ticket == ticket)?;
        let row = self.rows.remove(position);
        Some((row.id, row.entry))
    }

    /// Removes granted reservations whose request has not come and waiting ones that have not been
    /// renewed; returns their tickets.
    pub fn take_expired(&mut self, now: MonotonicTime) -> Vec<TicketId> {
        let has_expired = |row: &ReservationRow| match row.granted_until {
            Some(until) => until <= now,
            None => now.since(row.renewed_at) >= RESERVATION_TTL,
        };
        let (expired, rows) = self.rows.drain(..).partition(has_expired);
        self.rows = rows;
        let expired: Vec<ReservationRow> = expired;
        expired.into_iter().map(|row| row.ticket).collect()
    }

    /// Returns the index of a reservation, or the index at which to insert it.
    fn position(&self, id: ReservationId) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&id, |row| row.id)
    }
}
