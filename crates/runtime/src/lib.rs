//! Asynchronous runtimes, serving threads and shutdown signals.
//!
//! Every serving thread runs one `monoio` runtime on epoll. The library's other driver is never
//! built, not even to detect whether the kernel supports it.

mod serving_thread;
mod shutdown_signal;

pub use crate::serving_thread::RuntimeFault;
pub use crate::serving_thread::ServingThread;
pub use crate::serving_thread::block_on;
pub use crate::serving_thread::block_on_with_tarpc;
pub use crate::shutdown_signal::ShutdownSignal;
pub use crate::shutdown_signal::watch_signals;
pub use crate::shutdown_signal::watch_termination;
