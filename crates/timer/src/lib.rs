//! The timer service to which the components of a process subscribe.
//!
//! One task wakes all subscribers, each once per period. Components that need only the current time
//! read the service's clock.

mod process_clock;
mod timer_service;

pub use crate::process_clock::ProcessClock;
pub use crate::process_clock::processor_time;
pub use crate::timer_service::TimerService;
pub use crate::timer_service::TimerSubscription;
