//! A sidecar's decision of what its target runs next.
//!
//! The engine admits requests as they arrive and knows no priority, so priority exists only before
//! it. Online requests wait in a short queue that is shared fairly between organisations and
//! refused early when their deadline cannot be met. Batch requests get only the slack that online
//! requests leave, and lose it at once when an online request would have to wait.

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
