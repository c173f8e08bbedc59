//! Callers' calls about jobs.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cv_dispatch::ItemResult;
use cv_dispatch::JobSpec;
use cv_timeline::EventKind;
use cv_timeline::LineWeight;
use http::StatusCode;
use monoio::time::timeout;

use crate::CommitOutcome;
use crate::CoordinationStore;
use crate::PlatformAdapter;
use crate::StoreCommit;
use crate::StoreFault;
use crate::keeper::job_dispatch::end_job;
use crate::keeper::job_record::JobRecord;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::stored_keys::decode_results;
use crate::keeper::stored_keys::end_key;
use crate::keeper::stored_keys::job_key;
use crate::keeper::stored_keys::result_prefix;
use crate::keeper::tracked_job::ResultsState;
use crate::keeper::tracked_job::TrackedJob;

/// Longest time that an acceptance or an end is tried at the store.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Longest answer to a read, in bytes of results.
const MAX_READ_BYTES: usize = 900 * 1024;

/// A status with a body.
pub(crate) type CallResponse = (StatusCode, Bytes);

/// Returns an answer without a body.
fn empty_response(status: StatusCode) -> CallResponse {
    (status, Bytes::new())
}

/// Accepts a job once, however often it is submitted.
pub(crate) async fn submit_job<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    spec: JobSpec,
) -> CallResponse {
    if state.jobs.get(&spec.id).is_some() {
        return empty_response(StatusCode::ACCEPTED);
    }
    if state.is_leaving.get() || state.view.routes().is_none() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    if !fits_token_limit(state, &spec) {
        // The job may have been accepted before and be unknown here.
        return match find_job(state, &spec.id).await {
            Ok(Some(_)) => empty_response(StatusCode::ACCEPTED),
            Ok(None) => empty_response(StatusCode::TOO_MANY_REQUESTS),
            Err(_) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        };
    }
    let id = spec.id.clone();
    let commit = match JobRecord::create(&spec) {
        Ok(commit) => commit,
        Err(fault) => {
            log::error!("job {id} cannot be encoded: {fault}");
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
    };
    let outcome = state.commit_with_retry(&commit, WRITE_TIMEOUT).await;
    let (status, how) = match outcome {
        Ok(CommitOutcome::Done) => {
            let cell = state.jobs.add(spec, ResultsState::NotLoaded);
            // Only an owner's book stays current: it lists whatever is listed from now on.
            if state.is_owner(&id) {
                cell.is_owned.set(true);
                cell.results_state.set(ResultsState::Loaded);
            }
            state.metrics.jobs_accepted.inc();
            (StatusCode::ACCEPTED, "accepted")
        }
        Ok(_) => {
            state.jobs.add(spec, ResultsState::NotLoaded);
            (StatusCode::ACCEPTED, "accepted before")
        }
        Err(StoreFault::Ambiguous(_)) => (StatusCode::INTERNAL_SERVER_ERROR, "unknown"),
        Err(_) => (StatusCode::SERVICE_UNAVAILABLE, "not accepted"),
    };
    let kind =
        if status == StatusCode::ACCEPTED { EventKind::JobAccepted } else { EventKind::JobRefused };
    state.view.log.record(LineWeight::Essential, kind, &id, || {
        format!("outcome={how:?} store_up={}", state.view.store_health.is_up())
    });
    state.work_available.notify_one();
    (status, Bytes::new())
}

/// Reads results from a position, waiting for the first if there is none yet.
pub(crate) async fn read_results<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    job: &str,
    position: usize,
    patience: Duration,
) -> CallResponse {
    if let Some(cell) = state.jobs.get(job)
        && cell.has_current_results()
        && state.holds_confirmed_lease()
    {
        // The patience may be over without a result, which is an answer too.
        let _ = timeout(patience, wait_for_result(&cell, position)).await;
        if cell.has_current_results() && state.holds_confirmed_lease() {
            let book = cell.book.borrow();
            log_read(state, job, "book", position, book.listed().len());
            return results_response::<P>(book.spec().items.len(), position, book.listed());
        }
    }
    if !state.view.store_health.is_up() {
        // Callers read twice a second, and a store in trouble has to answer them all.
        log_read(state, job, "nowhere", position, 0);
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let spec = match find_job(state, job).await {
        Ok(Some(spec)) => spec,
        Ok(None) => return empty_response(StatusCode::NOT_FOUND),
        Err(_) => return empty_response(StatusCode::SERVICE_UNAVAILABLE),
    };
    let read = state.view.store_health.observe(state.store.range(&result_prefix(job)).await);
    let Ok(snapshot) = read else {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    let mut listed = Vec::new();
    for item in &snapshot.items {
        match decode_results(&item.value) {
            Ok(results) => listed.extend(results),
            Err(fault) => {
                log::error!("results at {} cannot be read: {fault}", item.key);
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
    }
    log_read(state, job, "store", position, listed.len());
    results_response::<P>(spec.items.len(), position, &listed)
}

/// Writes a line about a read.
fn log_read<P: PlatformAdapter>(
    state: &KeeperState<P>,
    job: &str,
    from: &str,
    position: usize,
    listed: usize,
) {
    state.view.log.record(LineWeight::Routine, EventKind::ResultsRead, job, || {
        format!("from={from} position={position} listed={listed}")
    });
}

/// Reads the body of an item.
pub(crate) async fn read_item<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    job: &str,
    item: &str,
) -> CallResponse {
    match find_job(state, job).await {
        Ok(Some(spec)) => match spec.items.into_iter().find(|spec| spec.id == item) {
            Some(spec) => (StatusCode::OK, Bytes::from(spec.body)),
            None => empty_response(StatusCode::NOT_FOUND),
        },
        Ok(None) => empty_response(StatusCode::NOT_FOUND),
        Err(_) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Ends a job.
pub(crate) async fn close_job<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    job: &str,
) -> CallResponse {
    match find_job(state, job).await {
        Ok(Some(_)) => {}
        Ok(None) => return empty_response(StatusCode::NOT_FOUND),
        Err(_) => return empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
    let commit = StoreCommit::put(&end_key(job), Vec::new(), 0);
    match state.commit_with_retry(&commit, WRITE_TIMEOUT).await {
        Ok(_) => {
            end_job(state, job);
            empty_response(StatusCode::OK)
        }
        Err(fault) => {
            state.view.log.record(LineWeight::Essential, EventKind::JobRefused, job, || {
                format!("end not acknowledged: {fault}")
            });
            empty_response(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

/// Waits until there is a result at a position or no more will come.
async fn wait_for_result(cell: &TrackedJob, position: usize) {
    cell.wait_until(|cell| {
        let book = cell.book.borrow();
        let is_over = book.listed().len() > position || book.is_complete() || book.is_closed();
        is_over || !cell.has_current_results()
    })
    .await;
}

/// Makes the answer to a read.
fn results_response<P: PlatformAdapter>(
    total: usize,
    position: usize,
    listed: &[ItemResult],
) -> CallResponse {
    let rest = listed.get(position..).unwrap_or_default();
    let mut size = 0;
    let count = rest.iter().enumerate().take_while(|(index, result)| {
        size += result.size();
        *index == 0 || size <= MAX_READ_BYTES
    });
    let count = count.count();
    (StatusCode::OK, P::encode_results(total, position, &rest[..count]))
}

/// Finds a job here or in the store; `Ok(None)` means that there surely is none.
async fn find_job<P: PlatformAdapter>(
    state: &KeeperState<P>,
    job: &str,
) -> Result<Option<JobSpec>, StoreFault> {
    if let Some(cell) = state.jobs.get(job) {
        return Ok(Some(cell.book.borrow().spec().clone()));
    }
    match state.view.store_health.observe(state.store.get(&job_key(job)).await)? {
        None => Ok(None),
        Some(item) => match JobRecord::decode(&item.value) {
            Ok(record) => record.read(state, job).await.map(Some),
            Err(fault) => Err(StoreFault::Invalid(fault.to_string())),
        },
    }
}

/// Tells whether a job's tokens fit beside those that wait on its route.
fn fits_token_limit<P: PlatformAdapter>(state: &KeeperState<P>, spec: &JobSpec) -> bool {
    let Some(routes) = state.view.routes() else {
        return false;
    };
    let Some(route) = routes.find(&spec.host, &spec.path) else {
        return true;
    };
    if route.max_queued_tokens == 0 {
        return true;
    }
    let cells = state.jobs.all();
    let of_route = cells.iter().filter(|cell| {
        let book = cell.book.borrow();
        let other = routes.find(&book.spec().host, &book.spec().path);
        other.is_some_and(|other| other.name == route.name)
    });
    let waiting: u64 = of_route.map(|cell| cell.book.borrow().unfinished_tokens()).sum();
    let own: u64 = spec.items.iter().map(|item| item.tokens).sum();
    waiting + own <= route.max_queued_tokens
}
