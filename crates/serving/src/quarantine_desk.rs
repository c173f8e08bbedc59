//! This process's knowledge of the prompt parts that end engines.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::EngineLoss;
use cv_dispatch::PromptPart;
use cv_dispatch::QuarantineChanges;
use cv_dispatch::QuarantineDecision;
use cv_dispatch::QuarantineRecord;
use cv_dispatch::QuarantineTable;
use cv_dispatch::SURVIVAL_TIME;
use cv_policy::MonotonicTime;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LinePriority;
use cv_timer::ProcessClock;
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
    /// Creates a desk that knows of no part.
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

    /// Decides on a request by the shared parts of its prompt.
    pub fn decide(&self, parts: &[PromptPart]) -> QuarantineDecision {
        self.table.borrow().decide(parts, self.now())
    }

    /// Returns the turn of the targets that run the trials of a part.
    pub fn trial_turn(&self, part: PromptPart) -> usize {
        self.table.borrow().trial_turn(part, self.now())
    }

    /// Returns the parts in quarantine, sorted, each with the time for which it has been there.
    pub fn quarantined(&self) -> Vec<(PromptPart, Duration)> {
        let now = self.now();
        let table = self.table.borrow();
        table.quarantined().map(|(part, since)| (part, now.since(since))).collect()
    }

    /// Records that a request with these parts is run as a trial.
    pub fn begin_trial(&self, parts: &[PromptPart]) {
        self.table.borrow_mut().begin_trial(parts, self.now());
        self.news.notify_one();
    }

    /// Records that the engine of an instance has ended, with the parts of each run that may be the
    /// cause.
    pub fn record_loss<'a>(
        &self,
        engine: IpAddr,
        suspects: impl IntoIterator<Item = &'a [PromptPart]>,
    ) {
        let loss = EngineLoss { at: self.now(), engine };
        let changes = self.table.borrow_mut().record_loss(loss, suspects);
        self.log_changes(&changes, "engines");
        self.news.notify_one();
    }

    /// Records that an engine has survived a whole response to a prompt with these parts.
    pub fn record_served(&self, parts: &[PromptPart]) {
        let changes = self.table.borrow_mut().record_served(parts, self.now());
        self.log_changes(&changes, "engines");
        if changes != QuarantineChanges::default() {
            self.news.notify_one();
        }
    }

    /// Records a whole response that came through a sidecar, which judges itself whether its engine
    /// survives it.
    pub fn record_response(&self, parts: &[PromptPart]) {
        self.table.borrow_mut().record_response(parts, self.now());
    }

    /// Finds out whether an engine has ended that broke off a response without a sidecar between.
    pub fn investigate(self: &Rc<Self>, engine: SocketAddr, parts: &[PromptPart]) {
        if parts.is_empty() {
            return;
        }
        let (desk, parts) = (Rc::clone(self), parts.to_vec());
        monoio::spawn(async move {
            if has_ended(engine).await {
                let mut losses = desk.direct_losses.borrow_mut();
                if losses.len() == MAX_DIRECT_LOSSES {
                    losses.remove(0);
                }
                losses.push(EngineLoss { at: desk.now(), engine: engine.ip() });
                drop(losses);
                desk.record_loss(engine.ip(), [parts.as_slice()]);
            }
        });
    }

    /// Records a whole response that came without a sidecar between, once its engine has survived
    /// it.
    pub fn judge_response(self: &Rc<Self>, engine: SocketAddr, parts: &[PromptPart]) {
        if parts.is_empty() {
            return;
        }
        let (desk, parts, ended_at) = (Rc::clone(self), parts.to_vec(), self.now());
        monoio::spawn(async move {
            monoio::time::sleep(SURVIVAL_TIME).await;
            let is_lost = desk
                .direct_losses
                .borrow()
                .iter()
                .any(|loss| loss.engine == engine.ip() && loss.at >= ended_at);
            if !is_lost {
                desk.record_served(&parts);
            }
        });
    }

    /// Puts a part back into quarantine in which it has been for a time, since before this process
    /// started.
    pub fn restore(&self, part: PromptPart, age: Duration) {
        let now = self.now();
        let changes = self.table.borrow_mut().restore(part, now.before(age), now);
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

    /// Logs the parts that came into quarantine or left it, and from where that is known.
    fn log_changes(&self, changes: &QuarantineChanges, source: &str) {
        let quarantined = changes.quarantined.iter().map(|part| (EventKind::PartQuarantined, part));
        let lifted = changes.lifted.iter().map(|part| (EventKind::QuarantineEnded, part));
        for (kind, part) in quarantined.chain(lifted) {
            let subject = part.to_string();
            self.log.record(LinePriority::Essential, kind, &subject, || {
                let table = self.table.borrow();
                let losses = table.losses(*part).len();
                format!("source={source} losses={losses}")
            });
        }
    }

    /// Returns the current time of the table.
    fn now(&self) -> MonotonicTime {
        self.clock.now() + CLOCK_OFFSET
    }
}
