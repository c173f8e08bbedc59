//! The known targets, with the health and load that this process observes.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use cv_policy::MonotonicTime;
use serde::Deserialize;
use serde::Serialize;

use crate::EngineCondition;
use crate::FailureRecord;
use crate::FirstEventRecord;
use crate::LoadReport;
use crate::PaceRecord;
use crate::ZoneShares;
use crate::ZoneTerms;

/// Consecutive failures after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// Duration of the first ejection of a failing target; each further failure doubles it.
const INITIAL_EJECTION: Duration = Duration::from_millis(400);

/// Longest ejection of a failing target.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Time since the last load report after which a sidecar is bypassed; it sends several a second.
const MAX_REPORT_GAP: Duration = Duration::from_millis(800);

/// Time within which the sidecar of a newly known target has to send its first load report.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Age above which what a sidecar reports of its engine's condition is ignored; it sends several
/// reports a second.
const MAX_CONDITION_AGE: Duration = Duration::from_millis(1_500);

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetState {
    /// It accepts new requests.
    Ready,
    /// It finishes its requests and accepts no new ones.
    Draining,
}

/// A target as it is registered in the coordination store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its id; an address may be reused by another target.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: TargetState,
    /// Its availability zone.
    pub zone: String,
}

/// A target with the health and load that this process observes.
#[derive(Clone, Debug)]
pub struct TargetRow {
    /// The condition of its engine according to its sidecar, with the time of receipt.
    condition: Option<(EngineCondition, MonotonicTime)>,
    /// Consecutive failures since the last success.
    failures: u32,
    /// Online requests of this process in progress at the target.
    pub in_flight: u32,
    /// Batch items of this process started since the last load report, less those ended.
    item_change: i32,
    /// Online requests of this process started since the last load report, less those ended.
    load_change: i32,
    /// When it became known.
    known_since: MonotonicTime,
    /// Time until which the target is ejected.
    ejected_until: MonotonicTime,
    /// The responses that this process has got without the sidecar.
    own_responses: FailureRecord,
    /// The pace of the responses that this process has got without the sidecar.
    own_pace: PaceRecord,
    /// The last load report of its sidecar, with the time of receipt.
    report: Option<(LoadReport, MonotonicTime)>,
    /// The registration of the target.
    pub record: TargetRecord,
    /// Requests that it takes in a second from all processes, if it names a limit.
    pub request_limit: Option<f64>,
    /// Time until which it takes no further request.
    resting_until: MonotonicTime,
    /// Time until which its sidecar is bypassed.
    sidecar_bypassed_until: MonotonicTime,
}

/// All known targets, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    /// How long the requests of each service wait for their first event, sorted by service.
    first_events: Vec<(String, FirstEventRecord)>,
    rows: Vec<TargetRow>,
    /// The shares of requests that go to other zones, if zones are chosen by their load.
    zone_shares: Option<ZoneShares>,
}

impl TargetRow {
    /// Creates the row of a target that nothing has been sent to.
    fn new(record: TargetRecord, now: MonotonicTime) -> Self {
        Self {
            condition: None,
            failures: 0,
            in_flight: 0,
            item_change: 0,
            load_change: 0,
            known_since: now,
            ejected_until: MonotonicTime::ZERO,
            own_responses: FailureRecord::default(),
            own_pace: PaceRecord::default(),
            report: None,
            record,
            request_limit: None,
            resting_until: MonotonicTime::ZERO,
            sidecar_bypassed_until: MonotonicTime::ZERO,
        }
    }

    /// Returns whether the target accepts new requests and is not ejected.
    #[must_use]
    pub fn is_usable(&self, now: MonotonicTime) -> bool {
        self.resting_until <= now && self.is_healthy(now)
    }

    /// Returns whether the target is not ejected and, apart from its limit, accepts new requests.
    #[must_use]
    pub fn is_healthy(&self, now: MonotonicTime) -> bool {
        self.record.state == TargetState::Ready && self.ejected_until <= now
    }

    /// Returns whether the target belongs to a service and accepts new requests, ejected or not.
    #[must_use]
    pub fn is_ready_for(&self, service: &str) -> bool {
        self.record.service == service && self.record.state == TargetState::Ready
    }

    /// Returns the share of failed responses, from 0 to 1: that which its sidecar reports, otherwise
    /// that of the responses that this process has got.
    #[must_use]
    pub fn failure_share(&self, now: MonotonicTime) -> f64 {
        match self.fresh_condition(now) {
            Some(condition) => f64::from(condition.failure_percent) / 100.0,
            None => self.own_responses.failure_share(now),
        }
    }

    /// Returns the number of responses on which the share of failed ones is based.
    #[must_use]
    pub fn recent_responses(&self, now: MonotonicTime) -> f64 {
        match self.fresh_condition(now) {
            Some(condition) => condition.recent_responses.into(),
            None => self.own_responses.recent_responses(now),
        }
    }

