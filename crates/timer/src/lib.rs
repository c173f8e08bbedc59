//! The timer service that the parts of a process subscribe to.
//!
//! One task ticks; each subscriber names its period and is woken when that has passed. Parts that
//! need the time without waiting ask the service's clock.

mod process_clock;
mod timer_service;

pub use crate::process_clock::ProcessClock;
pub use crate::timer_service::TimerService;
pub use crate::timer_service::TimerSubscription;
