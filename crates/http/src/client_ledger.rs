//! Decides which clients may use a process's memory and descriptors, and which are dropped.
//!
//! Answers a load of untrusted clients: many bodies of legal size at once that stop short of their end,
//! heads and bodies that come in small pieces, connections that carry nothing, and readers that never
//! read. Clients that make no progress are dropped first, and then the largest, so an ordinary small
//! request is served beside them. Requests that run are never dropped.

use std::time::Duration;

use crate::BudgetLimits;

/// Time without progress after which a client counts as stalled when something is short. A client on a
/// slow line delivers at least a kilobyte in this time.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Bytes up to which an incomplete body is dropped only if nothing else is left to drop.
const SMALL_BYTES: usize = 128 * 1024;

/// Who connects to a port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClientKind {
    /// Anybody; cannot use the reserved part of the budget.
    Caller,
    /// The system's own processes and the platform's probes.
    Internal,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClientStage {
    /// Waits for a request.
    Idle,
    /// Receives a head.
    Head,
    /// Receives a body.
    Body,
    /// The whole request has been received and is handled.
    Running,
    /// Sends a long response.
    Writing,
}

/// Whether a client gets the bytes that it needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldDecision {
    /// It has them now.
    Granted,
    /// It has to ask again when a dropped client has been removed.
    Wait,
    /// Nothing is left to drop for it.
    Refused,
}

/// The connections of a process and the bytes that each holds.
#[derive(Debug)]
pub struct ClientLedger {
    /// Bytes of all connections, those of dropped ones too until they are removed.
    held: usize,
    limits: BudgetLimits,
    next_id: u64,
    /// Sorted by id.
    rows: Vec<ClientRow>,
}

/// One connection.
#[derive(Debug)]
struct ClientRow {
    bytes: usize,
    has_served: bool,
    id: u64,
    is_dropped: bool,
    kind: ClientKind,
    /// When it last made progress.
    progress_at: Duration,
    stage: ClientStage,
}

impl ClientRow {
    /// Returns the time without progress.
    fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.progress_at)
    }

    /// Returns whether the client has not made progress for a while.
    fn is_stalled(&self, now: Duration) -> bool {
        self.silence(now) >= STALL_TIME
    }

    /// Returns how gladly the connection is dropped for its bytes, greater for more; `None` for never.
    fn byte_rank(&self, now: Duration) -> Option<(u8, u128)> {
        let silence = self.silence(now).as_nanos();
        match self.stage {
            _ if self.is_dropped => None,
            ClientStage::Head | ClientStage::Body | ClientStage::Writing
                if self.is_stalled(now) =>
            {
                Some((3, silence))
            }
            ClientStage::Body if self.bytes > SMALL_BYTES => Some((2, self.bytes as u128)),
            ClientStage::Idle if self.is_stalled(now) => Some((1, silence)),
            ClientStage::Head | ClientStage::Body => Some((0, self.bytes as u128)),
            ClientStage::Idle | ClientStage::Running | ClientStage::Writing => None,
        }
    }

    /// Returns how gladly the connection is closed for its descriptor, greater for more; `None` for
    /// never.
    fn descriptor_rank(&self, now: Duration) -> Option<(u8, u128)> {
        let silence = self.silence(now).as_nanos();
        match self.stage {
            _ if self.is_dropped => None,
            ClientStage::Idle if !self.has_served && self.is_stalled(now) => Some((3, silence)),
            ClientStage::Head | ClientStage::Body | ClientStage::Writing
                if self.is_stalled(now) =>
            {
                Some((2, silence))
            }
            ClientStage::Idle => Some((1, silence)),
            ClientStage::Head | ClientStage::Body | ClientStage::Running | ClientStage::Writing => {
                None
            }
        }
    }
}

