//! Incremental parser of server-sent event streams.

use memchr::memmem;

/// Longest event, in bytes. A stream that sends more without ending one holds no events.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Longest run of events without id, in bytes.
const MAX_UNNUMBERED_BYTES: usize = 1024 * 1024;

/// Longest run of events without id and data, in bytes. Streams hold comments and blank lines between
/// events, but not without end.
const MAX_BLANK_BYTES: usize = 16 * 1024;

/// One complete server-sent event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamEvent {
    /// The values of the `data` lines, joined by line feeds.
    pub data: Vec<u8>,
    /// The `id` field, if the event has one that is a number.
    pub id: Option<u64>,
    /// The event as it was received, including the blank line that ends it.
    pub raw: Vec<u8>,
}

/// Buffers a stream's bytes and splits them into complete events.
#[derive(Clone, Debug, Default)]
pub struct EventParser {
    /// Length of the events without id and data since the last other one.
    blank_bytes: usize,
    buffer: Vec<u8>,
    /// Length of the events at the start of the buffer that have been returned.
    consumed: usize,
    /// Position up to which the buffer holds no end of an event.
    searched: usize,
    /// Length of the events without id since the last other one.
    unnumbered_bytes: usize,
}

impl StreamEvent {
    /// Returns whether the event has neither an id nor data.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.id.is_none() && self.data.is_empty()
    }
}

impl EventParser {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        let consumed = std::mem::take(&mut self.consumed);
        self.buffer.drain(..consumed);
        self.searched -= consumed;
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, if the buffer holds one.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let Some(end) = event_end(&self.buffer, self.searched) else {
            // The bytes before the last three cannot begin the end of an event any more.
            self.searched = self.buffer.len().saturating_sub(3).max(self.consumed);
            return None;
        };
        let raw = self.buffer[self.consumed..end].to_vec();
        (self.consumed, self.searched) = (end, end);
        let event = parse_event(raw);
        if event.is_blank() {
            self.blank_bytes += event.raw.len();
        } else {
            self.blank_bytes = 0;
        }
        if event.id.is_none() {
            self.unnumbered_bytes += event.raw.len();
        } else {
            self.unnumbered_bytes = 0;
        }
        Some(event)
    }

    /// Returns whether an incomplete event, or a run of events that are blank or have no id, is longer
    /// than any may be. The stream has to be abandoned then, since its bytes may never end.
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() - self.consumed > MAX_EVENT_BYTES
            || self.blank_bytes > MAX_BLANK_BYTES
            || self.unnumbered_bytes > MAX_UNNUMBERED_BYTES
    }

    /// Returns whether bytes are buffered that [`Self::next_event`] has not returned.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        self.consumed < self.buffer.len()
    }
}

/// Returns the position behind the blank line that ends the first event, searching from `from`.
fn event_end(buffer: &[u8], from: usize) -> Option<usize> {
    let lf_end = memmem::find(&buffer[from..], b"\n\n").map(|position| from + position + 2);
    let searched = &buffer[from..lf_end.unwrap_or(buffer.len())];
    let crlf_end = memmem::find(searched, b"\r\n\r\n").map(|position| from + position + 4);
    match (lf_end, crlf_end) {
        (Some(lf_end), Some(crlf_end)) => Some(lf_end.min(crlf_end)),
        (lf_end, crlf_end) => lf_end.or(crlf_end),
    }
}

/// Parses the fields of an event.
fn parse_event(raw: Vec<u8>) -> StreamEvent {
    let mut event = StreamEvent::default();
    let mut has_data = false;
    for line in raw.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field_value(line, b"data") {
            if has_data {
                event.data.push(b'\n');
            }
            has_data = true;
            event.data.extend_from_slice(value);
        } else if let Some(value) = field_value(line, b"id") {
            event.id = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
        }
    }
    event.raw = raw;
    event
}

/// Returns the value of a line if it holds the named field, without one optional leading space.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
