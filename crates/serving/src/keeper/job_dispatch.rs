//! Tracks the jobs that this keeper owns and dispatches their items to targets.

use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::BatchOrder;
use cv_dispatch::CloseKnowledge;
use cv_dispatch::DispatchPass;
use cv_dispatch::ItemTurn;
use cv_dispatch::JobRoute;
use cv_dispatch::ResultsLoad;
use cv_dispatch::ShareKey;
use cv_dispatch::ThawDetector;
use cv_policy::MonotonicTime;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;
use cv_timer::TimerService;

use crate::CoordinationStore;
use crate::PlatformAdapter;
use crate::StoreChange;
use crate::StoreCommit;
use crate::StoreFault;
use crate::StoreUpdate;
use crate::WatchedPrefix;
use crate::keeper::accepted_job::AcceptedJob;
use crate::keeper::item_expiry::start_expiry;
use crate::keeper::item_run::ItemRun;
use crate::keeper::job_record::JobRecord;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::placed_run::PlacedRun;
use crate::keeper::result_commits::load_results;
use crate::keeper::result_commits::start_commits;
use crate::keeper::route_record::record_next_route;
use crate::keeper::route_record::settle_route;
use crate::keeper::stored_keys::CLOSED_PREFIX;
use crate::keeper::stored_keys::WORK_MARKER_KEY;
use crate::keeper::stored_keys::WORK_PREFIX;
use crate::keeper::stored_keys::WorkKey;
use crate::keeper::stored_keys::closed_key;
use crate::keeper::stored_keys::job_key;
use crate::keeper::stored_keys::overflow_prefix;
use crate::keeper::stored_keys::result_prefix;
use crate::keeper::stored_quarantines::restore_quarantines;
use crate::keeper::stored_quarantines::review_quarantines;
use crate::keeper::tracked_job::TrackedJob;

/// Minimum time between two watches of jobs, in which changes are collected. It can be long,
/// because an entry submits a job to its owner directly, and the close of a job may take seconds to
/// reach it.
const WATCH_INTERVAL: Duration = Duration::from_millis(800);

/// Time between two checks for waiting runs that could restart on a target with a free slot; as
/// often as sidecars report their load.
const MOVE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two reviews of all jobs.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);

/// Delay before a failed read of a job is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest read of the closed jobs that counts: a job may have been closed since it began, and none of
/// its items may start 3 s after that.
const MAX_CLOSED_READ_TIME: Duration = Duration::from_millis(2_500);

/// Time after its submission for which a job and its results are kept in the store; a job that is
/// open is kept until all its results are listed.
pub(crate) const RETENTION: Duration = Duration::from_mins(3);

/// Starts the tasks that watch the store for jobs, review owned jobs and dispatch items.
pub(crate) fn start_dispatch<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    timers: &TimerService,
) {
    let watching_state = Rc::clone(state);
    let keys = WatchedPrefix::from(WORK_PREFIX).with_marker(WORK_MARKER_KEY);
    state.view.watch_prefix(&state.store, keys, WATCH_INTERVAL, move |update| {
        apply_work_update(&watching_state, update);
    });
    let reviews = timers.subscribe(REVIEW_INTERVAL);
    let moves = timers.subscribe(MOVE_INTERVAL);
    let state = Rc::clone(state);
    monoio::spawn(async move {
        let mut thaw = ThawDetector::default();
        loop {
            monoio::select! {
                _ = reviews.next() => {
                    review_jobs(&state);
                    review_quarantines(&state);
                }
                _ = moves.next() => withdraw_runs(&state),
                () = state.work_available.notified() => {}
            }
            let now = state.view.clock.now();
            if thaw.may_read_backlog(now) {
                // Responses that arrived during the freeze are no sign of contact with the store, nor is
                // what peers said before it a sign of an outage.
                state.forget_closed_jobs();
                state.is_outage_confirmed.set(false);
            }
            thaw.tick(now);
            dispatch_items(&state);
        }
    });
}

/// Applies a snapshot of, or changes to, the jobs and closed marks in the store.
pub(crate) fn apply_work_update<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    update: StoreUpdate,
) {
    let changes: Vec<StoreChange> = match update {
        StoreUpdate::Snapshot(items) => {
            state.work_loaded.open();
            restore_quarantines(state, &items);
            items.into_iter().map(StoreChange::Put).collect()
        }
        StoreUpdate::Changes(changes) => changes,
    };
    for change in changes {
        match change {
            StoreChange::Put(item) => match WorkKey::parse(&item.key) {
                Some(WorkKey::Job(job_id)) => add_job(state, job_id, &item.value),
                Some(WorkKey::Closed(job_id)) => mark_job_closed(state, job_id),
                Some(WorkKey::Quarantine(part)) => state.stored_quarantines.add(part),
                None => {}
            },
            StoreChange::Deleted(key) => match WorkKey::parse(&key) {
                Some(WorkKey::Job(job_id)) => state.jobs.remove(job_id),
                Some(WorkKey::Quarantine(part)) => state.stored_quarantines.remove(part),
                Some(WorkKey::Closed(_)) | None => {}
            },
        }
    }
    state.work_available.notify_one();
}

