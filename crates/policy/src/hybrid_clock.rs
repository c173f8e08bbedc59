//! A hybrid logical clock, which orders events across processes.

use serde::Deserialize;
use serde::Serialize;

/// Low bits of a timestamp that count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// A timestamp that respects causality: wall-clock milliseconds followed by a counter.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct HybridTimestamp(pub u64);

impl HybridTimestamp {
    /// Returns the wall-clock part, in milliseconds since the Unix epoch.
    #[must_use]
    pub const fn wall_millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// Encodes the timestamp for a message header, in hexadecimal.
    #[must_use]
    pub fn encode(self) -> String {
        format!("{:x}", self.0)
    }

    /// Decodes a timestamp from a message header.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

/// Generates timestamps that always increase, even when the wall clock goes back.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: HybridTimestamp,
}

impl HybridClock {
    /// Maximum time by which a peer's timestamp may be ahead of the wall clock, in milliseconds.
    pub const MAX_AHEAD_MS: u64 = 60_000;

    /// Returns the timestamp of a local event or an outgoing message.
    pub fn tick(&mut self, wall_millis: u64) -> HybridTimestamp {
        let wall = HybridTimestamp(wall_millis << COUNTER_BITS);
        self.last = wall.max(HybridTimestamp(self.last.0 + 1));
        self.last
    }

    /// Returns the timestamp of a received message, later than the one that it carries.
    ///
    /// A received timestamp more than [`Self::MAX_AHEAD_MS`] ahead of the wall clock is ignored, so
    /// that one wrong clock does not advance all others.
    pub fn observe(&mut self, wall_millis: u64, received: HybridTimestamp) -> HybridTimestamp {
        if received.wall_millis() <= wall_millis + Self::MAX_AHEAD_MS {
            self.last = self.last.max(received);
        }
        self.tick(wall_millis)
    }
}
