//! Tells the parts of a process to shut down.

use std::io;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use tokio::sync::watch;

/// A signal that is given once; clones share it, over threads too.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    sender: std::sync::Arc<watch::Sender<bool>>,
}

impl ShutdownSignal {
    /// Creates a signal that has not been given.
    #[must_use]
    pub fn new() -> Self {
        Self { sender: std::sync::Arc::new(watch::channel(false).0) }
    }

    /// Gives the signal.
    pub fn give(&self) {
        self.sender.send_replace(true);
    }

    /// Tells whether the signal has been given.
    #[must_use]
    pub fn is_given(&self) -> bool {
        *self.sender.borrow()
    }

    /// Resolves when the signal has been given.
    pub async fn given(&self) {
        let mut receiver = self.sender.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = receiver.wait_for(|given| *given).await;
    }
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        Self::new()
    }
}

/// Gives the signal when the process is asked to terminate; further requests change nothing.
///
/// # Errors
/// Fails if the handlers cannot be installed.
pub fn watch_termination(shutdown: ShutdownSignal) -> io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for _ in signals.forever() {
            shutdown.give();
        }
    })?;
    Ok(())
}
