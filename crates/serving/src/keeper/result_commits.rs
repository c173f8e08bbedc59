//! Commits results to the store, after which callers may read them.

use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::LoadId;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;

use crate::CommitOutcome;
use crate::CoordinationStore;
use crate::PlatformAdapter;
use crate::StoreCommit;
use crate::StoreFault;
use crate::StoredItem;
use crate::keeper::job_dispatch::RETENTION;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::progress_replication::fetch_updates;
use crate::keeper::stored_keys::decode_results;
use crate::keeper::stored_keys::encode_results;
use crate::keeper::stored_keys::job_key;
use crate::keeper::stored_keys::result_key;
use crate::keeper::stored_keys::result_prefix;
use crate::keeper::tracked_job::TrackedJob;

/// Maximum size of a result segment, in bytes; well below the store's limit of a megabyte per
/// value.
const MAX_SEGMENT_BYTES: usize = 400 * 1024;

/// Delay before a commit, so that items that end at about the same time share one write.
const COMMIT_DELAY: Duration = Duration::from_millis(350);

/// Time for which a write is repeated before the job's ownership is checked again.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The turn of the one task that may commit a job's results.
///
/// A segment is pending only during a turn. However the turn ends, the next one can list the results.
struct CommitTurn {
    /// The job whose results are committed.
    job: Rc<TrackedJob>,
}

impl Drop for CommitTurn {
    fn drop(&mut self) {
        self.job.tracker.borrow_mut().abort_segment();
        self.job.is_committing.set(false);
    }
}

/// Starts a task that commits the results of a job's ended items, unless one is running.
pub(crate) fn start_commits<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, job: &Rc<TrackedJob>) {
    if job.is_committing.replace(true) {
        return;
    }
    let (state, turn) = (Rc::clone(state), CommitTurn { job: Rc::clone(job) });
    monoio::spawn(async move {
        monoio::time::sleep(COMMIT_DELAY).await;
        commit_segments(&state, &turn.job).await;
    });
}

/// Writes segments until none is left or this keeper no longer owns the job.
async fn commit_segments<P: PlatformAdapter>(state: &KeeperState<P>, job: &TrackedJob) {
    loop {
        if !job.is_owned.get() {
            return;
        }
        let next = {
            let mut tracker = job.tracker.borrow_mut();
            let job_id = tracker.spec().id.clone();
            tracker.next_segment(MAX_SEGMENT_BYTES).map(|segment| {
                let value = encode_results(&segment.results);
                (result_key(&job_id, segment.position), segment.position, value)
            })
        };
        let Some((key, position, value)) = next else {
            return;
        };
        let value = match value {
            Ok(value) => value,
            Err(fault) => {
                log::error!("cannot encode the results for {key}, committed later: {fault}");
                return;
            }
        };
        if !write_segment(state, job, &key, position, &value).await {
            return;
        }
    }
}

/// Writes one segment; returns whether the next one can follow, because the segment stored at this
/// position has been handled.
async fn write_segment<P: PlatformAdapter>(
    state: &KeeperState<P>,
    job: &TrackedJob,
    key: &str,
    position: usize,
    value: &[u8],
) -> bool {
    let commit = StoreCommit::create(key, value.to_vec());
    loop {
        match state.commit_with_retry(&commit, WRITE_TIMEOUT).await {
            Ok(CommitOutcome::Conflict(items)) => {
                return resolve_conflict(state, job, position, value, &items);
            }
            Ok(_) => {
                let before = job.tracker.borrow().listed().len();
                job.tracker.borrow_mut().confirm_segment();
                let listed = job.tracker.borrow().listed().len() - before;
                state.metrics.results_listed.inc_by(listed as u64);
                log_results_listed(state, job, "written");
                job.changed.notify_waiters();
                return true;
            }
            Err(StoreFault::Invalid(detail)) => {
                log::error!(
                    "the store refuses the results at {key}, which are committed later: {detail}"
                );
                return false;
            }
            Err(_) if job.is_owned.get() => {
                monoio::select! {
                    () = state.view.store_health.wait_until_up() => {}
                    () = job.wait_until(|job| !job.is_owned.get()) => return false,
                }
            }
            Err(_) => return false,
        }
    }
}

