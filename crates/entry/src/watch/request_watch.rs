//! Detection of requests that were lost on the way to their sidecar.

use std::time::Duration;

use cv_control::call_context;
use cv_policy::RequestKey;
use cv_policy::TargetId;

use crate::entry_state::EntryState;

/// Interval between two checks while a response is outstanding.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(450);

/// Time for a response that is already in transit when the sidecar no longer has the request.
const IN_TRANSIT_GRACE: Duration = Duration::from_millis(100);

/// Waits until the sidecar reports that a request is neither queued nor running there.
///
/// A connection may accept bytes without delivering them. The control connection is a separate
/// one, so the check tells a queued request from a lost one. A sidecar that does not respond on it
/// either is detected by [`watch_targets`](super::watch_targets).
pub(crate) async fn wait_until_request_lost(state: &EntryState, target: TargetId, key: RequestKey) {
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        let Some(address) = state.targets.borrow().get(target).map(|row| row.control) else {
            continue;
        };
        let Ok(client) = state.sidecars.client(address).await else { continue };
        let response = client.knows(call_context(CHECK_TIMEOUT), state.call_metadata(), key).await;
        if let Ok(Some(false)) = response {
            monoio::time::sleep(IN_TRANSIT_GRACE).await;
            return;
        }
    }
}
