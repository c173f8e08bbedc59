//! Watches the runs of an engine, and reports those that it takes with it when it ends.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use cv_dispatch::PromptPart;
use cv_dispatch::RunWatch;
use cv_dispatch::WatchedRun;
use cv_dispatch::WatchedRunId;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LinePriority;
use cv_timer::ProcessClock;
use prometheus::IntCounter;

use crate::engine_probe::has_ended;

/// Watches the runs of one engine.
pub(crate) struct EngineWatch {
    clock: ProcessClock,
    engine: SocketAddr,
    /// Whether a broken run is being investigated.
    is_investigating: Cell<bool>,
    log: LineLog,
    losses: IntCounter,
    runs: RefCell<RunWatch>,
}

/// A run in progress; dropping it ends the run as incomplete.
pub(crate) struct EngineRunGuard {
    id: WatchedRunId,
    watch: Rc<EngineWatch>,
}

impl EngineWatch {
    /// Creates a watch of the engine at an address; `losses` counts how often it ends.
    pub fn new(
        clock: ProcessClock,
        engine: SocketAddr,
        log: LineLog,
        losses: IntCounter,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            engine,
            is_investigating: Cell::new(false),
            log,
            losses,
            runs: RefCell::default(),
        })
    }

    /// Records that a request is handed to the engine.
    pub fn begin(self: &Rc<Self>, request_id: &str, parts: &[PromptPart]) -> EngineRunGuard {
        let id = self.runs.borrow_mut().begin(request_id, parts);
        EngineRunGuard { id, watch: Rc::clone(self) }
    }

    /// Finds out whether the engine has ended after a run broke off. All runs that it takes with it
    /// break off together, so the suspects are collected before the first of them is dropped.
    fn investigate(self: &Rc<Self>) {
        if self.is_investigating.replace(true) {
            return;
        }
        let suspects = self.runs.borrow().suspects(self.clock.now());
        let watch = Rc::clone(self);
        monoio::spawn(async move {
            if has_ended(watch.engine).await {
                watch.record_loss(&suspects);
            }
            watch.is_investigating.set(false);
        });
    }

    /// Records that the engine has ended.
    fn record_loss(&self, suspects: &[WatchedRun]) {
        self.losses.inc();
        self.runs.borrow_mut().clear_ended();
        self.log.record(LinePriority::Essential, EventKind::EngineLost, "engine", || {
            let runs = suspects.iter().map(|run| {
                let parts: Vec<String> = run.parts.iter().map(ToString::to_string).collect();
                format!("{}:{}", run.request_id, parts.join("+"))
            });
            format!("engine={} suspects={}", self.engine, runs.collect::<Vec<_>>().join(","))
        });
    }
}

impl EngineRunGuard {
    /// Records that the head of the response has arrived.
    pub fn answered(&self) {
        self.watch.runs.borrow_mut().answer(self.id, self.watch.clock.now());
    }

    /// Ends the run after a whole successful response.
    pub fn complete(self) {
        self.watch.runs.borrow_mut().end(self.id, self.watch.clock.now(), true);
    }

    /// Ends the run after the engine broke it off.
    pub fn interrupted(self) {
        self.watch.investigate();
    }

    /// Removes a run that the engine has not run.
    pub fn cancel(self) {
        self.watch.runs.borrow_mut().cancel(self.id);
    }
}

impl Drop for EngineRunGuard {
    fn drop(&mut self) {
        self.watch.runs.borrow_mut().end(self.id, self.watch.clock.now(), false);
    }
}
