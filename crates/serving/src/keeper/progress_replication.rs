//! Replicates the output of unfinished items to the keeper that would own their job next.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cv_dispatch::JobUpdate;
use cv_dispatch::KeeperRecord;
use cv_http::ClientRequest;
use cv_timer::TimerService;
use futures::future::join_all;
use http::Method;
use http::StatusCode;

use crate::PlatformAdapter;
use crate::keeper::job_path::job_path;
use crate::keeper::job_requests::CallResponse;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::tracked_job::TrackedJob;

/// Path of the calls by which keepers exchange the output of unfinished items.
pub(crate) const UPDATES_PATH: &str = "/cv/copies/";

/// Time between two replications; output produced since the last one is lost with its keeper.
const REPLICATION_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time for a call to another keeper.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of a response, in bytes.
const MAX_UPDATE_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of jobs whose output is sent in one call.
const JOBS_PER_CALL: usize = 16;

/// Starts the task that replicates output for as long as the process runs.
pub(crate) fn start_replication<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    timers: &TimerService,
) {
    let ticks = timers.subscribe(REPLICATION_INTERVAL);
    let state = Rc::clone(state);
    monoio::spawn(async move {
        loop {
            ticks.next().await;
            push_updates(&state).await;
        }
    });
}

/// Sends the output since the last acknowledged replication to each job's next owner.
pub(crate) async fn push_updates<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    let keeper_set = state.view.keepers();
    let name = &state.identity.name;
    let others = keeper_set.keepers().iter().filter(|keeper| keeper.name != *name);
    join_all(others.map(|replica| {
        let jobs = state.jobs.all().into_iter().filter(|job| {
            let tracker = job.tracker.borrow();
            let ranking = keeper_set.ranking_for(&tracker.spec().id);
            let next = ranking.into_iter().find(|keeper| keeper.name != *name);
            job.is_active() && next.is_some_and(|next| next.name == replica.name)
        });
        let jobs: Vec<Rc<TrackedJob>> = jobs.collect();
        async move {
            for jobs in jobs.chunks(JOBS_PER_CALL) {
                push_to_replica(state, replica, jobs).await;
            }
        }
    }))
    .await;
}

/// Sends the new output of some jobs to the keeper that is their replica.
async fn push_to_replica<P: PlatformAdapter>(
    state: &KeeperState<P>,
    replica: &KeeperRecord,
    jobs: &[Rc<TrackedJob>],
) {
    let mut updates = Vec::new();
    let mut updated_jobs = Vec::new();
    for job in jobs {
        let tracker = job.tracker.borrow();
        let items =
            tracker.updates_since(job.replica_progress.borrow_mut().acknowledged_by(&replica.name));
        if !items.is_empty() {
            updates.push(JobUpdate { items, job: tracker.spec().id.clone() });
            updated_jobs.push(job);
        }
    }
    if updates.is_empty() {
        return;
    }
    let body = match postcard::to_stdvec(&updates) {
        Ok(body) => body,
        Err(fault) => return log::error!("cannot encode progress for {}: {fault}", replica.name),
    };
    let request = ClientRequest::new(Method::POST, UPDATES_PATH, body);
    let result =
        state.pool.exchange(replica.address, &request, PEER_CALL_TIMEOUT, MAX_UPDATE_BYTES).await;
    let response = match result {
        Ok(response) => response,
        // Output that was not acknowledged is sent again.
        Err(fault) => {
            return log::debug!(
                "cannot replicate progress to {}, which is sent again: {fault}",
                replica.name
            );
        }
    };
    let applied: Vec<bool> = match postcard::from_bytes(&response.body) {
        Ok(applied) => applied,
        Err(fault) => {
            return log::error!(
                "cannot decode the response of {} to replicated progress: {fault}",
                replica.name
            );
        }
    };
    for ((update, job), applied) in updates.iter().zip(updated_jobs).zip(applied) {
        if applied {
            job.replica_progress.borrow_mut().acknowledge(&replica.name, &update.items);
        } else {
            job.replica_progress.borrow_mut().reset();
        }
    }
}

