//! Which target a batch item runs at.

use std::time::Duration;

use cv_policy::MonotonicTime;

use crate::TargetChoice;
use crate::TargetRoster;
use crate::TargetRow;

/// Age at which a queue's reading no longer tells anything.
const READING_AGE: Duration = Duration::from_millis(1_500);

/// Load in slots that a target of another availability zone has to be better by.
const ZONE_PENALTY: f64 = 0.3;

/// The batch items that one keeper has under way, by target.
#[derive(Clone, Debug, Default)]
pub struct RunSchedule {
    /// Sorted by target id.
    outstanding: Vec<(String, u32)>,
}

impl RunSchedule {
    /// Chooses the target with the most room for one more item.
    ///
    /// A target gets at most as many items of this keeper as it has slots: more would only wait
    /// there while another target falls idle.
    #[must_use]
    pub fn choose(
        &self,
        roster: &TargetRoster,
        now: MonotonicTime,
        service: &str,
        zone: &str,
    ) -> Option<TargetChoice> {
        let usable = roster.rows().iter().filter(|row| {
            row.record.service == service
                && row.is_usable(now)
                && self.count(&row.record.id) < row.record.slots.max(1)
        });
        let costs = usable.map(|row| (self.cost_of(row, now, zone), row));
        let (_, row) = costs.min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(TargetChoice {
            address: row.record.address,
            id: row.record.id.clone(),
            is_full: false,
            slots: row.record.slots,
            through_sidecar: row.has_sidecar(now),
        })
    }

    /// Counts an item that is handed to a target.
    pub fn begin(&mut self, id: &str) {
        match self.position(id) {
            Ok(position) => self.outstanding[position].1 += 1,
            Err(position) => self.outstanding.insert(position, (id.to_owned(), 1)),
        }
    }

    /// Counts the end of an item's run.
    pub fn end(&mut self, id: &str) {
        if let Ok(position) = self.position(id) {
            self.outstanding[position].1 -= 1;
            if self.outstanding[position].1 == 0 {
                self.outstanding.remove(position);
            }
        }
    }

    /// Returns the items under way at a target.
    #[must_use]
    pub fn count(&self, id: &str) -> u32 {
        self.position(id).map_or(0, |position| self.outstanding[position].1)
    }

    /// Returns the load that an item would meet, in slots.
    fn cost_of(&self, row: &TargetRow, now: MonotonicTime, zone: &str) -> f64 {
        let own = self.count(&row.record.id);
        let load = match row.fresh_reading(now, READING_AGE) {
            Some(reading) => {
                let batch = (reading.batch_running + reading.batch_waiting).max(own);
                batch + reading.online_running + reading.online_waiting
            }
            None => own,
        };
        let penalty = if row.record.zone == zone { 0.0 } else { ZONE_PENALTY };
        f64::from(load) + penalty
    }

    /// Finds the place of a target.
    fn position(&self, id: &str) -> Result<usize, usize> {
        self.outstanding.binary_search_by(|(other, _)| other.as_str().cmp(id))
    }
}
