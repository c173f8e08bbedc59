//! The retry logic of an online request at an entry.

mod request_flow;

pub use self::request_flow::FlowCommand;
pub use self::request_flow::FlowEvent;
pub use self::request_flow::FlowSettings;
pub use self::request_flow::RequestFlow;
