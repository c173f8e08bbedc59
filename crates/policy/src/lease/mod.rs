//! Lease expiry by the holder's monotonic clock.

mod lease_clock;

pub use self::lease_clock::LeaseClock;
