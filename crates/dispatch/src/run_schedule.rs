//! Choice of the target for each run of a batch item, and of the runs to move to another target.

use std::time::Duration;

use cv_policy::MonotonicTime;
use cv_policy::SeededRandom;

use crate::PlacementRequest;
use crate::TargetChoice;
use crate::TargetHold;
use crate::TargetRow;
use crate::TargetTable;

/// Age above which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Cost of a target in another availability zone, in requests on a target of eight slots.
const ZONE_PENALTY: f64 = 0.3;

/// Cost of a target all of whose responses fail, in requests on a target of eight slots.
const FAILURE_COST: f64 = 16.0;

/// Age above which a load report is too old to move runs; sidecars send several a second.
const MAX_MOVE_REPORT_AGE: Duration = Duration::from_millis(400);

/// Time without output after which a run counts as waiting in its sidecar's queue; a run that has a
/// slot produces output twice in this time.
const QUEUED_OUTPUT_GAP: Duration = Duration::from_millis(550);

/// Time since a sidecar's last load report within which it may still be restarting.
const SIDECAR_RESTART_TIME: Duration = Duration::from_secs(5);

/// Silence after which a run on an instance that may only be slow or disconnected for a moment
/// counts as lost.
const MAX_SILENCE: Duration = Duration::from_millis(3_500);

/// Shortest silence after which a run counts as lost, if its item would be late otherwise.
const MIN_SILENCE: Duration = Duration::from_millis(1_200);

/// Most items of one keeper at a target without a sidecar, where online requests cannot preempt
/// them.
const MAX_DIRECT_ITEMS: u32 = 1;

/// Identifies a run within one keeper; later runs have larger ids.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunId(pub u64);

/// A run in progress.
#[derive(Clone, Debug)]
struct ActiveRun {
    /// When the item is due, in milliseconds since the Unix epoch.
    due_ms: u64,
    /// When the run last produced output, or its start.
    last_output: MonotonicTime,
    id: RunId,
    /// Id of the target.
    target: String,
    /// Whether it runs through the target's sidecar.
    through_sidecar: bool,
}

/// The runs that one keeper has in progress.
#[derive(Clone, Debug, Default)]
pub struct RunSchedule {
    next_run: u64,
    /// Number of runs per target, sorted by the target's id.
    run_counts: Vec<(String, u32)>,
    /// Runs in progress, sorted by id.
    runs: Vec<ActiveRun>,
}

