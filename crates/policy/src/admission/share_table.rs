//! Fair sharing between organisations by start-time fair queueing.

use crate::OrganisationId;

/// Usage of one organisation.
#[derive(Clone, Copy, Debug)]
struct ShareRow {
    organisation: OrganisationId,
    /// Cost used so far divided by the weight.
    virtual_time: f64,
}

/// Virtual times of the organisations.
///
/// An organisation that was idle resumes at the current virtual time, so it neither accumulates
/// share while idle nor is charged for the share that others used.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    /// Virtual start time of the latest request.
    virtual_now: f64,
    /// Sorted by organisation.
    rows: Vec<ShareRow>,
}

impl ShareTable {
    /// Returns the virtual time at which the organisation's next request would start.
    #[must_use]
    pub fn start_time(&self, organisation: OrganisationId) -> f64 {
        match self.position(organisation) {
            Ok(position) => self.rows[position].virtual_time.max(self.virtual_now),
            Err(_) => self.virtual_now,
        }
    }

    /// Charges an organisation for a request that starts.
    pub fn charge(&mut self, organisation: OrganisationId, cost: u32, weight: u32) {
        let start = self.start_time(organisation);
        let finish = start + f64::from(cost.max(1)) / f64::from(weight.max(1));
        self.virtual_now = self.virtual_now.max(start);
        match self.position(organisation) {
            Ok(position) => self.rows[position].virtual_time = finish,
            Err(position) => {
                self.rows.insert(position, ShareRow { organisation, virtual_time: finish });
            }
        }
    }

    /// Removes organisations whose virtual time has passed, which does not affect their next start.
    pub fn expire(&mut self) {
        let now = self.virtual_now;
        self.rows.retain(|row| row.virtual_time > now);
    }

    /// Returns the index of an organisation's row, or the index at which to insert it.
    fn position(&self, organisation: OrganisationId) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&organisation, |row| row.organisation)
    }
}
