//! The tables of waiting and running requests.

use bon::Builder;

use crate::MonotonicTime;
use crate::OrganisationId;
use crate::TicketId;
use crate::WorkClass;

/// A request that reaches the sidecar.
#[derive(Builder, Clone, Copy, Debug)]
pub struct RequestArrival {
    /// Whether a caller waits.
    pub class: WorkClass,
    /// Expected cost in tokens, for shares.
    #[builder(default = 1)]
    pub cost: u32,
    /// Time by which the whole answer is needed.
    pub deadline: MonotonicTime,
    /// Who pays.
    pub organisation: OrganisationId,
    /// Whether the request may be cancelled and continued later.
    #[builder(default)]
    pub preemptible: bool,
    /// The request's ticket; larger than all before it.
    pub ticket: TicketId,
    /// The organisation's weight in the shares.
    #[builder(default = 1)]
    pub weight: u32,
}

/// A request that runs at the target.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningRow {
    pub class: WorkClass,
    pub preemptible: bool,
    /// Set once the request was told to stop; its slot counts as free from then on.
    pub preempted: bool,
    /// Tokens generated so far.
    pub progress: u32,
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
    /// Adds an arrival, which has the largest ticket so far.
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
    /// Adds a request that has been handed over.
    pub fn insert(&mut self, row: RunningRow) {
        if let Err(position) = self.position(row.ticket) {
            self.rows.insert(position, row);
        }
    }

    /// Removes a request and returns it.
    pub fn remove(&mut self, ticket: TicketId) -> Option<RunningRow> {
        self.position(ticket).ok().map(|position| self.rows.remove(position))
    }

    /// Finds a request for change.
    pub fn get_mut(&mut self, ticket: TicketId) -> Option<&mut RunningRow> {
        let position = self.position(ticket).ok()?;
        self.rows.get_mut(position)
    }

    /// Counts the requests of a class that hold a slot.
    pub fn count(&self, class: WorkClass) -> u32 {
        self.rows.iter().filter(|row| row.class == class && !row.preempted).count() as u32
    }

    /// Finds the batch request with the least progress that was not told to stop yet.
    pub fn least_batch_progress(&mut self) -> Option<&mut RunningRow> {
        let candidates = self.rows.iter_mut();
        candidates
            .filter(|row| row.class == WorkClass::Batch && row.preemptible && !row.preempted)
            // Of equal progress the latest start goes first: its prompt work is least used.
            .min_by_key(|row| (row.progress, std::cmp::Reverse(row.ticket)))
    }

    /// Finds a request's row, or the place where it belongs.
    fn position(&self, ticket: TicketId) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&ticket, |row| row.ticket)
    }
}
