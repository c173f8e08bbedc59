//! Server processes behind fault-injecting proxies, under kills, freezes and outages.

mod batch_faults;
mod online_faults;

/// Path of the server binary.
const BINARY: &str = env!("CARGO_BIN_EXE_clementinevale");