/// Applies updates from another keeper; the response holds one flag for each job: whether all
/// of its item updates were applied.
pub(crate) fn receive_updates<P: PlatformAdapter>(
    state: &KeeperState<P>,
    body: &[u8],
) -> CallResponse {
    let updates: Vec<JobUpdate> = match postcard::from_bytes(body) {
        Ok(updates) => updates,
        Err(fault) => {
            log::error!("cannot decode progress from another keeper, which is refused: {fault}");
            return (StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    let applied: Vec<bool> = updates.iter().map(|update| apply_job_update(state, update)).collect();
    encode_response(&applied)
}

/// Applies the update of one job; returns whether all of its item updates were applied.
fn apply_job_update<P: PlatformAdapter>(state: &KeeperState<P>, update: &JobUpdate) -> bool {
    let Some(job) = state.jobs.get(&update.job) else {
        return false;
    };
    let mut tracker = job.tracker.borrow_mut();
    // Every update is applied, even if an earlier one was not.
    let applied: Vec<bool> = update.items.iter().map(|item| tracker.apply_update(item)).collect();
    applied.iter().all(|applied| *applied)
}

/// Returns all output of a job's unfinished items that this keeper has.
pub(crate) fn read_updates<P: PlatformAdapter>(
    state: &KeeperState<P>,
    job_id: &str,
) -> CallResponse {
    let job = state.jobs.get(job_id);
    let items = job.map(|job| job.tracker.borrow().updates_since(&[])).unwrap_or_default();
    encode_response(&JobUpdate { items, job: job_id.to_owned() })
}

/// Fetches the output of a job's unfinished items from all other keepers and applies it.
pub(crate) async fn fetch_updates<P: PlatformAdapter>(state: &KeeperState<P>, job: &TrackedJob) {
    let job_id = job.tracker.borrow().spec().id.clone();
    let keeper_set = state.view.keepers();
    let others = keeper_set.keepers().iter().filter(|keeper| keeper.name != state.identity.name);
    let requests = others.map(|keeper| fetch_updates_from(state, keeper.address, &job_id));
    for update in join_all(requests).await.into_iter().flatten() {
        let mut tracker = job.tracker.borrow_mut();
        for item in &update.items {
            tracker.apply_update(item);
        }
    }
}

/// Fetches a job's output from one keeper; `None` if it does not respond in time or its response
/// cannot be decoded.
async fn fetch_updates_from<P: PlatformAdapter>(
    state: &KeeperState<P>,
    address: SocketAddr,
    job_id: &str,
) -> Option<JobUpdate> {
    let request = ClientRequest::new(Method::GET, job_path(UPDATES_PATH, job_id), "");
    let result = state.pool.exchange(address, &request, PEER_CALL_TIMEOUT, MAX_UPDATE_BYTES).await;
    let response = result
        .inspect_err(|fault| {
            log::debug!("cannot fetch progress of job {job_id} from {address}: {fault}");
        })
        .ok()?;
    match postcard::from_bytes::<JobUpdate>(&response.body) {
        Ok(update) if update.job == job_id => Some(update),
        Ok(update) => {
            log::error!("{address} sent progress of job {} for that of {job_id}", update.job);
            None
        }
        Err(fault) => {
            log::error!(
                "cannot decode progress of job {job_id} from {address}, which is ignored: {fault}"
            );
            None
        }
    }
}

/// Encodes a response to another keeper.
fn encode_response<T: serde::Serialize>(response: &T) -> CallResponse {
    match postcard::to_stdvec(response) {
        Ok(body) => (StatusCode::OK, Bytes::from(body)),
        Err(fault) => {
            log::error!("cannot encode a response to another keeper: {fault}");
            (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}
