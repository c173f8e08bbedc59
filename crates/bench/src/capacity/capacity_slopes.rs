//! The measured slopes.

use serde::Deserialize;
use serde::Serialize;

/// Costs per unit, each measured by `cvctl capacity --measure`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct CapacitySlopes {
    /// Bytes of the configuration for each organisation.
    pub config_bytes_per_organisation: f64,
    /// Bytes of a job's journals for each item, on one replica.
    pub journal_bytes_per_item: f64,
    /// Processor time of one request through entry and sidecar, load and target included, in
    /// microseconds.
    pub request_us: f64,
    /// Processor time of one routing decision for each target of the service, in nanoseconds.
    pub route_ns_per_target: f64,
    /// Processor time of one idle sidecar in a second, in microseconds.
    pub sidecar_idle_us: f64,
    /// Memory of one idle sidecar beyond the first, in kilobytes.
    pub sidecar_kb: f64,
    /// Bytes on the network for one status call, both directions and all headers.
    pub status_bytes: f64,
    /// Processor time of one status call, both ends together, in microseconds.
    pub status_us: f64,
    /// Memory of one target in an entry's table, in bytes.
    pub target_row_bytes: f64,
    /// Processor time of one streamed token from engine to caller, all processes together, in
    /// microseconds.
    pub token_us: f64,
}
