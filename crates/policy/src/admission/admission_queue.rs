//! The admission queue in front of one target.

use std::time::Duration;

use super::AdmissionSettings;
use super::ConcurrencyLimit;
use super::LimitPolicy;
use super::PeakWindow;
use super::QueueOrder;
use super::RequestArrival;
use super::ServiceEstimate;
use super::ShareTable;
use super::request_tables::RunningRow;
use super::request_tables::RunningTable;
use super::request_tables::WaitingTable;
use crate::MonotonicTime;
use crate::OrganisationId;
use crate::RefusalReason;
use crate::TargetLoad;
use crate::TicketId;
use crate::WorkClass;

/// Maximum number of batch requests that wait at a sidecar; entries hold the others.
const MAX_WAITING_BATCH: usize = 8;

/// Maximum time that a batch request waits at a sidecar before it is refused and returns to its
/// entry.
const MAX_BATCH_WAIT: Duration = Duration::from_secs(2);

/// Minimum delay before a retry that a refusal suggests.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Input of an [`AdmissionQueue`].
#[derive(Clone, Copy, Debug)]
pub enum AdmissionEvent {
    /// A request has arrived.
    Arrived(RequestArrival),
    /// The first response bytes of a running request have arrived.
    Responded(TicketId),
    /// A running request has generated this many tokens so far.
    Progressed(TicketId, u32),
    /// A running request has ended, with or without success.
    Finished(TicketId),
    /// The caller of a request has disconnected.
    Abandoned(TicketId),
    /// The sidecar is draining and accepts no new requests.
    DrainStarted,
    /// Time has passed.
    Ticked,
}

/// Output of an [`AdmissionQueue`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionCommand {
    /// Send the request to the target.
    Start(TicketId),
    /// Refuse a waiting request; a retry may succeed after the given time.
    Refuse(TicketId, RefusalReason, Option<Duration>),
    /// Cancel a running batch request and return the partial response to its entry.
    Preempt(TicketId),
    /// Cancel a running request whose caller has disconnected.
    Cancel(TicketId),
}

