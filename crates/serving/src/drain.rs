//! The end of a server's life.

use std::time::Duration;

use cv_http::DrainGate;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LineWeight;

/// Time after the shutdown signal in which new connections are still served: those who place
/// requests need it to notice.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);

/// Time kept between the last request's end and the platform's own end of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time in which the last lines of the log are written.
const LOG_TIME: Duration = Duration::from_millis(20);

/// Returns the part of the grace in which a process serves on for those who have not noticed yet.
pub(crate) fn drain_delay(grace: Duration) -> Duration {
    NOTICE_TIME.min(grace / 2)
}

/// Serves on while others notice, then until what runs has ended or the grace is nearly over.
pub(crate) async fn drain_server(gate: &DrainGate, log: &LineLog, grace: Duration) {
    let active = gate.active();
    log.record(LineWeight::Essential, EventKind::DrainStarted, "process", || {
        format!("active={active}")
    });
    gate.start_closing();
    let notice = drain_delay(grace);
    monoio::time::sleep(notice).await;
    gate.start_drain();
    let rest = grace.saturating_sub(notice + EXIT_MARGIN);
    let is_idle = gate.wait_until_idle(rest).await;
    log.record(LineWeight::Essential, EventKind::Stopped, "process", || {
        format!("cut_off={}", if is_idle { 0 } else { gate.active() })
    });
    log.flush();
    monoio::time::sleep(LOG_TIME).await;
}
