//! Merges the event files of many processes.

use crate::EventRecord;

/// Events of many processes in causal order.
#[derive(Clone, Debug, Default)]
pub struct MergedTimeline {
    events: Vec<EventRecord>,
    invalid_lines: usize,
}

impl MergedTimeline {
    /// Merges the texts of event files; lines that are not events are counted.
    pub fn from_texts<'a>(texts: impl IntoIterator<Item = &'a str>) -> Self {
        let mut timeline = Self::default();
        for line in texts.into_iter().flat_map(str::lines) {
            match serde_json::from_str(line) {
                Ok(event) => timeline.events.push(event),
                Err(_) => timeline.invalid_lines += 1,
            }
        }
        timeline
            .events
            .sort_by(|left, right| (left.clock, &left.process).cmp(&(right.clock, &right.process)));
        timeline
    }

    /// Keeps only the events about a request or job.
    #[must_use]
    pub fn about(mut self, subject: &str) -> Self {
        self.events.retain(|event| event.subject == subject);
        self
    }

    /// Returns the events in order.
    #[must_use]
    pub fn events(&self) -> &[EventRecord] {
        &self.events
    }

    /// Returns the number of lines that were not events; a torn last line is one.
    #[must_use]
    pub fn invalid_lines(&self) -> usize {
        self.invalid_lines
    }

    /// Returns the names of the processes, sorted.
    #[must_use]
    pub fn processes(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self.events.iter().map(|event| &*event.process).collect();
        names.sort_unstable();
        names.dedup();
        names
    }
}
