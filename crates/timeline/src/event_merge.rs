//! Merges the event files of several processes.

use crate::EventRecord;

/// Time before and after a subject's events in which state changes are shown with them.
const CONTEXT_MS: u64 = 3_000;

/// Events of several processes in causal order.
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
            // A log collector may have prefixed the line with the time or the process.
            let record = line.find('{').map_or(line, |start| &line[start..]);
            match serde_json::from_str(record) {
                Ok(event) => timeline.events.push(event),
                Err(_) => timeline.invalid_lines += 1,
            }
        }
        timeline
            .events
            .sort_by(|left, right| (left.clock, &left.process).cmp(&(right.clock, &right.process)));
        timeline
    }

    /// Keeps only the events whose subject is this request or job.
    #[must_use]
    pub fn for_subject(mut self, subject: &str) -> Self {
        self.events.retain(|event| event.subject == subject);
        self
    }

    /// Keeps the events that name a request, job or item, and the state changes that the processes
    /// of these events recorded at about the same time.
    #[must_use]
    pub fn explain(mut self, subject: &str) -> Self {
        let mentions = |event: &EventRecord| {
            event.subject == subject
                || event
                    .detail
                    .split(' ')
                    .any(|word| word.split_once('=').is_some_and(|(_, value)| value == subject))
        };
        let concerned: Vec<EventRecord> =
            self.events.iter().filter(|event| mentions(event)).cloned().collect();
        let (Some(first), Some(last)) = (concerned.first(), concerned.last()) else {
            self.events.clear();
            return self;
        };
        let (from, to) =
            (first.clock.wall_millis().saturating_sub(CONTEXT_MS), last.clock.wall_millis());
        self.events.retain(|event| {
            let is_near = (from..=to + CONTEXT_MS).contains(&event.clock.wall_millis());
            let is_concerned = concerned.iter().any(|other| other.process == event.process);
            mentions(event) || (is_near && is_concerned && event.kind.is_state_change())
        });
        self
    }

    /// Returns the events in order.
    #[must_use]
    pub fn events(&self) -> &[EventRecord] {
        &self.events
    }

    /// Returns the number of lines that were not events, such as an incomplete last line.
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
