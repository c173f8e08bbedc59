//! Threads with their own runtime.

use std::fmt;
use std::future::Future;
use std::io;
use std::sync::OnceLock;
use std::thread::JoinHandle;

use monoio::LegacyDriver;
use monoio::RuntimeBuilder;
use tokio::runtime::Handle;

use crate::ShutdownSignal;

/// The Tokio runtime that drives the timers of `tarpc`, shared by all threads.
static TIMER_RUNTIME: OnceLock<tokio::runtime::Runtime> = OnceLock::new();

/// Why a runtime could not be started.
#[derive(Debug)]
pub struct RuntimeFault(io::Error);

impl fmt::Display for RuntimeFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the runtime cannot be started: {}", self.0)
    }
}

impl std::error::Error for RuntimeFault {}

/// Runs a future that may call peers through `tarpc` to completion on the current thread.
///
/// # Errors
/// Fails if the system provides no event queue or thread for a runtime.
pub fn block_on_with_tarpc<F: Future>(future: F) -> Result<F::Output, RuntimeFault> {
    let handle = timer_handle().map_err(RuntimeFault)?;
    let _guard = handle.enter();
    block_on(future)
}

/// Runs a future that makes no calls through `tarpc` to completion on the current thread.
///
/// Unlike [`block_on_with_tarpc`], it starts no Tokio runtime, whose thread costs memory.
///
/// # Errors
/// Fails if the system provides no event queue for the runtime.
pub fn block_on<F: Future>(future: F) -> Result<F::Output, RuntimeFault> {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    let mut runtime = builder.build().map_err(RuntimeFault)?;
    Ok(runtime.block_on(future))
}

/// Returns a handle of the timer runtime, which has one thread and starts on the first call.
fn timer_handle() -> io::Result<Handle> {
    if let Some(runtime) = TIMER_RUNTIME.get() {
        return Ok(runtime.handle().clone());
    }
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(1).thread_name("timers").enable_time().build()?;
    Ok(TIMER_RUNTIME.get_or_init(|| runtime).handle().clone())
}

/// A thread that serves until its shutdown signal is triggered.
#[derive(Debug)]
pub struct ServingThread {
    join: Option<JoinHandle<()>>,
    shutdown: ShutdownSignal,
}

impl ServingThread {
    /// Starts a thread that runs the future which `start` returns for the shutdown signal.
    ///
    /// # Panics
    /// Panics if the thread cannot be started.
    pub fn spawn<S, F>(name: &str, start: S) -> Self
    where
        S: FnOnce(ShutdownSignal) -> F + Send + 'static,
        F: Future<Output = ()>,
    {
        let shutdown = ShutdownSignal::new();
        let signal = shutdown.clone();
        let body = move || {
            if let Err(fault) = block_on_with_tarpc(start(signal)) {
                log::error!("a serving thread ends: {fault}");
            }
        };
        let join = std::thread::Builder::new().name(name.to_owned()).spawn(body);
        Self { join: Some(join.expect("the serving thread cannot be started")), shutdown }
    }

    /// Triggers the shutdown signal without waiting.
    pub fn request_shutdown(&self) {
        self.shutdown.trigger();
    }

    /// Returns whether the thread has ended.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.join.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Waits until the thread ends, by itself or after its shutdown signal.
    pub fn wait(mut self) {
        self.join_thread();
    }

    /// Triggers the shutdown signal and waits until the thread has ended.
    pub fn join(mut self) {
        self.stop();
    }

    /// Triggers the shutdown signal and waits until the thread has ended.
    fn stop(&mut self) {
        self.shutdown.trigger();
        self.join_thread();
    }

    /// Waits until the thread has ended.
    fn join_thread(&mut self) {
        if let Some(join) = self.join.take()
            && join.join().is_err()
        {
            log::error!("a serving thread panicked");
        }
    }
}

impl Drop for ServingThread {
    fn drop(&mut self) {
        self.stop();
    }
}
