//! Events of all processes, in one causal order.
//!
//! Every process writes its events as JSON lines with a hybrid logical clock that travels with
//! each message. The merge sorts by that clock, so an effect never stands before its cause.

mod event_log;
mod event_merge;
mod event_record;
mod event_render;
mod line_log;

pub use crate::event_log::EventLog;
pub use crate::event_merge::MergedTimeline;
pub use crate::event_record::EventKind;
pub use crate::event_record::EventRecord;
pub use crate::event_render::render_html;
pub use crate::event_render::render_text;
pub use crate::line_log::LineLog;
pub use crate::line_log::LinePriority;
