//! Requests of callers about jobs: submit, read results, read an item, close.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cv_dispatch::AcceptedRoute;
use cv_dispatch::ItemResult;
use cv_dispatch::JobRoute;
use cv_dispatch::JobSpec;
use cv_dispatch::RequestCaller;
use cv_dispatch::ResultsLoad;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;
use http::StatusCode;
use monoio::time::timeout;

use crate::CommitOutcome;
use crate::CoordinationStore;
use crate::PlatformAdapter;
use crate::StoreCommit;
use crate::StoreFault;
use crate::keeper::accepted_job::AcceptedJob;
use crate::keeper::close_notices::announce_close;
use crate::keeper::job_dispatch::RETENTION;
use crate::keeper::job_dispatch::mark_job_closed;
use crate::keeper::job_record::JobRecord;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::stored_keys::closed_key;
use crate::keeper::stored_keys::decode_results;
use crate::keeper::stored_keys::job_key;
use crate::keeper::stored_keys::result_prefix;
use crate::keeper::stored_keys::with_work_marker;
use crate::keeper::tracked_job::TrackedJob;

/// Maximum time for the write that accepts or closes a job.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum size of a response to a read, in bytes of results; a larger first result is still
/// returned.
const MAX_READ_BYTES: usize = 900 * 1024;

/// Status and body of a response.
pub(crate) type CallResponse = (StatusCode, Bytes);

/// Returns a response without a body.
fn empty_response(status: StatusCode) -> CallResponse {
    (status, Bytes::new())
}

/// Accepts a job that an entry has routed by the configuration of a version; repeated submissions of
/// the same id are idempotent.
pub(crate) async fn submit_job<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    spec: JobSpec,
    config_version: u64,
) -> CallResponse {
    if let Some(job) = state.jobs.get(&spec.id) {
        return repeated_submission(&spec.caller, job.tracker.borrow().spec());
    }
    if state.is_draining.get() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let Some(route) = find_accepting_route(state, &spec, config_version).await else {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    if !fits_token_limit(state, &spec, &route) {
        // Another keeper may have accepted the job before.
        return match find_or_adopt_job(state, &spec.id).await {
            Ok(Some(accepted)) => repeated_submission(&spec.caller, &accepted),
            Ok(None) => empty_response(StatusCode::TOO_MANY_REQUESTS),
            Err(_) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        };
    }
    let (id, route_name) = (spec.id.clone(), route.name.clone());
    let job = AcceptedJob { route: Some(route), spec };
    let commit = match JobRecord::create_commit(&job) {
        Ok(commit) => commit,
        Err(fault) => {
            log::error!("cannot encode job {id}, which is not accepted: {fault}");
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
    };
    let outcome = state.commit_with_retry(&commit, WRITE_TIMEOUT).await;
    let (status, how) = match outcome {
        Ok(CommitOutcome::Done) => {
            let job = state.jobs.add(job);
            // Only the owner's tracker stays up to date, since only the owner lists results.
            if state.is_owner(&id) {
                job.is_owned.set(true);
                job.update_results(ResultsLoad::record_new);
            }
            state.metrics.jobs_accepted.inc();
            (StatusCode::ACCEPTED, "accepted")
        }
        // The stored job may differ from this submission in its route and its time.
        Ok(_) => match find_or_adopt_job(state, &id).await {
            Ok(Some(accepted)) => {
                let (status, _) = repeated_submission(&job.spec.caller, &accepted);
                (status, "accepted before")
            }
            Ok(None) | Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, "unknown"),
        },
        Err(StoreFault::Ambiguous(_)) => (StatusCode::INTERNAL_SERVER_ERROR, "unknown"),
        Err(_) => (StatusCode::SERVICE_UNAVAILABLE, "not accepted"),
    };
    let kind =
        if status == StatusCode::ACCEPTED { EventKind::JobAccepted } else { EventKind::JobRefused };
    state.view.log.record(LinePriority::Essential, kind, &id, || {
        let is_up = state.view.store_health.is_up();
        format!("outcome={how:?} route={route_name:?} store_up={is_up}")
    });
    state.work_available.notify_one();
    (status, Bytes::new())
}

/// Responds to a submission with the id of a job that has been accepted before.
fn repeated_submission(caller: &RequestCaller, accepted: &JobSpec) -> CallResponse {
    if caller.may_access_job_of(&accepted.caller) {
        empty_response(StatusCode::ACCEPTED)
    } else {
        empty_response(StatusCode::CONFLICT)
    }
}

/// Confirms a submission if its job has been accepted before, and accepts nothing.
pub(crate) async fn confirm_job<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    caller: &RequestCaller,
    job_id: &str,
) -> CallResponse {
    empty_response(match find_job_of(state, caller, job_id).await {
        Ok(Some(_)) => StatusCode::ACCEPTED,
        Ok(None) => StatusCode::NOT_FOUND,
        Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    })
}

