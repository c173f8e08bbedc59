//! Decides who runs which job, and hands items to targets.

use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::BatchOrder;
use cv_policy::MonotonicTime;
use cv_timeline::EventKind;
use cv_timeline::LineWeight;
use cv_timer::TimerService;

use crate::CoordinationStore;
use crate::PlatformAdapter;
use crate::StoreChange;
use crate::StoreCommit;
use crate::StoreFault;
use crate::StoreUpdate;
use crate::keeper::item_run::ItemRun;
use crate::keeper::job_record::JobRecord;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::result_commits::load_results;
use crate::keeper::result_commits::start_commits;
use crate::keeper::stored_keys::WORK_PREFIX;
use crate::keeper::stored_keys::WorkKey;
use crate::keeper::stored_keys::end_key;
use crate::keeper::stored_keys::job_key;
use crate::keeper::stored_keys::overflow_prefix;
use crate::keeper::stored_keys::result_prefix;
use crate::keeper::tracked_job::ResultsState;
use crate::keeper::tracked_job::TrackedJob;

/// Shortest time between two watches of jobs, in which changes are collected; an entry hands a job
/// to its owner first, and an end has seconds to reach it.
const WATCH_INTERVAL: Duration = Duration::from_millis(800);

/// Time between two looks at all jobs.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);

/// Pause before the parts of a job are read once more.
const READ_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time for which a job and its results are kept after its submission.
const RETENTION: Duration = Duration::from_mins(3);

/// Starts the tasks that learn of jobs and run them.
pub(crate) fn start_dispatch<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    timers: &TimerService,
) {
    let following = Rc::clone(state);
    state.view.watch_prefix(&state.store, WORK_PREFIX, WATCH_INTERVAL, move |news| {
        apply_work_update(&following, news);
    });
    let ticks = timers.subscribe(REVIEW_INTERVAL);
    let state = Rc::clone(state);
    monoio::spawn(async move {
        loop {
            monoio::select! {
                _ = ticks.next() => {
                    review_jobs(&state);
                    withdraw_runs(&state);
                }
                () = state.work_available.notified() => {}
            }
            dispatch_items(&state);
        }
    });
}

/// Takes news of jobs and their ends.
pub(crate) fn apply_work_update<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, news: StoreUpdate) {
    let changes = match news {
        StoreUpdate::Snapshot(items) => items.into_iter().map(StoreChange::Put).collect(),
        StoreUpdate::Changes(changes) => changes,
    };
    for change in changes {
        match change {
            StoreChange::Put(item) => match WorkKey::parse(&item.key) {
                Some(WorkKey::Job(job)) => add_job(state, job, &item.value),
                Some(WorkKey::End(job)) => end_job(state, job),
                None => {}
            },
            StoreChange::Deleted(key) => {
                if let Some(WorkKey::Job(job)) = WorkKey::parse(&key) {
                    state.jobs.remove(job);
                }
            }
        }
    }
    state.work_available.notify_one();
}

/// Takes a job that has been accepted, here or by another keeper.
fn add_job<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, job: &str, value: &[u8]) {
    let spec = match JobRecord::decode(value) {
        Ok(record) if record.is_split() => {
            if state.jobs.get(job).is_none() {
                let (state, job) = (Rc::clone(state), job.to_owned());
                monoio::spawn(async move { load_split_job(&state, &job, record).await });
            }
            return;
        }
        Ok(record) => record.spec(),
        Err(fault) => Err(fault),
    };
    match spec {
        Ok(spec) => {
            state.jobs.add(spec, ResultsState::NotLoaded);
        }
        Err(fault) => log::error!("job {job} cannot be read: {fault}"),
    }
}

/// Takes a job whose record is split; the shelf remembers whether it ends meanwhile.
async fn load_split_job<P: PlatformAdapter>(state: &KeeperState<P>, job: &str, record: JobRecord) {
    loop {
        match record.read(state, job).await {
            Ok(spec) => {
                state.jobs.add(spec, ResultsState::NotLoaded);
                return state.work_available.notify_one();
            }
            Err(fault @ StoreFault::Invalid(_)) => {
                return log::error!("job {job} cannot be read: {fault}");
            }
            Err(_) => monoio::time::sleep(READ_RETRY_DELAY).await,
        }
    }
}

/// Stops the runs of a job that its caller has ended.
pub(crate) fn end_job<P: PlatformAdapter>(state: &KeeperState<P>, job: &str) {
    let Some(cell) = state.jobs.end(job) else {
        return;
    };
    if !cell.book.borrow().is_closed() {
        cell.book.borrow_mut().close();
        state.view.log.record(LineWeight::Essential, EventKind::JobEnded, job, || {
            format!("by=caller listed={}", cell.book.borrow().listed().len())
        });
    }
    cell.changed.notify_waiters();
}

