//! Graceful shutdown of a server.

use std::time::Duration;
use std::time::Instant;

use cv_http::DrainGate;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LinePriority;

/// Time after the shutdown signal in which new connections are still served, so that the processes
/// that send requests here notice the shutdown first.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);

/// Time kept between the end of the last request and the moment when the platform kills the
/// process.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time in which the last lines of the log are written.
const LOG_WRITE_TIME: Duration = Duration::from_millis(20);

/// Returns the time for which a process accepts new connections after the shutdown signal.
pub(crate) fn drain_delay(grace: Duration) -> Duration {
    DRAIN_DELAY.min(grace / 2)
}

/// Keeps serving for the drain delay, then waits until all requests have ended or `grace` is
/// nearly over.
pub(crate) async fn drain_server(gate: &DrainGate, log: &LineLog, grace: Duration) {
    let active = gate.active_exchanges();
    log.record(LinePriority::Essential, EventKind::DrainStarted, "process", || {
        format!("active={active}")
    });
    gate.start_closing(Instant::now() + grace.saturating_sub(EXIT_MARGIN));
    let delay = drain_delay(grace);
    monoio::time::sleep(delay).await;
    gate.start_drain();
    let remaining = grace.saturating_sub(delay + EXIT_MARGIN);
    let is_idle = gate.wait_until_idle(remaining).await;
    log.record(LinePriority::Essential, EventKind::Stopped, "process", || {
        format!("cut_off={}", if is_idle { 0 } else { gate.active_exchanges() })
    });
    log.flush();
    monoio::time::sleep(LOG_WRITE_TIME).await;
}
