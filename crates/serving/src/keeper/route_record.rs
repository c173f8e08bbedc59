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

/// Chooses the route of a job whose record names none, and starts to record it if this keeper owns the
/// job. Later changes of the configuration then leave the job with this route.
pub(crate) fn settle_route<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, job: &Rc<TrackedJob>) {
    if job.is_route_recorded.get() {
        return;
    }
    if job.route.borrow().is_none() {
        let Some(routes) = state.view.routes() else {
            return;
        };
        let tracker = job.tracker.borrow();
        let rule = routes.find_batch(&tracker.spec().host, &tracker.spec().path);
        *job.route.borrow_mut() = rule.map(|rule| AcceptedRoute::new(rule, routes.version));
    }
    let route = job.route.borrow().clone();
    let Some(route) = route.filter(|_| job.is_active()) else {
        return;
    };
    job.is_route_recorded.set(true);
    let (state, job) = (Rc::clone(state), Rc::clone(job));
    monoio::spawn(async move {
        let recorded = record_route(&state, &job, route).await;
        // The next review tries again.
        job.is_route_recorded.set(recorded.is_ok_and(|is_recorded| is_recorded));
    });
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
