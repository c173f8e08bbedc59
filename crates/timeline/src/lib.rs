//! Events of all processes, merged in causal order.
//!
//! Every process writes its events as JSON lines with the timestamp of a hybrid logical clock,
//! which is passed along with each message. The merge sorts by these timestamps, so an effect never
//! precedes its cause.

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
