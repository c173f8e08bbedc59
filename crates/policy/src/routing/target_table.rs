//! What an entry knows of each target.

use std::net::SocketAddr;
use std::time::Duration;

use crate::MonotonicTime;
use crate::TargetId;
use crate::TargetLoad;
use crate::stable_hash;

/// Age at which a reading says nothing any more.
const READING_AGE: Duration = Duration::from_secs(2);

/// Time over which a target that has joined or returned grows to its full share.
const SLOW_START: Duration = Duration::from_secs(2);

/// Share that a target has at the beginning of its slow start.
const SLOW_START_SHARE: f64 = 0.1;

/// Batch requests that may wait at a sidecar, so that a slot that falls free is used at once.
const BATCH_AHEAD: u32 = 2;

/// A target as the platform's list of instances names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetListing {
    /// Where the sidecar takes control calls.
    pub control: SocketAddr,
    /// Where the sidecar takes requests.
    pub data: SocketAddr,
    /// Whether the list names the target as leaving.
    pub leaving: bool,
    /// Name of the instance.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
}

/// One target.
#[derive(Clone, Debug)]
pub struct TargetRow {
    /// Where the sidecar takes control calls.
    pub control: SocketAddr,
    /// Where the sidecar takes requests.
    pub data: SocketAddr,
    /// Time until which the target gets no requests because it did badly.
    pub ejected_until: Option<MonotonicTime>,
    /// Ejections in a row, for a growing pause.
    pub ejections: u32,
    /// Failures in a row.
    pub failures: u32,
    /// The target's id.
    pub id: TargetId,
    /// Incarnation of the sidecar, as it last told.
    pub incarnation: u64,
    /// Requests of this entry that are under way.
    pub in_flight: u32,
    /// Running mean of the time to the first response, in seconds.
    pub latency: f64,
    /// Whether the target or the list says that it leaves.
    pub leaving: bool,
    /// Name of the instance.
    pub name: String,
    /// Hash of the name, for affinity.
    pub name_hash: u64,
    /// Batch requests of this entry that are under way.
    pub batch_in_flight: u32,
    /// Whether the target has to prove itself, one request at a time, after an ejection.
    pub probation: bool,
    /// Whether the sidecar answers and its target is up.
    pub ready: bool,
    /// The sidecar's last reading, and when it came.
    pub reported_load: Option<(MonotonicTime, TargetLoad)>,
    /// Samples in `latency` since the last check for outliers.
    pub samples: u32,
    /// Hash of the service's name.
    pub service: u64,
    /// When the target joined or returned.
    pub started: MonotonicTime,
    /// Availability zone.
    pub zone: String,
}

impl TargetRow {
    /// Creates the row of a target that has just been listed; it is not ready until it answers.
    fn new(id: TargetId, now: MonotonicTime, listing: &TargetListing) -> Self {
        Self {
            batch_in_flight: 0,
            control: listing.control,
            data: listing.data,
            ejected_until: None,
            ejections: 0,
            failures: 0,
            id,
            incarnation: 0,
            in_flight: 0,
            latency: 0.0,
            leaving: listing.leaving,
            name: listing.name.clone(),
            name_hash: stable_hash(&[&listing.name]),
            probation: false,
            ready: false,
            reported_load: None,
            samples: 0,
            service: stable_hash(&[&listing.service]),
            started: now,
            zone: listing.zone.clone(),
        }
    }

    /// Tells whether new requests may go to the target.
    #[must_use]
    pub fn is_eligible(&self) -> bool {
        self.ready && !self.leaving
    }

    /// Tells whether the target has had its one request on probation already.
    #[must_use]
    pub fn has_been_probed(&self) -> bool {
        self.probation && (self.in_flight > 0 || self.samples > 0 || self.failures > 0)
    }

    /// Tells whether the target is ejected now.
    #[must_use]
    pub fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the load as a share of the target's limit, over 1 where requests wait.
    #[must_use]
    pub fn load(&self, now: MonotonicTime) -> f64 {
        let own = f64::from(self.in_flight);
        let reading = self.reported_load.filter(|(taken, _)| now.since(*taken) < READING_AGE);
        let Some((_, reading)) = reading else {
            return own;
        };
        let told = f64::from(reading.running + reading.waiting);
        told.max(own) / f64::from(reading.limit.max(1)) / self.slow_start_share(now)
    }

    /// Returns the number of further batch requests that this entry may send now.
    #[must_use]
    pub fn batch_capacity(&self) -> u32 {
        let Some((_, reading)) = self.reported_load else {
            return 0;
        };
        if reading.batch_slack == 0 && reading.batch_running == 0 {
            return 0;
        }
        let capacity = reading.batch_running + reading.batch_slack + BATCH_AHEAD;
        capacity.saturating_sub(self.batch_in_flight)
    }

    /// Returns the share of its full load that the target may get now.
    fn slow_start_share(&self, now: MonotonicTime) -> f64 {
        let progress = now.since(self.started).as_secs_f64() / SLOW_START.as_secs_f64();
        progress.clamp(SLOW_START_SHARE, 1.0)
    }
}

/// The targets that an entry knows, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    next_id: u32,
    rows: Vec<TargetRow>,
}

impl TargetTable {
    /// Takes a new list: adds rows, marks leaving ones and drops those that are not listed.
    ///
    /// The list lags behind reality, so a target's own word that it is leaving stays in force.
    pub fn apply(&mut self, now: MonotonicTime, listings: &[TargetListing]) {
        self.rows.retain(|row| listings.iter().any(|listing| is_same_target(row, listing)));
        for listing in listings {
            match self.rows.iter_mut().find(|row| is_same_target(row, listing)) {
                Some(row) => row.leaving |= listing.leaving,
                None => self.add(now, listing),
            }
        }
    }

    /// Returns all rows.
    #[must_use]
    pub fn rows(&self) -> &[TargetRow] {
        &self.rows
    }

    /// Returns all rows for change.
    pub fn rows_mut(&mut self) -> &mut [TargetRow] {
        &mut self.rows
    }

    /// Finds a target.
    #[must_use]
    pub fn get(&self, id: TargetId) -> Option<&TargetRow> {
        let position = self.rows.binary_search_by_key(&id, |row| row.id).ok()?;
        self.rows.get(position)
    }

    /// Finds a target for change.
    pub fn get_mut(&mut self, id: TargetId) -> Option<&mut TargetRow> {
        let position = self.rows.binary_search_by_key(&id, |row| row.id).ok()?;
        self.rows.get_mut(position)
    }

    /// Adds a row for a target that was not listed before.
    fn add(&mut self, now: MonotonicTime, listing: &TargetListing) {
        let id = TargetId(self.next_id);
        self.next_id += 1;
        self.rows.push(TargetRow::new(id, now, listing));
    }
}

/// Tells whether a row and a listing mean the same instance at the same place.
fn is_same_target(row: &TargetRow, listing: &TargetListing) -> bool {
    row.name == listing.name && row.data == listing.data && row.control == listing.control
}
