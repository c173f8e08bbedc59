//! State of one batch job: the progress of its items and the ordered list of their results.

use serde::Deserialize;
use serde::Serialize;

use crate::RequestCaller;
use crate::job_replication::ItemUpdate;
use crate::job_replication::ProgressMark;

/// A request of a batch job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemSpec {
    /// Body of the request.
    pub body: Vec<u8>,
    /// Header fields of the request.
    pub headers: Vec<(String, String)>,
    /// Id, unique within the job.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Tokens of the prompt plus the most tokens of the output.
    pub tokens: u64,
}

/// A batch job as it was submitted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Who submitted it.
    pub caller: RequestCaller,
    /// Host that the job was submitted to; with the path it selects the route.
    pub host: String,
    /// Id of the job.
    pub id: String,
    /// The items, in the order of submission.
    pub items: Vec<ItemSpec>,
    /// Path that the job was submitted to.
    pub path: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
}

/// How an item ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ItemOutcome {
    /// A run completed; holds the whole output.
    Completed(Vec<u8>),
    /// No run completed and no further one is attempted.
    DeadLetter,
}

/// The result of an item.
///
/// Once listed it never changes, because callers may have read it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemResult {
    /// How the item ended.
    #[serde(rename = "end")]
    pub outcome: ItemOutcome,
    /// Id of the item.
    pub id: String,
}

/// Stage of an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemState {
    /// It waits for a run.
    Waiting,
    /// A run is in progress.
    Running,
    /// It has ended, but its result is not durable and callers cannot read it yet.
    Ended,
    /// Its result is durable and readable by callers.
    Listed,
}

/// Progress of an item.
#[derive(Clone, Debug)]
pub struct ItemProgress {
    /// Number of failed responses from targets so far.
    pub failures: u32,
    /// Number of the last event in `output`.
    pub last_event: Option<u64>,
    /// Output of the current run and of earlier, interrupted ones.
    pub output: Vec<u8>,
    /// Stage of the item.
    pub state: ItemState,
}

/// Consecutive results that are persisted together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResultSegment {
    /// Position of the first result in the list.
    pub position: usize,
    /// The results, in list order.
    pub results: Vec<ItemResult>,
}

/// Tracks the items of one job and the list of its results.
///
/// Results are listed in segments. A segment's position is the number of results before it, and it
/// is written to the store only if no segment exists at that position. Two owners that write at the
/// same time therefore cannot list an item twice or move a result.
#[derive(Clone, Debug)]
pub struct JobTracker {
    /// The segment that is being persisted.
    pending_segment: Option<ResultSegment>,
    closed: bool,
    /// Results that are durable.
    listed: Vec<ItemResult>,
    /// Progress by the position of the item in the job.
    progress: Vec<ItemProgress>,
    spec: JobSpec,
    /// Results of ended items that are not in a segment yet.
    unlisted: Vec<ItemResult>,
}

impl JobTracker {
    /// Creates the tracker of a job without progress or results.
    #[must_use]
    pub fn new(spec: JobSpec) -> Self {
        let initial = ItemProgress {
            failures: 0,
            last_event: None,
            output: Vec::new(),
            state: ItemState::Waiting,
        };
        let progress = vec![initial; spec.items.len()];
        let (listed, unlisted) = (Vec::new(), Vec::new());
        Self { pending_segment: None, closed: false, listed, progress, spec, unlisted }
    }

    /// Returns the job as it was submitted.
    #[must_use]
    pub fn spec(&self) -> &JobSpec {
        &self.spec
    }

    /// Returns the listed results, in list order.
    #[must_use]
    pub fn listed(&self) -> &[ItemResult] {
        &self.listed
    }

