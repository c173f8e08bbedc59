//! The budget of a process's clients, shared by its servers.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use monoio::time::sleep;
use monoio::time::timeout;
use tokio::sync::Notify;

use crate::BudgetLimits;
use crate::ClientKind;
use crate::ClientLedger;
use crate::ClientStage;
use crate::HoldDecision;
use crate::HttpFault;

/// Bytes of a connection that carries nothing: its task, and the buffer in which it waits for a head.
/// Measured at entries: 20 kB.
const CONNECTION_BYTES: usize = 24 * 1024;

/// Unit in which a connection holds further bytes, so that most requests change nothing.
const HOLD_UNIT: usize = 16 * 1024;

/// Time after which a response that waits for memory asks again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// What happened to the clients of a process since its start, and what they use now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BudgetCounts {
    /// Requests and responses that were dropped for others, as stalled or largest.
    pub dropped_bodies: u64,
    /// Connections that were closed for their descriptors.
    pub dropped_connections: u64,
    /// Bytes that all clients hold.
    pub held_bytes: u64,
    /// Open connections.
    pub open_connections: u64,
    /// Bodies for which there was no memory.
    pub refused_bodies: u64,
    /// Connections that were closed at once.
    pub refused_connections: u64,
    /// Bodies that made no progress for the body timeout.
    pub stalled_bodies: u64,
}

/// Carries out what the [`ClientLedger`] of a process decides.
#[derive(Debug)]
pub struct ClientBudget {
    counts: Cell<BudgetCounts>,
    ledger: RefCell<ClientLedger>,
    /// Notified when bytes become free.
    released: Notify,
    /// By id, sorted.
    signals: RefCell<Vec<(u64, Rc<DropSignal>)>>,
    started_at: Instant,
}

/// Tells a connection that it is dropped.
#[derive(Debug, Default)]
struct DropSignal {
    changed: Notify,
    is_dropped: Cell<bool>,
}

/// What one connection uses of the budget.
#[derive(Debug)]
pub struct ConnectionShare {
    budget: Rc<ClientBudget>,
    held: Cell<usize>,
    id: u64,
    signal: Rc<DropSignal>,
}

