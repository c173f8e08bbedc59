//! Health probes of the target.

use std::rc::Rc;
use std::time::Duration;

use cv_http::ClientRequest;
use cv_http::ConnectionPool;
use cv_http::HttpLimits;
use cv_timer::TimerService;
use http::Method;

use crate::sidecar_state::SidecarState;

/// Interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of consecutive failed probes after which the target counts as down.
const FAILURE_THRESHOLD: u32 = 2;

/// Maximum size of the response to a probe, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Probes the target for as long as the sidecar runs.
pub(crate) async fn probe_target(state: Rc<SidecarState>, timers: TimerService) {
    let ticks = timers.subscribe(PROBE_INTERVAL);
    let pool = ConnectionPool::new(HttpLimits::default());
    let mut failures = 0;
    loop {
        let request = ClientRequest::new(Method::GET, "/health", "");
        let response =
            pool.exchange(state.section.target, &request, PROBE_TIMEOUT, MAX_RESPONSE_BYTES).await;
        // Any response other than a server error shows that the target's process serves.
        let is_up = response.is_ok_and(|response| !response.status.is_server_error());
        failures = if is_up { 0 } else { failures + 1 };
        if is_up || failures >= FAILURE_THRESHOLD {
            state.target_up.set(is_up);
            state.metrics.target_up.set(i64::from(is_up));
        }
        ticks.next().await;
    }
}
