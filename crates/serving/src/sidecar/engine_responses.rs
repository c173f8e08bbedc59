//! Records which of an engine's responses fail, for the load reports.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::EngineCondition;
use cv_dispatch::FailureRecord;
use cv_dispatch::PaceRecord;
use cv_policy::MonotonicTime;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LinePriority;
use cv_timer::ProcessClock;
use prometheus::IntCounter;
use tokio::sync::Notify;

/// Share of failed responses from which on the log says that the engine fails, in percent. Entries
/// give it only trial requests from about there on.
const FAILING_PERCENT: u32 = 30;

/// The responses of one engine, whole or failed.
pub(crate) struct EngineResponses {
    clock: ProcessClock,
    /// Counts the failed ones.
    failures: IntCounter,
    /// Whether the log says that the engine fails.
    is_failing: Cell<bool>,
    log: LineLog,
    pace: RefCell<PaceRecord>,
    record: RefCell<FailureRecord>,
    /// The condition in the last report.
    reported: Cell<EngineCondition>,
    /// When the condition was last reported at once because of the slowness.
    slowness_reported_at: Cell<MonotonicTime>,
    /// Notified when the condition has to be reported at once.
    urgent: Notify,
}

impl EngineResponses {
    /// Creates the record of an engine without responses; `failures` counts the failed ones.
    pub fn new(clock: ProcessClock, failures: IntCounter, log: LineLog) -> Rc<Self> {
        Rc::new(Self {
            clock,
            failures,
            is_failing: Cell::default(),
            log,
            pace: RefCell::default(),
            record: RefCell::default(),
            reported: Cell::default(),
            slowness_reported_at: Cell::default(),
            urgent: Notify::new(),
        })
    }

    /// Records a whole response, or a failure of the engine.
    pub fn record(&self, is_failure: bool) {
        self.record.borrow_mut().record(self.clock.now(), is_failure);
        if is_failure {
            self.failures.inc();
        }
        if self.condition().is_urgent(self.reported.get()) {
            self.urgent.notify_one();
        }
    }

    /// Records how long work takes at the moment according to the engine, in percent of the usual
    /// time.
    pub fn record_slowness(&self, percent: u32) {
        let now = self.clock.now();
        self.pace.borrow_mut().record_slowness(now, percent);
        let elapsed = now.since(self.slowness_reported_at.get());
        if self.condition().is_slowness_urgent(self.reported.get(), elapsed) {
            self.slowness_reported_at.set(now);
            self.urgent.notify_one();
        }
    }

    /// Records the duration of an online request's run.
    pub fn record_run(&self, duration: Duration) {
        self.pace.borrow_mut().record_run(duration);
    }

    /// Forgets all responses, because the engine has ended.
    pub fn clear(&self) {
        self.pace.replace(PaceRecord::default());
        self.record.replace(FailureRecord::default());
    }

    /// Returns the condition of the engine.
    pub fn condition(&self) -> EngineCondition {
        EngineCondition::new(self.clock.now(), &self.record.borrow(), &self.pace.borrow())
    }

    /// Returns the condition of the engine for a report that is sent now.
    pub fn take_report(&self) -> EngineCondition {
        let condition = self.condition();
        self.reported.set(condition);
        let is_failing = condition.failure_percent >= FAILING_PERCENT;
        if self.is_failing.replace(is_failing) != is_failing {
            self.log.record(LinePriority::Essential, EventKind::TargetChanged, "engine", || {
                let EngineCondition { failure_percent, recent_responses, .. } = condition;
                format!(
                    "failing={is_failing} failure_percent={failure_percent} \
                     recent_responses={recent_responses}"
                )
            });
        }
        condition
    }

    /// Waits until the condition has to be reported at once.
    pub async fn urgent(&self) {
        self.urgent.notified().await;
    }
}