    /// Returns the mean run time of online requests in milliseconds, as its sidecar reports it or, if
    /// it has none, as this process has learned it; `None` if it is not known.
    #[must_use]
    pub fn mean_run_ms(&self, now: MonotonicTime) -> Option<f64> {
        match self.fresh_condition(now) {
            Some(condition) => (condition.run_ms > 0).then(|| condition.run_ms.into()),
            None => self.own_pace.mean_run_ms(),
        }
    }

    /// Returns how long work takes at the target at the moment, in percent of its usual time.
    #[must_use]
    pub fn slowness_percent(&self, now: MonotonicTime) -> u32 {
        match self.fresh_condition(now) {
            Some(condition) => condition.slowness_percent,
            None => self.own_pace.slowness_percent(now),
        }
    }

    /// Returns what this process has learned of the pace of the target without its sidecar.
    pub fn own_pace_mut(&mut self) -> &mut PaceRecord {
        &mut self.own_pace
    }

    /// Returns the condition that the sidecar reports of its engine, if it is recent.
    fn fresh_condition(&self, now: MonotonicTime) -> Option<EngineCondition> {
        let (condition, received) = self.condition?;
        (now.since(received) <= MAX_CONDITION_AGE).then_some(condition)
    }

    /// Records the condition that the target's sidecar reports.
    pub fn record_condition(&mut self, condition: EngineCondition, now: MonotonicTime) {
        self.condition = Some((condition, now));
    }

    /// Records a response that this process has got without the sidecar, whole or a failure of the
    /// target.
    pub fn record_response(&mut self, now: MonotonicTime, is_failure: bool) {
        self.own_responses.record(now, is_failure);
    }

    /// Records that the target takes no further request for a duration because of its limit.
    pub fn rest(&mut self, now: MonotonicTime, duration: Duration) {
        self.resting_until = self.resting_until.max(now + duration);
    }

    /// Returns whether requests are sent through the target's sidecar.
    ///
    /// A sidecar that stops sending load reports, or has sent none since its target became known,
    /// hangs, has crashed, is disconnected or does not exist.
    #[must_use]
    pub fn has_sidecar(&self, now: MonotonicTime) -> bool {
        let is_silent = match self.report {
            Some((_, received)) => now.since(received) > MAX_REPORT_GAP,
            None => now.since(self.known_since) > FIRST_REPORT_TIMEOUT,
        };
        self.sidecar_bypassed_until <= now && !is_silent
    }

    /// Returns the time since the last load report of the target's sidecar, if there is one.
    #[must_use]
    pub fn time_since_report(&self, now: MonotonicTime) -> Option<Duration> {
        self.report.map(|(_, received)| now.since(received))
    }

    /// Estimates the number of online requests that run or wait at the target.
    ///
    /// If the last load report is older than `max_report_age`, only the requests of this process
    /// count.
    #[must_use]
    pub fn online_load(&self, now: MonotonicTime, max_report_age: Duration) -> u32 {
        match self.fresh_report(now, max_report_age) {
            Some(report) => {
                let reported = report.online_running + report.online_waiting;
                reported.saturating_add_signed(self.load_change).max(self.in_flight)
            }
            None => self.in_flight,
        }
    }

    /// Estimates the number of requests of both classes that run or wait at the target, or returns
    /// `None` without a load report that is at most `max_report_age` old.
    #[must_use]
    pub fn total_load(&self, now: MonotonicTime, max_report_age: Duration) -> Option<u32> {
        let report = self.fresh_report(now, max_report_age)?;
        let batch = report.batch_running + report.batch_waiting;
        let online = report.online_running + report.online_waiting;
        Some(batch.saturating_add_signed(self.item_change) + online)
    }

    /// Returns the last load report, unless it is older than `max_age`.
    #[must_use]
    pub fn fresh_report(&self, now: MonotonicTime, max_age: Duration) -> Option<&LoadReport> {
        let (report, received) = self.report.as_ref()?;
        (now.since(*received) <= max_age).then_some(report)
    }

    /// Records a load report of the target's sidecar.
    pub fn record_report(&mut self, report: LoadReport, now: MonotonicTime) {
        self.report = Some((report, now));
        self.item_change = 0;
        self.load_change = 0;
    }

    /// Records the target's response that online requests take all its slots.
    pub fn record_full(&mut self, now: MonotonicTime) {
        let slots = self.record.slots;
        let report = self.report.map(|(report, _)| report).unwrap_or_default();
        let online_running = report.online_running.max(slots);
        self.record_report(LoadReport { online_running, slots, ..report }, now);
    }

    /// Records a success, which resets the count of consecutive failures.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and ejects the target after several consecutive ones.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.failures = self.failures.saturating_add(1);
        if let Some(excess) = self.failures.checked_sub(FAILURES_TO_EJECT) {
            let ejection = INITIAL_EJECTION.saturating_mul(1 << excess.min(8)).min(MAX_EJECTION);
            self.ejected_until = now + ejection;
        }
    }

    /// Ejects the target for a duration, for example because it refuses connections.
    pub fn eject(&mut self, now: MonotonicTime, duration: Duration) {
        self.ejected_until = self.ejected_until.max(now + duration);
    }

    /// Bypasses the target's sidecar for a duration.
    pub fn bypass_sidecar(&mut self, now: MonotonicTime, duration: Duration) {
        self.sidecar_bypassed_until = now + duration;
    }
}

