//! The runs of one engine, and which of them an engine's loss may be blamed on.

use std::time::Duration;

use cv_policy::MonotonicTime;

use crate::QuarantineSubject;

/// Time after the start of its response for which a run may be the cause of its engine's loss. An
/// engine that a prompt ends does so while it writes the first tokens of the response.
const SUSPECT_WINDOW: Duration = Duration::from_millis(300);

/// Time after its end for which a run may be the cause, and after which a complete run shows that
/// its engine survived it.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(300);

/// Most ended runs that are kept for [`SURVIVAL_TIME`].
const MAX_ENDED: usize = 256;

/// Identifies a run at its engine.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WatchedRunId(u64);

/// A run that is in progress or has just ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WatchedRun {
    /// When the head of the response arrived; `None` if it has not.
    pub answered_at: Option<MonotonicTime>,
    /// When the request was handed to the engine.
    begun_at: MonotonicTime,
    /// What may end the engine: the shared parts of the prompt in order, then the request.
    pub subjects: Vec<QuarantineSubject>,
    /// Id of the request.
    pub request_id: String,
    ended: Option<(MonotonicTime, bool)>,
    id: WatchedRunId,
    /// Whether the run of an item has been taken as survived while it goes on.
    is_taken: bool,
}

/// Tracks the runs of one engine.
#[derive(Clone, Debug, Default)]
pub struct RunWatch {
    /// Runs in the order in which they ended.
    ended: Vec<WatchedRun>,
    /// When the engine ended, if it has not responded since.
    lost_at: Option<MonotonicTime>,
    next_id: u64,
    /// Runs in progress, sorted by id.
    running: Vec<WatchedRun>,
}

impl RunWatch {
    /// Records that a request is handed to the engine.
    pub fn begin(
        &mut self,
        request_id: &str,
        subjects: &[QuarantineSubject],
        now: MonotonicTime,
    ) -> WatchedRunId {
        let id = WatchedRunId(self.next_id);
        self.next_id += 1;
        self.running.push(WatchedRun {
            answered_at: None,
            begun_at: now,
            subjects: subjects.to_vec(),
            request_id: request_id.to_owned(),
            ended: None,
            id,
            is_taken: false,
        });
        id
    }

    /// Records that the head of a run's response has arrived.
    pub fn answer(&mut self, id: WatchedRunId, now: MonotonicTime) {
        self.lost_at = None;
        if let Ok(position) = self.running.binary_search_by_key(&id, |run| run.id) {
            self.running[position].answered_at.get_or_insert(now);
        }
    }

    /// Records the end of a run, `is_complete` if the engine sent a whole successful response.
    pub fn end(&mut self, id: WatchedRunId, now: MonotonicTime, is_complete: bool) {
        let Ok(position) = self.running.binary_search_by_key(&id, |run| run.id) else {
            return;
        };
        let mut run = self.running.remove(position);
        run.ended = Some((now, is_complete));
        if self.ended.len() == MAX_ENDED {
            self.ended.remove(0);
        }
        self.ended.push(run);
    }

    /// Removes a run that the engine has not run.
    pub fn cancel(&mut self, id: WatchedRunId) {
        self.running.retain(|run| run.id != id);
    }

    /// Returns the runs that may be the cause if the engine is lost now: those whose response has
    /// not begun, has just begun or has just ended.
    #[must_use]
    pub fn suspects(&self, now: MonotonicTime) -> Vec<WatchedRun> {
        let runs = self.running.iter().chain(&self.ended);
        runs.filter(|run| run.is_suspect(now)).cloned().collect()
    }

    /// Returns whether the end of the engine would be news to a run that broke off: whether it was
    /// handed over after the last known end.
    #[must_use]
    pub fn may_have_lost_engine(&self, id: WatchedRunId) -> bool {
        let found = self.running.binary_search_by_key(&id, |run| run.id);
        found.is_ok_and(|position| {
            let begun_at = self.running[position].begun_at;
            self.lost_at.is_none_or(|lost_at| begun_at > lost_at)
        })
    }

    /// Returns whether the engine is known to have ended and has not responded since.
    #[must_use]
    pub fn is_engine_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Records that the engine has ended, with the runs that had just ended.
    pub fn record_loss(&mut self, now: MonotonicTime) {
        self.lost_at = Some(now);
        self.ended.clear();
    }

    /// Returns the runs of items in progress that cannot be the cause of a loss any more, each once.
    ///
    /// Items run for long. Those with the same parts need not wait until one of them is complete.
    pub fn take_outlasted_items(&mut self, now: MonotonicTime) -> Vec<WatchedRun> {
        let outlasted = self.running.iter_mut().filter(|run| !run.is_taken);
        let outlasted = outlasted.filter(|run| run.is_outlasted_item(now)).map(|run| {
            run.is_taken = true;
            run.clone()
        });
        outlasted.collect()
    }

    /// Removes the runs whose end the engine has survived, and returns the complete ones.
    pub fn take_survived(&mut self, now: MonotonicTime) -> Vec<WatchedRun> {
        let has_survived = |run: &WatchedRun| {
            run.ended.is_some_and(|(ended_at, _)| now.since(ended_at) > SURVIVAL_TIME)
        };
        let survived = self.ended.iter().take_while(|run| has_survived(run)).count();
        let mut taken: Vec<WatchedRun> = self.ended.drain(..survived).collect();
        taken.retain(|run| run.ended.is_some_and(|(_, is_complete)| is_complete));
        taken
    }
}

impl WatchedRun {
    /// Returns whether the run is that of an item, and its engine has outlasted the time in which it
    /// could be the cause of a loss.
    fn is_outlasted_item(&self, now: MonotonicTime) -> bool {
        let is_outlasted =
            self.answered_at.is_some_and(|at| now.since(at) > SUSPECT_WINDOW + SURVIVAL_TIME);
        is_outlasted && self.subjects.iter().any(|subject| subject.is_item_part())
    }

    /// Returns whether the run may be the cause if its engine is lost now.
    fn is_suspect(&self, now: MonotonicTime) -> bool {
        let has_ended = self.ended.is_some_and(|(at, _)| now.since(at) > SURVIVAL_TIME);
        let began_long_ago = self.answered_at.is_some_and(|at| now.since(at) > SUSPECT_WINDOW);
        !has_ended && !began_long_ago
    }
}
