//! Checks with the owners of jobs that they own them.
//!
//! Each keeper computes the owner of a job from its own view. The keepers that would own a job next ask
//! the owner, so that a job which the owner does not know, or leaves to another keeper, does not wait
//! until their views agree by themselves.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cv_dispatch::KeeperRecord;
use cv_dispatch::OwnerReply;
use cv_http::ClientRequest;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;
use cv_timer::TimerService;
use futures::future::join_all;
use http::Method;
use http::StatusCode;

use crate::PlatformAdapter;
use crate::keeper::job_requests::CallResponse;
use crate::keeper::job_requests::find_or_adopt_job;
use crate::keeper::keeper_registration::MAX_PEER_RESPONSE_BYTES;
use crate::keeper::keeper_registration::PEER_QUERY_TIMEOUT;
use crate::keeper::keeper_state::KeeperState;

/// A job that has been unclaimed for the given time.
type OverdueJob = (String, Duration);

/// Path at which a keeper says which of the given jobs it owns.
pub(crate) const OWNED_PATH: &str = "/cv/owned";

/// Time between two checks by the keeper that would own a job next.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Checks after which the keepers further down the ranking ask as well, in case that the next owner
/// does not.
const CHECKS_OF_NEXT_OWNER: u64 = 4;

/// Checks after which jobs that are not known any more are forgotten.
const CHECKS_UNTIL_FORGOTTEN: u64 = 60;

/// Most jobs that are looked up in the store at once; a peer asks again about the others.
const MAX_LOOKUPS: usize = 32;

/// Starts the task that checks the jobs of other owners for as long as the process runs.
pub(crate) fn start_owner_check<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    timers: &TimerService,
) {
    let ticks = timers.subscribe(CHECK_INTERVAL);
    let state = Rc::clone(state);
    monoio::spawn(async move {
        for check in 1_u64.. {
            ticks.next().await;
            if check.is_multiple_of(CHECKS_UNTIL_FORGOTTEN) {
                state.unclaimed.borrow_mut().retain(|job| state.jobs.get(job).is_some());
            }
            check_owners(&state, check.is_multiple_of(CHECKS_OF_NEXT_OWNER)).await;
        }
    });
}

/// Asks each owner about the open jobs that this keeper would own next, or about all that this keeper
/// knows if `asks_for_all`.
async fn check_owners<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, asks_for_all: bool) {
    let keeper_set = state.view.keepers();
    let name = &state.identity.name;
    let mut questions: Vec<(&KeeperRecord, Vec<String>)> = Vec::new();
    for job in state.jobs.all() {
        let job_id = job.tracker.borrow().spec().id.clone();
        if job.is_owned.get() || job.is_over() || state.unclaimed.borrow().is_over(&job_id) {
            continue;
        }
        let ranking = keeper_set.ranking_for(&job_id);
        let [owner, others @ ..] = ranking.as_slice() else {
            continue;
        };
        let is_next = others.first().is_some_and(|next| next.name == *name);
        if owner.name == *name || !is_next && !asks_for_all {
            continue;
        }
        match questions.binary_search_by(|(other, _)| other.name.cmp(&owner.name)) {
            Ok(position) => questions[position].1.push(job_id),
            Err(position) => questions.insert(position, (owner, vec![job_id])),
        }
    }
    join_all(questions.iter().map(|(owner, jobs)| check_owner(state, owner, jobs))).await;
}

/// Asks one owner about jobs, and checks its registration if it does not claim one for long.
async fn check_owner<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    owner: &KeeperRecord,
    jobs: &[String],
) {
    let replies = fetch_replies(state, owner, jobs).await;
    let now = state.view.clock.now();
    let mut overdue = Vec::new();
    for (index, job) in jobs.iter().enumerate() {
        let reply = replies.as_ref().and_then(|replies| replies.get(index).copied());
        if let Some(time) = state.unclaimed.borrow_mut().record(job, reply, now) {
            overdue.push((job.clone(), time));
        }
    }
    if !overdue.is_empty() {
        start_registration_check(state, owner.name.clone(), overdue, replies.is_some());
    }
}

