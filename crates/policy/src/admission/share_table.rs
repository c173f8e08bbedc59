//! Fair shares between organisations by start-time fair queueing.

use crate::OrganisationId;

/// What one organisation has used.
#[derive(Clone, Copy, Debug)]
struct ShareRow {
    organisation: OrganisationId,
    /// Cost used so far divided by the weight.
    virtual_time: f64,
}

/// Virtual times of the organisations, sorted by organisation.
///
/// An organisation that was idle starts at the time of those that were not, so it neither saves up
/// share nor pays for the share that others used.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    now: f64,
    rows: Vec<ShareRow>,
}

impl ShareTable {
    /// Returns the virtual time at which the organisation's next request would start.
    #[must_use]
    pub fn start_time(&self, organisation: OrganisationId) -> f64 {
        match self.position(organisation) {
            Ok(position) => self.rows[position].virtual_time.max(self.now),
            Err(_) => self.now,
        }
    }

    /// Charges the organisation for a request that starts.
    pub fn charge(&mut self, organisation: OrganisationId, cost: u32, weight: u32) {
        let start = self.start_time(organisation);
        let finish = start + f64::from(cost.max(1)) / f64::from(weight.max(1));
        self.now = self.now.max(start);
        match self.position(organisation) {
            Ok(position) => self.rows[position].virtual_time = finish,
            Err(position) => {
                self.rows.insert(position, ShareRow { organisation, virtual_time: finish });
            }
        }
    }

    /// Forgets the organisations whose use lies in the past; they start afresh all the same.
    pub fn expire(&mut self) {
        let now = self.now;
        self.rows.retain(|row| row.virtual_time > now);
    }

    /// Finds an organisation's row, or the place where it belongs.
    fn position(&self, organisation: OrganisationId) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&organisation, |row| row.organisation)
    }
}
