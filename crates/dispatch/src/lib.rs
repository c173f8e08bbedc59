//! Decisions of the deployment whose configuration and targets live in a coordination store.
//!
//! Routes, target placement, the queue beside a model target, retry advice and the books of batch
//! jobs. Nothing here reads a clock or opens a socket; the serving crate feeds events and times.

mod due_order;
mod event_splitter;
mod job_book;
mod job_copy;
mod keeper_ring;
mod patience_policy;
mod placement;
mod removal_hold;
mod retry_advice;
mod route_table;
mod run_estimate;
mod run_schedule;
mod slot_queue;
mod target_roster;

pub use crate::due_order::DueOrder;
pub use crate::event_splitter::EventSplitter;
pub use crate::event_splitter::StreamEvent;
pub use crate::job_book::ItemEnd;
pub use crate::job_book::ItemProgress;
pub use crate::job_book::ItemSpec;
pub use crate::job_book::ItemState;
pub use crate::job_book::JobBook;
pub use crate::job_book::JobSpec;
pub use crate::job_book::ListedResult;
pub use crate::job_book::ResultSegment;
pub use crate::job_copy::CopyLedger;
pub use crate::job_copy::ItemCopy;
pub use crate::job_copy::JobCopy;
pub use crate::job_copy::ProgressMark;
pub use crate::keeper_ring::KeeperRecord;
pub use crate::keeper_ring::KeeperRing;
pub use crate::patience_policy::PatiencePolicy;
pub use crate::patience_policy::ReturnDetector;
pub use crate::placement::PlacementPolicy;
pub use crate::placement::PlacementRequest;
pub use crate::placement::TargetChoice;
pub use crate::removal_hold::RemovalHold;
pub use crate::retry_advice::RetryAdvice;
pub use crate::route_table::CallerLimits;
pub use crate::route_table::RouteKind;
pub use crate::route_table::RouteRule;
pub use crate::route_table::RouteTable;
pub use crate::route_table::ServiceRule;
pub use crate::route_table::ServiceShare;
pub use crate::run_estimate::RunEstimate;
pub use crate::run_schedule::RunId;
pub use crate::run_schedule::RunSchedule;
pub use crate::slot_queue::ArrivalTerms;
pub use crate::slot_queue::QueueCommand;
pub use crate::slot_queue::QueueReading;
pub use crate::slot_queue::QueueVerdict;
pub use crate::slot_queue::SlotQueue;
pub use crate::target_roster::TargetRecord;
pub use crate::target_roster::TargetRoster;
pub use crate::target_roster::TargetRow;
pub use crate::target_roster::TargetState;
