//! Records the routes of jobs that a version without such records has stored.

use std::rc::Rc;

use cv_dispatch::AcceptedRoute;

use crate::CommitOutcome;
use crate::CoordinationStore;
use crate::ExpectedKey;
use crate::PlatformAdapter;
use crate::StoreCommit;
use crate::StoreFault;
use crate::keeper::job_record::JobRecord;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::stored_keys::job_key;
use crate::keeper::tracked_job::TrackedJob;

/// Chooses the route of a job whose record names none, so that later changes of the configuration leave
/// the job with it.
pub(crate) fn settle_route<P: PlatformAdapter>(state: &KeeperState<P>, job: &TrackedJob) {
    if job.route.borrow().is_some() {
        return;
    }
    if let Some(routes) = state.view.routes() {
        let tracker = job.tracker.borrow();
        let rule = routes.find_batch(&tracker.spec().host, &tracker.spec().path);
        job.route.replace(rule.map(|rule| AcceptedRoute::new(rule, routes.version)));
    }
}

/// Starts to record the route of one job that has none in its record.
///
/// One at each review: after an upgrade the store holds the jobs of minutes.
pub(crate) fn record_next_route<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    let mut jobs = state.jobs.all();
    jobs.retain(|job| needs_record(job));
    let Some(index) = state.view.random_number().checked_rem(jobs.len() as u64) else {
        return;
    };
    let job = jobs.swap_remove(index as usize);
    let Some(route) = job.route.borrow().clone() else {
        return;
    };
    job.is_route_recorded.set(true);
    let state = Rc::clone(state);
    monoio::spawn(async move {
        let recorded = record_route(&state, &job, route).await;
        job.is_route_recorded.set(recorded.is_ok_and(|is_recorded| is_recorded));
    });
}

/// Returns whether a job goes on at this keeper by a route that the store does not know.
fn needs_record(job: &TrackedJob) -> bool {
    let is_settled = !job.is_route_recorded.get() && job.route.borrow().is_some();
    is_settled && job.is_active() && job.results.get().is_loaded() && !job.is_over()
}

/// Adds the route to a job's record, or takes over the one that another keeper has added; returns
/// whether the record names the job's route now.
///
/// # Errors
/// Faults of the store; `Invalid` if the record cannot be decoded or encoded.
async fn record_route<P: PlatformAdapter>(
    state: &KeeperState<P>,
    job: &TrackedJob,
    route: AcceptedRoute,
) -> Result<bool, StoreFault> {
    let key = job_key(&job.tracker.borrow().spec().id);
    let Some(item) = state.view.store_health.observe(state.store.get(&key).await)? else {
        return Ok(false);
    };
    let invalid = |fault: postcard::Error| StoreFault::Invalid(fault.to_string());
    let mut record = JobRecord::decode(&item.value).map_err(invalid)?;
    if let Some(known) = record.route {
        job.route.replace(Some(known));
        return Ok(true);
    }
    record.route = Some(route);
    let expected = vec![ExpectedKey { key: key.clone(), revision: item.revision }];
    let put = StoreCommit::put(&key, record.encode().map_err(invalid)?, 0);
    let commit = state.store.commit(&StoreCommit { expected, ..put }).await;
    Ok(state.view.store_health.observe(commit)? == CommitOutcome::Done)
}
