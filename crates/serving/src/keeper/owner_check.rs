//! Checks with the owners of jobs that they know and own them.
//!
//! Each keeper computes the owner of a job from its own view. The keeper that would own a job next asks
//! the owner, so that a job which the owner does not know, or leaves to another keeper, does not wait
//! until their views agree by themselves.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cv_dispatch::ClaimReply;
use cv_dispatch::KeeperRecord;
use cv_http::ClientRequest;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;
use cv_timer::TimerService;
use futures::future::join_all;
use http::Method;
use http::StatusCode;

use crate::PlatformAdapter;
use crate::keeper::job_requests::CallResponse;
use crate::keeper::job_requests::find_job;
use crate::keeper::keeper_registration::MAX_PEER_RESPONSE_BYTES;
use crate::keeper::keeper_registration::PEER_QUERY_TIMEOUT;
use crate::keeper::keeper_state::KeeperState;

/// Path at which a keeper says which of the given jobs it owns.
pub(crate) const CLAIMS_PATH: &str = "/cv/claims";

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the task that checks the jobs of other owners for as long as the process runs.
pub(crate) fn start_owner_check<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    timers: &TimerService,
) {
    let ticks = timers.subscribe(CHECK_INTERVAL);
    let state = Rc::clone(state);
    monoio::spawn(async move {
        loop {
            ticks.next().await;
            state.claims.borrow_mut().retain(|job| state.jobs.get(job).is_some());
            check_owners(&state).await;
        }
    });
}

/// Asks each owner about the open jobs that this keeper would own next.
async fn check_owners<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    let keeper_set = state.view.keepers();
    let name = &state.identity.name;
    let mut questions: Vec<(&KeeperRecord, Vec<String>)> = Vec::new();
    for job in state.jobs.all() {
        let job_id = job.tracker.borrow().spec().id.clone();
        if job.is_owned.get() || job.is_over() || state.claims.borrow().is_over(&job_id) {
            continue;
        }
        let ranking = keeper_set.ranking_for(&job_id);
        let [owner, next, ..] = ranking.as_slice() else {
            continue;
        };
        if next.name != *name {
            continue;
        }
        match questions.binary_search_by(|(other, _)| other.name.cmp(&owner.name)) {
            Ok(position) => questions[position].1.push(job_id),
            Err(position) => questions.insert(position, (owner, vec![job_id])),
        }
    }
    let checks = questions.iter().map(|(owner, jobs)| check_owner(state, owner, jobs));
    let is_refresh_due = join_all(checks).await.contains(&true);
    if is_refresh_due {
        refresh_keepers(state).await;
    }
}

/// Asks one owner about jobs; returns whether the keeper set is to be read anew.
async fn check_owner<P: PlatformAdapter>(
    state: &KeeperState<P>,
    owner: &KeeperRecord,
    jobs: &[String],
) -> bool {
    let replies = fetch_replies(state, owner, jobs).await;
    let now = state.view.clock.now();
    let mut claims = state.claims.borrow_mut();
    let mut is_refresh_due = false;
    for (index, job) in jobs.iter().enumerate() {
        let reply = replies.as_ref().and_then(|replies| replies.get(index).copied());
        is_refresh_due |= claims.record(job, reply, now);
    }
    is_refresh_due
}

/// Fetches an owner's replies about jobs, one each; `None` if it does not respond.
async fn fetch_replies<P: PlatformAdapter>(
    state: &KeeperState<P>,
    owner: &KeeperRecord,
    jobs: &[String],
) -> Option<Vec<ClaimReply>> {
    let body = postcard::to_stdvec(jobs)
        .inspect_err(|fault| log::error!("cannot encode a question to {}: {fault}", owner.name))
        .ok()?;
    let request = ClientRequest::new(Method::POST, CLAIMS_PATH, body);
    let (timeout, limit) = (PEER_QUERY_TIMEOUT, MAX_PEER_RESPONSE_BYTES);
    let response = state.pool.exchange(owner.address, &request, timeout, limit).await;
    let response = response
        .inspect_err(|fault| log::debug!("cannot ask {} about its jobs: {fault}", owner.name))
        .ok()?;
    postcard::from_bytes(&response.body).ok()
}

/// Responds to another keeper's question about jobs that this one should own.
pub(crate) fn respond_claims<P: PlatformAdapter>(
    state: &Rc<KeeperState<P>>,
    body: &[u8],
) -> CallResponse {
    let Ok(jobs) = postcard::from_bytes::<Vec<String>>(body) else {
        return (StatusCode::BAD_REQUEST, Bytes::new());
    };
    let replies: Vec<ClaimReply> = jobs.iter().map(|job| claim_reply(state, job)).collect();
    let now = state.view.clock.now();
    let mut claims = state.claims.borrow_mut();
    let mut is_refresh_due = false;
    for (job, reply) in jobs.iter().zip(&replies) {
        is_refresh_due |= claims.record(job, Some(*reply), now);
    }
    if is_refresh_due {
        let state = Rc::clone(state);
        monoio::spawn(async move { refresh_keepers(&state).await });
    }
    match postcard::to_stdvec(&replies) {
        Ok(body) => (StatusCode::OK, Bytes::from(body)),
        Err(fault) => {
            log::error!("cannot encode which jobs are owned: {fault}");
            (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

/// Returns whether this keeper owns a job; one that it does not know is read from the store.
fn claim_reply<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, job_id: &str) -> ClaimReply {
    let Some(job) = state.jobs.get(job_id) else {
        let (state, job_id) = (Rc::clone(state), job_id.to_owned());
        monoio::spawn(async move {
            if let Err(fault) = find_job(&state, &job_id).await {
                log::debug!("cannot read job {job_id}, which a peer knows: {fault}");
            }
        });
        return ClaimReply::Unclaimed;
    };
    if job.is_over() {
        ClaimReply::Over
    } else if job.is_owned.get() {
        ClaimReply::Owned
    } else {
        ClaimReply::Unclaimed
    }
}

/// Reads the keeper set anew, since the keepers do not agree on the owner of a job.
async fn refresh_keepers<P: PlatformAdapter>(state: &KeeperState<P>) {
    let refreshed = state.view.refresh_keepers(&*state.store).await;
    state.view.log.record(LinePriority::Essential, EventKind::DirectoryChanged, "keepers", || {
        let names = state.view.keepers().encode_names().replace('\n', ",");
        format!("refreshed={} keepers={names}", refreshed.is_ok())
    });
    state.work_available.notify_one();
}
