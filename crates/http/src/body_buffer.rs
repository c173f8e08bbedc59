//! The bytes of a body while it arrives.

use bytes::Bytes;
use bytes::BytesMut;

/// Size of a segment, in bytes. Segments have one size, so that what one long body frees fits the next;
/// most bodies fit into one, which is not copied at the end.
const SEGMENT_BYTES: usize = 512 * 1024;

/// Collects a body in segments, so that memory is used as bytes arrive.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    length: usize,
    /// All but the last are full; the first grows with the body.
    segments: Vec<BytesMut>,
}

impl BodyBuffer {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns the size of the segments, in bytes.
    pub fn allocated(&self) -> usize {
        self.segments.iter().map(BytesMut::capacity).sum()
    }

    /// Appends a piece.
    pub fn push(&mut self, mut piece: &[u8]) {
        self.length += piece.len();
        while !piece.is_empty() {
            let room = self.segments.last().map_or(0, |last| SEGMENT_BYTES - last.len());
            if room == 0 {
                let capacity = if self.segments.is_empty() { piece.len() } else { SEGMENT_BYTES };
                self.segments.push(BytesMut::with_capacity(capacity));
                continue;
            }
            let (start, rest) = piece.split_at(room.min(piece.len()));
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(start);
            }
            piece = rest;
        }
    }

    /// Joins the segments, and frees each when it has been copied.
    pub fn join(mut self) -> Bytes {
        if self.segments.len() <= 1 {
            return self.segments.pop().unwrap_or_default().freeze();
        }
        let mut body = BytesMut::with_capacity(self.length);
        for segment in self.segments {
            body.extend_from_slice(&segment);
        }
        body.freeze()
    }
}
