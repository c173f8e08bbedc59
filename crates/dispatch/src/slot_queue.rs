//! The queue in front of one model engine: online first, batch in the slots that are left.

use std::time::Duration;

use cv_policy::MonotonicTime;
use cv_policy::TicketId;
use cv_policy::WorkClass;

use crate::BatchOrder;

/// Time that a slot stays free after a preemption, so that batch runs do not flap in and out.
const REFILL_DELAY: Duration = Duration::from_millis(60);

/// Assumed length of an online run before any has ended.
const FIRST_RUN: Duration = Duration::from_millis(800);

/// Weight of a new observation of the length of runs.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Batch requests that may wait at one engine; their keepers hold the rest.
const BATCH_WAITING: usize = 64;

/// The terms of an arriving request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionOptions {
    /// Whether a caller waits for it.
    pub class: WorkClass,
    /// Whether part of a batch request's output is there already.
    pub has_begun: bool,
    /// When a batch request is due; orders batch requests only.
    pub due: MonotonicTime,
    /// Longest expected wait with which an online request enters the queue.
    pub max_expected_wait: Duration,
    /// Time that a batch request is expected to run.
    pub expected_run: Duration,
    /// Time for which an online request stays in the queue once it has entered.
    pub queue_timeout: Duration,
}

/// What becomes of an arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// It runs at once.
    Start,
    /// It waits for a slot.
    Wait,
    /// It is turned away, because it would have to wait for this long.
    Refuse(Duration),
}

/// What the queue asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueCommand {
    /// Hand a waiting request to the engine.
    Start(TicketId),
    /// End a batch run; the request waits in the queue again.
    Preempt(TicketId),
    /// Turn a request away: it has stayed for long enough, or its engine or this process is leaving.
    /// A batch run under way ends with it.
    Evict(TicketId),
}

/// The queue's counts, which other processes place requests by.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Batch requests at the engine.
    pub batch_running: u32,
    /// Batch requests in the queue.
    pub batch_waiting: u32,
    /// Online requests at the engine.
    pub online_running: u32,
    /// Online requests in the queue.
    pub online_waiting: u32,
    /// Requests that the engine runs at once.
    pub slots: u32,
}

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug)]
struct WaitingRow {
    /// Batch: whether part of the output is there.
    has_begun: bool,
    /// Batch: time after which it will probably be late.
    latest_start: MonotonicTime,
    /// Batch: when it is due. Online: when it has stayed for long enough.
    limit: MonotonicTime,
    ticket: TicketId,
}

/// A request at the engine.
#[derive(Clone, Copy, Debug)]
struct RunningRow {
    due: MonotonicTime,
    latest_start: MonotonicTime,
    started: MonotonicTime,
    ticket: TicketId,
}

/// Decides which requests the engine runs.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    batch_running: Vec<RunningRow>,
    /// Sorted by due time.
    batch_waiting: Vec<WaitingRow>,
    /// Whether batch requests are turned away, since this process is leaving.
    hands_back: bool,
    /// Whether the engine is leaving and gets no new runs.
    is_leaving: bool,
    /// Mean length of an online run, in seconds.
    mean_run: f64,
    online_running: Vec<RunningRow>,
    /// In order of arrival.
    online_waiting: Vec<WaitingRow>,
    preempted_at: Option<MonotonicTime>,
    slots: u32,
}

