//! Copies unfinished outputs to the keeper that would own their job next.

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
use crate::keeper::job_requests::CallResponse;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::tracked_job::TrackedJob;

/// Path of the calls about copies.
pub(crate) const UPDATES_PATH: &str = "/cv/copies/";

/// Time between two copies; so much of an output is lost with its keeper.
const REPLICATION_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for another keeper.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest answer with copies, in bytes.
const MAX_UPDATE_BYTES: usize = 8 * 1024 * 1024;

/// Jobs whose outputs go into one call.
const JOBS_PER_CALL: usize = 16;

/// Starts the task that copies outputs for as long as the process runs.
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

/// Copies what has been put out since the last time to each job's next owner.
pub(crate) async fn push_updates<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    let ring = state.view.keepers();
    let name = &state.identity.name;
    let others = ring.keepers().iter().filter(|keeper| keeper.name != *name);
    join_all(others.map(|holder| {
        let cells = state.jobs.all().into_iter().filter(|cell| {
            let book = cell.book.borrow();
            let order = ring.ranking_for(&book.spec().id);
            let next = order.into_iter().find(|keeper| keeper.name != *name);
            cell.is_running() && next.is_some_and(|next| next.name == holder.name)
        });
        let cells: Vec<Rc<TrackedJob>> = cells.collect();
        async move {
            for cells in cells.chunks(JOBS_PER_CALL) {
                push_to_replica(state, holder, cells).await;
            }
        }
    }))
    .await;
}

/// Copies the outputs of some jobs to one keeper.
async fn push_to_replica<P: PlatformAdapter>(
    state: &KeeperState<P>,
    holder: &KeeperRecord,
    cells: &[Rc<TrackedJob>],
) {
    let mut news = Vec::new();
    let mut sources = Vec::new();
    for cell in cells {
        let book = cell.book.borrow();
        let items = book.updates_since(cell.copied.borrow_mut().acknowledged_by(&holder.name));
        if !items.is_empty() {
            news.push(JobUpdate { items, job: book.spec().id.clone() });
            sources.push(cell);
        }
    }
    if news.is_empty() {
        return;
    }
    let body = match postcard::to_stdvec(&news) {
        Ok(body) => body,
        Err(fault) => return log::error!("copies of outputs cannot be encoded: {fault}"),
    };
    let request = ClientRequest::new(Method::POST, UPDATES_PATH, body);
    let asked =
        state.pool.exchange(holder.address, &request, PEER_CALL_TIMEOUT, MAX_UPDATE_BYTES).await;
    let answer = match asked {
        Ok(answer) => answer,
        // What was not confirmed is copied again.
        Err(fault) => return log::debug!("{} takes no copies: {fault}", holder.name),
    };
    let taken: Vec<bool> = match postcard::from_bytes(&answer.body) {
        Ok(taken) => taken,
        Err(fault) => return log::error!("what {} says of copies: {fault}", holder.name),
    };
    for ((copy, cell), taken) in news.iter().zip(sources).zip(taken) {
        if taken {
            cell.copied.borrow_mut().acknowledge(&holder.name, &copy.items);
        } else {
            cell.copied.borrow_mut().reset();
        }
    }
}

/// Takes another keeper's copies; the answer tells for each job whether all of them were taken.
pub(crate) fn receive_updates<P: PlatformAdapter>(
    state: &KeeperState<P>,
    body: &[u8],
) -> CallResponse {
    let news: Vec<JobUpdate> = match postcard::from_bytes(body) {
        Ok(news) => news,
        Err(fault) => {
            log::error!("copies of outputs cannot be read: {fault}");
            return (StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    let taken: Vec<bool> = news.iter().map(|copy| apply_job_update(state, copy)).collect();
    encode_response(&taken)
}

/// Takes the copy of one job; tells whether all of it was taken.
fn apply_job_update<P: PlatformAdapter>(state: &KeeperState<P>, copy: &JobUpdate) -> bool {
    let Some(cell) = state.jobs.get(&copy.job) else {
        return false;
    };
    let mut book = cell.book.borrow_mut();
    // Each copy is taken, whatever became of the ones before.
    let taken: Vec<bool> = copy.items.iter().map(|item| book.apply_update(item)).collect();
    taken.iter().all(|taken| *taken)
}

/// Answers what is known here of a job's outputs.
pub(crate) fn read_updates<P: PlatformAdapter>(state: &KeeperState<P>, job: &str) -> CallResponse {
    let cell = state.jobs.get(job);
    let items = cell.map(|cell| cell.book.borrow().updates_since(&[])).unwrap_or_default();
    encode_response(&JobUpdate { items, job: job.to_owned() })
}

/// Asks the other keepers for what they know of a job's outputs.
pub(crate) async fn fetch_updates<P: PlatformAdapter>(state: &KeeperState<P>, cell: &TrackedJob) {
    let job = cell.book.borrow().spec().id.clone();
    let ring = state.view.keepers();
    let others = ring.keepers().iter().filter(|keeper| keeper.name != state.identity.name);
    let asked = others.map(|keeper| fetch_updates_from(state, keeper.address, &job));
    for copy in join_all(asked).await.into_iter().flatten() {
        let mut book = cell.book.borrow_mut();
        for item in &copy.items {
            book.apply_update(item);
        }
    }
}

/// Asks one keeper; `None` if it does not answer in time.
async fn fetch_updates_from<P: PlatformAdapter>(
    state: &KeeperState<P>,
    address: SocketAddr,
    job: &str,
) -> Option<JobUpdate> {
    let request = ClientRequest::new(Method::GET, format!("{UPDATES_PATH}{job}"), "");
    let asked = state.pool.exchange(address, &request, PEER_CALL_TIMEOUT, MAX_UPDATE_BYTES).await;
    let answer = asked.inspect_err(|fault| log::debug!("copies from {address}: {fault}")).ok()?;
    match postcard::from_bytes(&answer.body) {
        Ok(copy) => Some(copy),
        Err(fault) => {
            log::error!("copies of job {job} from {address} cannot be read: {fault}");
            None
        }
    }
}

/// Encodes an answer to another keeper.
fn encode_response<T: serde::Serialize>(answer: &T) -> CallResponse {
    match postcard::to_stdvec(answer) {
        Ok(body) => (StatusCode::OK, Bytes::from(body)),
        Err(fault) => {
            log::error!("copies of outputs cannot be encoded: {fault}");
            (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}
