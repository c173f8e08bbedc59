//! Starts the asynchronous runtime of a thread.
//!
//! Every serving thread runs one `monoio` runtime on epoll. The other driver of the library is
//! never built, not even to look whether the kernel offers it.

mod serving_thread;
mod shutdown_signal;

pub use crate::serving_thread::RuntimeFault;
pub use crate::serving_thread::ServingThread;
pub use crate::serving_thread::block_on;
pub use crate::serving_thread::block_on_with_tarpc;
pub use crate::shutdown_signal::ShutdownSignal;
pub use crate::shutdown_signal::watch_signals;
pub use crate::shutdown_signal::watch_termination;
