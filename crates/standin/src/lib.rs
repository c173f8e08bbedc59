//! Stand-ins for the systems that the product depends on, for tests, experiments and the demo.
//!
//! Each implements the published protocol of the system that it replaces, over loopback sockets: a
//! model engine, a plain service, the platform's key-value service and its list of instances. A
//! fault-injecting proxy can be placed between any two processes.

mod engine;
mod fault_proxy;
mod instance_list;
mod json_response;
mod key_value;
mod plain_service;
mod raw_server;
mod silence_check;
mod unframed_response;

pub use crate::engine::EngineReport;
pub use crate::engine::EngineSettings;
pub use crate::engine::EngineStandin;
pub use crate::engine::expected_text;
pub use crate::fault_proxy::FaultMode;
pub use crate::fault_proxy::FaultProxy;
pub use crate::instance_list::InstanceListStandin;
pub use crate::instance_list::ListedInstance;
pub use crate::key_value::KeyValueFaults;
pub use crate::key_value::KeyValueStandin;
pub use crate::plain_service::ExecutionCounter;
pub use crate::plain_service::PlainServiceStandin;
pub use crate::raw_server::RawEnding;
pub use crate::raw_server::RawRequest;
pub use crate::raw_server::RawResponder;
pub use crate::raw_server::RawResponse;
pub use crate::raw_server::RawServer;
