//! Claims the keys of requests that must run at most once at a few entries.

use std::time::Duration;

use cv_control::call_context;
use cv_policy::RequestKey;
use cv_policy::stable_hash;
use futures::future::join_all;

use crate::entry_state::EntryState;

/// Entries that keep each key.
const KEEPERS: usize = 2;

/// Longest time that the keepers may hold a request up.
const PATIENCE: Duration = Duration::from_millis(150);

/// A key's claim at its keepers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyClaim {
    /// Number of the claim.
    pub claim: u64,
    /// The key.
    pub key: RequestKey,
}

impl KeyClaim {
    /// Claims the key; tells whether no other request has claimed it, as far as keepers answer.
    ///
    /// A keeper that is away does not hold the request up: the sidecar's own log still guards it.
    pub async fn acquire(self, state: &EntryState) -> bool {
        let Self { claim, key } = self;
        let now = state.clock.now();
        let own = state.key_claims.borrow_mut().claim(now, key, claim);
        let calls = keepers(state, key).into_iter().map(|address| async move {
            let client = state.peers.client(address).await.ok()?;
            let answer =
                client.claim_key(call_context(PATIENCE), state.call_metadata(), key, claim).await;
            if answer.is_err() {
                state.peers.forget(address);
            }
            answer.ok()
        });
        let answers = monoio::time::timeout(PATIENCE, join_all(calls)).await.unwrap_or_default();
        own && answers.into_iter().flatten().all(|fresh| fresh)
    }

    /// Gives the key back, since its request was proved not to have run.
    pub async fn release(self, state: &EntryState) {
        let Self { claim, key } = self;
        state.key_claims.borrow_mut().release(key, claim);
        let calls = keepers(state, key).into_iter().map(|address| async move {
            if let Ok(client) = state.peers.client(address).await {
                // A lost release makes a resend a duplicate of unknown outcome, which is true.
                let stamp = state.call_metadata();
                let _ = client.release_key(call_context(PATIENCE), stamp, key, claim).await;
            }
        });
        let _ = monoio::time::timeout(PATIENCE, join_all(calls)).await;
    }
}

/// Picks the other entries that keep a key, the same ones at every entry.
fn keepers(state: &EntryState, key: RequestKey) -> Vec<std::net::SocketAddr> {
    let text = format!("{:032x}", key.0);
    let mut others = state.other_entries();
    others.sort_by_cached_key(|record| stable_hash(&[&text, &record.name]));
    others.into_iter().take(KEEPERS).map(|record| record.control).collect()
}
