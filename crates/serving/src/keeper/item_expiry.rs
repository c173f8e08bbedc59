//! Gives up the items of jobs that are past their route's limit or whose route has ended.

use std::rc::Rc;

use cv_dispatch::JobRoute;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;

use crate::PlatformAdapter;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::result_commits::start_commits;
use crate::keeper::tracked_job::TrackedJob;

/// Starts a task that gives up the items of all overdue jobs, unless one is running.
pub(crate) fn start_expiry<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    let is_needed =
        state.jobs.all().iter().any(|job| {
            has_open_items(job) && (is_overdue(state, job) || is_route_unknown(state, job))
        });
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
/// The active configuration may be older, and have a shorter limit or lack a route that is back.
async fn expire_items<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    if let Err(fault) = state.view.refresh_config::<P>(&state.store).await {
        return log::debug!("overdue items are not given up yet: {fault}");
    }
    for job in state.jobs.all() {
        if has_open_items(&job) && is_overdue(state, &job) {
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
        let limit = state.with_route(job, |route| {
            route.in_force().map(|rule| job.abandon_limit(rule).as_millis())
        });
        let age = state.job_age(job).as_millis();
        let route = job.route_name();
        format!(
            "given_up={} age_ms={age} limit_ms={limit:?} route={route:?} version={version}",
            waiting.len()
        )
    });
    for item in waiting {
        job.tracker.borrow_mut().dead_letter(item);
    }
    start_commits(state, job);
}

/// Returns whether this keeper may give up items of a job.
fn has_open_items(job: &TrackedJob) -> bool {
    let is_owned = job.is_active() && job.results.get().is_loaded();
    is_owned && job.tracker.borrow().waiting_items().next().is_some()
}

/// Returns whether a job is past the limit of its route, or its route has ended.
fn is_overdue<P: PlatformAdapter>(state: &KeeperState<P>, job: &TrackedJob) -> bool {
    state.with_route(job, |route| match route {
        JobRoute::InForce(rule) => state.job_age(job) > job.abandon_limit(rule),
        JobRoute::Ended => true,
        JobRoute::Unknown => false,
    })
}

/// Returns whether the active configuration is too old to say anything about a job's route.
fn is_route_unknown<P: PlatformAdapter>(state: &KeeperState<P>, job: &TrackedJob) -> bool {
    state.with_route(job, |route| matches!(route, JobRoute::Unknown))
}
