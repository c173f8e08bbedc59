//! Which target a batch item runs at, and when it is better moved.

use std::time::Duration;

use cv_policy::MonotonicTime;

use crate::TargetChoice;
use crate::TargetRow;
use crate::TargetTable;

/// Age at which a queue's reading no longer tells anything.
const READING_AGE: Duration = Duration::from_millis(1_500);

/// Load in slots that a target of another availability zone has to be better by.
const ZONE_PENALTY: f64 = 0.3;

/// Age at which a reading is too old to move runs by; sidecars send several a second.
const MOVE_READING_AGE: Duration = Duration::from_millis(400);

/// Time without output after which a run is taken to be waiting in its sidecar's queue; running
/// ones send output twice as often.
const WAITING_SILENCE: Duration = Duration::from_millis(550);

/// Silence of a sidecar up to which it is taken to come back, as one that is started again does.
const RETURN_TIME: Duration = Duration::from_secs(5);

/// Items of one keeper at a target without a sidecar, where they cannot give way to online requests.
const DIRECT_ITEMS: u32 = 1;

/// Identifies a run within one keeper; grows with each.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunId(pub u64);

/// A run under way.
#[derive(Clone, Debug)]
struct RunRow {
    due_ms: u64,
    heard: MonotonicTime,
    id: RunId,
    target: String,
}

/// The batch items that one keeper has under way.
#[derive(Clone, Debug, Default)]
pub struct RunSchedule {
    next_run: u64,
    /// Items under way by target, sorted by the target's id.
    outstanding: Vec<(String, u32)>,
    /// Sorted by run.
    runs: Vec<RunRow>,
}

impl RunSchedule {
    /// Chooses the target with the most room for one more item.
    ///
    /// A target gets at most as many items of this keeper as it has slots: more would only wait
    /// there while another target falls idle. One whose sidecar is silent gets few, and none while
    /// the sidecar may come back, since online requests would have to wait for their ends.
    #[must_use]
    pub fn choose_target(
        &self,
        roster: &TargetTable,
        now: MonotonicTime,
        service: &str,
        zone: &str,
    ) -> Option<TargetChoice> {
        let usable = roster.rows().iter().filter(|row| {
            row.record.service == service
                && row.is_usable(now)
                && self.run_count(&row.record.id) < item_limit(row, now)
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

    /// Counts an item, due at a time in milliseconds since the Unix epoch, that is handed to a
    /// target.
    pub fn begin_run(&mut self, target: &str, due_ms: u64, now: MonotonicTime) -> RunId {
        match self.position(target) {
            Ok(position) => self.outstanding[position].1 += 1,
            Err(position) => self.outstanding.insert(position, (target.to_owned(), 1)),
        }
        let id = RunId(self.next_run);
        self.next_run += 1;
        self.runs.push(RunRow { due_ms, heard: now, id, target: target.to_owned() });
        id
    }

    /// Notes output of a run.
    pub fn record_output(&mut self, run: RunId, now: MonotonicTime) {
        if let Ok(position) = self.runs.binary_search_by_key(&run, |row| row.id) {
            self.runs[position].heard = now;
        }
    }

    /// Counts the end of a run.
    pub fn end(&mut self, run: RunId) {
        let Ok(position) = self.runs.binary_search_by_key(&run, |row| row.id) else {
            return;
        };
        let row = self.runs.remove(position);
        if let Ok(position) = self.position(&row.target) {
            self.outstanding[position].1 -= 1;
            if self.outstanding[position].1 == 0 {
                self.outstanding.remove(position);
            }
        }
    }

    /// Returns the items under way at a target.
    #[must_use]
    pub fn run_count(&self, target: &str) -> u32 {
        self.position(target).map_or(0, |position| self.outstanding[position].1)
    }

    /// Returns the runs that wait in a queue although another target has a free slot, those that
    /// are due first before others.
    ///
    /// Each of several keepers takes its share of the free slots.
    #[must_use]
    pub fn plan_moves(
        &self,
        roster: &TargetTable,
        now: MonotonicTime,
        keepers: usize,
    ) -> Vec<RunId> {
        let free: u32 = roster.rows().iter().map(|row| free_slots(row, now)).sum();
        let share = (free as usize).div_ceil(keepers.max(1));
        let mut waiting: Vec<&RunRow> = self
            .runs
            .iter()
            .filter(|run| now.since(run.heard) >= WAITING_SILENCE)
            .filter(|run| roster.get(&run.target).is_some_and(|row| has_queue(row, now)))
            .collect();
        waiting.sort_by_key(|run| (run.due_ms, run.id));
        waiting.into_iter().take(share).map(|run| run.id).collect()
    }

    /// Returns the load that an item would meet, in slots.
    fn cost_of(&self, row: &TargetRow, now: MonotonicTime, zone: &str) -> f64 {
        let own = self.run_count(&row.record.id);
        let load = match row.fresh_report(now, READING_AGE) {
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
    fn position(&self, target: &str) -> Result<usize, usize> {
        self.outstanding.binary_search_by(|(other, _)| other.as_str().cmp(target))
    }
}

/// Returns the number of items that one keeper may have at a target.
fn item_limit(row: &TargetRow, now: MonotonicTime) -> u32 {
    if row.has_sidecar(now) {
        return row.record.slots.max(1);
    }
    let returns = row.sidecar_silence(now).is_some_and(|silence| silence < RETURN_TIME);
    if returns { 0 } else { DIRECT_ITEMS }
}

/// Returns the slots of a target that nothing runs in or waits for.
fn free_slots(row: &TargetRow, now: MonotonicTime) -> u32 {
    if !row.is_usable(now) || !row.has_sidecar(now) {
        return 0;
    }
    row.fresh_report(now, MOVE_READING_AGE).map_or(0, |reading| {
        let online = reading.online_running + reading.online_waiting;
        let batch = reading.batch_running + reading.batch_waiting;
        reading.slots.saturating_sub(online + batch)
    })
}

/// Tells whether batch items wait at a target.
fn has_queue(row: &TargetRow, now: MonotonicTime) -> bool {
    let reading = row.fresh_report(now, MOVE_READING_AGE);
    reading.is_some_and(|reading| reading.batch_waiting > 0)
}
