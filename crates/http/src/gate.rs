//! Graceful shutdown of a server.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use monoio::time::sleep;
use monoio::time::timeout;
use tokio::sync::Notify;

/// Time before the exit at which the last responses are sent.
const LAST_RESPONSE_TIME: Duration = Duration::from_millis(150);

/// Counts a server's running exchanges and ends its idle connections on shutdown; clones share
/// the state.
#[derive(Clone, Debug, Default)]
pub struct DrainGate {
    state: Rc<GateState>,
}

/// State shared by the clones of a gate.
#[derive(Debug, Default)]
struct GateState {
    active: Cell<usize>,
    changed: Notify,
    closing: Cell<bool>,
    draining: Cell<bool>,
    /// When the process exits, once it shuts down.
    exits_at: Cell<Option<Instant>>,
}

impl DrainGate {
    /// Returns whether the shutdown has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.state.draining.get()
    }

    /// Closes each connection after its next response; new connections are still accepted. The process
    /// exits at `exits_at`, whatever runs then.
    pub fn start_closing(&self, exits_at: Instant) {
        self.state.closing.set(true);
        self.state.exits_at.set(Some(exits_at));
        self.state.changed.notify_waiters();
    }

    /// Returns the time until the process exits, or `None` if it does not shut down.
    #[must_use]
    pub fn grace_left(&self) -> Option<Duration> {
        let exits_at = self.state.exits_at.get()?;
        Some(exits_at.saturating_duration_since(Instant::now()))
    }

    /// Resolves when the process is about to exit, with just the time left to send a response.
    pub async fn exit_near(&self) {
        loop {
            let changed = self.state.changed.notified();
            match self.grace_left() {
                Some(left) if left <= LAST_RESPONSE_TIME => return,
                Some(left) => sleep(left.saturating_sub(LAST_RESPONSE_TIME)).await,
                None => changed.await,
            }
        }
    }

    /// Returns whether responses close their connection.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.state.closing.get() || self.is_draining()
    }

    /// Begins the shutdown: closes idle connections and accepts no new ones.
    pub fn start_drain(&self) {
        self.state.draining.set(true);
        self.state.changed.notify_waiters();
    }

    /// Returns the number of running exchanges.
    #[must_use]
    pub fn active_exchanges(&self) -> usize {
        self.state.active.get()
    }

    /// Resolves when the shutdown begins.
    pub async fn drain_started(&self) {
        loop {
            let changed = self.state.changed.notified();
            if self.is_draining() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until no exchange runs, for at most `limit`; returns whether none is left.
    pub async fn wait_until_idle(&self, limit: Duration) -> bool {
        timeout(limit, self.idle()).await.is_ok()
    }

    /// Counts an exchange as running until the returned guard is dropped.
    #[must_use]
    pub fn track_exchange(&self) -> ExchangeGuard {
        self.state.active.set(self.state.active.get() + 1);
        ExchangeGuard { gate: self.clone() }
    }

    /// Resolves when no exchange runs.
    async fn idle(&self) {
        loop {
            let changed = self.state.changed.notified();
            if self.active_exchanges() == 0 {
                return;
            }
            changed.await;
        }
    }
}

/// Counts one exchange as running until it is dropped.
#[derive(Debug)]
pub struct ExchangeGuard {
    gate: DrainGate,
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        let state = &self.gate.state;
        state.active.set(state.active.get() - 1);
        if state.active.get() == 0 {
            state.changed.notify_waiters();
        }
    }
}
