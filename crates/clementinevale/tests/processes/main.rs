//! The real processes behind fault-injecting proxies: kills, freezes, outages.

mod batch_faults;
mod online_faults;

/// The server's binary.
const BINARY: &str = env!("CARGO_BIN_EXE_clementinevale");
