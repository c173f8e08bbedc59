//! This process's knowledge of the requests and parts of prompts that end engines.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::EngineLoss;
use cv_dispatch::QuarantineChanges;
use cv_dispatch::QuarantineDecision;
use cv_dispatch::QuarantineRecord;
use cv_dispatch::QuarantineSubject;
use cv_dispatch::QuarantineTable;
use cv_dispatch::SURVIVAL_TIME;
use cv_policy::MonotonicTime;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LinePriority;
use cv_timer::ProcessClock;
use monoio::task::JoinHandle;
use tokio::sync::Notify;

use crate::engine_probe::has_ended;

/// Added to the process's clock, whose origin is the start of the process: the evidence of other
/// processes may be older.
const CLOCK_OFFSET: Duration = Duration::from_hours(24);

/// Most losses of engines that are remembered until the responses of their last runs are judged.
const MAX_DIRECT_LOSSES: usize = 64;

/// Decides which requests this process may send to engines, and records what engines survive.
pub(crate) struct QuarantineDesk {
    clock: ProcessClock,
    /// Losses that this process has found out itself, in order of time.
    direct_losses: RefCell<Vec<EngineLoss>>,
    /// Whether the quarantines from before this process started are restored.
    is_restored: Cell<bool>,
    log: LineLog,
    /// Notified when other processes should learn of a change at once.
    news: Notify,
    /// Notified when the quarantines are restored.
    restored: Notify,
    table: RefCell<QuarantineTable>,
}

impl QuarantineDesk {
    /// Creates a desk that knows of no subject.
    pub fn new(clock: ProcessClock, log: LineLog) -> Rc<Self> {
        Rc::new(Self {
            clock,
            direct_losses: RefCell::default(),
            is_restored: Cell::new(false),
            log,
            news: Notify::new(),
            restored: Notify::new(),
            table: RefCell::default(),
        })
    }

    /// Decides on a request by its subjects.
    pub fn decide(&self, subjects: &[QuarantineSubject]) -> QuarantineDecision {
        self.table.borrow().decide(subjects, self.now())
    }

    /// Returns the turn of the targets that run the trials of a subject.
    pub fn trial_turn(&self, subject: QuarantineSubject) -> usize {
        self.table.borrow().trial_turn(subject, self.now())
    }

    /// Returns the subjects in quarantine, sorted, each with the time for which it has been there.
    pub fn quarantined(&self) -> Vec<(QuarantineSubject, Duration)> {
        let now = self.now();
        let table = self.table.borrow();
        table.quarantined().map(|(subject, since)| (subject, now.since(since))).collect()
    }

    /// Records that a request with these subjects is run as a trial.
    pub fn begin_trial(&self, subjects: &[QuarantineSubject]) {
        self.table.borrow_mut().begin_trial(subjects, self.now());
        self.news.notify_one();
    }

    /// Records that no engine began to run a trial with these subjects.
    pub fn withdraw_trial(&self, subjects: &[QuarantineSubject]) {
        self.table.borrow_mut().withdraw_trial(subjects, self.now());
        self.news.notify_one();
    }

