//! The targets that are known, with what this process has seen of each.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use cv_policy::MonotonicTime;
use serde::Deserialize;
use serde::Serialize;

use crate::LoadReport;

/// Failures in a row after which a target is set aside.
const FAILURES_TO_PAUSE: u32 = 3;

/// First time for which a failing target is set aside; doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Longest time for which a failing target is set aside.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Silence after which a sidecar that reports several times a second is passed by.
const SIDECAR_SILENCE: Duration = Duration::from_millis(800);

/// Time in which the sidecar of a target that became known has to report for the first time.
const FIRST_REPORT_TIME: Duration = Duration::from_millis(2_500);

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetState {
    /// It takes new requests.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// What the directory says of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its identity; a target under the same address may be another.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: TargetState,
    /// Its availability zone.
    pub zone: String,
}

/// A target with what this process has seen of it.
#[derive(Clone, Debug)]
pub struct TargetRow {
    /// Failures since the last success.
    failures: u32,
    /// Online requests of this process that are under way there.
    pub in_flight: u32,
    /// Online requests begun less those ended since the last reading.
    drift: i32,
    /// When it became known.
    known_since: MonotonicTime,
    /// Time until which it is set aside.
    paused_until: MonotonicTime,
    /// The last reading of its queue, with the time of its arrival.
    reading: Option<(LoadReport, MonotonicTime)>,
    /// What the directory says.
    pub record: TargetRecord,
    /// Time until which its sidecar is passed by.
    sidecar_down_until: MonotonicTime,
}

/// All known targets, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    rows: Vec<TargetRow>,
}

impl TargetRow {
    /// Creates a row of a target that nothing has been sent to.
    fn new(record: TargetRecord, now: MonotonicTime) -> Self {
        Self {
            failures: 0,
            in_flight: 0,
            drift: 0,
            known_since: now,
            paused_until: MonotonicTime::ZERO,
            reading: None,
            record,
            sidecar_down_until: MonotonicTime::ZERO,
        }
    }

    /// Tells whether the target may get new requests.
    #[must_use]
    pub fn is_usable(&self, now: MonotonicTime) -> bool {
        self.record.state == TargetState::Ready && self.paused_until <= now
    }

    /// Tells whether requests go through the target's sidecar.
    ///
    /// A sidecar that falls silent, or has not reported since its target became known, is frozen,
    /// dead, cut off or not there.
    #[must_use]
    pub fn has_sidecar(&self, now: MonotonicTime) -> bool {
        let is_silent = match self.reading {
            Some((_, taken)) => now.since(taken) > SIDECAR_SILENCE,
            None => now.since(self.known_since) > FIRST_REPORT_TIME,
        };
        self.sidecar_down_until <= now && !is_silent
    }

    /// Returns the time since the target's sidecar last reported, if it ever has.
    #[must_use]
    pub fn sidecar_silence(&self, now: MonotonicTime) -> Option<Duration> {
        self.reading.map(|(_, taken)| now.since(taken))
    }

    /// Estimates the online requests that run or wait at the target.
    #[must_use]
    pub fn online_load(&self, now: MonotonicTime, reading_age: Duration) -> u32 {
        match self.fresh_report(now, reading_age) {
            Some(reading) => {
                let seen = reading.online_running + reading.online_waiting;
                seen.saturating_add_signed(self.drift).max(self.in_flight)
            }
            None => self.in_flight,
        }
    }

    /// Returns the last reading if it is younger than `age`.
    #[must_use]
    pub fn fresh_report(&self, now: MonotonicTime, age: Duration) -> Option<&LoadReport> {
        let (reading, taken) = self.reading.as_ref()?;
        (now.since(*taken) <= age).then_some(reading)
    }

    /// Takes a reading of the target's queue.
    pub fn record_report(&mut self, reading: LoadReport, now: MonotonicTime) {
        self.reading = Some((reading, now));
        self.drift = 0;
    }

    /// Takes the target's word that all its slots are taken by online requests.
    pub fn record_full(&mut self, now: MonotonicTime) {
        let slots = self.record.slots;
        let reading = self.reading.map(|(reading, _)| reading).unwrap_or_default();
        let online_running = reading.online_running.max(slots);
        self.record_report(LoadReport { online_running, slots, ..reading }, now);
    }

    /// Takes the proof that the target serves.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Takes a failure and sets the target aside when they repeat.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.failures = self.failures.saturating_add(1);
        if let Some(excess) = self.failures.checked_sub(FAILURES_TO_PAUSE) {
            let pause = FIRST_PAUSE.saturating_mul(1 << excess.min(8)).min(MAX_PAUSE);
            self.paused_until = now + pause;
        }
    }

    /// Sets the target aside, for example because it refuses connections.
    pub fn eject(&mut self, now: MonotonicTime, pause: Duration) {
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// Passes the target's sidecar by for a while.
    pub fn bypass_sidecar(&mut self, now: MonotonicTime, pause: Duration) {
        self.sidecar_down_until = now + pause;
    }
}

impl TargetTable {
    /// Takes what the directory says of one target.
    pub fn upsert(&mut self, record: TargetRecord, now: MonotonicTime) {
        match self.position(&record.id) {
            Ok(position) if self.rows[position].record.address == record.address => {
                self.rows[position].record = record;
            }
            Ok(position) => self.rows[position] = TargetRow::new(record, now),
            Err(position) => self.rows.insert(position, TargetRow::new(record, now)),
        }
    }

    /// Forgets a target.
    pub fn remove(&mut self, id: &str) {
        if let Ok(position) = self.position(id) {
            self.rows.remove(position);
        }
    }

    /// Returns all rows, sorted by id.
    #[must_use]
    pub fn rows(&self) -> &[TargetRow] {
        &self.rows
    }

    /// Returns the row of a target.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&TargetRow> {
        self.position(id).ok().map(|position| &self.rows[position])
    }

    /// Returns the row of a target for changes.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut TargetRow> {
        self.position(id).ok().map(|position| &mut self.rows[position])
    }

    /// Takes a reading of the queue beside the targets of one instance.
    pub fn record_report_from(&mut self, ip: IpAddr, reading: &LoadReport, now: MonotonicTime) {
        for row in self.rows.iter_mut().filter(|row| row.record.address.ip() == ip) {
            row.record_report(*reading, now);
        }
    }

    /// Counts an online request that is being sent to a target.
    pub fn begin_request(&mut self, id: &str) {
        if let Some(row) = self.get_mut(id) {
            row.in_flight += 1;
            row.drift += 1;
        }
    }

    /// Counts the end of an online request.
    pub fn end_request(&mut self, id: &str) {
        if let Some(row) = self.get_mut(id) {
            row.in_flight = row.in_flight.saturating_sub(1);
            row.drift -= 1;
        }
    }

    /// Finds the place of an id.
    fn position(&self, id: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.record.id.as_str().cmp(id))
    }
}