/// Reads results from a position; waits up to `max_wait` if there are none yet.
///
/// Reads are answered from memory while this keeper certainly owns the job, and from the store
/// otherwise.
pub(crate) async fn read_results<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    caller: &RequestCaller,
    job_id: &str,
    position: usize,
    max_wait: Duration,
) -> CallResponse {
    if let Some(job) = state.jobs.get(job_id)
        && caller.may_access_job_of(&job.tracker.borrow().spec().caller)
        && job.has_current_results()
        && state.holds_confirmed_lease()
    {
        // A timeout is no error: the response then holds no results.
        let _ = timeout(max_wait, wait_for_result(&job, position)).await;
        if job.has_current_results() && state.holds_confirmed_lease() {
            let tracker = job.tracker.borrow();
            log_read(state, job_id, "book", position, tracker.listed().len());
            return results_response::<P>(tracker.spec().items.len(), position, tracker.listed());
        }
    }
    if !state.view.store_health.is_up() {
        // Each caller reads twice a second: passing these reads on would overload a failing store.
        log_read(state, job_id, "nowhere", position, 0);
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let spec = match find_job_of(state, caller, job_id).await {
        Ok(Some(spec)) => spec,
        Ok(None) => return empty_response(StatusCode::NOT_FOUND),
        Err(_) => return empty_response(StatusCode::SERVICE_UNAVAILABLE),
    };
    let read = state.view.store_health.observe(state.store.range(&result_prefix(job_id)).await);
    let Ok(snapshot) = read else {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    let mut listed = Vec::new();
    for item in &snapshot.items {
        match decode_results(&item.value) {
            Ok(results) => listed.extend(results),
            Err(fault) => {
                log::error!(
                    "cannot decode the results at {}, and the read fails: {fault}",
                    item.key
                );
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
    }
    log_read(state, job_id, "store", position, listed.len());
    results_response::<P>(spec.items.len(), position, &listed)
}

/// Records where a read was answered from and how many results are listed.
fn log_read<P: PlatformAdapter>(
    state: &KeeperState<P>,
    job_id: &str,
    from: &str,
    position: usize,
    listed: usize,
) {
    state.view.log.record(LinePriority::Routine, EventKind::ResultsRead, job_id, || {
        format!("from={from} position={position} listed={listed}")
    });
}

/// Reads the request body of an item.
pub(crate) async fn read_item<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    caller: &RequestCaller,
    job_id: &str,
    item: &str,
) -> CallResponse {
    match find_job_of(state, caller, job_id).await {
        Ok(Some(spec)) => match spec.items.into_iter().find(|spec| spec.id == item) {
            Some(spec) => (StatusCode::OK, Bytes::from(spec.body)),
            None => empty_response(StatusCode::NOT_FOUND),
        },
        Ok(None) => empty_response(StatusCode::NOT_FOUND),
        Err(_) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Closes a job: writes the key that marks it as closed, then stops its runs.
pub(crate) async fn close_job<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    caller: &RequestCaller,
    job_id: &str,
) -> CallResponse {
    match find_job_of(state, caller, job_id).await {
        Ok(Some(_)) => {}
        Ok(None) => return empty_response(StatusCode::NOT_FOUND),
        Err(_) => return empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
    let commit = with_work_marker(StoreCommit::put(&closed_key(job_id), Vec::new(), 0));
    match state.commit_with_retry(&commit, WRITE_TIMEOUT).await {
        Ok(_) => {
            mark_job_closed(state, job_id);
            announce_close(state, job_id);
            empty_response(StatusCode::OK)
        }
        Err(fault) => {
            state.view.log.record(LinePriority::Essential, EventKind::JobRefused, job_id, || {
                format!("end not acknowledged: {fault}")
            });
            empty_response(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

/// Waits until a result is listed at a position, no more results will follow, or this keeper stops
/// being the owner.
async fn wait_for_result(job: &TrackedJob, position: usize) {
    job.wait_until(|job| {
        let tracker = job.tracker.borrow();
        let is_over =
            tracker.listed().len() > position || tracker.is_complete() || tracker.is_closed();
        is_over || !job.has_current_results()
    })
    .await;
}

/// Encodes the results from a position, up to [`MAX_READ_BYTES`].
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

/// Finds a job that a caller may access; for any other caller the job does not exist.
///
/// # Errors
/// Those of [`find_or_adopt_job`].
async fn find_job_of<P: PlatformAdapter>(
    state: &KeeperState<P>,
    caller: &RequestCaller,
    job_id: &str,
) -> Result<Option<JobSpec>, StoreFault> {
    let spec = find_or_adopt_job(state, job_id).await?;
    Ok(spec.filter(|spec| caller.may_access_job_of(&spec.caller)))
}

/// Finds a job in memory or in the store; `Ok(None)` if the store confirms that it does not exist.
///
/// A job that is found in the store has not been reported by the watch yet and is added, so that it
/// runs if this keeper is the owner. Its close may not have been reported either, and is looked up. A
/// job past its retention is about to be purged and is not added.
///
/// # Errors
/// Faults of the store; `Invalid` if the job cannot be decoded.
pub(crate) async fn find_or_adopt_job<P: PlatformAdapter>(
    state: &KeeperState<P>,
    job_id: &str,
) -> Result<Option<JobSpec>, StoreFault> {
    if let Some(job) = state.jobs.get(job_id) {
        return Ok(Some(job.tracker.borrow().spec().clone()));
    }
    match state.view.store_health.observe(state.store.get(&job_key(job_id)).await)? {
        None => Ok(None),
        Some(item) => match JobRecord::decode(&item.value) {
            Ok(record) => {
                let job = record.read_job(state, job_id).await?;
                let spec = job.spec.clone();
                if state.age_since(spec.submitted_ms) <= RETENTION {
                    let close = state.store.get(&closed_key(job_id)).await;
                    if state.view.store_health.observe(close)?.is_some() {
                        mark_job_closed(state, job_id);
                    }
                    state.jobs.add(job);
                    state.work_available.notify_one();
                }
                Ok(Some(spec))
            }
            Err(fault) => Err(StoreFault::Invalid(fault.to_string())),
        },
    }
}

/// Finds the route that accepts a job, in a configuration at least as new as `config_version`. Reads
/// the configuration from the store if the active one is older or lacks the route.
async fn find_accepting_route<P: PlatformAdapter>(
    state: &KeeperState<P>,
    spec: &JobSpec,
    config_version: u64,
) -> Option<AcceptedRoute> {
    let find_active = || {
        let routes = state.view.routes().filter(|routes| routes.version >= config_version)?;
        routes.accepting_route(&spec.host, &spec.path)
    };
    if let Some(route) = find_active() {
        return Some(route);
    }
    if let Err(fault) = state.view.refresh_config::<P>(&state.store).await {
        state.view.log.record(LinePriority::Essential, EventKind::JobRefused, &spec.id, || {
            format!("outcome=\"not accepted\" route unknown: {fault}")
        });
        return None;
    }
    find_active()
}

/// Returns whether a job's tokens and the unfinished tokens of its customer on the route that accepts
/// it stay within the route's limit, where 0 means no limit. Callers that are no customers share one
/// limit.
fn fits_token_limit<P: PlatformAdapter>(
    state: &KeeperState<P>,
    spec: &JobSpec,
    route: &AcceptedRoute,
) -> bool {
    let Some(routes) = state.view.routes() else {
        return false;
    };
    let JobRoute::InForce(rule) = routes.job_route(route) else {
        return false;
    };
    if rule.max_queued_tokens == 0 {
        return true;
    }
    let jobs = state.jobs.all();
    let counted_jobs = jobs.iter().filter(|job| {
        let is_on_route = job.route.borrow().as_ref().is_some_and(|other| other.name == route.name);
        is_on_route && job.tracker.borrow().spec().caller.customer() == spec.caller.customer()
    });
    let unfinished: u64 = counted_jobs.map(|job| job.tracker.borrow().unfinished_tokens()).sum();
    let added: u64 = spec.items.iter().map(|item| item.tokens).sum();
    unfinished + added <= rule.max_queued_tokens
}
