//! Leases held by the monotonic clock of their holder.

mod lease_clock;

pub use self::lease_clock::LeaseClock;
