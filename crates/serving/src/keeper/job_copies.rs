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
use crate::keeper::job_calls::CallAnswer;
use crate::keeper::job_cell::JobCell;
use crate::keeper::keeper_state::KeeperState;

/// Path of the calls about copies.
pub(crate) const COPIES_PATH: &str = "/cv/copies/";

/// Time between two copies; so much of an output is lost with its keeper.
const COPY_PERIOD: Duration = Duration::from_secs(1);

/// Longest wait for another keeper.
const COPY_PATIENCE: Duration = Duration::from_millis(300);

/// Longest answer with copies, in bytes.
const COPY_BYTES: usize = 8 * 1024 * 1024;

/// Jobs whose outputs go into one call.
const JOBS_PER_CALL: usize = 16;

/// Starts the task that copies outputs for as long as the process runs.
pub(crate) fn start_copies<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, timers: &TimerService) {
    let ticks = timers.subscribe(COPY_PERIOD);
    let state = Rc::clone(state);
    monoio::spawn(async move {
        loop {
            ticks.next().await;
            push_copies(&state).await;
        }
    });
}

/// Copies what has been put out since the last time to each job's next owner.
pub(crate) async fn push_copies<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    let ring = state.view.keepers();
    let name = &state.identity.name;
    let others = ring.keepers().iter().filter(|keeper| keeper.name != *name);
    join_all(others.map(|holder| {
        let cells = state.shelf.all().into_iter().filter(|cell| {
            let book = cell.book.borrow();
            let order = ring.order_for(&book.spec().id);
            let next = order.into_iter().find(|keeper| keeper.name != *name);
            cell.is_running() && next.is_some_and(|next| next.name == holder.name)
        });
        let cells: Vec<Rc<JobCell>> = cells.collect();
        async move {
            for cells in cells.chunks(JOBS_PER_CALL) {
                push_to(state, holder, cells).await;
            }
        }
    }))
    .await;
}

/// Copies the outputs of some jobs to one keeper.
async fn push_to<P: PlatformAdapter>(
    state: &KeeperState<P>,
    holder: &KeeperRecord,
    cells: &[Rc<JobCell>],
) {
    let mut news = Vec::new();
    let mut sources = Vec::new();
    for cell in cells {
        let book = cell.book.borrow();
        let items = book.copy_since(cell.copied.borrow_mut().marks_of(&holder.name));
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
    let request = ClientRequest::new(Method::POST, COPIES_PATH, body);
    let asked = state.pool.exchange(holder.address, &request, COPY_PATIENCE, COPY_BYTES).await;
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
            cell.copied.borrow_mut().confirm(&holder.name, &copy.items);
        } else {
            cell.copied.borrow_mut().reset();
        }
    }
}

/// Takes another keeper's copies; the answer tells for each job whether all of them were taken.
pub(crate) fn take_copies<P: PlatformAdapter>(state: &KeeperState<P>, body: &[u8]) -> CallAnswer {
    let news: Vec<JobUpdate> = match postcard::from_bytes(body) {
        Ok(news) => news,
        Err(fault) => {
            log::error!("copies of outputs cannot be read: {fault}");
            return (StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    let taken: Vec<bool> = news.iter().map(|copy| take_copy(state, copy)).collect();
    encoded(&taken)
}

/// Takes the copy of one job; tells whether all of it was taken.
fn take_copy<P: PlatformAdapter>(state: &KeeperState<P>, copy: &JobUpdate) -> bool {
    let Some(cell) = state.shelf.get(&copy.job) else {
        return false;
    };
    let mut book = cell.book.borrow_mut();
    // Each copy is taken, whatever became of the ones before.
    let taken: Vec<bool> = copy.items.iter().map(|item| book.take_copy(item)).collect();
    taken.iter().all(|taken| *taken)
}

/// Answers what is known here of a job's outputs.
pub(crate) fn show_copies<P: PlatformAdapter>(state: &KeeperState<P>, job: &str) -> CallAnswer {
    let cell = state.shelf.get(job);
    let items = cell.map(|cell| cell.book.borrow().copy_since(&[])).unwrap_or_default();
    encoded(&JobUpdate { items, job: job.to_owned() })
}

/// Asks the other keepers for what they know of a job's outputs.
pub(crate) async fn fetch_copies<P: PlatformAdapter>(state: &KeeperState<P>, cell: &JobCell) {
    let job = cell.book.borrow().spec().id.clone();
    let ring = state.view.keepers();
    let others = ring.keepers().iter().filter(|keeper| keeper.name != state.identity.name);
    let asked = others.map(|keeper| ask_for_copies(state, keeper.address, &job));
    for copy in join_all(asked).await.into_iter().flatten() {
        let mut book = cell.book.borrow_mut();
        for item in &copy.items {
            book.take_copy(item);
        }
    }
}

/// Asks one keeper; `None` if it does not answer in time.
async fn ask_for_copies<P: PlatformAdapter>(
    state: &KeeperState<P>,
    address: SocketAddr,
    job: &str,
) -> Option<JobUpdate> {
    let request = ClientRequest::new(Method::GET, format!("{COPIES_PATH}{job}"), "");
    let asked = state.pool.exchange(address, &request, COPY_PATIENCE, COPY_BYTES).await;
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
fn encoded<T: serde::Serialize>(answer: &T) -> CallAnswer {
    match postcard::to_stdvec(answer) {
        Ok(body) => (StatusCode::OK, Bytes::from(body)),
        Err(fault) => {
            log::error!("copies of outputs cannot be encoded: {fault}");
            (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}