impl RunSchedule {
    /// Chooses the least loaded target for one more item, or returns `None` if all are at their
    /// limits.
    ///
    /// Equally loaded targets are chosen by lot, since other keepers compare the same reports.
    ///
    /// A target gets at most as many items of this keeper as it has slots: more would only wait
    /// there while another target may become idle. A target whose sidecar is silent gets one item
    /// at most, and none while the sidecar may be restarting, since without a sidecar online
    /// requests have to wait until the items end.
    #[must_use]
    pub fn choose_target(
        &self,
        targets: &TargetTable,
        now: MonotonicTime,
        request: &PlacementRequest<'_>,
    ) -> Option<TargetChoice> {
        let mut random = SeededRandom::new(request.seed);
        let hold = TargetHold::new(targets, request.service, now);
        let usable = targets.rows().iter().filter(|row| {
            row.record.service == request.service
                && row.is_usable(now)
                && !hold.contains(row)
                && (row.request_limit.is_none() || row.has_sidecar(now))
                && self.run_count(&row.record.id) < item_limit(row, now)
        });
        let costs =
            usable.map(|row| (self.placement_cost(row, now, request.zone), random.number(), row));
        let (.., row) =
            costs.min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)))?;
        Some(TargetChoice {
            address: row.record.address,
            id: row.record.id.clone(),
            is_full: false,
            slots: row.record.slots,
            through_sidecar: row.has_sidecar(now),
        })
    }

    /// Records the start of a run through a target's sidecar; `due_ms` is when its item is due, in
    /// milliseconds since the Unix epoch.
    pub fn begin_run(&mut self, target: &str, due_ms: u64, now: MonotonicTime) -> RunId {
        self.add_run(target, due_ms, now, true)
    }

    /// Records the start of a run straight at a target, see [`Self::begin_run`].
    pub fn begin_direct_run(&mut self, target: &str, due_ms: u64, now: MonotonicTime) -> RunId {
        self.add_run(target, due_ms, now, false)
    }

    /// Adds a run, with or without a sidecar.
    fn add_run(
        &mut self,
        target: &str,
        due_ms: u64,
        now: MonotonicTime,
        through_sidecar: bool,
    ) -> RunId {
        match self.position(target) {
            Ok(position) => self.run_counts[position].1 += 1,
            Err(position) => self.run_counts.insert(position, (target.to_owned(), 1)),
        }
        let id = RunId(self.next_run);
        self.next_run += 1;
        let target = target.to_owned();
        self.runs.push(ActiveRun { due_ms, last_output: now, id, target, through_sidecar });
        id
    }

    /// Records that a run has produced output.
    pub fn record_output(&mut self, run: RunId, now: MonotonicTime) {
        if let Ok(position) = self.runs.binary_search_by_key(&run, |active| active.id) {
            self.runs[position].last_output = now;
        }
    }

    /// Returns whether a run counts as waiting, since it has produced no output for a while.
    #[must_use]
    pub fn is_waiting(&self, run: RunId, now: MonotonicTime) -> bool {
        let position = self.runs.binary_search_by_key(&run, |active| active.id);
        position.is_ok_and(|position| self.runs[position].is_waiting(now))
    }

    /// Returns whether a run counts as lost, so that its item restarts elsewhere.
    ///
    /// A run lives as long as it produces output or the sidecar that it goes through reports; that
    /// report says nothing about a run without it. An instance that is frozen, slow or disconnected
    /// often goes on a few seconds later, so its run is given that time unless the item, which has
    /// `spare` time until it has to run, would be late. A target that is missing from the directory
    /// is not by itself lost.
    #[must_use]
    pub fn is_lost(
        &self,
        run: RunId,
        targets: &TargetTable,
        now: MonotonicTime,
        spare: Duration,
    ) -> bool {
        let Ok(position) = self.runs.binary_search_by_key(&run, |active| active.id) else {
            return false;
        };
        let run = &self.runs[position];
        let row = targets.get(&run.target).filter(|_| run.through_sidecar);
        let since_report = row.and_then(|row| row.time_since_report(now));
        let since_output = now.since(run.last_output);
        let silence = since_report.map_or(since_output, |time| time.min(since_output));
        silence >= spare.clamp(MIN_SILENCE, MAX_SILENCE)
    }

    /// Records the end of a run.
    pub fn end_run(&mut self, run: RunId) {
        let Ok(position) = self.runs.binary_search_by_key(&run, |active| active.id) else {
            return;
        };
        let run = self.runs.remove(position);
        if let Ok(position) = self.position(&run.target) {
            self.run_counts[position].1 -= 1;
            if self.run_counts[position].1 == 0 {
                self.run_counts.remove(position);
            }
        }
    }

    /// Returns the number of runs in progress at a target.
    #[must_use]
    pub fn run_count(&self, target: &str) -> u32 {
        self.position(target).map_or(0, |position| self.run_counts[position].1)
    }

    /// Returns the runs to move: those that wait in a sidecar's queue while other targets have free
    /// slots, earliest due time first; before them those that wait at a target which has left the
    /// directory. Some targets leave without being listed as draining, and nothing may start there.
    ///
    /// Each keeper moves its own runs, so it takes a share of the free slots: that of its waiting
    /// runs in all that wait according to the load reports.
    #[must_use]
    pub fn plan_moves(&self, targets: &TargetTable, now: MonotonicTime) -> Vec<RunId> {
        let silent = self.runs.iter().filter(|run| run.is_waiting(now));
        let (listed, unlisted): (Vec<&ActiveRun>, Vec<&ActiveRun>) =
            silent.partition(|run| targets.get(&run.target).is_some());
        let is_queued = |run: &&ActiveRun| {
            targets.get(&run.target).is_some_and(|row| queued_items(row, now) > 0)
        };
        let mut waiting: Vec<&ActiveRun> = listed.into_iter().filter(is_queued).collect();
        waiting.sort_by_key(|run| (run.due_ms, run.id));
        let rows = targets.rows();
        let is_held = |row: &&TargetRow| {
            let is_failing = row.failure_share(now) > 0.0;
            is_failing && TargetHold::new(targets, &row.record.service, now).contains(row)
        };
        let open = rows.iter().filter(|row| !is_held(row));
        let free: usize = open.map(|row| free_slots(row, now) as usize).sum();
        let queued: usize = rows.iter().map(|row| queued_items(row, now) as usize).sum();
        let share = (free * waiting.len()).div_ceil(queued.max(waiting.len()).max(1));
        let moved = waiting.into_iter().take(share);
        unlisted.into_iter().chain(moved).map(|run| run.id).collect()
    }

    /// Returns the load of a target, scaled to eight slots, plus the penalty for another zone.
    fn placement_cost(&self, row: &TargetRow, now: MonotonicTime, zone: &str) -> f64 {
        let own = self.run_count(&row.record.id);
        let load = row.total_load(now, MAX_REPORT_AGE).unwrap_or_default().max(own);
        let penalty = if row.record.zone == zone { 0.0 } else { ZONE_PENALTY };
        let failure_cost = FAILURE_COST * row.failure_share(now);
        f64::from(load) / f64::from(row.record.slots.max(1)) * 8.0 + failure_cost + penalty
    }

    /// Returns the index of a target's run count, or the index at which to insert it.
    fn position(&self, target: &str) -> Result<usize, usize> {
        self.run_counts.binary_search_by(|(other, _)| other.as_str().cmp(target))
    }
}

impl ActiveRun {
    /// Returns whether the run has produced no output for so long that it counts as waiting.
    fn is_waiting(&self, now: MonotonicTime) -> bool {
        now.since(self.last_output) >= QUEUED_OUTPUT_GAP
    }
}

/// Returns the most items that one keeper may have at a target.
fn item_limit(row: &TargetRow, now: MonotonicTime) -> u32 {
    if row.has_sidecar(now) {
        return row.record.slots.max(1);
    }
    let may_return =
        row.time_since_report(now).is_some_and(|elapsed| elapsed < SIDECAR_RESTART_TIME);
    if may_return { 0 } else { MAX_DIRECT_ITEMS }
}

/// Returns the number of slots of a target that no request occupies or waits for.
fn free_slots(row: &TargetRow, now: MonotonicTime) -> u32 {
    if !row.is_usable(now) || !row.has_sidecar(now) {
        return 0;
    }
    let load = row.total_load(now, MAX_MOVE_REPORT_AGE);
    load.map_or(0, |load| row.record.slots.saturating_sub(load))
}

/// Returns the number of batch requests that wait in the queue of a target's sidecar.
fn queued_items(row: &TargetRow, now: MonotonicTime) -> u32 {
    row.fresh_report(now, MAX_MOVE_REPORT_AGE).map_or(0, |report| report.batch_waiting)
}