/// Decides which requests the target runs, and when.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    draining: bool,
    estimate: ServiceEstimate,
    last_batch_start: Option<MonotonicTime>,
    limit: ConcurrencyLimit,
    running: RunningTable,
    settings: AdmissionSettings,
    shares: ShareTable,
    waiting_batch: WaitingTable,
    waiting_online: WaitingTable,
    /// Arrival times of the waiting batch requests, oldest first.
    waiting_since: Vec<(TicketId, MonotonicTime)>,
    /// Recent peak of online requests, running and waiting.
    window: PeakWindow,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            draining: false,
            estimate: ServiceEstimate::default(),
            last_batch_start: None,
            limit: ConcurrencyLimit::new(settings.slots),
            running: RunningTable::default(),
            settings,
            shares: ShareTable::default(),
            waiting_batch: WaitingTable::default(),
            waiting_online: WaitingTable::default(),
            waiting_since: Vec::new(),
            window: PeakWindow::default(),
        }
    }

    /// Processes an event and appends the resulting commands to `commands`.
    pub fn handle(
        &mut self,
        now: MonotonicTime,
        event: AdmissionEvent,
        commands: &mut Vec<AdmissionCommand>,
    ) {
        match event {
            AdmissionEvent::Arrived(arrival) => self.arrive(now, arrival, commands),
            AdmissionEvent::Responded(ticket) => self.respond(now, ticket),
            AdmissionEvent::Progressed(ticket, tokens) => {
                if let Some(row) = self.running.get_mut(ticket) {
                    row.progress = tokens;
                }
            }
            AdmissionEvent::Finished(ticket) => self.finish(now, ticket),
            AdmissionEvent::Abandoned(ticket) => self.abandon(ticket, commands),
            AdmissionEvent::DrainStarted => self.drain(commands),
            AdmissionEvent::Ticked => self.tick(now, commands),
        }
        self.dispatch(now, commands);
    }

    /// Returns the load report by which entries route requests.
    pub fn load(&mut self, now: MonotonicTime) -> TargetLoad {
        let running = self.running.count(WorkClass::Online);
        let batch_running = self.running.count(WorkClass::Batch);
        TargetLoad {
            limit: self.online_limit(),
            running,
            waiting: self.waiting_online.len() as u32,
            batch_running,
            batch_slack: self.batch_limit(now).saturating_sub(batch_running),
        }
    }

    /// Returns whether no request waits or runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let running = self.running.count(WorkClass::Online) + self.running.count(WorkClass::Batch);
        running == 0 && self.waiting_online.len() == 0 && self.waiting_batch.len() == 0
    }

    /// Queues or refuses an arriving request.
    fn arrive(
        &mut self,
        now: MonotonicTime,
        arrival: RequestArrival,
        commands: &mut Vec<AdmissionCommand>,
    ) {
        let ticket = arrival.ticket;
        if self.draining {
            commands.push(AdmissionCommand::Refuse(ticket, RefusalReason::Leaving, None));
            return;
        }
        match arrival.class {
            WorkClass::Online => self.arrive_online(now, arrival, commands),
            WorkClass::Batch if self.waiting_batch.len() >= MAX_WAITING_BATCH => {
                let after = Some(MAX_BATCH_WAIT);
                commands.push(AdmissionCommand::Refuse(ticket, RefusalReason::NoSlack, after));
            }
            WorkClass::Batch => {
                self.waiting_since.push((ticket, now));
                self.waiting_batch.push(arrival);
            }
        }
    }

    /// Queues an online request, unless its deadline cannot be met. If the queue is then too long,
    /// refuses one of the waiting requests.
    fn arrive_online(
        &mut self,
        now: MonotonicTime,
        arrival: RequestArrival,
        commands: &mut Vec<AdmissionCommand>,
    ) {
        if self.settings.early_refusal {
            let wait = self.predicted_wait(arrival.organisation, arrival.weight);
            let needed = wait + self.estimate.conservative_service_time();
            if !wait.is_zero() && needed > now.until(arrival.deadline) {
                let reason = RefusalReason::DeadlineUnreachable;
                let after = Some(wait.max(MIN_RETRY_AFTER));
                commands.push(AdmissionCommand::Refuse(arrival.ticket, reason, after));
                return;
            }
        }
        self.waiting_online.push(arrival);
        if self.waiting_online.len() > self.settings.max_waiting
            && let Some(victim) = self.overflow_victim()
        {
            self.waiting_online.remove(victim);
            let after = Some(
                self.estimate.expected_wait(self.settings.max_waiting as f64, self.online_limit()),
            );
            commands.push(AdmissionCommand::Refuse(victim, RefusalReason::OverShare, after));
        }
    }

    /// Predicts the wait of an organisation's next online request.
    ///
    /// With fair sharing a request waits for the requests of its own organisation and, in between,
    /// for those of the others according to their weights, but never for more than all that wait.
    fn predicted_wait(&self, organisation: OrganisationId, weight: u32) -> Duration {
        let limit = self.online_limit();
        let running = self.running.count(WorkClass::Online);
        let waiting = self.waiting_online.len() as u32;
        if waiting == 0 && running < limit {
            return Duration::ZERO;
        }
        let mut ahead = f64::from(waiting);
        if self.settings.order == QueueOrder::FairShare {
            let own = self.waiting_count(organisation) + 1;
            let total_weight = self.total_waiting_weight(organisation, weight);
            let interleaved = f64::from(own) * f64::from(total_weight) / f64::from(weight.max(1));
            ahead = ahead.min(interleaved);
        }
        self.estimate.expected_wait(ahead + 1.0, limit)
    }

    /// Returns the number of an organisation's waiting online requests.
    fn waiting_count(&self, organisation: OrganisationId) -> u32 {
        let rows = self.waiting_online.rows().iter();
        rows.filter(|row| row.organisation == organisation).count() as u32
    }

    /// Returns the total weight of `organisation` and all organisations with waiting requests.
    fn total_waiting_weight(&self, organisation: OrganisationId, weight: u32) -> u32 {
        let mut seen = vec![organisation];
        let mut total = weight;
        for row in self.waiting_online.rows() {
            if let Err(position) = seen.binary_search(&row.organisation) {
                seen.insert(position, row.organisation);
                total += row.weight;
            }
        }
        total
    }

    /// Picks the request to refuse when the queue is too long: the latest one of the organisation
    /// with the most waiting requests relative to its weight.
    fn overflow_victim(&self) -> Option<TicketId> {
        let rows = self.waiting_online.rows();
        if self.settings.order == QueueOrder::Fifo {
            return rows.last().map(|row| row.ticket);
        }
        let weighted_count = |row: &RequestArrival| {
            u64::from(self.waiting_count(row.organisation)) * 1_000 / u64::from(row.weight.max(1))
        };
        rows.iter().max_by_key(|row| (weighted_count(row), row.ticket)).map(|row| row.ticket)
    }

    /// Records the first response bytes of a running request.
    fn respond(&mut self, now: MonotonicTime, ticket: TicketId) {
        let Some(row) = self.running.get_mut(ticket) else {
            return;
        };
        if !row.responded && row.class == WorkClass::Online {
            self.limit.record(now.since(row.started));
        }
        row.responded = true;
    }

    /// Removes a request that has ended from the running ones.
    fn finish(&mut self, now: MonotonicTime, ticket: TicketId) {
        let Some(row) = self.running.remove(ticket) else {
            return;
        };
        if row.class == WorkClass::Online && row.responded {
            self.estimate.record(now.since(row.started));
        }
    }

    /// Refuses a waiting request or cancels a running one after its caller has disconnected.
    fn abandon(&mut self, ticket: TicketId, commands: &mut Vec<AdmissionCommand>) {
        self.waiting_since.retain(|row| row.0 != ticket);
        let waiting =
            self.waiting_online.remove(ticket).or_else(|| self.waiting_batch.remove(ticket));
        if waiting.is_some() {
            commands.push(AdmissionCommand::Refuse(ticket, RefusalReason::CallerGone, None));
        } else if let Some(row) = self.running.get_mut(ticket) {
            row.cancelled = true;
            commands.push(AdmissionCommand::Cancel(ticket));
        }
    }

    /// Stops admission and refuses all waiting batch requests. Accepted online requests still run.
    fn drain(&mut self, commands: &mut Vec<AdmissionCommand>) {
        self.draining = true;
        self.waiting_since.clear();
        while let Some(row) = self.waiting_batch.rows().first().copied() {
            self.waiting_batch.remove(row.ticket);
            commands.push(AdmissionCommand::Refuse(row.ticket, RefusalReason::Leaving, None));
        }
    }

    /// Runs the time-dependent steps.
    fn tick(&mut self, now: MonotonicTime, commands: &mut Vec<AdmissionCommand>) {
        if self.settings.limit == LimitPolicy::Adaptive {
            self.limit.tick(now);
        }
        self.shares.expire();
        self.refuse_late_online(now, commands);
        self.refuse_expired_batch(now, commands);
    }

    /// Refuses waiting online requests whose deadline can no longer be met.
    fn refuse_late_online(&mut self, now: MonotonicTime, commands: &mut Vec<AdmissionCommand>) {
        let late: Vec<TicketId> = self
            .waiting_online
            .rows()
            .iter()
            .filter(|row| self.is_late(now, row))
            .map(|row| row.ticket)
            .collect();
        for ticket in late {
            self.waiting_online.remove(ticket);
            let reason = RefusalReason::DeadlinePassed;
            commands.push(AdmissionCommand::Refuse(ticket, reason, Some(MIN_RETRY_AFTER)));
        }
    }

    /// Returns whether a request has passed its deadline or would probably miss it if started now.
    fn is_late(&self, now: MonotonicTime, row: &RequestArrival) -> bool {
        let left = now.until(row.deadline);
        left.is_zero()
            || (self.settings.early_refusal && left < self.estimate.conservative_service_time())
    }

    /// Refuses batch requests that have waited too long for slack, so that they return to their
    /// entries.
    fn refuse_expired_batch(&mut self, now: MonotonicTime, commands: &mut Vec<AdmissionCommand>) {
        while let Some((ticket, arrived)) = self.waiting_since.first().copied() {
            if now.since(arrived) < MAX_BATCH_WAIT {
                return;
            }
            self.waiting_since.remove(0);
            if self.waiting_batch.remove(ticket).is_some() {
                let after = Some(MAX_BATCH_WAIT);
                commands.push(AdmissionCommand::Refuse(ticket, RefusalReason::NoSlack, after));
            }
        }
    }

    /// Starts all requests that may start, online requests first.
    fn dispatch(&mut self, now: MonotonicTime, commands: &mut Vec<AdmissionCommand>) {
        self.dispatch_online(now, commands);
        let online = self.running.count(WorkClass::Online) + self.waiting_online.len() as u32;
        self.window.record(now, online);
        self.dispatch_batch(now, commands);
    }

    /// Starts waiting online requests and preempts batch requests if the slots are full.
    fn dispatch_online(&mut self, now: MonotonicTime, commands: &mut Vec<AdmissionCommand>) {
        while let Some(arrival) = self.next_online() {
            let online = self.running.count(WorkClass::Online);
            if online >= self.online_limit() {
                self.limit.record_saturation();
                return;
            }
            let total = online + self.running.count(WorkClass::Batch);
            if total >= self.settings.slots && !self.preempt_one(commands) {
                return;
            }
            self.waiting_online.remove(arrival.ticket);
            if self.is_late(now, &arrival) {
                let reason = RefusalReason::DeadlinePassed;
                let after = Some(MIN_RETRY_AFTER);
                commands.push(AdmissionCommand::Refuse(arrival.ticket, reason, after));
                continue;
            }
            self.start(now, arrival, commands);
        }
        if self.settings.preemption {
            self.preempt_excess_batch(now, commands);
        }
    }

    /// Returns the online request to start next.
    fn next_online(&self) -> Option<RequestArrival> {
        let rows = self.waiting_online.rows();
        if self.settings.order == QueueOrder::Fifo {
            return rows.first().copied();
        }
        let mut best: Option<(f64, &RequestArrival)> = None;
        for row in rows {
            let start = self.shares.start_time(row.organisation);
            if best.is_none_or(|(earliest, _)| start < earliest) {
                best = Some((start, row));
            }
        }
        best.map(|(_, row)| *row)
    }

    /// Starts waiting batch requests in the slack that online requests leave.
    fn dispatch_batch(&mut self, now: MonotonicTime, commands: &mut Vec<AdmissionCommand>) {
        if self.waiting_online.len() > 0 && self.settings.preemption {
            return;
        }
        while let Some(arrival) = self.waiting_batch.rows().first().copied() {
            if self.running.count(WorkClass::Batch) >= self.batch_limit(now) {
                return;
            }
            let interval = self.settings.batch_start_interval;
            if self.last_batch_start.is_some_and(|start| now.since(start) < interval) {
                return;
            }
            self.last_batch_start = Some(now);
            self.waiting_batch.remove(arrival.ticket);
            self.waiting_since.retain(|row| row.0 != arrival.ticket);
            self.start(now, arrival, commands);
        }
    }

    /// Starts a request.
    fn start(
        &mut self,
        now: MonotonicTime,
        arrival: RequestArrival,
        commands: &mut Vec<AdmissionCommand>,
    ) {
        if arrival.class == WorkClass::Online {
            self.shares.charge(arrival.organisation, arrival.cost, arrival.weight);
        }
        self.running.insert(RunningRow {
            class: arrival.class,
            preemptible: arrival.preemptible,
            cancelled: false,
            progress: 0,
            responded: false,
            started: now,
            ticket: arrival.ticket,
        });
        commands.push(AdmissionCommand::Start(arrival.ticket));
    }

    /// Returns the number of online requests that may run at the same time.
    fn online_limit(&self) -> u32 {
        match self.settings.limit {
            LimitPolicy::Adaptive => self.limit.current(),
            LimitPolicy::Fixed => self.settings.slots,
        }
    }

    /// Returns the number of batch requests that may run now.
    fn batch_limit(&mut self, now: MonotonicTime) -> u32 {
        if self.draining {
            return 0;
        }
        let online = self.running.count(WorkClass::Online);
        if !self.settings.preemption {
            return self.settings.slots.saturating_sub(online);
        }
        let peak = self.window.peak(now).max(online);
        let free = self.settings.slots.saturating_sub(peak + self.settings.reserved_slots);
        if peak > 0 { free.min(self.settings.batch_beside_online) } else { free }
    }

    /// Preempts batch requests beyond the number that may run beside online ones.
    fn preempt_excess_batch(&mut self, now: MonotonicTime, commands: &mut Vec<AdmissionCommand>) {
        let online = self.running.count(WorkClass::Online);
        if online == 0 {
            return;
        }
        self.window.record(now, online);
        let free = self.settings.slots.saturating_sub(online);
        let limit = free.min(self.settings.batch_beside_online);
        while self.running.count(WorkClass::Batch) > limit {
            if !self.preempt_one(commands) {
                return;
            }
        }
    }

    /// Preempts the batch request with the least progress. Returns `false` if none can be.
    fn preempt_one(&mut self, commands: &mut Vec<AdmissionCommand>) -> bool {
        if !self.settings.preemption {
            return false;
        }
        let Some(row) = self.running.preemption_candidate() else {
            return false;
        };
        row.cancelled = true;
        commands.push(AdmissionCommand::Preempt(row.ticket));
        true
    }
}
