//! The queue in front of one target.

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

/// Batch requests that may wait at a sidecar; entries hold the rest.
const BATCH_WAITING: usize = 8;

/// Longest time that a batch request waits at a sidecar before its entry gets it back.
const BATCH_PATIENCE: Duration = Duration::from_secs(2);

/// Shortest delay that a refusal asks for.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// What the queue is told.
#[derive(Clone, Copy, Debug)]
pub enum AdmissionEvent {
    /// A request has arrived.
    Arrived(RequestArrival),
    /// A running request has produced its first response bytes.
    Responded(TicketId),
    /// A running request has produced this many tokens so far.
    Progressed(TicketId, u32),
    /// A running request has ended, whichever way.
    Finished(TicketId),
    /// The caller of a request has gone away.
    Abandoned(TicketId),
    /// The sidecar takes no new work from now on.
    DrainStarted,
    /// Time has passed.
    Ticked,
}

/// What the queue asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionCommand {
    /// Hand the request to the target.
    Start(TicketId),
    /// Refuse the request, which was not handed over; a retry may help after the given time.
    Refuse(TicketId, RefusalReason, Option<Duration>),
    /// Cancel a running batch request and give its part of the answer back.
    Preempt(TicketId),
    /// Cancel a running request whose caller has gone away.
    Cancel(TicketId),
}

