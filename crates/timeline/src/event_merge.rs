//! Merges the event files of many processes.

use crate::EventRecord;

/// Time around the events of a subject in which changes of belief may explain them.
const AROUND_MS: u64 = 3_000;

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
            // Whoever collects the lines may have put the time or the process before them.
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

    /// Keeps only the events about a request or job.
    #[must_use]
    pub fn for_subject(mut self, subject: &str) -> Self {
        self.events.retain(|event| event.subject == subject);
        self
    }

    /// Keeps the events about a request, job or item, and around them those that tell what the
    /// processes concerned came to believe.
    #[must_use]
    pub fn explain(mut self, subject: &str) -> Self {
        let names = |event: &EventRecord| {
            event.subject == subject
                || event
                    .detail
                    .split(' ')
                    .any(|word| word.split_once('=').is_some_and(|(_, value)| value == subject))
        };
        let concerned: Vec<EventRecord> =
            self.events.iter().filter(|event| names(event)).cloned().collect();
        let (Some(first), Some(last)) = (concerned.first(), concerned.last()) else {
            self.events.clear();
            return self;
        };
        let (from, to) =
            (first.clock.wall_millis().saturating_sub(AROUND_MS), last.clock.wall_millis());
        self.events.retain(|event| {
            let is_near = (from..=to + AROUND_MS).contains(&event.clock.wall_millis());
            let is_concerned = concerned.iter().any(|other| other.process == event.process);
            names(event) || (is_near && is_concerned && event.kind.is_state_change())
        });
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
