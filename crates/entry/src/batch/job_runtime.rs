//! What the owner holds in memory of a job that it runs.

use std::cell::Cell;
use std::cell::RefCell;

use cv_policy::batch::ItemResult;
use cv_policy::batch::JobCounts;
use cv_policy::batch::JobId;
use cv_policy::batch::JobRecord;
use cv_policy::batch::ResultState;
use tokio::sync::oneshot;

use crate::online::GeneratedText;

/// Writes in a row that a replica may miss before it is replaced.
const MISSED_WRITES: u32 = 20;

/// The lines and results of a job's open chunks.
pub(crate) struct JobRuntime {
    /// Channels that stop running items, sorted by item.
    cancels: RefCell<Vec<(u32, oneshot::Sender<()>)>>,
    /// Position of the page that holds each chunk's lines, sorted by chunk.
    pub chunk_pages: Vec<(u32, u64)>,
    /// Chunks whose results were written in order, so that a commit need not write them again.
    pub chunks_written: RefCell<Vec<u32>>,
    /// Set once the job is no longer run here.
    pub ended: Cell<bool>,
    /// Epoch of the lease under which the job was claimed.
    pub epoch: u64,
    /// Writes in a row that each replica has missed, sorted by name.
    misses: RefCell<Vec<(String, u32)>>,
    /// Whether results are being written.
    pub flushing: Cell<bool>,
    /// The job's number in the table.
    pub id: JobId,
    /// Replicas that are being filled; they get new records but do not count yet.
    pub joining: RefCell<Vec<String>>,
    /// Lines by chunk.
    lines: RefCell<Vec<(u32, Vec<String>)>>,
    /// Answers of preempted items so far, sorted by item.
    partials: RefCell<Vec<(u32, GeneratedText)>>,
    /// The job as the service holds it.
    pub record: RefCell<JobRecord>,
    /// Durable results of open chunks, sorted by item.
    results: RefCell<Vec<ItemResult>>,
    /// Revision of the job's key.
    pub revision: Cell<u64>,
    /// Results that are not durable yet.
    pub unflushed: RefCell<Vec<ItemResult>>,
    /// The organisation's weight.
    pub weight: u32,
}

impl JobRuntime {
    /// Creates the runtime of a job that was claimed at a revision and epoch.
    pub fn new(
        id: JobId,
        record: JobRecord,
        revision: u64,
        epoch: u64,
        weight: u32,
        chunk_pages: Vec<(u32, u64)>,
        results: Vec<ItemResult>,
    ) -> Self {
        Self {
            cancels: RefCell::default(),
            chunk_pages,
            chunks_written: RefCell::default(),
            ended: Cell::new(false),
            epoch,
            misses: RefCell::default(),
            flushing: Cell::new(false),
            id,
            joining: RefCell::default(),
            lines: RefCell::default(),
            partials: RefCell::default(),
            record: RefCell::new(record),
            results: RefCell::new(results),
            revision: Cell::new(revision),
            unflushed: RefCell::default(),
            weight,
        }
    }

    /// Keeps the lines of a chunk.
    pub fn put_lines(&self, chunk: u32, lines: Vec<String>) {
        self.lines.borrow_mut().push((chunk, lines));
    }

    /// Returns the line of an item, if its chunk is open.
    pub fn line(&self, item: u32) -> Option<String> {
        let chunk_items = self.record.borrow().chunk_items;
        let lines = self.lines.borrow();
        let (chunk, lines) = lines.iter().find(|row| row.0 == item / chunk_items)?;
        lines.get((item - chunk * chunk_items) as usize).cloned()
    }

    /// Takes what earlier runs of an item have generated.
    pub fn take_partial(&self, item: u32) -> GeneratedText {
        let mut partials = self.partials.borrow_mut();
        let found = partials.binary_search_by_key(&item, |row| row.0);
        found.map_or_else(|_| GeneratedText::default(), |position| partials.remove(position).1)
    }

