//! Online requests, from the caller's request to the complete response.

mod event_parser;
mod key_claim;
mod online_driver;
mod online_request;
mod target_attempt;

pub(crate) use self::event_parser::EventParser;
pub(crate) use self::event_parser::GeneratedText;
pub(crate) use self::online_driver::OnlineDriver;
pub(crate) use self::online_request::CompletionOutline;
pub(crate) use self::online_request::OnlineRequest;
pub(crate) use self::online_request::continuation_body;
