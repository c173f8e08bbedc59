//! Makes results durable, after which callers may read them.

use std::rc::Rc;
use std::time::Duration;

use cv_timeline::EventKind;
use cv_timeline::LineWeight;

use crate::CommitOutcome;
use crate::CoordinationStore;
use crate::PlatformAdapter;
use crate::StoreCommit;
use crate::StoreFault;
use crate::StoredItem;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::progress_replication::fetch_updates;
use crate::keeper::stored_keys::decode_results;
use crate::keeper::stored_keys::encode_results;
use crate::keeper::stored_keys::result_key;
use crate::keeper::stored_keys::result_prefix;
use crate::keeper::tracked_job::ResultsState;
use crate::keeper::tracked_job::TrackedJob;

/// Longest segment, in bytes; well below the store's limit of a megabyte a value.
const MAX_SEGMENT_BYTES: usize = 400 * 1024;

/// Time in which results that end together are collected into one write.
const COMMIT_DELAY: Duration = Duration::from_millis(350);

/// Longest time that one write is repeated before the job is looked at anew.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a task that makes a job's ended items durable, unless one is at work.
pub(crate) fn start_commits<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, cell: &Rc<TrackedJob>) {
    if cell.is_committing.replace(true) {
        return;
    }
    let (state, cell) = (Rc::clone(state), Rc::clone(cell));
    monoio::spawn(async move {
        monoio::time::sleep(COMMIT_DELAY).await;
        commit_segments(&state, &cell).await;
        cell.is_committing.set(false);
    });
}

/// Writes segments until none is left or the job is another keeper's.
async fn commit_segments<P: PlatformAdapter>(state: &KeeperState<P>, cell: &TrackedJob) {
    loop {
        if !cell.is_owned.get() {
            return;
        }
        let next = {
            let mut book = cell.book.borrow_mut();
            let job = book.spec().id.clone();
            book.next_segment(MAX_SEGMENT_BYTES).map(|segment| {
                let value = encode_results(&segment.results);
                (result_key(&job, segment.position), segment.position, value)
            })
        };
        let Some((key, position, value)) = next else {
            return;
        };
        let value = match value {
            Ok(value) => value,
            Err(fault) => {
                log::error!("results at {key} cannot be encoded: {fault}");
                return;
            }
        };
        if !write_segment(state, cell, &key, position, &value).await {
            return;
        }
    }
}

/// Writes one segment; tells whether the book knows what stands at its position now.
async fn write_segment<P: PlatformAdapter>(
    state: &KeeperState<P>,
    cell: &TrackedJob,
    key: &str,
    position: usize,
    value: &[u8],
) -> bool {
    let commit = StoreCommit::create(key, value.to_vec());
    loop {
        match state.commit_with_retry(&commit, WRITE_TIMEOUT).await {
            Ok(CommitOutcome::Conflict(items)) => {
                return resolve_conflict(state, cell, position, value, &items);
            }
            Ok(_) => {
                let before = cell.book.borrow().listed().len();
                cell.book.borrow_mut().confirm_segment();
                let listed = cell.book.borrow().listed().len() - before;
                state.metrics.results_listed.inc_by(listed as u64);
                log_results_listed(state, cell, "written");
                cell.changed.notify_waiters();
                return true;
            }
            Err(StoreFault::Invalid(detail)) => {
                log::error!("results at {key} are refused: {detail}");
                cell.book.borrow_mut().abort_segment();
                return false;
            }
            Err(_) if cell.is_owned.get() => {
                monoio::select! {
                    () = state.view.store_health.wait_until_up() => {}
                    () = cell.wait_until(|cell| !cell.is_owned.get()) => return false,
                }
            }
            Err(_) => return false,
        }
    }
}

/// Takes what stands at a position already; tells whether that is known now.
fn resolve_conflict<P: PlatformAdapter>(
    state: &KeeperState<P>,
    cell: &TrackedJob,
    position: usize,
    value: &[u8],
    items: &[StoredItem],
) -> bool {
    let Some(item) = items.first() else {
        log::error!("a write at position {position} conflicts with nothing");
        cell.book.borrow_mut().abort_segment();
        return false;
    };
    if item.value == value {
        cell.book.borrow_mut().confirm_segment();
        log_results_listed(state, cell, "written before");
    } else {
        match decode_results(&item.value) {
            Ok(results) => cell.book.borrow_mut().adopt_segment(position, results),
            Err(fault) => log::error!("results at {} cannot be read: {fault}", item.key),
        }
        log_results_listed(state, cell, "another owner's");
    }
    cell.changed.notify_waiters();
    true
}

/// Reads what earlier owners have listed, and what their unfinished runs have put out, into the book.
pub(crate) async fn load_results<P: PlatformAdapter>(state: &KeeperState<P>, cell: &TrackedJob) {
    let job = cell.book.borrow().spec().id.clone();
    let prefix = result_prefix(&job);
    let (read, ()) = futures::join!(state.store.range(&prefix), fetch_updates(state, cell));
    let Ok(snapshot) = state.view.store_health.observe(read) else {
        cell.results_state.set(ResultsState::NotLoaded);
        return;
    };
    cell.book.borrow_mut().abort_segment();
    for item in &snapshot.items {
        let mut book = cell.book.borrow_mut();
        let position = book.listed().len();
        if item.key < result_key(&job, position) {
            continue;
        }
        match decode_results(&item.value) {
            Ok(results) => book.adopt_segment(position, results),
            Err(fault) => log::error!("results at {} cannot be read: {fault}", item.key),
        }
    }
    cell.results_state.set(ResultsState::Loaded);
    log_results_listed(state, cell, "loaded");
    cell.changed.notify_waiters();
    state.work_available.notify_one();
}

/// Writes a line about the results that callers can read.
fn log_results_listed<P: PlatformAdapter>(state: &KeeperState<P>, cell: &TrackedJob, how: &str) {
    let book = cell.book.borrow();
    state.view.log.record(LineWeight::Essential, EventKind::ResultsListed, &book.spec().id, || {
        format!("how={how:?} listed={} total={}", book.listed().len(), book.spec().items.len())
    });
}