    /// Keeps what a run of an item has generated.
    pub fn put_partial(&self, item: u32, partial: GeneratedText) {
        if partial.tokens == 0 {
            return;
        }
        let mut partials = self.partials.borrow_mut();
        match partials.binary_search_by_key(&item, |row| row.0) {
            Ok(position) => partials[position].1 = partial,
            Err(position) => partials.insert(position, (item, partial)),
        }
    }

    /// Keeps a durable result; the first one stays.
    pub fn put_result(&self, result: ItemResult) {
        let mut results = self.results.borrow_mut();
        if let Err(position) = results.binary_search_by_key(&result.item, |known| known.item) {
            results.insert(position, result);
        }
    }

    /// Returns the results of a chunk, in order; `None` if one is missing.
    pub fn chunk_results(&self, chunk: u32) -> Option<Vec<ItemResult>> {
        let range = self.chunk_range(chunk);
        let results = self.results.borrow();
        let first = results.partition_point(|result| result.item < range.start);
        let last = results.partition_point(|result| result.item < range.end);
        let found = results[first..last].to_vec();
        (found.len() == range.len()).then_some(found)
    }

    /// Forgets a committed chunk.
    pub fn close_chunk(&self, chunk: u32) {
        let range = self.chunk_range(chunk);
        self.lines.borrow_mut().retain(|row| row.0 != chunk);
        self.results.borrow_mut().retain(|result| !range.contains(&result.item));
        self.chunks_written.borrow_mut().retain(|written| *written != chunk);
    }

    /// Registers a running item and returns the channel that stops it.
    pub fn register(&self, item: u32) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut cancels = self.cancels.borrow_mut();
        match cancels.binary_search_by_key(&item, |row| row.0) {
            Ok(position) => cancels[position].1 = sender,
            Err(position) => cancels.insert(position, (item, sender)),
        }
        receiver
    }

    /// Stops a running item, or forgets one that has ended.
    pub fn cancel(&self, item: u32) {
        let mut cancels = self.cancels.borrow_mut();
        if let Ok(position) = cancels.binary_search_by_key(&item, |row| row.0) {
            let _ = cancels.remove(position).1.send(());
        }
    }

    /// Notes which replicas have kept a record.
    pub fn note_kept(&self, kept: &[String]) {
        let mut misses = self.misses.borrow_mut();
        for name in &self.record.borrow().replicas {
            let position = match misses.binary_search_by(|row| row.0.cmp(name)) {
                Ok(position) => position,
                Err(position) => {
                    misses.insert(position, (name.clone(), 0));
                    position
                }
            };
            let row = &mut misses[position].1;
            *row = if kept.contains(name) { 0 } else { *row + 1 };
        }
    }

    /// Tells whether a replica has missed so many writes that it has to be replaced.
    pub fn takes_no_records(&self, name: &str) -> bool {
        let misses = self.misses.borrow();
        let found = misses.binary_search_by(|row| row.0.as_str().cmp(name));
        found.is_ok_and(|position| misses[position].1 >= MISSED_WRITES)
    }

    /// Returns the replicas that new records go to, the joining ones last.
    pub fn write_set(&self) -> Vec<String> {
        let mut replicas = self.record.borrow().replicas.clone();
        replicas.extend(self.joining.borrow().iter().cloned());
        replicas
    }

    /// Returns the items of a chunk.
    fn chunk_range(&self, chunk: u32) -> std::ops::Range<u32> {
        let record = self.record.borrow();
        let first = chunk * record.chunk_items;
        first..(first + record.chunk_items).min(record.items)
    }
}

/// Counts results by state.
pub(crate) fn count_results(results: &[ItemResult]) -> JobCounts {
    let mut counts = JobCounts::default();
    for result in results {
        match result.state {
            ResultState::Completed => counts.completed += 1,
            ResultState::Failed => counts.failed += 1,
            ResultState::Unknown => counts.unknown += 1,
        }
    }
    counts
}