/// Looks at all jobs: who owns them, what has to be given up, what can be forgotten.
fn review_jobs<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    let ring = state.view.keepers();
    for cell in state.jobs.all() {
        let job = cell.book.borrow().spec().id.clone();
        let is_owner = state.is_owner(&job);
        if cell.is_owned.replace(is_owner) != is_owner {
            if !is_owner {
                cell.results_state.set(ResultsState::NotLoaded);
            }
            cell.changed.notify_waiters();
            state.view.log.record(LineWeight::Essential, EventKind::JobClaimed, &job, || {
                format!("owned={is_owner} keepers={}", ring.keepers().len())
            });
        }
        if !is_owner {
            continue;
        }
        if state.job_age(&cell) > RETENTION {
            purge_job(state, &cell);
            continue;
        }
        if cell.results_state.get() == ResultsState::NotLoaded {
            cell.results_state.set(ResultsState::Loading);
            let (state, cell) = (Rc::clone(state), Rc::clone(&cell));
            monoio::spawn(async move { load_results(&state, &cell).await });
            continue;
        }
        expire_items(state, &cell);
    }
}

/// Withdraws runs that wait although another target has room; they start there at once.
fn withdraw_runs<P: PlatformAdapter>(state: &KeeperState<P>) {
    let keepers = state.view.keepers().keepers().len();
    let now = state.view.clock.now();
    let moves =
        state.view.with_targets(|roster| state.schedule.borrow().plan_moves(roster, now, keepers));
    let withdrawals = state.withdrawals.borrow();
    for run in moves {
        if let Ok(position) = withdrawals.binary_search_by_key(&run, |(id, _)| *id) {
            withdrawals[position].1.notify_one();
        }
    }
}

/// Gives up the items of a job that is too old or whose route is gone.
fn expire_items<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, cell: &Rc<TrackedJob>) {
    if cell.results_state.get() != ResultsState::Loaded || cell.book.borrow().is_closed() {
        return;
    }
    if state.view.routes().is_none() {
        return;
    }
    let age = state.job_age(cell);
    let limit = state.with_route(cell, |route| route.abandon_after).unwrap_or_default();
    if age <= limit {
        start_commits_if_needed(state, cell);
        return;
    }
    let waiting: Vec<usize> = cell.book.borrow().waiting_items().collect();
    for item in waiting {
        cell.book.borrow_mut().dead_letter(item);
    }
    start_commits_if_needed(state, cell);
}

/// Starts writing results that wait for it.
fn start_commits_if_needed<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, cell: &Rc<TrackedJob>) {
    if cell.book.borrow().has_unlisted() {
        start_commits(state, cell);
    }
}

/// Removes a job that nobody may ask for any more.
fn purge_job<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, cell: &Rc<TrackedJob>) {
    let job = cell.book.borrow().spec().id.clone();
    let state = Rc::clone(state);
    state.jobs.remove(&job);
    monoio::spawn(async move {
        let Ok(results) =
            state.view.store_health.observe(state.store.range(&result_prefix(&job)).await)
        else {
            return;
        };
        let Ok(parts) =
            state.view.store_health.observe(state.store.range(&overflow_prefix(&job)).await)
        else {
            return;
        };
        let mut removals: Vec<String> = results.items.into_iter().map(|item| item.key).collect();
        removals.extend(parts.items.into_iter().map(|item| item.key));
        removals.push(end_key(&job));
        removals.push(job_key(&job));
        for keys in removals.chunks(16) {
            let commit = StoreCommit::remove(keys);
            if let Err(fault) = state.view.store_health.observe(state.store.commit(&commit).await) {
                log::warn!("old job {job} stays in the store: {fault}");
                return;
            }
        }
    });
}

/// Hands waiting items to targets, in the order in which they are worth a slot.
fn dispatch_items<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    let now_ms = state.view.clock.wall_millis();
    let mut waiting = Vec::new();
    let mut owned = 0;
    for cell in state.jobs.all() {
        if !cell.is_running() || cell.results_state.get() != ResultsState::Loaded {
            continue;
        }
        let Some(due_after) = state.with_route(&cell, |route| route.due_after) else {
            continue;
        };
        owned += 1;
        let book = cell.book.borrow();
        let due_ms = book.spec().submitted_ms + due_after.as_millis() as u64;
        for item in book.waiting_items() {
            let done = book.progress(item).last_event.unwrap_or(0);
            let run = state.estimate.get().remaining(book.spec().items[item].tokens, done);
            let (now, due) =
                (MonotonicTime::from_millis(now_ms), MonotonicTime::from_millis(due_ms));
            waiting.push((
                BatchOrder.sort_key(now, due, run, done > 0),
                due_ms,
                Rc::clone(&cell),
                item,
            ));
        }
    }
    state.metrics.items_waiting.set(i64::try_from(waiting.len()).unwrap_or(i64::MAX));
    state.metrics.jobs_owned.set(owned);
    waiting.sort_by_key(|(key, ..)| *key);
    for (_, due_ms, cell, item) in waiting {
        if !ItemRun::start(state, &cell, item, due_ms) {
            return;
        }
    }
}
