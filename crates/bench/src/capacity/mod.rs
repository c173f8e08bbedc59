//! Estimates resource use at the design size from costs per unit measured on this machine.

mod capacity_slopes;
mod capacity_table;
mod slope_measurement;

pub use self::capacity_slopes::CapacitySlopes;
pub use self::capacity_table::capacity_table;
pub use self::slope_measurement::measure_slopes;