impl ClientBudget {
    /// Creates the budget of a process without connections.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Rc<Self> {
        Rc::new(Self {
            counts: Cell::default(),
            ledger: RefCell::new(ClientLedger::new(limits)),
            released: Notify::new(),
            signals: RefCell::default(),
            started_at: Instant::now(),
        })
    }

    /// Returns what has happened to the clients so far.
    #[must_use]
    pub fn counts(&self) -> BudgetCounts {
        let ledger = self.ledger.borrow();
        BudgetCounts {
            held_bytes: ledger.held_bytes() as u64,
            open_connections: ledger.connections() as u64,
            ..self.counts.get()
        }
    }

    /// Admits a connection; `None` if it has to be closed.
    #[must_use]
    pub fn admit(self: &Rc<Self>, kind: ClientKind) -> Option<Rc<ConnectionShare>> {
        let mut dropped = Vec::new();
        let now = self.started_at.elapsed();
        let id = self.ledger.borrow_mut().admit(now, kind, CONNECTION_BYTES, &mut dropped);
        self.count(|counts| counts.dropped_connections += dropped.len() as u64);
        self.notify_dropped(&dropped);
        let Some(id) = id else {
            self.count(|counts| counts.refused_connections += 1);
            return None;
        };
        let signal = Rc::new(DropSignal::default());
        self.signals.borrow_mut().push((id, Rc::clone(&signal)));
        let held = Cell::new(CONNECTION_BYTES);
        Some(Rc::new(ConnectionShare { budget: Rc::clone(self), held, id, signal }))
    }

    /// Changes the counts.
    fn count(&self, change: impl FnOnce(&mut BudgetCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Tells connections that they are dropped.
    fn notify_dropped(&self, dropped: &[u64]) {
        let signals = self.signals.borrow();
        for id in dropped {
            if let Ok(position) = signals.binary_search_by_key(id, |(other, _)| *other) {
                signals[position].1.is_dropped.set(true);
                signals[position].1.changed.notify_waiters();
            }
        }
    }
}

/// Logs what has happened to a budget's clients, at most once in 5 s, until the process ends.
pub async fn log_client_counts(budget: Rc<ClientBudget>) {
    let mut logged = BudgetCounts::default();
    loop {
        sleep(LOG_INTERVAL).await;
        let counts = budget.counts();
        let current = BudgetCounts { held_bytes: 0, open_connections: 0, ..counts };
        if current != logged {
            log::warn!("clients were dropped or refused, in all since the start: {counts:?}");
            logged = current;
        }
    }
}

impl ConnectionShare {
    /// Sets the bytes that the connection uses beside its own, and waits until dropped clients have
    /// made room for them.
    ///
    /// # Errors
    /// `NoMemory` if there is no room or the connection is dropped itself.
    pub(crate) async fn hold(&self, bytes: usize) -> Result<(), HttpFault> {
        let bytes = CONNECTION_BYTES + bytes.next_multiple_of(HOLD_UNIT);
        while bytes != self.held.get() {
            let released = self.budget.released.notified();
            match self.try_hold(bytes) {
                HoldDecision::Granted => return Ok(()),
                // Dropped clients have been counted already.
                HoldDecision::Refused if self.signal.is_dropped.get() => {
                    return Err(HttpFault::NoMemory);
                }
                HoldDecision::Refused => {
                    self.budget.count(|counts| counts.refused_bodies += 1);
                    return Err(HttpFault::NoMemory);
                }
                HoldDecision::Wait => monoio::select! {
                    () = self.dropped() => return Err(HttpFault::NoMemory),
                    () = released => {}
                },
            }
        }
        Ok(())
    }

    /// Like [`Self::hold`], but waits also while there is nothing to drop.
    ///
    /// # Errors
    /// `NoMemory` if the connection is dropped itself.
    pub(crate) async fn hold_patiently(&self, bytes: usize) -> Result<(), HttpFault> {
        let bytes = CONNECTION_BYTES + bytes.next_multiple_of(HOLD_UNIT);
        while bytes != self.held.get() {
            let released = self.budget.released.notified();
            if self.try_hold(bytes) == HoldDecision::Granted {
                return Ok(());
            }
            monoio::select! {
                () = self.dropped() => return Err(HttpFault::NoMemory),
                // A client that is dropped for this one may stall only after a while.
                _ = timeout(RETRY_INTERVAL, released) => {}
            }
        }
        Ok(())
    }

    /// Gives back the bytes above `bytes` that the connection uses beside its own.
    pub(crate) fn shrink(&self, bytes: usize) {
        let bytes = CONNECTION_BYTES + bytes.next_multiple_of(HOLD_UNIT);
        if bytes < self.held.get() {
            self.try_hold(bytes);
        }
    }

    /// Resolves when the connection is dropped.
    pub async fn dropped(&self) {
        loop {
            let changed = self.signal.changed.notified();
            if self.signal.is_dropped.get() {
                return;
            }
            changed.await;
        }
    }

    /// Records what the connection does from now on.
    pub fn set_stage(&self, stage: ClientStage) {
        let now = self.budget.started_at.elapsed();
        self.budget.ledger.borrow_mut().set_stage(now, self.id, stage);
    }

    /// Records that the connection has made progress.
    pub(crate) fn record_progress(&self) {
        let now = self.budget.started_at.elapsed();
        self.budget.ledger.borrow_mut().record_progress(now, self.id);
    }

    /// Counts a body that made no progress for the body timeout.
    pub(crate) fn count_stalled(&self) {
        self.budget.count(|counts| counts.stalled_bodies += 1);
    }

    /// Asks the ledger for the bytes once.
    fn try_hold(&self, bytes: usize) -> HoldDecision {
        let mut dropped = Vec::new();
        let now = self.budget.started_at.elapsed();
        let decision = self.budget.ledger.borrow_mut().hold(now, self.id, bytes, &mut dropped);
        if decision == HoldDecision::Granted && bytes < self.held.get() {
            self.budget.released.notify_waiters();
        }
        if decision == HoldDecision::Granted {
            self.held.set(bytes);
        }
        dropped.retain(|id| *id != self.id);
        self.budget.count(|counts| counts.dropped_bodies += dropped.len() as u64);
        self.budget.notify_dropped(&dropped);
        decision
    }
}

impl Drop for ConnectionShare {
    fn drop(&mut self) {
        self.budget.ledger.borrow_mut().remove(self.id);
        let mut signals = self.budget.signals.borrow_mut();
        if let Ok(position) = signals.binary_search_by_key(&self.id, |(id, _)| *id) {
            signals.remove(position);
        }
        self.budget.released.notify_waiters();
    }
}
