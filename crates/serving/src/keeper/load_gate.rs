//! Holds tasks back until something has been loaded for the first time.

use std::cell::Cell;

use tokio::sync::Notify;

/// Opens once and for all.
#[derive(Debug, Default)]
pub(crate) struct LoadGate {
    is_open: Cell<bool>,
    opened: Notify,
}

impl LoadGate {
    /// Lets all tasks pass from now on.
    pub fn open(&self) {
        self.is_open.set(true);
        self.opened.notify_waiters();
    }

    /// Waits until the gate is open.
    pub async fn wait(&self) {
        loop {
            let opened = self.opened.notified();
            if self.is_open.get() {
                return;
            }
            opened.await;
        }
    }
}
