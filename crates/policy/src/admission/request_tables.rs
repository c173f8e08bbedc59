//! Tables of waiting and running requests.

use bon::Builder;

use crate::MonotonicTime;
use crate::OrganisationId;
use crate::TicketId;
use crate::WorkClass;

/// A request that arrives at the sidecar.
#[derive(Builder, Clone, Copy, Debug)]
pub struct RequestArrival {
    /// Work class of the request.
    pub class: WorkClass,
    /// Expected cost in tokens, for fair sharing.
    #[builder(default = 1)]
    pub cost: u32,
    /// Time by which the whole response is needed.
    pub deadline: MonotonicTime,
    /// Organisation to which the request is charged.
    pub organisation: OrganisationId,
    /// Whether the request can be preempted and continued later.
    #[builder(default)]
    pub preemptible: bool,
    /// Ticket of the request, larger than those of all earlier arrivals.
    pub ticket: TicketId,
    /// Weight of the organisation in fair sharing.
    #[builder(default = 1)]
    pub weight: u32,
}

/// A request running at the target.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningRow {
    pub class: WorkClass,
    pub preemptible: bool,
    /// Set once the request was preempted or cancelled; its slot counts as free from then on.
    pub cancelled: bool,
    /// Tokens generated so far.
    pub progress: u32,
    /// Whether the first byte of the response has arrived.
    pub responded: bool,
    pub started: MonotonicTime,
    pub ticket: TicketId,
}

/// Waiting requests, sorted by ticket.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingTable {
    rows: Vec<RequestArrival>,
}

impl WaitingTable {
    /// Adds a request, whose ticket must be larger than all others.
    pub fn push(&mut self, arrival: RequestArrival) {
        self.rows.push(arrival);
    }

    /// Removes a request and returns it.
    pub fn remove(&mut self, ticket: TicketId) -> Option<RequestArrival> {
        let position = self.rows.binary_search_by_key(&ticket, |row| row.ticket).ok()?;
        Some(self.rows.remove(position))
    }

    /// Returns all rows in order of arrival.
    pub fn rows(&self) -> &[RequestArrival] {
        &self.rows
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.rows.len()
    }
}

/// Running requests, sorted by ticket.
#[derive(Clone, Debug, Default)]
pub(super) struct RunningTable {
    rows: Vec<RunningRow>,
}

impl RunningTable {
    /// Adds a request that was started.
    pub fn insert(&mut self, row: RunningRow) {
        if let Err(position) = self.position(row.ticket) {
            self.rows.insert(position, row);
        }
    }

    /// Removes a request and returns it.
    pub fn remove(&mut self, ticket: TicketId) -> Option<RunningRow> {
        self.position(ticket).ok().map(|position| self.rows.remove(position))
    }

    /// Returns a request for modification.
    pub fn get_mut(&mut self, ticket: TicketId) -> Option<&mut RunningRow> {
        let position = self.position(ticket).ok()?;
        self.rows.get_mut(position)
    }

    /// Returns the number of requests of a class that occupy a slot.
    pub fn count(&self, class: WorkClass) -> u32 {
        self.rows.iter().filter(|row| row.class == class && !row.cancelled).count() as u32
    }

    /// Returns the batch request to preempt next: the one with the least progress.
    pub fn preemption_candidate(&mut self) -> Option<&mut RunningRow> {
        let candidates = self.rows.iter_mut();
        candidates
            .filter(|row| row.class == WorkClass::Batch && row.preemptible && !row.cancelled)
            // At equal progress the latest arrival is picked, which has spent the least work on its
            // prompt.
            .min_by_key(|row| (row.progress, std::cmp::Reverse(row.ticket)))
    }

    /// Returns the index of a request's row, or the index at which to insert it.
    fn position(&self, ticket: TicketId) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&ticket, |row| row.ticket)
    }
}