    /// Returns whether the job was closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Closes the job at its caller's request; its remaining results need not be listed.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Returns whether the results of all items are listed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.listed.len() == self.spec.items.len()
    }

    /// Returns whether ended items have results that are in no segment yet.
    #[must_use]
    pub fn has_unlisted(&self) -> bool {
        !self.unlisted.is_empty()
    }

    /// Returns the progress of the item at a position; panics if the job has no such item.
    #[must_use]
    pub fn progress(&self, item: usize) -> &ItemProgress {
        &self.progress[item]
    }

    /// Returns the positions of the items that wait for a run; none if the job is closed.
    pub fn waiting_items(&self) -> impl Iterator<Item = usize> {
        let rows = self.progress.iter().enumerate();
        let waiting = rows.filter(|(_, row)| row.state == ItemState::Waiting && !self.closed);
        waiting.map(|(item, _)| item)
    }

    /// Returns the tokens of the items that have not ended; 0 if the job is closed.
    #[must_use]
    pub fn unfinished_tokens(&self) -> u64 {
        if self.closed {
            return 0;
        }
        let rows = self.progress.iter().zip(&self.spec.items);
        let unfinished =
            rows.filter(|(row, _)| matches!(row.state, ItemState::Waiting | ItemState::Running));
        unfinished.map(|(_, spec)| spec.tokens).sum()
    }

    /// Returns a number that grows with each event of an item and each end of one, and falls when an
    /// item has to begin anew.
    #[must_use]
    pub fn total_progress(&self) -> u64 {
        let events: u64 = self.progress.iter().filter_map(|row| row.last_event).sum();
        let ended = self.progress.iter().filter(|row| row.state == ItemState::Ended).count();
        // More than the events of any item, so that listing a result counts as progress.
        let listed = self.listed.len() as u64 * 1_000_000;
        listed + events + ended as u64
    }

    /// Returns the number of items in a state.
    #[must_use]
    pub fn count_items(&self, state: ItemState) -> usize {
        self.progress.iter().filter(|row| row.state == state).count()
    }

    /// Records the start of a run of a waiting item.
    pub fn start(&mut self, item: usize) {
        if self.progress[item].state == ItemState::Waiting {
            self.progress[item].state = ItemState::Running;
        }
    }

    /// Appends an event's data to the output of a running item; a line feed separates events.
    ///
    /// `event` is the event's number. Output of an item that isn't running is ignored.
    pub fn record_output(&mut self, item: usize, data: &[u8], event: u64) {
        let row = &mut self.progress[item];
        if row.state != ItemState::Running {
            return;
        }
        if row.last_event.is_some() {
            row.output.push(b'\n');
        }
        row.output.extend_from_slice(data);
        row.last_event = Some(event);
    }

    /// Records that a run was interrupted; the item waits again and keeps its output.
    pub fn release(&mut self, item: usize) {
        if self.progress[item].state == ItemState::Running {
            self.progress[item].state = ItemState::Waiting;
        }
    }

    /// Counts a failed response from a target and returns the number so far.
    pub fn record_failure(&mut self, item: usize) -> u32 {
        self.progress[item].failures += 1;
        self.progress[item].failures
    }

    /// Ends an item whose run has produced the whole output.
    pub fn complete(&mut self, item: usize) {
        let output = std::mem::take(&mut self.progress[item].output);
        self.finish(item, ItemOutcome::Completed(output));
    }

    /// Ends an item that is not attempted again.
    pub fn dead_letter(&mut self, item: usize) {
        self.progress[item].output = Vec::new();
        self.finish(item, ItemOutcome::DeadLetter);
    }

    /// Forms the segment to persist next, with at least one result and at most about `bytes`.
    ///
    /// Returns `None` while a segment is being persisted, since the next position depends on it, or
    /// if there are no unlisted results.
    pub fn next_segment(&mut self, bytes: usize) -> Option<&ResultSegment> {
        if self.pending_segment.is_some() || self.unlisted.is_empty() {
            return None;
        }
        let mut size = 0;
        let mut count = 0;
        for result in &self.unlisted {
            size += result.size();
            if count > 0 && size > bytes {
                break;
            }
            count += 1;
        }
        let results = self.unlisted.drain(..count).collect();
        self.pending_segment = Some(ResultSegment { position: self.listed.len(), results });
        self.pending_segment.as_ref()
    }

    /// Records that the pending segment is durable, and lists its results.
    pub fn confirm_segment(&mut self) {
        if let Some(segment) = self.pending_segment.take() {
            self.append_listed(segment.results);
        }
    }

    /// Discards the pending segment; a later segment lists its results, possibly at another
    /// position.
    pub fn abort_segment(&mut self) {
        if let Some(segment) = self.pending_segment.take() {
            self.unlisted.splice(0..0, segment.results);
        }
    }

    /// Lists results that the store already holds at a position, from another owner or an earlier
    /// attempt to write them.
    ///
    /// Results of the pending segment that are not among them are listed later, at another
    /// position. Results at any position other than the end of the list are ignored.
    pub fn adopt_segment(&mut self, position: usize, results: Vec<ItemResult>) {
        self.abort_segment();
        if position != self.listed.len() {
            return;
        }
        self.append_listed(results);
        let Self { listed, unlisted, .. } = self;
        unlisted.retain(|result| listed.iter().all(|other| other.id != result.id));
    }

    /// Returns the position of the item with the given id.
    #[must_use]
    pub fn item_position(&self, id: &str) -> Option<usize> {
        self.spec.items.iter().position(|item| item.id == id)
    }

    /// Returns what has changed since the state that a replica has acknowledged, one mark per item.
    ///
    /// An item without a mark is sent in full, and a listed item as one without output.
    #[must_use]
    pub fn updates_since(&self, acknowledged: &[ProgressMark]) -> Vec<ItemUpdate> {
        let rows =
            self.progress.iter().enumerate().filter(|(_, row)| row.state != ItemState::Ended);
        let updates = rows.filter_map(|(item, row)| {
            let until = row.mark();
            let mark = acknowledged.get(item).copied().unwrap_or_default();
            let since = if mark.bytes <= until.bytes { mark } else { ProgressMark::default() };
            let data = row.output[since.bytes..].to_vec();
            (until != mark).then_some(ItemUpdate { data, item, since, until })
        });
        updates.collect()
    }

    /// Applies an update of an item from the job's owner; returns whether this state includes it.
    ///
    /// Returns `false` if the update does not continue the output stored here; the owner then has
    /// to send all of it. Items that run here or have ended are ahead of any update.
    pub fn apply_update(&mut self, update: &ItemUpdate) -> bool {
        let Some(row) = self.progress.get_mut(update.item) else {
            return false;
        };
        if row.state != ItemState::Waiting {
            return true;
        }
        if update.until == ProgressMark::default() {
            row.reset();
            return true;
        }
        row.failures = row.failures.max(update.until.failures);
        if update.until.event <= row.last_event {
            return true;
        }
        if (row.output.len(), row.last_event) == (update.since.bytes, update.since.event) {
            row.output.extend_from_slice(&update.data);
        } else if update.since.bytes == 0 {
            row.output.clone_from(&update.data);
        } else {
            return false;
        }
        row.last_event = update.until.event;
        true
    }

    /// Ends an item, unless it has ended before.
    fn finish(&mut self, item: usize, outcome: ItemOutcome) {
        if matches!(self.progress[item].state, ItemState::Ended | ItemState::Listed) {
            return;
        }
        self.progress[item].state = ItemState::Ended;
        self.unlisted.push(ItemResult { outcome, id: self.spec.items[item].id.clone() });
    }

    /// Appends durable results to the list.
    fn append_listed(&mut self, results: Vec<ItemResult>) {
        for result in results {
            if let Some(item) = self.item_position(&result.id) {
                self.progress[item].reset();
                self.progress[item].state = ItemState::Listed;
            }
            self.listed.push(result);
        }
    }
}

impl ItemProgress {
    /// Returns the mark of the current progress.
    fn mark(&self) -> ProgressMark {
        let (bytes, event) = (self.output.len(), self.last_event);
        ProgressMark { bytes, event, failures: self.failures }
    }

    /// Clears the progress, which is not needed once the result is durable.
    fn reset(&mut self) {
        (self.failures, self.last_event, self.output) = (0, None, Vec::new());
    }
}

impl ItemResult {
    /// Returns the approximate size of the result, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let output = match &self.outcome {
            ItemOutcome::Completed(output) => output.len(),
            ItemOutcome::DeadLetter => 0,
        };
        output + self.id.len()
    }
}
