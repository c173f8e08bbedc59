//! Tells the other keepers which jobs have been closed.
//!
//! The watch of the store does so as well, but late or not at all at a keeper to which the store does
//! not respond, and the owner of a closed job may be one.

use std::rc::Rc;

use cv_http::ClientRequest;
use futures::future::join_all;
use http::Method;
use http::StatusCode;

use crate::PlatformAdapter;
use crate::keeper::job_dispatch::mark_job_closed;
use crate::keeper::job_path::job_path;
use crate::keeper::job_requests::CallResponse;
use crate::keeper::keeper_registration::MAX_PEER_RESPONSE_BYTES;
use crate::keeper::keeper_registration::PEER_QUERY_TIMEOUT;
use crate::keeper::keeper_state::KeeperState;

/// Path under which a keeper is told the id of a closed job.
pub(crate) const CLOSED_PATH: &str = "/cv/closed/";

/// Starts a task that tells all other keepers that a job has been closed.
pub(crate) fn announce_close<P: PlatformAdapter>(state: &Rc<KeeperState<P>>, job_id: &str) {
    let (state, job_id) = (Rc::clone(state), job_id.to_owned());
    monoio::spawn(async move {
        let keeper_set = state.view.keepers();
        let own_name = &state.identity.name;
        let others = keeper_set.keepers().iter().filter(|keeper| keeper.name != *own_name);
        let request = ClientRequest::new(Method::POST, job_path(CLOSED_PATH, &job_id), "");
        let (pool, request) = (&state.pool, &request);
        let notices = others.map(|keeper| async move {
            let timeout = PEER_QUERY_TIMEOUT;
            let sent = pool.exchange(keeper.address, request, timeout, MAX_PEER_RESPONSE_BYTES);
            if let Err(fault) = sent.await {
                log::debug!("{} learns of the close from the store: {fault}", keeper.name);
            }
        });
        join_all(notices).await;
    });
}

/// Applies the notice of another keeper that a job has been closed.
pub(crate) fn receive_close<P: PlatformAdapter>(
    state: &KeeperState<P>,
    job_id: &str,
) -> CallResponse {
    mark_job_closed(state, job_id);
    (StatusCode::OK, bytes::Bytes::new())
}
