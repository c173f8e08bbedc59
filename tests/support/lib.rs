//! What the integration tests share.

mod process_fleet;
mod server_process;
mod small_fleet;

pub use crate::process_fleet::ProcessFleet;
pub use crate::server_process::ServerProcess;
pub use crate::small_fleet::SmallFleet;
pub use crate::small_fleet::call_once;
pub use rustix::process::Signal;
