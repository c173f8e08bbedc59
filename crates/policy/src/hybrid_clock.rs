//! A hybrid logical clock, which orders events over all processes.

use serde::Deserialize;
use serde::Serialize;

/// Bits of a reading that count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// A time that respects causality: wall-clock milliseconds with a counter below them.
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

    /// Encodes the reading for a message header.
    #[must_use]
    pub fn encode(self) -> String {
        format!("{:x}", self.0)
    }

    /// Decodes a reading from a message header.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

/// Gives readings that never go back, even when the wall clock does.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: HybridTimestamp,
}

impl HybridClock {
    /// Furthest that a peer's reading may lie ahead of the wall clock, in milliseconds.
    pub const MAX_AHEAD_MS: u64 = 60_000;

    /// Takes a reading for a local event or a message to be sent.
    pub fn tick(&mut self, wall_millis: u64) -> HybridTimestamp {
        let wall = HybridTimestamp(wall_millis << COUNTER_BITS);
        self.last = wall.max(HybridTimestamp(self.last.0 + 1));
        self.last
    }

    /// Takes a reading for a received message, later than the one that it carries.
    ///
    /// A reading too far ahead is ignored, so that one broken clock does not move all others.
    pub fn observe(&mut self, wall_millis: u64, received: HybridTimestamp) -> HybridTimestamp {
        if received.wall_millis() <= wall_millis + Self::MAX_AHEAD_MS {
            self.last = self.last.max(received);
        }
        self.tick(wall_millis)
    }
}
