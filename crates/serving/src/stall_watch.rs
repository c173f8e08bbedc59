//! Logs when the timers of a process run late.

use std::time::Duration;

use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LinePriority;
use cv_timer::ProcessClock;
use cv_timer::TimerService;
use cv_timer::processor_time;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Delay of a check from which it is logged; the platform asks once a second whether a process is ready.
const MAX_DELAY: Duration = Duration::from_millis(250);

/// Starts the task that logs late checks, with the processor time used meanwhile: much of it means a
/// busy thread, none a process that was stopped or a machine that was suspended.
pub(crate) fn start_stall_watch(clock: ProcessClock, log: LineLog, timers: &TimerService) {
    let ticks = timers.subscribe(CHECK_INTERVAL);
    monoio::spawn(async move {
        let (mut checked_at, mut used) = (clock.now(), processor_time());
        loop {
            let now = ticks.next().await;
            let (elapsed, used_now) = (now.since(checked_at), processor_time());
            let delay = elapsed.saturating_sub(CHECK_INTERVAL);
            if delay >= MAX_DELAY {
                log.record(LinePriority::Essential, EventKind::TimersLate, "process", || {
                    let used_ms = used_now.saturating_sub(used).as_millis();
                    format!("late_ms={} processor_ms={used_ms}", delay.as_millis())
                });
            }
            (checked_at, used) = (now, used_now);
        }
    });
}