impl ClientLedger {
    /// Creates the ledger of a process without connections.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        Self { held: 0, limits, next_id: 1, rows: Vec::new() }
    }

    /// Returns the bytes that all connections hold.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held
    }

    /// Returns the number of connections, without those that were dropped.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.rows.iter().filter(|row| !row.is_dropped).count()
    }

    /// Admits a connection that holds `bytes`, and adds to `dropped` whom it replaces; returns its id, or
    /// `None` if it has to be closed.
    pub fn admit(
        &mut self,
        now: Duration,
        kind: ClientKind,
        bytes: usize,
        dropped: &mut Vec<u64>,
    ) -> Option<u64> {
        let reserved = match kind {
            ClientKind::Caller => self.limits.reserved_connections,
            ClientKind::Internal => 0,
        };
        while self.connections() + reserved >= self.limits.connections {
            let rank = |row: &ClientRow| row.descriptor_rank(now);
            dropped.push(self.drop_greatest(rank)?);
        }
        let id = self.next_id;
        self.next_id += 1;
        self.held += bytes;
        let stage = ClientStage::Idle;
        self.rows.push(ClientRow {
            bytes,
            has_served: false,
            id,
            is_dropped: false,
            kind,
            progress_at: now,
            stage,
        });
        Some(id)
    }

    /// Sets what a connection holds, and adds to `dropped` whom that costs the connection.
    pub fn hold(
        &mut self,
        now: Duration,
        id: u64,
        bytes: usize,
        dropped: &mut Vec<u64>,
    ) -> HoldDecision {
        let Ok(position) = self.position(id) else {
            return HoldDecision::Refused;
        };
        let row = &mut self.rows[position];
        if row.is_dropped {
            return HoldDecision::Refused;
        }
        if bytes <= row.bytes {
            self.held -= row.bytes - bytes;
            row.bytes = bytes;
            return HoldDecision::Granted;
        }
        let added = bytes - row.bytes;
        let limit = match row.kind {
            ClientKind::Caller => self.limits.bytes - self.limits.reserved_bytes,
            ClientKind::Internal => self.limits.bytes,
        };
        if self.held + added <= limit {
            self.held += added;
            row.bytes = bytes;
            return HoldDecision::Granted;
        }
        // What dropped connections hold is free soon. The client itself is one of those that can be
        // dropped, with what it asks for.
        let mut pending: usize =
            self.rows.iter().filter(|row| row.is_dropped).map(|row| row.bytes).sum();
        while self.held + added > limit + pending {
            let rank = |row: &ClientRow| {
                let rank = row.byte_rank(now)?;
                Some(if row.id == id && rank.0 % 2 == 0 { (rank.0, bytes as u128) } else { rank })
            };
            match self.drop_greatest(rank) {
                Some(victim) if victim == id => {
                    dropped.push(id);
                    return HoldDecision::Refused;
                }
                Some(victim) => {
                    let position = self.position(victim).unwrap_or(position);
                    pending += self.rows[position].bytes;
                    dropped.push(victim);
                }
                None => return HoldDecision::Refused,
            }
        }
        HoldDecision::Wait
    }

    /// Records what a connection does from now on.
    pub fn set_stage(&mut self, now: Duration, id: u64, stage: ClientStage) {
        if let Ok(position) = self.position(id) {
            let row = &mut self.rows[position];
            row.has_served |= row.stage == ClientStage::Running;
            row.stage = stage;
            row.progress_at = now;
        }
    }

    /// Records that a connection has made progress.
    pub fn record_progress(&mut self, now: Duration, id: u64) {
        if let Ok(position) = self.position(id) {
            self.rows[position].progress_at = now;
        }
    }

    /// Removes a connection that is closed.
    pub fn remove(&mut self, id: u64) {
        if let Ok(position) = self.position(id) {
            self.held -= self.rows.remove(position).bytes;
        }
    }

    /// Marks the connection with the greatest rank as dropped and returns its id.
    fn drop_greatest(&mut self, rank: impl Fn(&ClientRow) -> Option<(u8, u128)>) -> Option<u64> {
        let ranked = self.rows.iter_mut().filter_map(|row| Some((rank(row)?, row)));
        let (_, row) = ranked.max_by_key(|(rank, _)| *rank)?;
        row.is_dropped = true;
        Some(row.id)
    }

    /// Returns the position of a row.
    fn position(&self, id: u64) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&id, |row| row.id)
    }
}
