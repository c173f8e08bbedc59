//! Target selection, health checks and outlier detection at an entry.

mod outlier_detector;
mod retry_budget;
mod route_request;
mod status_poller;
mod target_router;
mod target_subset;
mod target_table;

pub use self::outlier_detector::OutlierDetector;
pub use self::retry_budget::RetryBudget;
pub use self::route_request::RouteRequest;
pub use self::route_request::RoutingPolicy;
pub use self::status_poller::StatusPoller;
pub use self::target_router::TargetRouter;
pub use self::target_subset::pick_subset;
pub use self::target_subset::status_polls_per_second;
pub use self::target_subset::subset_size;
pub use self::target_table::TargetListing;
pub use self::target_table::TargetRow;
pub use self::target_table::TargetTable;