/// Adds a job that this or another keeper has accepted; starts a read of one that is split, or whose
/// value cannot be decoded.
fn add_job<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, job_id: &str, value: &[u8]) {
    let record = match JobRecord::decode(value) {
        Ok(record) if record.is_split() => Some(record),
        Ok(record) => match record.decode_job() {
            Ok(job) => {
                state.jobs.add(job);
                return;
            }
            Err(_) => None,
        },
        Err(_) => None,
    };
    if state.jobs.begin_read(job_id) {
        let (state, job_id) = (Rc::clone(state), job_id.to_owned());
        monoio::spawn(async move { load_job(&state, &job_id, record).await });
    }
}

/// Reads a job, again until it is added or no longer in the store. If it is closed during the read,
/// the job table adds it as closed.
async fn load_job<P: PlatformAdapter>(
    state: &KeeperState<P>,
    job_id: &str,
    mut record: Option<JobRecord>,
) {
    while state.jobs.is_unread(job_id) {
        let read = read_job(state, job_id, record.as_ref()).await;
        // The job may have been added or removed during the read.
        if !state.jobs.is_unread(job_id) {
            return;
        }
        match read {
            Ok(Some(job)) => {
                state.jobs.add(job);
                return state.work_available.notify_one();
            }
            Ok(None) => return state.jobs.remove(job_id),
            Err(fault) => {
                if matches!(fault, StoreFault::Invalid(_)) {
                    log::error!("cannot read job {job_id}, which does not run here yet: {fault}");
                    record = None;
                }
                monoio::time::sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads a job by its record, which is fetched if it is not given; `None` if the job does not exist.
async fn read_job<P: PlatformAdapter>(
    state: &KeeperState<P>,
    job_id: &str,
    record: Option<&JobRecord>,
) -> Result<Option<AcceptedJob>, StoreFault> {
    if let Some(record) = record {
        return record.read_job(state, job_id).await.map(Some);
    }
    match JobRecord::fetch(state, job_id).await? {
        Some(record) => record.read_job(state, job_id).await.map(Some),
        None => Ok(None),
    }
}

/// Marks a job as closed by its caller, which stops its runs.
pub(crate) fn mark_job_closed<P: PlatformAdapter>(state: &KeeperState<P>, job_id: &str) {
    let Some(job) = state.jobs.mark_closed(job_id) else {
        return;
    };
    if !job.tracker.borrow().is_closed() {
        job.tracker.borrow_mut().close();
        state.view.log.record(LinePriority::Essential, EventKind::JobEnded, job_id, || {
            format!("by=caller listed={}", job.tracker.borrow().listed().len())
        });
    }
    job.changed.notify_waiters();
}

/// Updates the ownership of all jobs. Of owned jobs, loads the results, purges those past their
/// retention and gives up the items past their limit.
fn review_jobs<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    let keeper_set = state.view.keepers();
    for job in state.jobs.all() {
        settle_route(state, &job);
        let job_id = job.tracker.borrow().spec().id.clone();
        let is_owner = state.is_owner(&job_id);
        if job.is_owned.replace(is_owner) != is_owner {
            if !is_owner {
                job.update_results(ResultsLoad::invalidate);
            }
            job.changed.notify_waiters();
            state.view.log.record(LinePriority::Essential, EventKind::JobClaimed, &job_id, || {
                format!("owned={is_owner} keepers={}", keeper_set.keepers().len())
            });
        }
        if !is_owner {
            continue;
        }
        if state.job_age(&job) > RETENTION && job.is_over() {
            purge_job(state, &job);
            continue;
        }
        if let Some(load) = job.update_results(ResultsLoad::begin) {
            let (state, job) = (Rc::clone(state), Rc::clone(&job));
            monoio::spawn(async move { load_results(&state, &job, load).await });
            continue;
        }
        start_commits_if_needed(state, &job);
    }
    record_next_route(state);
    start_expiry(state);
}

/// Withdraws runs that wait at their target while another has room, or although their job's route does
/// not lead there any more; their items restart elsewhere.
fn withdraw_runs<P: PlatformAdapter>(state: &KeeperState<P>) {
    let now = state.view.clock.now();
    let schedule = state.schedule.borrow();
    let moved = state.view.with_targets(|targets| schedule.plan_moves(targets, now));
    for run in state.placed_runs.borrow().iter() {
        let is_misplaced = || schedule.is_waiting(run.id, now) && !leads_to_target(state, run);
        if moved.contains(&run.id) || is_misplaced() {
            run.withdrawn.notify_one();
        }
    }
}

/// Returns whether the route of a run's job leads to the service of its target.
fn leads_to_target<P: PlatformAdapter>(state: &KeeperState<P>, run: &PlacedRun) -> bool {
    state.with_route(&run.job, |route| match route {
        JobRoute::InForce(rule) => rule.uses_service(&run.service),
        JobRoute::Ended => false,
        JobRoute::Unknown => true,
    })
}

/// Starts a commit if the job has results that are not listed yet.
fn start_commits_if_needed<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, job: &Rc<TrackedJob>) {
    let is_loaded = job.results.get().is_loaded();
    let tracker = job.tracker.borrow();
    if is_loaded && !tracker.is_closed() && tracker.has_unlisted() {
        start_commits(state, job);
    }
}

/// Removes a job past its retention from memory, and from the store in the background.
fn purge_job<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, job: &Rc<TrackedJob>) {
    let job_id = job.tracker.borrow().spec().id.clone();
    let state = Rc::clone(state);
    state.jobs.remove(&job_id);
    monoio::spawn(async move {
        let Ok(results) =
            state.view.store_health.observe(state.store.range(&result_prefix(&job_id)).await)
        else {
            return;
        };
        let Ok(parts) =
            state.view.store_health.observe(state.store.range(&overflow_prefix(&job_id)).await)
        else {
            return;
        };
        let mut removals: Vec<String> = results.items.into_iter().map(|item| item.key).collect();
        removals.extend(parts.items.into_iter().map(|item| item.key));
        removals.push(closed_key(&job_id));
        removals.push(job_key(&job_id));
        for keys in removals.chunks(16) {
            let commit = StoreCommit::remove(keys);
            if let Err(fault) = state.view.store_health.observe(state.store.commit(&commit).await) {
                log::warn!("cannot remove expired job {job_id}, which stays in the store: {fault}");
                return;
            }
        }
    });
}

/// Returns whether items may be started: other keepers have closed no jobs without this one's
/// knowledge. Starts to read which jobs are closed if that may have happened.
///
/// The watch of the jobs recovers by itself, and later than other calls to the store.
fn knows_closed_jobs<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) -> bool {
    if !state.has_store_contact() {
        state.update_closes(CloseKnowledge::lapse);
        // Nobody can close a job while the store responds to no keeper.
        return state.is_outage_confirmed.get();
    }
    if let Some(mark) = state.update_closes(CloseKnowledge::begin_read) {
        let state = Rc::clone(state);
        monoio::spawn(async move {
            let started = state.view.clock.now();
            let read = state.store.range(CLOSED_PREFIX).await;
            let read = state.view.store_health.observe(read);
            let elapsed = state.view.clock.now().since(started);
            let is_complete = read.is_ok() && elapsed <= MAX_CLOSED_READ_TIME;
            for item in read.map(|snapshot| snapshot.items).unwrap_or_default() {
                if let Some(WorkKey::Closed(job_id)) = WorkKey::parse(&item.key) {
                    mark_job_closed(&state, job_id);
                }
            }
            if state.update_closes(|closes| closes.finish_read(mark, is_complete)) {
                state.work_available.notify_one();
            }
        });
    }
    state.closes.get().is_known()
}

