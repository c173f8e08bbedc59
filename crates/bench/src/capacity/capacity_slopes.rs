//! Measured resource costs per unit of load or size.

use serde::Deserialize;
use serde::Serialize;

/// Resource costs per unit, measured by `cvctl capacity --measure`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct CapacitySlopes {
    /// Size of the configuration per organisation, in bytes.
    pub config_bytes_per_organisation: f64,
    /// Size of a job's journal per item on one replica, in bytes.
    pub journal_bytes_per_item: f64,
    /// CPU time of one request through entry and sidecar, including load generator and target, in
    /// microseconds.
    pub request_us: f64,
    /// Elapsed time of one routing decision per target of the service, in nanoseconds.
    pub route_ns_per_target: f64,
    /// CPU time of one idle sidecar per second, in microseconds.
    pub sidecar_idle_us: f64,
    /// Resident memory of one more idle sidecar in the same process, in kilobytes.
    pub sidecar_kb: f64,
    /// Network bytes of one status poll, in both directions and with all headers.
    pub status_bytes: f64,
    /// CPU time of one status poll at both ends together, in microseconds.
    pub status_us: f64,
    /// Resident memory of one target in an entry's target table, in bytes.
    pub target_row_bytes: f64,
    /// CPU time of one streamed token from engine to caller, all processes together, in
    /// microseconds.
    pub token_us: f64,
}
