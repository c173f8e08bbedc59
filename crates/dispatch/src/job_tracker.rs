//! The book of one batch job: its items, and the results in the order in which they were listed.

use serde::Deserialize;
use serde::Serialize;

use crate::job_replication::ItemUpdate;
use crate::job_replication::ProgressMark;

/// One item of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemSpec {
    /// The request's body.
    pub body: Vec<u8>,
    /// Header fields of the request.
    pub headers: Vec<(String, String)>,
    /// Its identity within the job.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Tokens of the prompt and of the longest output.
    pub tokens: u64,
}

/// A job as it was accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// The caller's `Host`, which names the route together with the path.
    pub host: String,
    /// Its identity.
    pub id: String,
    /// Its items.
    pub items: Vec<ItemSpec>,
    /// The path that it was submitted to.
    pub path: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
}

/// How an item ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ItemOutcome {
    /// With its whole output.
    Completed(Vec<u8>),
    /// It can never be done.
    DeadLetter,
}

/// A result that callers may have read; it never changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemResult {
    /// How the item ended.
    #[serde(rename = "end")]
    pub outcome: ItemOutcome,
    /// The item's identity.
    pub id: String,
}

/// Where an item stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemState {
    /// It waits for a run.
    Waiting,
    /// A run is under way.
    Running,
    /// It has ended, but callers cannot read its result yet.
    Ended,
    /// Its result is listed.
    Listed,
}

/// One item's progress.
#[derive(Clone, Debug)]
pub struct ItemProgress {
    /// Failed answers so far.
    pub failures: u32,
    /// Number of the last event in `partial`.
    pub last_event: Option<u64>,
    /// Output of earlier runs that broke off.
    pub partial: Vec<u8>,
    /// Where it stands.
    pub state: ItemState,
}

/// Results to be made durable at a position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResultSegment {
    /// Position of the first result.
    pub position: usize,
    /// The results.
    pub results: Vec<ItemResult>,
}

/// The book of one job.
///
/// Results are listed in segments. A segment's position is the number of results before it, and it
/// is written under the condition that nothing stands there yet, so two owners that write at the
/// same time cannot list an item twice or change a position.
#[derive(Clone, Debug)]
pub struct JobTracker {
    committing: Option<ResultSegment>,
    ended: bool,
    listed: Vec<ItemResult>,
    progress: Vec<ItemProgress>,
    spec: JobSpec,
    /// Items that have ended and are not in a segment yet.
    unlisted: Vec<ItemResult>,
}

impl JobTracker {
    /// Opens the book of a job without results.
    #[must_use]
    pub fn new(spec: JobSpec) -> Self {
        let fresh = ItemProgress {
            failures: 0,
            last_event: None,
            partial: Vec::new(),
            state: ItemState::Waiting,
        };
        let progress = vec![fresh; spec.items.len()];
        let (listed, unlisted) = (Vec::new(), Vec::new());
        Self { committing: None, ended: false, listed, progress, spec, unlisted }
    }

    /// Returns the job as it was accepted.
    #[must_use]
    pub fn spec(&self) -> &JobSpec {
        &self.spec
    }

    /// Returns the listed results.
    #[must_use]
    pub fn listed(&self) -> &[ItemResult] {
        &self.listed
    }