/// Handles a write that conflicts with a segment already stored at its position, by an earlier
/// attempt or another owner; returns whether the next segment can follow.
fn resolve_conflict<P: PlatformAdapter>(
    state: &KeeperState<P>,
    job: &TrackedJob,
    position: usize,
    value: &[u8],
    items: &[StoredItem],
) -> bool {
    let Some(item) = items.first() else {
        log::error!("write of results at position {position}: conflict without a stored value");
        return false;
    };
    if item.value == value {
        job.tracker.borrow_mut().confirm_segment();
        log_results_listed(state, job, "written before");
    } else {
        match decode_results(&item.value) {
            Ok(results) => job.tracker.borrow_mut().adopt_segment(position, results),
            Err(fault) => {
                // The value may only have been damaged on the way here.
                log::error!("cannot decode the results at {}, tried again: {fault}", item.key);
                return false;
            }
        }
        log_results_listed(state, job, "another owner's");
    }
    job.changed.notify_waiters();
    true
}

/// Loads the results that earlier owners have listed, and the output of their unfinished runs, into
/// the job's tracker.
pub(crate) async fn load_results<P: PlatformAdapter>(
    state: &KeeperState<P>,
    job: &TrackedJob,
    load: LoadId,
) {
    let job_id = job.tracker.borrow().spec().id.clone();
    let prefix = result_prefix(&job_id);
    let (read, ()) = futures::join!(state.store.range(&prefix), fetch_updates(state, job));
    let Ok(snapshot) = state.view.store_health.observe(read) else {
        job.update_results(|results| results.finish(load, false));
        return;
    };
    if !job.results.get().is_current(load) {
        return;
    }
    // A job may have been purged in a gap of the watch, and its results with it.
    if state.job_age(job) > RETENTION {
        let record = state.view.store_health.observe(state.store.get(&job_key(&job_id)).await);
        match record {
            Ok(Some(_)) => {}
            Ok(None) => return state.jobs.remove(&job_id),
            Err(_) => {
                job.update_results(|results| results.finish(load, false));
                return;
            }
        }
        if !job.results.get().is_current(load) {
            return;
        }
    }
    let is_complete = adopt_segments(job, &snapshot.items);
    job.update_results(|results| results.finish(load, is_complete));
    log_results_listed(state, job, if is_complete { "loaded" } else { "loaded in part" });
    job.changed.notify_waiters();
    state.work_available.notify_one();
}

/// Lists the results of stored segments; returns whether all of them could be decoded.
///
/// Without the segments that follow one that cannot be decoded, a list is shorter than one that
/// callers may have read.
fn adopt_segments(job: &TrackedJob, items: &[StoredItem]) -> bool {
    let mut tracker = job.tracker.borrow_mut();
    tracker.abort_segment();
    for item in items {
        let position = tracker.listed().len();
        if item.key < result_key(&tracker.spec().id, position) {
            continue;
        }
        match decode_results(&item.value) {
            Ok(results) => tracker.adopt_segment(position, results),
            Err(fault) => {
                log::error!("cannot decode the results at {}, read again: {fault}", item.key);
                return false;
            }
        }
    }
    true
}

/// Records how many results of a job callers can read, and what changed the number.
fn log_results_listed<P: PlatformAdapter>(state: &KeeperState<P>, job: &TrackedJob, how: &str) {
    let tracker = job.tracker.borrow();
    state.view.log.record(
        LinePriority::Essential,
        EventKind::ResultsListed,
        &tracker.spec().id,
        || {
            format!(
                "how={how:?} listed={} total={}",
                tracker.listed().len(),
                tracker.spec().items.len()
            )
        },
    );
}
