//! Claims on the keys of at-most-once requests, replicated to a few entries.

use std::time::Duration;

use cv_control::call_context;
use cv_policy::RequestKey;
use cv_policy::stable_hash;
use futures::future::join_all;

use crate::entry_state::EntryState;

/// Number of other entries that record each claim.
const CLAIM_REPLICAS: usize = 2;

/// Timeout of the calls to the replicas, which bounds the delay of a request.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(150);

/// A claim on a request's key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyClaim {
    /// Random id of the claim.
    pub id: u64,
    /// The request's key.
    pub key: RequestKey,
}

impl KeyClaim {
    /// Claims the key; returns whether no other claim is known here or at a responding replica.
    ///
    /// An unavailable replica does not block the request, since the sidecar's execution log still
    /// detects duplicates.
    pub async fn acquire(self, state: &EntryState) -> bool {
        let Self { id, key } = self;
        let now = state.clock.now();
        let is_new_here = state.key_claims.borrow_mut().claim(now, key, id);
        let calls = claim_replicas(state, key).into_iter().map(|address| async move {
            let client = state.peers.client(address).await.ok()?;
            let response =
                client.claim_key(call_context(CLAIM_TIMEOUT), state.call_metadata(), key, id).await;
            if response.is_err() {
                state.peers.forget(address);
            }
            response.ok()
        });
        let responses =
            monoio::time::timeout(CLAIM_TIMEOUT, join_all(calls)).await.unwrap_or_default();
        is_new_here && responses.into_iter().flatten().all(|is_new| is_new)
    }

    /// Releases the key, because its request is known not to have run.
    pub async fn release(self, state: &EntryState) {
        let Self { id, key } = self;
        state.key_claims.borrow_mut().release(key, id);
        let calls = claim_replicas(state, key).into_iter().map(|address| async move {
            if let Ok(client) = state.peers.client(address).await {
                // If a release is lost, a retry is rejected as a duplicate of unknown outcome,
                // which is safe.
                let metadata = state.call_metadata();
                let _ = client.release_key(call_context(CLAIM_TIMEOUT), metadata, key, id).await;
            }
        });
        let _ = monoio::time::timeout(CLAIM_TIMEOUT, join_all(calls)).await;
    }
}

/// Returns the control addresses of the entries that record a key's claims.
///
/// Rendezvous hashing picks the same ones at every entry.
fn claim_replicas(state: &EntryState, key: RequestKey) -> Vec<std::net::SocketAddr> {
    let text = format!("{:032x}", key.0);
    let mut others = state.other_entries();
    others.sort_by_cached_key(|record| stable_hash(&[&text, &record.name]));
    others.into_iter().take(CLAIM_REPLICAS).map(|record| record.control).collect()
}