    /// Tells whether the caller has ended the job.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.ended
    }

    /// Ends the job: what has not been listed need not be.
    pub fn close(&mut self) {
        self.ended = true;
    }

    /// Tells whether all items are listed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.listed.len() == self.spec.items.len()
    }

    /// Tells whether items have ended whose results wait to be made durable.
    #[must_use]
    pub fn has_unlisted(&self) -> bool {
        !self.unlisted.is_empty()
    }

    /// Returns the progress of an item.
    #[must_use]
    pub fn progress(&self, item: usize) -> &ItemProgress {
        &self.progress[item]
    }

    /// Returns the items that wait for a run, unless the job is ended.
    pub fn waiting_items(&self) -> impl Iterator<Item = usize> {
        let rows = self.progress.iter().enumerate();
        let waiting = rows.filter(|(_, row)| row.state == ItemState::Waiting && !self.ended);
        waiting.map(|(item, _)| item)
    }

    /// Returns the tokens of the items that have not ended.
    #[must_use]
    pub fn unfinished_tokens(&self) -> u64 {
        if self.ended {
            return 0;
        }
        let rows = self.progress.iter().zip(&self.spec.items);
        let open =
            rows.filter(|(row, _)| matches!(row.state, ItemState::Waiting | ItemState::Running));
        open.map(|(_, spec)| spec.tokens).sum()
    }

    /// Notes that a run of an item begins.
    pub fn start(&mut self, item: usize) {
        if self.progress[item].state == ItemState::Waiting {
            self.progress[item].state = ItemState::Running;
        }
    }

    /// Takes output of an item's run, up to the event with the given number.
    pub fn record_output(&mut self, item: usize, data: &[u8], event: u64) {
        let row = &mut self.progress[item];
        if row.state != ItemState::Running {
            return;
        }
        if row.last_event.is_some() {
            row.partial.push(b'\n');
        }
        row.partial.extend_from_slice(data);
        row.last_event = Some(event);
    }

    /// Notes that a run broke off; its output is kept for the next.
    pub fn release(&mut self, item: usize) {
        if self.progress[item].state == ItemState::Running {
            self.progress[item].state = ItemState::Waiting;
        }
    }

    /// Counts a failed answer of a target and returns the count.
    pub fn record_failure(&mut self, item: usize) -> u32 {
        self.progress[item].failures += 1;
        self.progress[item].failures
    }

    /// Ends an item whose run gave the whole output.
    pub fn complete(&mut self, item: usize) {
        let text = std::mem::take(&mut self.progress[item].partial);
        self.conclude(item, ItemOutcome::Completed(text));
    }

    /// Gives an item up.
    pub fn dead_letter(&mut self, item: usize) {
        self.progress[item].partial = Vec::new();
        self.conclude(item, ItemOutcome::DeadLetter);
    }

    /// Takes the results that are to be made durable next, of about `bytes` at most.
    ///
    /// One segment is under way at a time: its position depends on the one before.
    pub fn next_segment(&mut self, bytes: usize) -> Option<&ResultSegment> {
        if self.committing.is_some() || self.unlisted.is_empty() {
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
        self.committing = Some(ResultSegment { position: self.listed.len(), results });
        self.committing.as_ref()
    }

    /// Takes the confirmation that the segment under way is durable.
    pub fn confirm_segment(&mut self) {
        if let Some(segment) = self.committing.take() {
            self.list(segment.results);
        }
    }

    /// Gives the segment under way up; its results are listed later, at whatever position.
    pub fn abort_segment(&mut self) {
        if let Some(segment) = self.committing.take() {
            self.unlisted.splice(0..0, segment.results);
        }
    }

    /// Takes results that stand at a position already, written by another owner or an earlier try.
    ///
    /// Results of the segment under way that are not among them are listed later, at another
    /// position.
    pub fn adopt_segment(&mut self, position: usize, results: Vec<ItemResult>) {
        self.abort_segment();
        if position != self.listed.len() {
            return;
        }
        self.list(results);
        let Self { listed, unlisted, .. } = self;
        unlisted.retain(|result| listed.iter().all(|other| other.id != result.id));
    }

    /// Returns the position of an item.
    #[must_use]
    pub fn item_position(&self, id: &str) -> Option<usize> {
        self.spec.items.iter().position(|item| item.id == id)
    }

    /// Copies what the items have put out since the marks, which stand by item; an item without a
    /// mark is copied from its beginning, and a listed one as if it had no output.
    #[must_use]
    pub fn updates_since(&self, marks: &[ProgressMark]) -> Vec<ItemUpdate> {
        let rows =
            self.progress.iter().enumerate().filter(|(_, row)| row.state != ItemState::Ended);
        let copies = rows.filter_map(|(item, row)| {
            let until = row.mark();
            let mark = marks.get(item).copied().unwrap_or_default();
            let since = if mark.bytes <= until.bytes { mark } else { ProgressMark::default() };
            let data = row.partial[since.bytes..].to_vec();
            (until != mark).then_some(ItemUpdate { data, item, since, until })
        });
        copies.collect()
    }

    /// Takes another instance's copy of an item; tells whether it follows what is known here.
    ///
    /// Items that run here or have ended are ahead of any copy.
    pub fn apply_update(&mut self, copy: &ItemUpdate) -> bool {
        let Some(row) = self.progress.get_mut(copy.item) else {
            return false;
        };
        if row.state != ItemState::Waiting {
            return true;
        }
        if copy.until == ProgressMark::default() {
            row.forget();
            return true;
        }
        row.failures = row.failures.max(copy.until.failures);
        if copy.until.event <= row.last_event {
            return true;
        }
        if (row.partial.len(), row.last_event) == (copy.since.bytes, copy.since.event) {
            row.partial.extend_from_slice(&copy.data);
        } else if copy.since.bytes == 0 {
            row.partial.clone_from(&copy.data);
        } else {
            return false;
        }
        row.last_event = copy.until.event;
        true
    }

    /// Notes the end of an item.
    fn conclude(&mut self, item: usize, end: ItemOutcome) {
        if matches!(self.progress[item].state, ItemState::Ended | ItemState::Listed) {
            return;
        }
        self.progress[item].state = ItemState::Ended;
        self.unlisted.push(ItemResult { outcome: end, id: self.spec.items[item].id.clone() });
    }

    /// Appends results that are durable.
    fn list(&mut self, results: Vec<ItemResult>) {
        for result in results {
            if let Some(item) = self.item_position(&result.id) {
                self.progress[item].forget();
                self.progress[item].state = ItemState::Listed;
            }
            self.listed.push(result);
        }
    }
}

impl ItemProgress {
    /// Returns how much is known.
    fn mark(&self) -> ProgressMark {
        let (bytes, event) = (self.partial.len(), self.last_event);
        ProgressMark { bytes, event, failures: self.failures }
    }

    /// Forgets what is known, which is of no use once the result is durable.
    fn forget(&mut self) {
        (self.failures, self.last_event, self.partial) = (0, None, Vec::new());
    }
}

impl ItemResult {
    /// Returns about the number of bytes that the result takes.
    #[must_use]
    pub fn size(&self) -> usize {
        let text = match &self.outcome {
            ItemOutcome::Completed(text) => text.len(),
            ItemOutcome::DeadLetter => 0,
        };
        text + self.id.len()
    }
}