/// Decides which requests the target runs.
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
    waits: Vec<(TicketId, MonotonicTime)>,
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
            waits: Vec::new(),
            window: PeakWindow::default(),
        }
    }

    /// Takes one event and appends what it asks for to `commands`.
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

    /// Returns the counts that entries route by.
    pub fn load(&mut self, now: MonotonicTime) -> TargetLoad {
        let running = self.running.count(WorkClass::Online);
        let batch_running = self.running.count(WorkClass::Batch);
        TargetLoad {
            limit: self.online_limit(),
            running,
            waiting: self.waiting_online.len() as u32,
            batch_running,
            batch_slack: self.batch_ceiling(now).saturating_sub(batch_running),
        }
    }

    /// Tells whether no request waits or runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let running = self.running.count(WorkClass::Online) + self.running.count(WorkClass::Batch);
        running == 0 && self.waiting_online.len() == 0 && self.waiting_batch.len() == 0
    }

    /// Queues an arrival or refuses it.
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
            WorkClass::Batch if self.waiting_batch.len() >= BATCH_WAITING => {
                let after = Some(BATCH_PATIENCE);
                commands.push(AdmissionCommand::Refuse(ticket, RefusalReason::NoSlack, after));
            }
            WorkClass::Batch => {
                self.waits.push((ticket, now));
                self.waiting_batch.push(arrival);
            }
        }
    }

    /// Queues an online arrival, unless its deadline or the queue's bound speaks against it.
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
    /// With fair shares a request waits behind its own organisation's requests, each of which
    /// takes turns with those of the others, but never behind more than all that wait.
    fn predicted_wait(&self, organisation: OrganisationId, weight: u32) -> Duration {
        let limit = self.online_limit();
        let running = self.running.count(WorkClass::Online);
        let waiting = self.waiting_online.len() as u32;
        if waiting == 0 && running < limit {
            return Duration::ZERO;
        }
        let mut ahead = f64::from(waiting);
        if self.settings.order == QueueOrder::FairShare {
            let own = self.waiting_of(organisation) + 1;
            let weights = self.waiting_weights(organisation, weight);
            let turns = f64::from(own) * f64::from(weights) / f64::from(weight.max(1));
            ahead = ahead.min(turns);
        }
        self.estimate.expected_wait(ahead + 1.0, limit)
    }

    /// Counts an organisation's waiting online requests.
    fn waiting_of(&self, organisation: OrganisationId) -> u32 {
        let rows = self.waiting_online.rows().iter();
        rows.filter(|row| row.organisation == organisation).count() as u32
    }

    /// Adds up the weights of the organisations that wait, `organisation` among them.
    fn waiting_weights(&self, organisation: OrganisationId, weight: u32) -> u32 {
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

    /// Picks the request that an overfull queue gives up: the latest of the organisation that has
    /// the most waiting for its weight.
    fn overflow_victim(&self) -> Option<TicketId> {
        let rows = self.waiting_online.rows();
        if self.settings.order == QueueOrder::Fifo {
            return rows.last().map(|row| row.ticket);
        }
        let burden = |row: &RequestArrival| {
            u64::from(self.waiting_of(row.organisation)) * 1_000 / u64::from(row.weight.max(1))
        };
        rows.iter().max_by_key(|row| (burden(row), row.ticket)).map(|row| row.ticket)
    }

    /// Notes the first response of a running request.
    fn respond(&mut self, now: MonotonicTime, ticket: TicketId) {
        let Some(row) = self.running.get_mut(ticket) else {
            return;
        };
        if !row.responded && row.class == WorkClass::Online {
            self.limit.record(now.since(row.started));
        }
        row.responded = true;
    }

    /// Takes a request off the target.
    fn finish(&mut self, now: MonotonicTime, ticket: TicketId) {
        let Some(row) = self.running.remove(ticket) else {
            return;
        };
        if row.class == WorkClass::Online && row.responded {
            self.estimate.record(now.since(row.started));
        }
    }

    /// Drops a waiting request or cancels a running one.
    fn abandon(&mut self, ticket: TicketId, commands: &mut Vec<AdmissionCommand>) {
        self.waits.retain(|wait| wait.0 != ticket);
        let waiting =
            self.waiting_online.remove(ticket).or_else(|| self.waiting_batch.remove(ticket));
        if waiting.is_some() {
            commands.push(AdmissionCommand::Refuse(ticket, RefusalReason::CallerGone, None));
        } else if let Some(row) = self.running.get_mut(ticket) {
            row.preempted = true;
            commands.push(AdmissionCommand::Cancel(ticket));
        }
    }

    /// Refuses all batch that waits; what online has accepted runs to its end.
    fn drain(&mut self, commands: &mut Vec<AdmissionCommand>) {
        self.draining = true;
        self.waits.clear();
        while let Some(row) = self.waiting_batch.rows().first().copied() {
            self.waiting_batch.remove(row.ticket);
            commands.push(AdmissionCommand::Refuse(row.ticket, RefusalReason::Leaving, None));
        }
    }

    /// Runs the systems that depend on time alone.
    fn tick(&mut self, now: MonotonicTime, commands: &mut Vec<AdmissionCommand>) {
        if self.settings.limit == LimitPolicy::Adaptive {
            self.limit.tick(now);
        }
        self.shares.expire();
        self.refuse_late_online(now, commands);
        self.return_patient_batch(now, commands);
    }

    /// Refuses online requests that cannot be answered in time any more.
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

    /// Tells whether a request that starts now would end after its deadline.
    fn is_late(&self, now: MonotonicTime, row: &RequestArrival) -> bool {
        let left = now.until(row.deadline);
        left.is_zero()
            || (self.settings.early_refusal && left < self.estimate.conservative_service_time())
    }

    /// Gives batch requests back to their entries when they found no slack for long.
    fn return_patient_batch(&mut self, now: MonotonicTime, commands: &mut Vec<AdmissionCommand>) {
        while let Some((ticket, arrived)) = self.waits.first().copied() {
            if now.since(arrived) < BATCH_PATIENCE {
                return;
            }
            self.waits.remove(0);
            if self.waiting_batch.remove(ticket).is_some() {
                let after = Some(BATCH_PATIENCE);
                commands.push(AdmissionCommand::Refuse(ticket, RefusalReason::NoSlack, after));
            }
        }
    }

    /// Starts whatever may start.
    fn dispatch(&mut self, now: MonotonicTime, commands: &mut Vec<AdmissionCommand>) {
        self.dispatch_online(now, commands);
        let online = self.running.count(WorkClass::Online) + self.waiting_online.len() as u32;
        self.window.record(now, online);
        self.dispatch_batch(now, commands);
    }

    /// Starts waiting online requests, at the cost of batch where the slots are full.
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
            self.shed_batch(now, commands);
        }
    }

    /// Picks the online request that runs next.
    fn next_online(&self) -> Option<RequestArrival> {
        let rows = self.waiting_online.rows();
        if self.settings.order == QueueOrder::Fifo {
            return rows.first().copied();
        }
        let mut best: Option<(f64, &RequestArrival)> = None;
        for row in rows {
            let start = self.shares.start_time(row.organisation);
            if best.is_none_or(|(least, _)| start < least) {
                best = Some((start, row));
            }
        }
        best.map(|(_, row)| *row)
    }

    /// Starts waiting batch requests in the slack that online leaves.
    fn dispatch_batch(&mut self, now: MonotonicTime, commands: &mut Vec<AdmissionCommand>) {
        if self.waiting_online.len() > 0 && self.settings.preemption {
            return;
        }
        while let Some(arrival) = self.waiting_batch.rows().first().copied() {
            if self.running.count(WorkClass::Batch) >= self.batch_ceiling(now) {
                return;
            }
            let interval = self.settings.batch_start_interval;
            if self.last_batch_start.is_some_and(|start| now.since(start) < interval) {
                return;
            }
            self.last_batch_start = Some(now);
            self.waiting_batch.remove(arrival.ticket);
            self.waits.retain(|wait| wait.0 != arrival.ticket);
            self.start(now, arrival, commands);
        }
    }

    /// Hands a request over.
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
            preempted: false,
            progress: 0,
            responded: false,
            started: now,
            ticket: arrival.ticket,
        });
        commands.push(AdmissionCommand::Start(arrival.ticket));
    }

    /// Returns the number of online requests that may run at once.
    fn online_limit(&self) -> u32 {
        match self.settings.limit {
            LimitPolicy::Adaptive => self.limit.current(),
            LimitPolicy::Fixed => self.settings.slots,
        }
    }

    /// Returns the number of batch requests that may run now.
    fn batch_ceiling(&mut self, now: MonotonicTime) -> u32 {
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

    /// Cancels batch requests over the number that may run beside the online ones.
    fn shed_batch(&mut self, now: MonotonicTime, commands: &mut Vec<AdmissionCommand>) {
        let online = self.running.count(WorkClass::Online);
        if online == 0 {
            return;
        }
        self.window.record(now, online);
        let room = self.settings.slots.saturating_sub(online);
        let ceiling = room.min(self.settings.batch_beside_online);
        while self.running.count(WorkClass::Batch) > ceiling {
            if !self.preempt_one(commands) {
                return;
            }
        }
    }

    /// Cancels the batch request with the least progress; tells whether there was one.
    fn preempt_one(&mut self, commands: &mut Vec<AdmissionCommand>) -> bool {
        if !self.settings.preemption {
            return false;
        }
        let Some(row) = self.running.least_batch_progress() else {
            return false;
        };
        row.preempted = true;
        commands.push(AdmissionCommand::Preempt(row.ticket));
        true
    }
}
