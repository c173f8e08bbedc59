//! The end of an event stream.

/// The last bytes of an event stream, which tell whether it ends with an event.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamTail {
    /// The last three bytes; zero where fewer have come.
    bytes: [u8; 3],
}

impl StreamTail {
    /// Adds the next piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        for byte in &piece[piece.len().saturating_sub(self.bytes.len())..] {
            self.bytes.rotate_left(1);
            self.bytes[2] = *byte;
        }
    }

    /// Returns whether the stream ends with the empty line that ends an event.
    pub fn ends_event(self) -> bool {
        matches!(self.bytes, [_, b'\n', b'\n'] | [_, b'\r', b'\r'] | [b'\n', b'\r', b'\n'])
    }
}
