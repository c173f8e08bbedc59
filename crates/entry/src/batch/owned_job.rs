//! In-memory state of a job at its owner.

use std::cell::Cell;
use std::cell::RefCell;

use cv_policy::batch::ItemResult;
use cv_policy::batch::JobCounts;
use cv_policy::batch::JobId;
use cv_policy::batch::JobRecord;
use cv_policy::batch::ResultState;
use tokio::sync::oneshot;

use crate::online::GeneratedText;

/// Consecutive missed writes after which a replica is replaced.
const MISSED_WRITE_LIMIT: u32 = 20;

/// A job that this instance runs, with the input lines and results of its open chunks.
pub(crate) struct OwnedJob {
    /// Cancellation channels of the running items, sorted by item.
    cancel_senders: RefCell<Vec<(u32, oneshot::Sender<()>)>>,
    /// Chunk and position of the journal page that holds its input lines, sorted by chunk.
    pub chunk_pages: Vec<(u32, u64)>,
    /// Chunks whose `Chunk` record is durable, so that a repeated commit does not write it again.
    pub written_chunks: RefCell<Vec<u32>>,
    /// Whether the job is no longer run here.
    pub stopped: Cell<bool>,
    /// Epoch of the lease under which the job was claimed.
    pub epoch: u64,
    /// Consecutive missed writes of each replica, sorted by name.
    missed_writes: RefCell<Vec<(String, u32)>>,
    /// Whether results are being flushed.
    pub flushing: Cell<bool>,
    /// Id of the job in the job table.
    pub id: JobId,
    /// Replicas to which the journals are being copied; they get new records, but do not count
    /// towards durability yet.
    pub joining_replicas: RefCell<Vec<String>>,
    /// Input lines by chunk.
    lines: RefCell<Vec<(u32, Vec<String>)>>,
    /// Text that cut-off runs have generated so far, sorted by item.
    partial_outputs: RefCell<Vec<(u32, GeneratedText)>>,
    /// The job as stored in the key-value store.
    pub record: RefCell<JobRecord>,
    /// Durable results of open chunks, sorted by item.
    results: RefCell<Vec<ItemResult>>,
    /// Revision of the job's key in the key-value store.
    pub revision: Cell<u64>,
    /// Results that are not durable yet.
    pub unflushed_results: RefCell<Vec<ItemResult>>,
    /// Scheduling weight of the organisation.
    pub weight: u32,
}

