//! Online requests: from the caller's bytes to the whole answer.

mod answer_relay;
mod key_keepers;
mod online_driver;
mod online_request;
mod target_attempt;

pub(crate) use self::answer_relay::EventSplitter;
pub(crate) use self::answer_relay::GeneratedText;
pub(crate) use self::online_driver::OnlineDriver;
pub(crate) use self::online_request::CompletionOutline;
pub(crate) use self::online_request::OnlineRequest;
pub(crate) use self::online_request::continued_body;