/// Starts runs of waiting items in batch order, until no service has room.
fn dispatch_items<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    if !knows_closed_jobs(state) {
        return;
    }
    let now_ms = state.view.clock.wall_millis();
    let mut waiting = Vec::new();
    let mut pass = DispatchPass::default();
    let mut owned = 0;
    for job in state.jobs.all() {
        if !job.is_active() || !job.results.get().is_loaded() {
            continue;
        }
        let due_after = state.with_route(&job, |route| {
            let rule = route.in_force()?;
            let shares = rule.services.iter().filter(|share| share.weight > 0);
            shares.for_each(|share| pass.add_service(&share.service));
            Some(rule.due_after)
        });
        let Some(due_after) = due_after else {
            continue;
        };
        owned += 1;
        let tracker = job.tracker.borrow();
        let due_ms = tracker.spec().submitted_ms + due_after.as_millis() as u64;
        let key = state.share_key(&job);
        for item in tracker.waiting_items() {
            let last_event = tracker.progress(item).last_event.unwrap_or(0);
            let expected_run =
                state.estimate.get().remaining(tracker.spec().items[item].tokens, last_event);
            let (now, due) =
                (MonotonicTime::from_millis(now_ms), MonotonicTime::from_millis(due_ms));
            let order = BatchOrder.sort_key(now, due, expected_run, last_event > 0);
            let turn = ItemTurn { cost: expected_run.as_secs_f64(), due_ms, key, order };
            waiting.push((turn, (Rc::clone(&job), item)));
        }
    }
    state.metrics.items_waiting.set(i64::try_from(waiting.len()).unwrap_or(i64::MAX));
    state.metrics.jobs_owned.set(owned);
    let in_time = waiting.iter().filter(|(turn, _)| !turn.order.0);
    let mut customers: Vec<ShareKey> = in_time.map(|(turn, _)| turn.key).collect();
    customers.sort_unstable();
    customers.dedup();
    let waiting = state.item_order.borrow().sort(waiting);
    for (turn, (job, item)) in waiting {
        if pass.is_over() {
            return;
        }
        if ItemRun::start(state, &job, item, &turn, &mut pass) {
            state.item_order.borrow_mut().record_start(&turn, &customers);
        }
    }
}
