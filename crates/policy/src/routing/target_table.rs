//! The state of each target as seen by an entry.

use std::net::SocketAddr;
use std::time::Duration;

use crate::MonotonicTime;
use crate::TargetId;
use crate::TargetLoad;
use crate::stable_hash;

/// Age at which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Time over which a target that was added or readmitted ramps up to its full share of load.
const SLOW_START: Duration = Duration::from_secs(2);

/// Share of load of a target at the beginning of its slow start.
const SLOW_START_SHARE: f64 = 0.1;

/// Batch requests that may wait at a sidecar, so that a freed slot is used at once.
const BATCH_PREFETCH: u32 = 2;

/// A target as given by the platform's list of instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetListing {
    /// Address at which the sidecar serves control calls.
    pub control: SocketAddr,
    /// Address at which the sidecar serves requests.
    pub data: SocketAddr,
    /// Whether the list marks the target as draining.
    pub draining: bool,
    /// Name of the instance.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
}

/// The state of one target.
#[derive(Clone, Debug)]
pub struct TargetRow {
    /// Address at which the sidecar serves control calls.
    pub control: SocketAddr,
    /// Address at which the sidecar serves requests.
    pub data: SocketAddr,
    /// Time until which the target is ejected as an outlier.
    pub ejected_until: Option<MonotonicTime>,
    /// Consecutive ejections, which determine the duration of the next one.
    pub ejections: u32,
    /// Consecutive failures.
    pub failures: u32,
    /// Id of the target within this process.
    pub id: TargetId,
    /// Last reported incarnation of the sidecar.
    pub incarnation: u64,
    /// Requests of this entry in flight at the target.
    pub in_flight: u32,
    /// Moving average of the time to the first byte of a response, in seconds.
    pub latency: f64,
    /// Whether the target or the list of instances reports that it is draining.
    pub draining: bool,
    /// Name of the instance.
    pub name: String,
    /// Hash of the name, for rendezvous hashing.
    pub name_hash: u64,
    /// Batch requests of this entry in flight at the target.
    pub batch_in_flight: u32,
    /// Whether the target was readmitted after an ejection and gets one request until it succeeds.
    pub probation: bool,
    /// Whether the sidecar responds and its target is up.
    pub ready: bool,
    /// The sidecar's last load report and the time of its arrival.
    pub reported_load: Option<(MonotonicTime, TargetLoad)>,
    /// Samples in `latency` since the last check for outliers.
    pub samples: u32,
    /// Hash of the service's name.
    pub service: u64,
    /// Time at which the target was added or readmitted, from which its slow start counts.
    pub started: MonotonicTime,
    /// Availability zone.
    pub zone: String,
}

impl TargetRow {
    /// Creates the row of a newly listed target, which is not ready until it responds to a poll.
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
            draining: listing.draining,
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

    /// Returns whether the target is ready and not draining.
    #[must_use]
    pub fn is_eligible(&self) -> bool {
        self.ready && !self.draining
    }

    /// Returns whether the target is on probation and has already received its one request.
    #[must_use]
    pub fn has_been_probed(&self) -> bool {
        self.probation && (self.in_flight > 0 || self.samples > 0 || self.failures > 0)
    }

    /// Returns whether the target is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the load as a share of the target's limit; it exceeds 1 if requests wait.
    ///
    /// Without a recent load report it is the number of requests of this entry in flight.
    #[must_use]
    pub fn load(&self, now: MonotonicTime) -> f64 {
        let own = f64::from(self.in_flight);
        let recent = self.reported_load.filter(|(arrived, _)| now.since(*arrived) < MAX_REPORT_AGE);
        let Some((_, load)) = recent else {
            return own;
        };
        let reported = f64::from(load.running + load.waiting);
        reported.max(own) / f64::from(load.limit.max(1)) / self.slow_start_share(now)
    }

    /// Returns the number of further batch requests that this entry may send to the target now.
    #[must_use]
    pub fn batch_capacity(&self) -> u32 {
        let Some((_, load)) = self.reported_load else {
            return 0;
        };
        if load.batch_slack == 0 && load.batch_running == 0 {
            return 0;
        }
        let capacity = load.batch_running + load.batch_slack + BATCH_PREFETCH;
        capacity.saturating_sub(self.batch_in_flight)
    }

    /// Returns the share of its full load that the target may receive at `now`.
    fn slow_start_share(&self, now: MonotonicTime) -> f64 {
        let progress = now.since(self.started).as_secs_f64() / SLOW_START.as_secs_f64();
        progress.clamp(SLOW_START_SHARE, 1.0)
    }
}

/// The targets of an entry, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    next_id: u32,
    rows: Vec<TargetRow>,
}

impl TargetTable {
    /// Updates the table from a new list of instances: adds new targets, marks draining ones and
    /// removes those that are not listed.
    ///
    /// The list may be outdated, so a target that reported itself as draining stays so.
    pub fn apply(&mut self, now: MonotonicTime, listings: &[TargetListing]) {
        self.rows.retain(|row| listings.iter().any(|listing| is_same_target(row, listing)));
        for listing in listings {
            match self.rows.iter_mut().find(|row| is_same_target(row, listing)) {
                Some(row) => row.draining |= listing.draining,
                None => self.add(now, listing),
            }
        }
    }

    /// Returns all rows, sorted by id.
    #[must_use]
    pub fn rows(&self) -> &[TargetRow] {
        &self.rows
    }

    /// Returns all rows for modification; ids must not change.
    pub fn rows_mut(&mut self) -> &mut [TargetRow] {
        &mut self.rows
    }

    /// Returns the row of a target.
    #[must_use]
    pub fn get(&self, id: TargetId) -> Option<&TargetRow> {
        let position = self.rows.binary_search_by_key(&id, |row| row.id).ok()?;
        self.rows.get(position)
    }

    /// Returns the row of a target for modification.
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

/// Returns whether a row and a listing have the same name and addresses.
fn is_same_target(row: &TargetRow, listing: &TargetListing) -> bool {
    row.name == listing.name && row.data == listing.data && row.control == listing.control
}
