//! Watches the runs of an engine, and reports those that it takes with it when it ends.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::QuarantineSubject;
use cv_dispatch::RunWatch;
use cv_dispatch::WatchedRun;
use cv_dispatch::WatchedRunId;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LinePriority;
use cv_timer::ProcessClock;
use cv_timer::TimerService;
use prometheus::IntCounter;

use crate::engine_probe::has_ended;
use crate::quarantine_desk::QuarantineDesk;
use crate::sidecar::engine_responses::EngineResponses;
use crate::sidecar::slot_gate::SlotGate;

/// Time between two checks for runs that the engine has survived.
const SURVIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Watches the runs of one engine.
pub(crate) struct EngineWatch {
    clock: ProcessClock,
    desk: Rc<QuarantineDesk>,
    engine: SocketAddr,
    gate: Rc<SlotGate>,
    /// Address of the instance of engine and sidecar, by which other processes know the engine.
    instance: IpAddr,
    /// Whether a broken run is being investigated.
    is_investigating: Cell<bool>,
    log: LineLog,
    losses: IntCounter,
    /// Records which responses of the engine fail, and how fast it is.
    pub responses: Rc<EngineResponses>,
    runs: RefCell<RunWatch>,
}

/// What an engine is watched with.
pub(crate) struct EngineWatchParts {
    /// The process's clock.
    pub clock: ProcessClock,
    /// Learns which subjects the engine survives.
    pub desk: Rc<QuarantineDesk>,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Knows whether the engine is expected to end.
    pub gate: Rc<SlotGate>,
    /// Address of the instance of engine and sidecar.
    pub instance: IpAddr,
    /// The process's log.
    pub log: LineLog,
    /// Counts how often the engine ends.
    pub losses: IntCounter,
    /// Records which responses of the engine fail.
    pub responses: Rc<EngineResponses>,
}

/// A run in progress; dropping it ends the run as incomplete.
pub(crate) struct EngineRunGuard {
    id: WatchedRunId,
    watch: Rc<EngineWatch>,
}

impl EngineWatch {
    /// Starts to watch an engine, whose runs are known to the queue and whose prompts to the desk.
    pub fn start(parts: EngineWatchParts, timers: &TimerService) -> Rc<Self> {
        let EngineWatchParts { clock, desk, engine, gate, instance, log, losses, responses } =
            parts;
        let watch = Rc::new(Self {
            clock,
            desk,
            engine,
            gate,
            instance,
            is_investigating: Cell::new(false),
            log,
            losses,
            responses,
            runs: RefCell::default(),
        });
        let (checking, ticks) = (Rc::clone(&watch), timers.subscribe(SURVIVAL_CHECK_INTERVAL));
        monoio::spawn(async move {
            loop {
                let now = ticks.next().await;
                let mut survived = checking.runs.borrow_mut().take_survived(now);
                survived.extend(checking.runs.borrow_mut().take_outlasted_items(now));
                for run in survived.iter().filter(|run| !run.subjects.is_empty()) {
                    checking.desk.record_served(&run.subjects);
                }
            }
        });
        watch
    }

    /// Records that a request is handed to the engine.
    pub fn begin(
        self: &Rc<Self>,
        request_id: &str,
        subjects: &[QuarantineSubject],
    ) -> EngineRunGuard {
        let id = self.runs.borrow_mut().begin(request_id, subjects, self.clock.now());
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
        // The failures of the lost engine say nothing about the one that takes its place.
        self.responses.clear();
        self.runs.borrow_mut().record_loss(self.clock.now());
        let is_planned = self.gate.is_draining();
        if !is_planned {
            let suspects = suspects.iter().map(|run| run.subjects.as_slice());
            self.desk.record_loss(self.instance, suspects);
        }
        self.log.record(LinePriority::Essential, EventKind::EngineLost, "engine", || {
            let runs = suspects.iter().map(|run| {
                format!("{}:{}", run.request_id, QuarantineSubject::join(&run.subjects))
            });
            let runs: Vec<String> = runs.collect();
            format!("engine={} planned={is_planned} suspects={}", self.engine, runs.join(","))
        });
    }
}

impl EngineRunGuard {
    /// Records that the head of the response has arrived.
    pub fn answered(&self) {
        self.watch.runs.borrow_mut().answer(self.id, self.watch.clock.now());
    }

    /// Records that the response is whole, or a failure of the engine.
    pub fn record_response(&self, is_failure: bool) {
        self.watch.responses.record(is_failure);
    }

    /// Ends the run after a whole successful response.
    pub fn complete(self) {
        self.watch.runs.borrow_mut().end(self.id, self.watch.clock.now(), true);
    }

    /// Ends the run after the engine broke it off.
    pub fn interrupted(self) {
        let is_news = self.watch.runs.borrow().may_have_lost_engine(self.id);
        if is_news {
            self.watch.investigate();
        }
    }

    /// Removes a run that could not be sent. The engine may have ended unnoticed, if its last
    /// responses ended with their connections.
    pub fn not_sent(self) {
        self.watch.runs.borrow_mut().cancel(self.id);
        let is_known = self.watch.runs.borrow().is_engine_lost();
        if !is_known {
            self.watch.investigate();
        }
    }

    /// Removes a run that the engine has refused.
    pub fn cancel(self) {
        self.watch.runs.borrow_mut().cancel(self.id);
    }
}

impl Drop for EngineRunGuard {
    fn drop(&mut self) {
        self.watch.runs.borrow_mut().end(self.id, self.watch.clock.now(), false);
    }
}
