//! Shutdown and reload signals of a process.

use std::io;

use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use tokio::sync::watch;

/// Stack size of the thread that waits for signals, in bytes; it may parse a settings file.
const STACK_BYTES: usize = 256 * 1024;

/// A one-time signal to shut down; clones share it, also across threads.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    sender: std::sync::Arc<watch::Sender<bool>>,
}

impl ShutdownSignal {
    /// Creates a signal that has not been triggered.
    #[must_use]
    pub fn new() -> Self {
        Self { sender: std::sync::Arc::new(watch::channel(false).0) }
    }

    /// Triggers the signal.
    pub fn trigger(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether the signal has been triggered.
    #[must_use]
    pub fn is_triggered(&self) -> bool {
        *self.sender.borrow()
    }

    /// Resolves when the signal has been triggered.
    pub async fn triggered(&self) {
        let mut receiver = self.sender.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = receiver.wait_for(|is_triggered| *is_triggered).await;
    }
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        Self::new()
    }
}

/// Triggers the signal when the process receives `SIGINT` or `SIGTERM`; further ones have no
/// effect.
///
/// # Errors
/// Fails if the signal handlers cannot be installed or the thread cannot be started.
pub fn watch_termination(shutdown: ShutdownSignal) -> io::Result<()> {
    watch_signals(shutdown, None::<fn()>)
}

/// Triggers the signal when the process receives `SIGINT` or `SIGTERM`, and calls `reload`, if
/// given, when it receives `SIGHUP`, which announces changed settings.
///
/// # Errors
/// Fails if the signal handlers cannot be installed or the thread cannot be started.
pub fn watch_signals<R>(shutdown: ShutdownSignal, reload: Option<R>) -> io::Result<()>
where
    R: Fn() + Send + 'static,
{
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    if reload.is_some() {
        signals.add_signal(SIGHUP)?;
    }
    let thread = std::thread::Builder::new().name("signals".to_owned()).stack_size(STACK_BYTES);
    thread.spawn(move || {
        for signal in signals.forever() {
            match &reload {
                Some(reload) if signal == SIGHUP => reload(),
                _ => shutdown.trigger(),
            }
        }
    })?;
    Ok(())
}
