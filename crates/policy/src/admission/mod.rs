//! Admission control of a sidecar: the requests that its target runs.
//!
//! The engine runs requests in order of arrival and has no priorities, so the sidecar applies them
//! before it. Online requests wait in a short queue with fair sharing between organisations and are
//! refused early if their deadline cannot be met. Batch requests use only the slack that online
//! requests leave, and are preempted as soon as an online request would have to wait.

mod admission_queue;
mod admission_settings;
mod concurrency_limit;
mod peak_window;
mod request_tables;
mod service_estimate;
mod share_table;

pub use self::admission_queue::AdmissionCommand;
pub use self::admission_queue::AdmissionEvent;
pub use self::admission_queue::AdmissionQueue;
pub use self::admission_settings::AdmissionSettings;
pub use self::admission_settings::LimitPolicy;
pub use self::admission_settings::QueueOrder;
pub use self::concurrency_limit::ConcurrencyLimit;
pub use self::peak_window::PeakWindow;
pub use self::request_tables::RequestArrival;
pub use self::service_estimate::ServiceEstimate;
pub use self::share_table::ShareTable;
