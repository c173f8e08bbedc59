//! Parts a stream's bytes into events.

use memchr::memmem;

/// One complete event of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamEvent {
    /// The data lines, joined by line feeds.
    pub data: Vec<u8>,
    /// The event's number, if it has one.
    pub id: Option<u64>,
    /// The event as it was sent, with the empty line that ends it.
    pub raw: Vec<u8>,
}

/// Collects bytes until they make whole events.
#[derive(Clone, Debug, Default)]
pub struct EventParser {
    buffer: Vec<u8>,
}

impl EventParser {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let length = event_length(&self.buffer)?;
        let raw: Vec<u8> = self.buffer.drain(..length).collect();
        Some(parse_event(raw))
    }

    /// Tells whether part of an event is left over.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the length of the first event with the empty line that ends it.
fn event_length(buffer: &[u8]) -> Option<usize> {
    let plain = memmem::find(buffer, b"\n\n").map(|position| position + 2);
    let with_returns = memmem::find(buffer, b"\r\n\r\n").map(|position| position + 4);
    match (plain, with_returns) {
        (Some(first), Some(second)) => Some(first.min(second)),
        (first, second) => first.or(second),
    }
}

/// Reads the fields of an event.
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

/// Returns the value of a field's line, without the one space that may stand before it.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
