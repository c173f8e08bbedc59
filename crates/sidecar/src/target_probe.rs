//! Asks the target whether it is up.

use std::rc::Rc;
use std::time::Duration;

use cv_http::ClientRequest;
use cv_http::ConnectionPool;
use cv_http::HttpLimits;
use cv_timer::TimerService;
use http::Method;

use crate::sidecar_state::SidecarState;

/// Time between two probes.
const PERIOD: Duration = Duration::from_millis(200);

/// Longest time that a probe waits for its answer.
const PATIENCE: Duration = Duration::from_millis(500);

/// Probes in a row that have to fail before the target counts as down.
const FAILURES: u32 = 2;

/// Longest answer to a probe, in bytes.
const ANSWER_BYTES: usize = 64 * 1024;

/// Probes the target for as long as the sidecar runs.
pub(crate) async fn probe_target(state: Rc<SidecarState>, timers: TimerService) {
    let ticks = timers.subscribe(PERIOD);
    let pool = ConnectionPool::new(HttpLimits::default());
    let mut failures = 0;
    loop {
        let request = ClientRequest::new(Method::GET, "/health", "");
        let answer = pool.exchange(state.section.target, &request, PATIENCE, ANSWER_BYTES).await;
        // Any answer short of a server error shows a process that serves.
        let up = answer.is_ok_and(|response| !response.status.is_server_error());
        failures = if up { 0 } else { failures + 1 };
        if up || failures >= FAILURES {
            state.target_up.set(up);
            state.metrics.target_up.set(i64::from(up));
        }
        ticks.next().await;
    }
}
