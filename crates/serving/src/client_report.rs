//! Metrics and log lines about what clients use of a process, and whom it drops.

use std::rc::Rc;
use std::time::Duration;

use cv_http::BudgetCounts;
use cv_http::ClientBudget;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LinePriority;
use cv_timer::TimerService;
use prometheus::IntCounter;
use prometheus::IntGauge;
use prometheus::Registry;

/// Time between two updates, and so between two log lines of one cause.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// A count of clients for one cause.
struct CauseCounter {
    cause: &'static str,
    counter: IntCounter,
    read: fn(&BudgetCounts) -> u64,
}

/// Starts the task that keeps the metrics of a budget up to date and logs each cause that occurred.
///
/// # Errors
/// Fails if the registry has a metric of the same name.
pub(crate) fn start_client_report(
    budget: &Rc<ClientBudget>,
    registry: &Registry,
    log: LineLog,
    timers: &TimerService,
) -> prometheus::Result<()> {
    let counter = |cause, help: &str, read| -> prometheus::Result<CauseCounter> {
        let counter = IntCounter::new(format!("cv_clients_{cause}_total"), help)?;
        registry.register(Box::new(counter.clone()))?;
        Ok(CauseCounter { cause, counter, read })
    };
    let counters = [
        counter("refused_bodies", "Bodies without memory.", |counts| counts.refused_bodies)?,
        counter("dropped_bodies", "Connections dropped for others' memory.", |counts| {
            counts.dropped_bodies
        })?,
        counter("stalled_bodies", "Bodies that made no progress.", |counts| counts.stalled_bodies)?,
        counter("dropped_connections", "Connections closed for others' descriptors.", |counts| {
            counts.dropped_connections
        })?,
        counter("refused_connections", "Connections closed at once.", |counts| {
            counts.refused_connections
        })?,
    ];
    let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
        let gauge = IntGauge::new(name, help)?;
        registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    };
    let held_bytes = gauge("cv_clients_held_bytes", "Memory held for clients, in bytes.")?;
    let open = gauge("cv_clients_open_connections", "Open connections of clients.")?;
    let (budget, ticks) = (Rc::clone(budget), timers.subscribe(REPORT_INTERVAL));
    monoio::spawn(async move {
        loop {
            ticks.next().await;
            let counts = budget.counts();
            held_bytes.set(counts.held_bytes.cast_signed());
            open.set(counts.open_connections.cast_signed());
            for CauseCounter { cause, counter, read } in &counters {
                let added = read(&counts) - counter.get();
                counter.inc_by(added);
                if added > 0 {
                    log.record(LinePriority::Essential, EventKind::Refused, "client", || {
                        let BudgetCounts { held_bytes, open_connections, .. } = counts;
                        format!("reason={cause} clients={added} held_bytes={held_bytes} connections={open_connections}")
                    });
                }
            }
        }
    });
    Ok(())
}
