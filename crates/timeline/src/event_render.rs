//! Renders a merged time line as text or HTML.

use std::fmt::Write;

use crate::EventRecord;
use crate::MergedTimeline;

/// Width of one process's lane, in pixels.
const LANE_WIDTH: usize = 180;

/// Height of one event's row, in pixels.
const ROW_HEIGHT: usize = 22;

/// Height of the lane titles, in pixels.
const TITLE_HEIGHT: usize = 40;

/// Width of the column that shows the time, in pixels.
const TIME_WIDTH: usize = 110;

/// Renders one line per event, with times in milliseconds since the first event.
#[must_use]
pub fn render_text(timeline: &MergedTimeline) -> String {
    let mut text = String::new();
    let first = first_millis(timeline);
    for event in timeline.events() {
        let since = event.clock.wall_millis() - first;
        let EventRecord { detail, process, subject, .. } = event;
        let kind = kind_name(event);
        let _ = writeln!(text, "{since:>8} ms  {process:<16} {kind:<18} {subject} {detail}");
    }
    text
}

/// Renders a self-contained HTML page with one lane per process.
#[must_use]
pub fn render_html(timeline: &MergedTimeline) -> String {
    let processes = timeline.processes();
    let first = first_millis(timeline);
    let width = TIME_WIDTH + LANE_WIDTH * processes.len();
    let height = TITLE_HEIGHT + ROW_HEIGHT * (timeline.events().len() + 1);
    let mut page = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>clementinevale time line</title>\
         <style>body{font:13px sans-serif}text{font:11px monospace}.lane{stroke:#bbb}</style>",
    );
    let _ = write!(page, "<svg width=\"{width}\" height=\"{height}\">");
    for (index, process) in processes.iter().enumerate() {
        let x = lane_center(index);
        let _ = write!(
            page,
            "<text x=\"{x}\" y=\"20\" text-anchor=\"middle\">{}</text>\
             <line class=\"lane\" x1=\"{x}\" x2=\"{x}\" y1=\"{TITLE_HEIGHT}\" y2=\"{height}\"/>",
            escape(process)
        );
    }
    for (row, event) in timeline.events().iter().enumerate() {
        let lane = processes.binary_search(&&*event.process).unwrap_or(0);
        let x = lane_center(lane);
        let y = TITLE_HEIGHT + ROW_HEIGHT * (row + 1);
        let since = event.clock.wall_millis() - first;
        let label = format!("{} {} {}", kind_name(event), event.subject, event.detail);
        let _ = write!(
            page,
            "<text x=\"0\" y=\"{y}\">{since} ms</text><circle cx=\"{x}\" cy=\"{y}\" r=\"4\"/>\
             <text x=\"{}\" y=\"{}\">{}</text>",
            x + 8,
            y + 4,
            escape(&label)
        );
    }
    page.push_str("</svg>");
    page
}

/// Returns the wall-clock time of the first event in milliseconds, or 0 if there is none.
fn first_millis(timeline: &MergedTimeline) -> u64 {
    timeline.events().first().map_or(0, |event| event.clock.wall_millis())
}

/// Returns the middle of a lane, in pixels.
fn lane_center(index: usize) -> usize {
    TIME_WIDTH + LANE_WIDTH * index + LANE_WIDTH / 2
}

/// Returns the name of an event's kind as in the event files.
fn kind_name(event: &EventRecord) -> String {
    let json = serde_json::to_string(&event.kind).unwrap_or_default();
    json.trim_matches('"').to_owned()
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