/// Fetches an owner's replies about jobs, one each; `None` if it does not respond.
async fn fetch_replies<P: PlatformAdapter>(
    state: &KeeperState<P>,
    owner: &KeeperRecord,
    jobs: &[String],
) -> Option<Vec<OwnerReply>> {
    let body = postcard::to_stdvec(jobs)
        .inspect_err(|fault| log::error!("cannot encode a question to {}: {fault}", owner.name))
        .ok()?;
    let request = ClientRequest::new(Method::POST, OWNED_PATH, body);
    let (timeout, limit) = (PEER_QUERY_TIMEOUT, MAX_PEER_RESPONSE_BYTES);
    let response = state.pool.exchange(owner.address, &request, timeout, limit).await;
    let response = response
        .inspect_err(|fault| log::debug!("cannot ask {} about its jobs: {fault}", owner.name))
        .ok()?;
    postcard::from_bytes(&response.body).ok()
}

/// Responds to another keeper's question about jobs that this one should own by the other's view.
pub(crate) fn respond_owned<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    body: &[u8],
) -> CallResponse {
    let Ok(jobs) = postcard::from_bytes::<Vec<String>>(body) else {
        return (StatusCode::BAD_REQUEST, Bytes::new());
    };
    let replies: Vec<OwnerReply> = jobs.iter().map(|job| owner_reply(state, job)).collect();
    let now = state.view.clock.now();
    let keeper_set = state.view.keepers();
    let mut overdue: Vec<(String, Vec<OverdueJob>)> = Vec::new();
    for (job, reply) in jobs.into_iter().zip(&replies) {
        let Some(time) = state.unclaimed.borrow_mut().record(&job, Some(*reply), now) else {
            continue;
        };
        // This keeper leaves the job to another one, which may be gone.
        let ranking = keeper_set.ranking_for(&job);
        let Some(owner) = ranking.first().filter(|owner| owner.name != state.identity.name) else {
            continue;
        };
        match overdue.binary_search_by(|(other, _)| other.cmp(&owner.name)) {
            Ok(position) => overdue[position].1.push((job, time)),
            Err(position) => overdue.insert(position, (owner.name.clone(), vec![(job, time)])),
        }
    }
    for (owner, jobs) in overdue {
        start_registration_check(state, owner, jobs, false);
    }
    match postcard::to_stdvec(&replies) {
        Ok(body) => (StatusCode::OK, Bytes::from(body)),
        Err(fault) => {
            log::error!("cannot encode which jobs are owned: {fault}");
            (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

/// Returns whether this keeper owns a job; one that it does not know is looked up in the store.
fn owner_reply<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, job_id: &str) -> OwnerReply {
    if state.unclaimed.borrow().is_over(job_id) {
        return OwnerReply::Over;
    }
    let Some(job) = state.jobs.get(job_id) else {
        look_up_job(state, job_id);
        return OwnerReply::Unclaimed;
    };
    if job.is_over() {
        OwnerReply::Over
    } else if job.is_owned.get() {
        OwnerReply::Owned
    } else {
        OwnerReply::Unclaimed
    }
}

/// Starts to look a job up in the store, unless that is under way.
fn look_up_job<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, job_id: &str) {
    let mut lookups = state.lookups.borrow_mut();
    if lookups.len() >= MAX_LOOKUPS {
        return;
    }
    let Err(position) = lookups.binary_search_by(|other| other.as_str().cmp(job_id)) else {
        return;
    };
    lookups.insert(position, job_id.to_owned());
    let (state, job_id) = (Rc::clone(state), job_id.to_owned());
    monoio::spawn(async move {
        let found = find_or_adopt_job(&state, &job_id).await;
        state.lookups.borrow_mut().retain(|other| *other != job_id);
        match found {
            Ok(Some(_)) => {}
            Ok(None) => {
                let now = state.view.clock.now();
                state.unclaimed.borrow_mut().record(&job_id, Some(OwnerReply::Over), now);
            }
            Err(fault) => log::debug!("cannot read job {job_id}, which a peer knows: {fault}"),
        }
    });
}

/// Starts to remove a keeper that claims none of the jobs it should own, if its registration is gone
/// from the store; past any deferral of its removal.
fn start_registration_check<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    owner: String,
    jobs: Vec<OverdueJob>,
    has_replied: bool,
) {
    let state = Rc::clone(state);
    monoio::spawn(async move {
        let is_removed = state.view.remove_keeper_if_gone(&*state.store, &owner).await;
        let Some((job, time)) = jobs.first() else {
            return;
        };
        state.view.log.record(LinePriority::Essential, EventKind::JobStalled, job, || {
            let (time, count) = (time.as_millis(), jobs.len());
            format!(
                "cause=unclaimed owner={owner} replied={has_replied} stalled_ms={time} \
                 jobs={count} owner_removed={is_removed:?}"
            )
        });
        state.work_available.notify_one();
    });
}