impl SlotQueue {
    /// Creates an empty queue before an engine with so many slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            batch_running: Vec::new(),
            batch_waiting: Vec::new(),
            hands_back: false,
            is_leaving: false,
            mean_run: FIRST_RUN.as_secs_f64(),
            online_running: Vec::new(),
            online_waiting: Vec::new(),
            preempted_at: None,
            slots: slots.max(1),
        }
    }

    /// Takes the engine's number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Takes whether the engine is leaving; what waits for one that is has to go elsewhere.
    pub fn set_draining(&mut self, is_leaving: bool, commands: &mut Vec<QueueCommand>) {
        self.is_leaving = is_leaving;
        if is_leaving {
            let waiting = self.online_waiting.drain(..).chain(self.batch_waiting.drain(..));
            commands.extend(waiting.map(|row| QueueCommand::Evict(row.ticket)));
        }
    }

    /// Tells whether the engine is leaving.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_leaving
    }

    /// Turns all batch requests away, those that run included, for good: they go on elsewhere
    /// sooner than their runs here would end.
    pub fn evict_batch(&mut self, commands: &mut Vec<QueueCommand>) {
        self.hands_back = true;
        let running = self.batch_running.drain(..).map(|row| row.ticket);
        let waiting = self.batch_waiting.drain(..).map(|row| row.ticket);
        commands.extend(running.chain(waiting).map(QueueCommand::Evict));
    }

    /// Takes an arrival; commands make room for it.
    pub fn admit(
        &mut self,
        now: MonotonicTime,
        ticket: TicketId,
        terms: &AdmissionOptions,
        commands: &mut Vec<QueueCommand>,
    ) -> AdmissionDecision {
        if self.is_leaving {
            return AdmissionDecision::Refuse(Duration::ZERO);
        }
        match terms.class {
            WorkClass::Online => self.arrive_online(now, ticket, terms, commands),
            WorkClass::Batch if self.hands_back => AdmissionDecision::Refuse(Duration::ZERO),
            WorkClass::Batch => self.arrive_batch(now, ticket, terms),
        }
    }

    /// Puts a request that the engine did not take back into the queue, unless the engine is leaving.
    pub fn requeue(&mut self, ticket: TicketId, commands: &mut Vec<QueueCommand>) {
        let Some(position) = self.batch_running.iter().position(|row| row.ticket == ticket) else {
            return;
        };
        let RunningRow { due, latest_start, .. } = self.batch_running.swap_remove(position);
        if self.is_leaving {
            commands.push(QueueCommand::Evict(ticket));
        } else {
            self.wait_batch(WaitingRow { has_begun: false, latest_start, limit: due, ticket });
        }
    }

    /// Takes the end of a request, whether it ran or waited.
    pub fn finish(
        &mut self,
        now: MonotonicTime,
        ticket: TicketId,
        commands: &mut Vec<QueueCommand>,
    ) {
        self.online_waiting.retain(|row| row.ticket != ticket);
        self.batch_waiting.retain(|row| row.ticket != ticket);
        self.batch_running.retain(|row| row.ticket != ticket);
        if let Some(position) = self.online_running.iter().position(|row| row.ticket == ticket) {
            let row = self.online_running.swap_remove(position);
            let lasted = now.since(row.started).as_secs_f64();
            self.mean_run += SAMPLE_WEIGHT * (lasted - self.mean_run);
        }
        self.dispatch(now, commands);
    }

    /// Lets waiting requests run out of patience and fills free slots.
    pub fn tick(&mut self, now: MonotonicTime, commands: &mut Vec<QueueCommand>) {
        self.online_waiting.retain(|row| {
            let waits = row.limit > now;
            if !waits {
                commands.push(QueueCommand::Evict(row.ticket));
            }
            waits
        });
        self.dispatch(now, commands);
    }

    /// Returns the time at which `tick` has something to do, if nothing else happens before.
    #[must_use]
    pub fn next_tick(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let patience = self.online_waiting.iter().map(|row| row.limit).min();
        let refill = self.preempted_at.map(|time| time + REFILL_DELAY);
        let refill = refill.filter(|time| !self.batch_waiting.is_empty() && *time > now);
        patience.into_iter().chain(refill).min()
    }

    /// Returns the counts.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            batch_running: self.batch_running.len() as u32,
            batch_waiting: self.batch_waiting.len() as u32,
            online_running: self.online_running.len() as u32,
            online_waiting: self.online_waiting.len() as u32,
            slots: self.slots,
        }
    }

    /// Predicts how long the next online arrival would wait.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        let ahead = self.online_running.len() + self.online_waiting.len();
        if ahead < self.slots as usize {
            return Duration::ZERO;
        }
        let turns = (ahead + 1 - self.slots as usize) as f64;
        Duration::from_secs_f64(turns * self.mean_run / f64::from(self.slots))
    }

    /// Starts, queues or refuses an online arrival.
    fn arrive_online(
        &mut self,
        now: MonotonicTime,
        ticket: TicketId,
        terms: &AdmissionOptions,
        commands: &mut Vec<QueueCommand>,
    ) -> AdmissionDecision {
        let wait = self.expected_wait();
        if wait > terms.max_expected_wait {
            return AdmissionDecision::Refuse(wait);
        }
        if !wait.is_zero() {
            let limit = now + terms.queue_timeout;
            self.online_waiting.push(WaitingRow {
                has_begun: false,
                latest_start: limit,
                limit,
                ticket,
            });
            return AdmissionDecision::Wait;
        }
        self.start_online(now, ticket);
        self.make_room(now, commands);
        AdmissionDecision::Start
    }

    /// Starts or queues a batch arrival.
    fn arrive_batch(
        &mut self,
        now: MonotonicTime,
        ticket: TicketId,
        terms: &AdmissionOptions,
    ) -> AdmissionDecision {
        if self.batch_waiting.len() >= BATCH_WAITING {
            return AdmissionDecision::Refuse(REFILL_DELAY);
        }
        let latest_start = BatchOrder.latest_start(terms.due, terms.expected_run);
        let has_begun = terms.has_begun;
        let row = WaitingRow { has_begun, latest_start, limit: terms.due, ticket };
        if self.batch_waiting.is_empty() && self.may_start_batch(now) {
            self.start_batch(now, &row);
            return AdmissionDecision::Start;
        }
        self.wait_batch(row);
        AdmissionDecision::Wait
    }

    /// Inserts a batch request by its due time.
    fn wait_batch(&mut self, row: WaitingRow) {
        let position = self.batch_waiting.partition_point(|other| other.limit <= row.limit);
        self.batch_waiting.insert(position, row);
    }

    /// Takes the batch request that is to run next.
    ///
    /// In the order of [`BatchOrder`]; what it puts last goes by due time.
    fn take_batch(&mut self, now: MonotonicTime) -> Option<WaitingRow> {
        if self.batch_waiting.is_empty() {
            return None;
        }
        let rows = &self.batch_waiting;
        let begun = rows.iter().position(|row| row.latest_start >= now && row.has_begun);
        let newest = || rows.iter().rposition(|row| row.latest_start >= now);
        let next = begun.or_else(newest).unwrap_or(0);
        Some(self.batch_waiting.remove(next))
    }

    /// Fills free slots, with online requests first.
    fn dispatch(&mut self, now: MonotonicTime, commands: &mut Vec<QueueCommand>) {
        while self.online_running.len() < self.slots as usize && !self.online_waiting.is_empty() {
            let row = self.online_waiting.remove(0);
            self.start_online(now, row.ticket);
            commands.push(QueueCommand::Start(row.ticket));
        }
        self.make_room(now, commands);
        while self.may_start_batch(now)
            && let Some(row) = self.take_batch(now)
        {
            self.start_batch(now, &row);
            commands.push(QueueCommand::Start(row.ticket));
        }
    }

    /// Preempts batch runs that take the slots of online ones: those that are late already, then
    /// those that are due last.
    fn make_room(&mut self, now: MonotonicTime, commands: &mut Vec<QueueCommand>) {
        while self.online_running.len() + self.batch_running.len() > self.slots as usize {
            let rows = self.batch_running.iter().enumerate();
            let last = rows.max_by_key(|(_, row)| (row.due < now, row.due));
            let Some((position, _)) = last else {
                return;
            };
            let row = self.batch_running.swap_remove(position);
            self.preempted_at = Some(now);
            if self.is_leaving {
                commands.push(QueueCommand::Evict(row.ticket));
            } else {
                // It waits from now on, whether or not its run has noticed yet.
                let ran = now.since(row.started);
                let latest_start = BatchOrder.latest_start_after(row.latest_start, ran);
                let RunningRow { due, ticket, .. } = row;
                self.wait_batch(WaitingRow { has_begun: true, latest_start, limit: due, ticket });
                commands.push(QueueCommand::Preempt(row.ticket));
            }
        }
    }

    /// Tells whether a batch request may take a slot.
    fn may_start_batch(&self, now: MonotonicTime) -> bool {
        let running = self.online_running.len() + self.batch_running.len();
        let rested = self.preempted_at.is_none_or(|time| now.since(time) >= REFILL_DELAY);
        running < self.slots as usize && rested
    }

    /// Counts an online request as running.
    fn start_online(&mut self, now: MonotonicTime, ticket: TicketId) {
        self.online_running.push(RunningRow { due: now, latest_start: now, started: now, ticket });
    }

    /// Counts a batch request as running.
    fn start_batch(&mut self, now: MonotonicTime, row: &WaitingRow) {
        let WaitingRow { latest_start, limit, ticket, .. } = *row;
        self.batch_running.push(RunningRow { due: limit, latest_start, started: now, ticket });
    }
}
