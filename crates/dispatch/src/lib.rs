//! Scheduling decisions of a deployment that keeps its configuration and targets in a coordination
//! store.
//!
//! Covers routes, the choice of targets, the slot queue in front of each model engine, retry advice
//! and the state of batch jobs. This crate performs no I/O and reads no clock; the serving crate
//! passes in events and times.

mod batch_order;
mod deferred_removals;
mod event_parser;
mod job_replication;
mod job_tracker;
mod keeper_set;
mod placement;
mod prompt_part;
mod quarantine_record;
mod quarantine_row;
mod quarantine_table;
mod reservation_round;
mod reservation_table;
mod retry_advice;
mod retry_detector;
mod route_table;
mod run_estimate;
mod run_schedule;
mod run_watch;
mod sidecar_subscriptions;
mod slot_queue;
mod target_table;
mod wait_policy;

pub use crate::batch_order::BatchOrder;
pub use crate::deferred_removals::DeferredRemovals;
pub use crate::event_parser::EventParser;
pub use crate::event_parser::StreamEvent;
pub use crate::job_replication::ItemUpdate;
pub use crate::job_replication::JobUpdate;
pub use crate::job_replication::ProgressMark;
pub use crate::job_replication::ReplicaProgress;
pub use crate::job_tracker::ItemOutcome;
pub use crate::job_tracker::ItemProgress;
pub use crate::job_tracker::ItemResult;
pub use crate::job_tracker::ItemSpec;
pub use crate::job_tracker::ItemState;
pub use crate::job_tracker::JobSpec;
pub use crate::job_tracker::JobTracker;
pub use crate::job_tracker::ResultSegment;
pub use crate::keeper_set::KeeperRecord;
pub use crate::keeper_set::KeeperSet;
pub use crate::placement::PlacementPolicy;
pub use crate::placement::PlacementRequest;
pub use crate::placement::TargetChoice;
pub use crate::prompt_part::PromptPart;
pub use crate::quarantine_record::QuarantineRecord;
pub use crate::quarantine_row::EngineLoss;
pub use crate::quarantine_table::QuarantineChanges;
pub use crate::quarantine_table::QuarantineDecision;
pub use crate::quarantine_table::QuarantineTable;
pub use crate::reservation_round::ReservationRound;
pub use crate::reservation_round::RoundDecision;
pub use crate::reservation_table::ReservationId;
pub use crate::reservation_table::ReservationReply;
pub use crate::reservation_table::ReservationTable;
pub use crate::retry_advice::RetryAdvice;
pub use crate::retry_detector::RetryDetector;
pub use crate::route_table::CallerLimits;
pub use crate::route_table::RouteKind;
pub use crate::route_table::RouteRule;
pub use crate::route_table::RouteTable;
pub use crate::route_table::ServiceRule;
pub use crate::route_table::ServiceShare;
pub use crate::run_estimate::RunEstimate;
pub use crate::run_schedule::RunId;
pub use crate::run_schedule::RunSchedule;
pub use crate::run_watch::RunWatch;
pub use crate::run_watch::SURVIVAL_TIME;
pub use crate::run_watch::WatchedRun;
pub use crate::run_watch::WatchedRunId;
pub use crate::sidecar_subscriptions::SidecarSubscriptions;
pub use crate::slot_queue::AdmissionDecision;
pub use crate::slot_queue::AdmissionOptions;
pub use crate::slot_queue::LoadReport;
pub use crate::slot_queue::QueueCommand;
pub use crate::slot_queue::SlotQueue;
pub use crate::target_table::TargetRecord;
pub use crate::target_table::TargetRow;
pub use crate::target_table::TargetState;
pub use crate::target_table::TargetTable;
pub use crate::wait_policy::WaitPolicy;
