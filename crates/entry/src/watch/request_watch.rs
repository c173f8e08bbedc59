//! Finds out whether a request without an answer has reached its sidecar.

use std::time::Duration;

use cv_control::call_context;
use cv_policy::RequestKey;
use cv_policy::TargetId;

use crate::entry_state::EntryState;

/// Silence after which the sidecar is asked, and time between two questions.
const SILENCE: Duration = Duration::from_millis(500);

/// Longest time that the sidecar has for its answer.
const PATIENCE: Duration = Duration::from_millis(450);

/// Time that an answer on its way still has once the sidecar knows nothing of the request.
const GRACE: Duration = Duration::from_millis(100);

/// Resolves when the sidecar says that a request neither waits nor runs there.
///
/// A connection may take bytes and pass nothing on. The control connection is another one, so it
/// shows the difference between a request that waits and one that got lost. A sidecar that does
/// not answer there either is found by the watch on targets.
pub(crate) async fn wait_until_request_lost(state: &EntryState, target: TargetId, key: RequestKey) {
    loop {
        monoio::time::sleep(SILENCE).await;
        let Some(address) = state.targets.borrow().get(target).map(|row| row.control) else {
            continue;
        };
        let Ok(client) = state.sidecars.client(address).await else { continue };
        let answer = client.knows(call_context(PATIENCE), state.call_metadata(), key).await;
        if let Ok(Some(false)) = answer {
            monoio::time::sleep(GRACE).await;
            return;
        }
    }
}
