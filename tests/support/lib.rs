//! What the integration tests share.

mod small_fleet;

pub use crate::small_fleet::SmallFleet;
pub use crate::small_fleet::call_once;
