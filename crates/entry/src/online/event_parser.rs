//! Cuts a stream of events at its boundaries.

use bytes::Bytes;
use bytes::BytesMut;
use serde_json::Value;

/// Longest event, in bytes.
const EVENT_BYTES: usize = 1024 * 1024;

/// Longest part of an answer that is kept for a continuation elsewhere, in bytes.
const KEPT_BYTES: usize = 512 * 1024;

/// The event that ends a whole answer.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// The first line of the event that ends a preempted answer.
const PREEMPTED_LINE: &[u8] = b"event: preempted";

/// Passes on whole events only, so that a cut stream can be continued without a seam.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    done: bool,
    kept: BytesMut,
    overflow: bool,
    preempted: bool,
    tail: BytesMut,
}

impl EventParser {
    /// Creates a parser that keeps nothing for a continuation.
    pub fn without_history() -> Self {
        Self { overflow: true, ..Self::default() }
    }

    /// Takes a piece of a stream and returns the whole events that it completes.
    ///
    /// Returns `None` for an event that is too long.
    pub fn push(&mut self, piece: &[u8]) -> Option<Bytes> {
        self.tail.extend_from_slice(piece);
        if self.tail.len() > EVENT_BYTES {
            return None;
        }
        let end = self.tail.windows(2).rposition(|window| window == b"\n\n").map_or(0, |at| at + 2);
        let events = self.tail.split_to(end).freeze();
        self.done |= events.ends_with(DONE_EVENT);
        self.preempted |= memchr::memmem::find(&events, PREEMPTED_LINE).is_some();
        self.keep(&events);
        Some(events)
    }

    /// Tells whether the answer came to its proper end.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Tells whether the answer was given back for a later continuation.
    pub fn is_preempted(&self) -> bool {
        self.preempted
    }

    /// Returns the events so far, unless they are too many to be continued.
    pub fn kept(&self) -> Option<&[u8]> {
        (!self.overflow).then_some(&self.kept[..])
    }

    /// Forgets the event that was cut.
    pub fn drop_tail(&mut self) {
        self.tail.clear();
    }

    /// Keeps events for a continuation.
    fn keep(&mut self, events: &[u8]) {
        if self.kept.len() + events.len() > KEPT_BYTES {
            self.overflow = true;
            self.kept.clear();
        }
        if !self.overflow {
            self.kept.extend_from_slice(events);
        }
    }
}

/// What a part of a streamed answer says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct GeneratedText {
    /// Why the target ended the answer, if it has.
    pub finish_reason: Option<String>,
    /// The text.
    pub text: String,
    /// Number of its tokens.
    pub tokens: usize,
}

impl GeneratedText {
    /// Reads the events of a streamed answer.
    pub fn parse(events: &[u8]) -> Self {
        let mut generated = Self::default();
        for line in events.split(|byte| *byte == b'\n') {
            let Some(data) = line.strip_prefix(b"data: ") else {
                continue;
            };
            let Ok(event) = serde_json::from_slice::<Value>(data) else {
                continue;
            };
            generated.take(&event["choices"][0]);
        }
        generated
    }

    /// Adds what follows.
    pub fn extend(&mut self, more: &Self) {
        self.text.push_str(&more.text);
        self.tokens += more.tokens;
        if more.finish_reason.is_some() {
            self.finish_reason.clone_from(&more.finish_reason);
        }
    }

    /// Takes the choice of one event.
    fn take(&mut self, choice: &Value) {
        let word = choice["text"].as_str().or_else(|| choice["delta"]["content"].as_str());
        if let Some(word) = word {
            self.text.push_str(word);
            self.tokens += 1;
        }
        if let Some(finish) = choice["finish_reason"].as_str() {
            self.finish_reason = Some(finish.to_owned());
        }
    }
}
