//! HTTP/1.1 client and server connections with limits.
//!
//! Messages are parsed by the decoders of `monoio-http`. This crate adds what they leave to their
//! caller: limits on heads and bodies, timeouts, rejection of ambiguous framing, detection of
//! truncated messages, and connection reuse.

mod body_buffer;
mod budget_limits;
mod carried_ids;
mod chunk_decoder;
mod client;
mod client_budget;
mod client_ledger;
mod connection_use;
mod exchange;
mod fault;
mod framing;
mod gate;
mod limits;
mod pool;
mod reader;
mod server;
mod stream_tail;
mod turn_budget;
mod writer;

pub use crate::budget_limits::BudgetLimits;
pub use crate::chunk_decoder::ChunkDecoder;
pub use crate::chunk_decoder::ChunkStep;
pub use crate::client::ClientConnection;
pub use crate::client::ClientRequest;
pub use crate::client::ClientResponse;
pub use crate::client::SendFault;
pub use crate::client_budget::BudgetCounts;
pub use crate::client_budget::ClientBudget;
pub use crate::client_budget::ConnectionShare;
pub use crate::client_budget::log_client_counts;
pub use crate::client_ledger::ClientKind;
pub use crate::client_ledger::ClientLedger;
pub use crate::client_ledger::ClientStage;
pub use crate::client_ledger::HoldDecision;
pub use crate::connection_use::ConnectionUse;
pub use crate::exchange::ResponseHold;
pub use crate::exchange::ServerExchange;
pub use crate::fault::HttpFault;
pub use crate::framing::BodyFraming;
pub use crate::gate::DrainGate;
pub use crate::limits::HttpLimits;
pub use crate::pool::ConnectionPool;
pub use crate::reader::HttpReader;
pub use crate::server::HttpServer;
pub use crate::server::RequestHandler;
pub use crate::server::bind_listener;
pub use crate::server::describe_listeners;
pub use crate::turn_budget::TurnBudget;
pub use crate::writer::HttpWriter;
