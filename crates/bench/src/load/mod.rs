//! Load generators and clients that check every response.

mod address_book;
mod batch_audit;
mod batch_client;
mod call_outcome;
mod completion_call;
mod load_report;
mod open_load;
mod prompt_source;
mod service_call;

pub use self::address_book::AddressBook;
pub use self::batch_audit::BatchAudit;
pub use self::batch_client::BatchClient;
pub use self::call_outcome::CallOutcome;
pub use self::call_outcome::CallRecord;
pub use self::completion_call::CompletionCall;
pub use self::load_report::GuaranteeCounts;
pub use self::load_report::LoadReport;
pub use self::open_load::LoadPlan;
pub use self::open_load::run_closed_load;
pub use self::open_load::run_open_load;
pub use self::prompt_source::PromptSource;
pub use self::service_call::ServiceCall;
