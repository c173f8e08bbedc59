//! Gives up the items of jobs that are past their route's limit or have no route any more.

use std::rc::Rc;

use cv_timeline::EventKind;
use cv_timeline::LinePriority;

use crate::PlatformAdapter;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::result_commits::start_commits;
use crate::keeper::tracked_job::TrackedJob;

/// Starts a task that gives up the items of all overdue jobs, unless one is running.
pub(crate) fn start_expiry<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    let is_needed = state.jobs.all().iter().any(|job| has_overdue_items(state, job));
    if !is_needed || state.is_expiring.replace(true) {
        return;
    }
    let state = Rc::clone(state);
    monoio::spawn(async move {
        expire_items(&state).await;
        state.is_expiring.set(false);
    });
}

/// Gives up the waiting items of all jobs that are overdue under the store's configuration.
///
/// The active configuration may be older than the one under which another process has accepted a
/// job, and then lacks the job's route or has another limit.
async fn expire_items<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    if let Err(fault) = state.view.refresh_config::<P>(&state.store).await {
        return log::debug!("overdue items are not given up yet: {fault}");
    }
    for job in state.jobs.all() {
        if has_overdue_items(state, &job) {
            give_up_items(state, &job);
        }
    }
}

/// Gives up all waiting items of a job.
fn give_up_items<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, job: &Rc<TrackedJob>) {
    let waiting: Vec<usize> = job.tracker.borrow().waiting_items().collect();
    let job_id = job.tracker.borrow().spec().id.clone();
    state.view.log.record(LinePriority::Essential, EventKind::ItemEnded, &job_id, || {
        let version = state.view.routes().map_or(0, |routes| routes.version);
        let limit = state.with_route(job, |route| route.abandon_after.as_millis());
        let age = state.job_age(job).as_millis();
        format!("given_up={} age_ms={age} limit_ms={limit:?} version={version}", waiting.len())
    });
    for item in waiting {
        job.tracker.borrow_mut().dead_letter(item);
    }
    start_commits(state, job);
}

/// Returns whether items of an owned job wait past the limit of its route, or without a route.
fn has_overdue_items<P: PlatformAdapter>(state: &KeeperState<P>, job: &TrackedJob) -> bool {
    if !job.is_active() || !job.results.get().is_loaded() {
        return false;
    }
    let limit = state.with_route(job, |route| route.abandon_after);
    let is_overdue = limit.is_none_or(|limit| state.job_age(job) > limit);
    is_overdue && job.tracker.borrow().waiting_items().next().is_some()
}