impl OwnedJob {
    /// Creates a job that was claimed at a revision and epoch; `results` must be sorted by item.
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
            cancel_senders: RefCell::default(),
            chunk_pages,
            written_chunks: RefCell::default(),
            stopped: Cell::new(false),
            epoch,
            missed_writes: RefCell::default(),
            flushing: Cell::new(false),
            id,
            joining_replicas: RefCell::default(),
            lines: RefCell::default(),
            partial_outputs: RefCell::default(),
            record: RefCell::new(record),
            results: RefCell::new(results),
            revision: Cell::new(revision),
            unflushed_results: RefCell::default(),
            weight,
        }
    }

    /// Stores the input lines of a chunk.
    pub fn add_chunk_lines(&self, chunk: u32, lines: Vec<String>) {
        self.lines.borrow_mut().push((chunk, lines));
    }

    /// Returns the input line of an item, if its chunk is loaded.
    pub fn line(&self, item: u32) -> Option<String> {
        let chunk_items = self.record.borrow().chunk_items;
        let lines = self.lines.borrow();
        let (chunk, lines) = lines.iter().find(|row| row.0 == item / chunk_items)?;
        lines.get((item - chunk * chunk_items) as usize).cloned()
    }

    /// Removes and returns the text that earlier runs of an item have generated.
    pub fn take_partial_output(&self, item: u32) -> GeneratedText {
        let mut partial_outputs = self.partial_outputs.borrow_mut();
        let found = partial_outputs.binary_search_by_key(&item, |row| row.0);
        found.map_or_else(
            |_| GeneratedText::default(),
            |position| partial_outputs.remove(position).1,
        )
    }

    /// Stores the text that a run of an item has generated; does nothing if it has no tokens.
    pub fn put_partial_output(&self, item: u32, partial_output: GeneratedText) {
        if partial_output.tokens == 0 {
            return;
        }
        let mut partial_outputs = self.partial_outputs.borrow_mut();
        match partial_outputs.binary_search_by_key(&item, |row| row.0) {
            Ok(position) => partial_outputs[position].1 = partial_output,
            Err(position) => partial_outputs.insert(position, (item, partial_output)),
        }
    }

    /// Stores a durable result; the first result of an item is kept.
    pub fn add_result(&self, result: ItemResult) {
        let mut results = self.results.borrow_mut();
        if let Err(position) = results.binary_search_by_key(&result.item, |known| known.item) {
            results.insert(position, result);
        }
    }

    /// Returns the results of a chunk, sorted by item; `None` if one is missing.
    pub fn chunk_results(&self, chunk: u32) -> Option<Vec<ItemResult>> {
        let range = self.chunk_range(chunk);
        let results = self.results.borrow();
        let first = results.partition_point(|result| result.item < range.start);
        let last = results.partition_point(|result| result.item < range.end);
        let found = results[first..last].to_vec();
        (found.len() == range.len()).then_some(found)
    }

    /// Removes the lines and results of a committed chunk.
    pub fn remove_chunk(&self, chunk: u32) {
        let range = self.chunk_range(chunk);
        self.lines.borrow_mut().retain(|row| row.0 != chunk);
        self.results.borrow_mut().retain(|result| !range.contains(&result.item));
        self.written_chunks.borrow_mut().retain(|written| *written != chunk);
    }

    /// Registers a running item; the returned channel fires when the item is cancelled.
    pub fn register_item(&self, item: u32) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut cancel_senders = self.cancel_senders.borrow_mut();
        match cancel_senders.binary_search_by_key(&item, |row| row.0) {
            Ok(position) => cancel_senders[position].1 = sender,
            Err(position) => cancel_senders.insert(position, (item, sender)),
        }
        receiver
    }

    /// Cancels a running item and removes its registration.
    pub fn cancel_item(&self, item: u32) {
        let mut cancel_senders = self.cancel_senders.borrow_mut();
        if let Ok(position) = cancel_senders.binary_search_by_key(&item, |row| row.0) {
            let _ = cancel_senders.remove(position).1.send(());
        }
    }

    /// Updates the missed writes of each replica after a write that `synced` have completed.
    pub fn update_missed_writes(&self, synced: &[String]) {
        let mut missed_writes = self.missed_writes.borrow_mut();
        for name in &self.record.borrow().replicas {
            let position = match missed_writes.binary_search_by(|row| row.0.cmp(name)) {
                Ok(position) => position,
                Err(position) => {
                    missed_writes.insert(position, (name.clone(), 0));
                    position
                }
            };
            let row = &mut missed_writes[position].1;
            *row = if synced.contains(name) { 0 } else { *row + 1 };
        }
    }

    /// Returns whether a replica has missed enough consecutive writes to be replaced.
    pub fn has_reached_missed_write_limit(&self, name: &str) -> bool {
        let missed_writes = self.missed_writes.borrow();
        let found = missed_writes.binary_search_by(|row| row.0.as_str().cmp(name));
        found.is_ok_and(|position| missed_writes[position].1 >= MISSED_WRITE_LIMIT)
    }

    /// Returns the replicas that new records are written to, the joining ones last.
    pub fn write_replicas(&self) -> Vec<String> {
        let mut replicas = self.record.borrow().replicas.clone();
        replicas.extend(self.joining_replicas.borrow().iter().cloned());
        replicas
    }

    /// Returns the item numbers of a chunk.
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
