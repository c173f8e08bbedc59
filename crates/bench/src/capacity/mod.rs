//! What the system needs at the size of the users' letter, from slopes measured here.

mod capacity_slopes;
mod capacity_table;
mod slope_measurement;

pub use self::capacity_slopes::CapacitySlopes;
pub use self::capacity_table::capacity_table;
pub use self::slope_measurement::measure_slopes;