    /// Records that the engine of an instance has ended, with the subjects of each run that may be the
    /// cause.
    pub fn record_loss<'a>(
        &self,
        engine: IpAddr,
        suspects: impl IntoIterator<Item = &'a [QuarantineSubject]>,
    ) {
        let loss = EngineLoss { at: self.now(), engine };
        let changes = self.table.borrow_mut().record_loss(loss, suspects);
        self.log_changes(&changes, "engines");
        self.news.notify_one();
    }

    /// Records that an engine has survived a whole response to a request with these subjects.
    pub fn record_served(&self, subjects: &[QuarantineSubject]) {
        let changes = self.table.borrow_mut().record_served(subjects, self.now());
        self.log_changes(&changes, "engines");
        if changes != QuarantineChanges::default() {
            self.news.notify_one();
        }
    }

    /// Records a whole response that came through a sidecar, which judges itself whether its engine
    /// survives it.
    pub fn record_response(&self, subjects: &[QuarantineSubject]) {
        self.table.borrow_mut().record_response(subjects, self.now());
    }

    /// Finds out whether an engine has ended that broke off a response without a sidecar between.
    /// Resolves when that is known.
    pub fn investigate(
        self: &Rc<Self>,
        engine: SocketAddr,
        subjects: &[QuarantineSubject],
    ) -> JoinHandle<()> {
        let (desk, subjects) = (Rc::clone(self), subjects.to_vec());
        monoio::spawn(async move {
            if has_ended(engine).await {
                let mut losses = desk.direct_losses.borrow_mut();
                if losses.len() == MAX_DIRECT_LOSSES {
                    losses.remove(0);
                }
                losses.push(EngineLoss { at: desk.now(), engine: engine.ip() });
                drop(losses);
                desk.record_loss(engine.ip(), [subjects.as_slice()]);
                desk.log_loss(engine, &subjects);
            }
        })
    }

    /// Records a whole response that came without a sidecar between, once its engine has survived
    /// it.
    pub fn judge_response(self: &Rc<Self>, engine: SocketAddr, subjects: &[QuarantineSubject]) {
        // Requests come too often for each to be remembered.
        let is_known = |subject: &&QuarantineSubject| {
            !subject.is_request() || self.table.borrow().is_suspect(**subject)
        };
        let subjects: Vec<QuarantineSubject> = subjects.iter().filter(is_known).copied().collect();
        if subjects.is_empty() {
            return;
        }
        let (desk, ended_at) = (Rc::clone(self), self.now());
        monoio::spawn(async move {
            monoio::time::sleep(SURVIVAL_TIME).await;
            let is_lost = desk
                .direct_losses
                .borrow()
                .iter()
                .any(|loss| loss.engine == engine.ip() && loss.at >= ended_at);
            if !is_lost {
                desk.record_served(&subjects);
            }
        });
    }

    /// Puts a subject back into quarantine in which it has been for a time, since before this process
    /// started.
    pub fn restore(&self, subject: QuarantineSubject, age: Duration) {
        let now = self.now();
        let changes = self.table.borrow_mut().restore(subject, now.before(age), now);
        self.log_changes(&changes, "store");
        self.news.notify_one();
    }

    /// Records that the quarantines from before this process started are restored.
    pub fn finish_restore(&self) {
        self.is_restored.set(true);
        self.restored.notify_waiters();
    }

    /// Returns whether the quarantines from before this process started are restored.
    pub fn is_restored(&self) -> bool {
        self.is_restored.get()
    }

    /// Waits until the quarantines from before this process started are restored.
    pub async fn wait_until_restored(&self) {
        loop {
            let restored = self.restored.notified();
            if self.is_restored() {
                return;
            }
            restored.await;
        }
    }

    /// Merges what another process knew when it sent records that were under way for `delay`.
    pub fn merge(&self, records: &[QuarantineRecord], delay: Duration) {
        let now = self.now();
        let changes = self.table.borrow_mut().merge(records, now.before(delay), now);
        self.log_changes(&changes, "peer");
        if changes != QuarantineChanges::default() {
            self.news.notify_one();
        }
    }

    /// Returns what other processes should know: all quarantines if `is_full`, and news.
    pub fn records(&self, is_full: bool) -> Vec<QuarantineRecord> {
        self.table.borrow().records(self.now(), is_full)
    }

    /// Removes evidence and quarantines that have expired.
    pub fn expire(&self) {
        let lifted = self.table.borrow_mut().expire(self.now());
        self.log_changes(&QuarantineChanges { lifted, quarantined: Vec::new() }, "age");
    }

    /// Waits until other processes should learn of a change at once.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// Logs the loss of an engine without a sidecar between.
    fn log_loss(&self, engine: SocketAddr, subjects: &[QuarantineSubject]) {
        self.log.record(LinePriority::Essential, EventKind::EngineLost, "engine", || {
            let subjects = QuarantineSubject::join(subjects);
            format!("engine={engine} through_sidecar=false suspects={subjects}")
        });
    }

    /// Logs the subjects that came into quarantine or left it, and from where that is known.
    fn log_changes(&self, changes: &QuarantineChanges, source: &str) {
        let quarantined =
            changes.quarantined.iter().map(|subject| (EventKind::PartQuarantined, subject));
        let lifted = changes.lifted.iter().map(|subject| (EventKind::QuarantineEnded, subject));
        for (kind, subject) in quarantined.chain(lifted) {
            let name = subject.to_string();
            self.log.record(LinePriority::Essential, kind, &name, || {
                let table = self.table.borrow();
                let losses = table.losses(*subject).len();
                format!("source={source} losses={losses}")
            });
        }
    }

    /// Returns the current time of the table.
    fn now(&self) -> MonotonicTime {
        self.clock.now() + CLOCK_OFFSET
    }
}
