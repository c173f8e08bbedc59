//! Parsing of streamed completions at event boundaries.

use bytes::Bytes;
use bytes::BytesMut;
use serde_json::Value;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Maximum size of the events that are kept for a continuation on another target, in bytes.
const MAX_HISTORY_BYTES: usize = 512 * 1024;

/// The event that ends a complete response.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// The first line of the event that ends a preempted response.
const PREEMPTED_LINE: &[u8] = b"event: preempted";

/// Splits a stream into complete events, so that an interrupted response can be continued exactly
/// after the last complete one.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    done: bool,
    /// The complete events so far; empty after an overflow.
    history: BytesMut,
    overflow: bool,
    preempted: bool,
    /// Bytes of the last, incomplete event.
    partial_event: BytesMut,
}

impl EventParser {
    /// Creates a parser that keeps no history, so that the response cannot be continued.
    pub fn without_history() -> Self {
        Self { overflow: true, ..Self::default() }
    }

    /// Appends a piece of the stream and returns the events that it completes.
    ///
    /// Returns `None` if an event exceeds the maximum size.
    pub fn push(&mut self, piece: &[u8]) -> Option<Bytes> {
        self.partial_event.extend_from_slice(piece);
        if self.partial_event.len() > MAX_EVENT_BYTES {
            return None;
        }
        let end = self
            .partial_event
            .windows(2)
            .rposition(|window| window == b"\n\n")
            .map_or(0, |at| at + 2);
        let events = self.partial_event.split_to(end).freeze();
        self.done |= events.ends_with(DONE_EVENT);
        self.preempted |= memchr::memmem::find(&events, PREEMPTED_LINE).is_some();
        self.append_history(&events);
        Some(events)
    }

    /// Returns whether the response is complete.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns whether the response was preempted and is to be continued later.
    pub fn is_preempted(&self) -> bool {
        self.preempted
    }

    /// Returns the complete events so far; `None` if their size exceeds the history's limit.
    pub fn history(&self) -> Option<&[u8]> {
        (!self.overflow).then_some(&self.history[..])
    }

    /// Discards the incomplete event.
    pub fn discard_partial_event(&mut self) {
        self.partial_event.clear();
    }

    /// Adds events to the history, or clears it if it would exceed its limit.
    fn append_history(&mut self, events: &[u8]) {
        if self.history.len() + events.len() > MAX_HISTORY_BYTES {
            self.overflow = true;
            self.history.clear();
        }
        if !self.overflow {
            self.history.extend_from_slice(events);
        }
    }
}

/// The generated text in a part of a streamed response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct GeneratedText {
    /// The `finish_reason` of the response, if it has ended.
    pub finish_reason: Option<String>,
    /// The text.
    pub text: String,
    /// Number of tokens; each event with text counts as one.
    pub tokens: usize,
}

impl GeneratedText {
    /// Extracts the text from the events of a streamed response.
    pub fn parse(events: &[u8]) -> Self {
        let mut generated = Self::default();
        for line in events.split(|byte| *byte == b'\n') {
            let Some(data) = line.strip_prefix(b"data: ") else {
                continue;
            };
            let Ok(event) = serde_json::from_slice::<Value>(data) else {
                continue;
            };
            generated.add_choice(&event["choices"][0]);
        }
        generated
    }

    /// Appends the text that follows.
    pub fn extend(&mut self, more: &Self) {
        self.text.push_str(&more.text);
        self.tokens += more.tokens;
        if more.finish_reason.is_some() {
            self.finish_reason.clone_from(&more.finish_reason);
        }
    }

    /// Adds the first choice of an event.
    fn add_choice(&mut self, choice: &Value) {
        let text = choice["text"].as_str().or_else(|| choice["delta"]["content"].as_str());
        if let Some(text) = text {
            self.text.push_str(text);
            self.tokens += 1;
        }
        if let Some(finish) = choice["finish_reason"].as_str() {
            self.finish_reason = Some(finish.to_owned());
        }
    }
}