impl TargetTable {
    /// Lets the load decide how many requests of an instance in `zone` go to other zones.
    pub fn choose_zones(&mut self, zone: &str, terms: ZoneTerms) {
        self.zone_shares = Some(ZoneShares::new(zone, terms));
    }

    /// Returns the share of a service's requests that goes to other zones; `None` if a fixed penalty
    /// decides.
    #[must_use]
    pub fn away_share(&self, service: &str) -> Option<f64> {
        self.zone_shares.as_ref().map(|shares| shares.share(service))
    }

    /// Returns the services whose requests have begun to go to other zones, or no longer do, with the
    /// shares.
    pub fn take_zone_changes(&mut self) -> Vec<(String, f64)> {
        self.zone_shares.as_mut().map(ZoneShares::take_changes).unwrap_or_default()
    }

    /// Moves the share of the requests to the service of a target that go to other zones.
    fn step_zone_share(&mut self, ip: IpAddr, now: MonotonicTime) {
        let Some(shares) = &mut self.zone_shares else {
            return;
        };
        if let Some(row) = self.rows.iter().find(|row| row.record.address.ip() == ip) {
            shares.step(&self.rows, &row.record.service, now);
        }
    }

    /// Inserts or updates a target; one with a new address starts without observations.
    pub fn upsert(&mut self, record: TargetRecord, now: MonotonicTime) {
        match self.position(&record.id) {
            Ok(position) if self.rows[position].record.address == record.address => {
                self.rows[position].record = record;
            }
            Ok(position) => self.rows[position] = TargetRow::new(record, now),
            Err(position) => self.rows.insert(position, TargetRow::new(record, now)),
        }
    }

    /// Removes a target, if it is in the table.
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

    /// Returns the mutable row of a target.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut TargetRow> {
        self.position(id).ok().map(|position| &mut self.rows[position])
    }

    /// Returns the time until a target of the service that rests because of its limit takes the next
    /// request; `None` if none rests.
    #[must_use]
    pub fn shortest_rest(&self, service: &str, now: MonotonicTime) -> Option<Duration> {
        let resting = self.rows.iter().filter(|row| {
            row.record.service == service && row.is_healthy(now) && row.resting_until > now
        });
        resting.map(|row| now.until(row.resting_until)).min()
    }

    /// Records how long a request of a service waited for its first event.
    pub fn record_first_event(&mut self, service: &str, time: Duration, objective: Duration) {
        let found = self.first_events.binary_search_by(|(name, _)| name.as_str().cmp(service));
        let position = found.unwrap_or_else(|position| {
            let record = FirstEventRecord::default();
            self.first_events.insert(position, (service.to_owned(), record));
            position
        });
        self.first_events[position].1.record(time, objective);
    }

    /// Returns how much the pace of a service's targets matters, from 0 to 1.
    #[must_use]
    pub fn pace_weight(&self, service: &str) -> f64 {
        let found = self.first_events.binary_search_by(|(name, _)| name.as_str().cmp(service));
        found.map_or(1.0, |position| self.first_events[position].1.pace_weight())
    }

    /// Records a load report of the sidecar at an address for all targets with that address.
    pub fn record_report_from(&mut self, ip: IpAddr, report: &LoadReport, now: MonotonicTime) {
        for row in self.rows.iter_mut().filter(|row| row.record.address.ip() == ip) {
            row.record_report(*report, now);
        }
        self.step_zone_share(ip, now);
    }

    /// Records the condition of the engine at an address for all targets with that address.
    pub fn record_condition_from(
        &mut self,
        ip: IpAddr,
        condition: EngineCondition,
        now: MonotonicTime,
    ) {
        for row in self.rows.iter_mut().filter(|row| row.record.address.ip() == ip) {
            row.record_condition(condition, now);
        }
    }

    /// Counts an online request that is sent to a target.
    pub fn begin_request(&mut self, id: &str) {
        if let Some(row) = self.get_mut(id) {
            row.in_flight += 1;
            row.load_change += 1;
        }
    }

    /// Counts the end of an online request.
    pub fn end_request(&mut self, id: &str) {
        if let Some(row) = self.get_mut(id) {
            row.in_flight = row.in_flight.saturating_sub(1);
            row.load_change -= 1;
        }
    }

    /// Counts a batch item that is sent to a target.
    pub fn begin_item(&mut self, id: &str) {
        if let Some(row) = self.get_mut(id) {
            row.item_change += 1;
        }
    }

    /// Counts the end of a batch item's run at a target.
    pub fn end_item(&mut self, id: &str) {
        if let Some(row) = self.get_mut(id) {
            row.item_change -= 1;
        }
    }

    /// Returns the index of a target, or the index at which to insert it.
    fn position(&self, id: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.record.id.as_str().cmp(id))
    }
}
