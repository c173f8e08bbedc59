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

/// Passes on whole events only, so that a cut stream can be continued without a seam.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    done: bool,
    kept: BytesMut,
    overflow: bool,
    tail: BytesMut,
}

impl EventSplitter {
    /// Takes a piece of a stream and returns the whole events that it completes.
    ///
    /// Returns `None` for an event that is too long.
    pub fn take(&mut self, piece: &[u8]) -> Option<Bytes> {
        self.tail.extend_from_slice(piece);
        if self.tail.len() > EVENT_BYTES {
            return None;
        }
        let end = self
            .tail
            .windows(2)
            .rposition(|window| window == b"\n\n")
            .map_or(0, |at| at + 2);
        let events = self.tail.split_to(end).freeze();
        self.done |= events.ends_with(DONE_EVENT);
        self.keep(&events);
        Some(events)
    }

    /// Tells whether the answer came to its proper end.
    pub fn is_done(&self) -> bool {
        self.done
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

/// Returns the text in a part of a streamed answer, and the number of its tokens.
pub(crate) fn generated_text(events: &[u8]) -> (String, usize) {
    let mut text = String::new();
    let mut tokens = 0;
    for line in events.split(|byte| *byte == b'\n') {
        let Some(data) = line.strip_prefix(b"data: ") else {
            continue;
        };
        let Ok(event) = serde_json::from_slice::<Value>(data) else {
            continue;
        };
        let choice = &event["choices"][0];
        let word = choice["text"]
            .as_str()
            .or_else(|| choice["delta"]["content"].as_str());
        if let Some(word) = word {
            text.push_str(word);
            tokens += 1;
        }
    }
    (text, tokens)
}
