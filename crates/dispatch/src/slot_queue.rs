//! The queue in front of one model engine: online requests first, batch in the remaining slots.

use std::time::Duration;

use cv_policy::MonotonicTime;
use cv_policy::TicketId;
use cv_policy::WorkClass;

use crate::AdmissionDecision;
use crate::AdmissionOptions;
use crate::BatchOrder;
use crate::FairShare;
use crate::LoadReport;
use crate::QueueCommand;
use crate::RequestBucket;
use crate::ShareKey;
use crate::running_request::RunningRequest;
use crate::waiting_order::WaitingOrder;
use crate::waiting_request::WaitingRequest;

/// Time after a preemption in which no batch run starts, so that runs are not preempted and resumed
/// in quick succession.
const REFILL_DELAY: Duration = Duration::from_millis(60);

/// Time between two attempts to use a slot that runs of others seem to occupy.
const PROBE_INTERVAL: Duration = Duration::from_millis(60);

/// Assumed run time of online requests until one has ended.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(800);

/// Weight of a new sample in the mean run time.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Requests that an engine must take at once before a batch request starts, so that an online one
/// that arrives next does not wait.
const BATCH_TOKENS: f64 = 2.0;

/// Least cost of a batch request, in seconds.
const MIN_BATCH_COST: f64 = 0.1;

/// Decides which requests an engine runs.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    batch_running: Vec<RunningRequest>,
    /// Shares of the customers in the slots for batch requests.
    batch_shares: FairShare,
    /// Sorted by due time.
    batch_waiting: Vec<WaitingRequest>,
    /// Whether batch requests are refused, because this process is draining.
    refuses_batch: bool,
    /// Whether the engine is draining and gets no new runs.
    is_draining: bool,
    /// Mean run time of online requests, in seconds.
    mean_run_seconds: f64,
    /// When the next slot that runs of others seem to occupy is tried.
    next_probe: MonotonicTime,
    /// Slots that runs of others seem to occupy, since the engine refuses requests although this
    /// queue has sent it fewer than it can run: runs that an earlier process has started.
    occupied_by_others: u32,
    online_running: Vec<RunningRequest>,
    /// Shares of the customers in the slots for online requests.
    online_shares: FairShare,
    /// In order of arrival.
    online_waiting: Vec<WaitingRequest>,
    /// When a batch run was last preempted.
    preempted_at: Option<MonotonicTime>,
    /// Limit on the requests that the engine takes in a second.
    request_bucket: RequestBucket,
    slots: u32,
}

impl SlotQueue {
    /// Creates an empty queue in front of an engine with the given number of slots; 0 counts as 1.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            batch_running: Vec::new(),
            batch_shares: FairShare::default(),
            batch_waiting: Vec::new(),
            refuses_batch: false,
            is_draining: false,
            mean_run_seconds: INITIAL_RUN_TIME.as_secs_f64(),
            next_probe: MonotonicTime::ZERO,
            occupied_by_others: 0,
            online_running: Vec::new(),
            online_shares: FairShare::default(),
            online_waiting: Vec::new(),
            preempted_at: None,
            request_bucket: RequestBucket::default(),
            slots: slots.max(1),
        }
    }

    /// Sets the engine's number of slots; 0 counts as 1.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Sets the limit that the engine names, in requests a second; `None` if it names none.
    pub fn set_request_limit(&mut self, now: MonotonicTime, limit: Option<f64>) {
        self.request_bucket.set_limit(now, limit);
    }

    /// Returns whether the engine names a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.request_bucket.is_limited()
    }

    /// Sets whether the engine is draining; if it is, all waiting requests are evicted.
    pub fn set_draining(&mut self, is_draining: bool, commands: &mut Vec<QueueCommand>) {
        self.is_draining = is_draining;
        if is_draining {
            let waiting = self.online_waiting.drain(..).chain(self.batch_waiting.drain(..));
            commands.extend(waiting.map(|request| QueueCommand::Evict(request.ticket)));
        }
    }

    /// Returns whether the engine is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Evicts all batch requests, including running ones, and refuses new ones from now on.
    ///
    /// They continue at another target sooner than their runs here would end.
    pub fn evict_batch(&mut self, commands: &mut Vec<QueueCommand>) {
        self.refuses_batch = true;
        let running = self.batch_running.drain(..).map(|run| run.request.ticket);
        let waiting = self.batch_waiting.drain(..).map(|request| request.ticket);
        commands.extend(running.chain(waiting).map(QueueCommand::Evict));
    }

    /// Decides on an arriving request; the commands free its slot if needed.
    pub fn admit(
        &mut self,
        now: MonotonicTime,
        ticket: TicketId,
        options: &AdmissionOptions,
        commands: &mut Vec<QueueCommand>,
    ) -> AdmissionDecision {
        if self.is_draining {
            return AdmissionDecision::Refuse(Duration::ZERO);
        }
        match options.class {
            WorkClass::Online => self.admit_online(now, ticket, options, commands),
            WorkClass::Batch if self.refuses_batch => AdmissionDecision::Refuse(Duration::ZERO),
            WorkClass::Batch => self.admit_batch(now, ticket, options),
        }
    }

    /// Returns a request that the engine has refused to the queue, or evicts it if the engine is
    /// draining or, for an online request, the expected wait is longer than `max_expected_wait`.
    pub fn requeue(
        &mut self,
        now: MonotonicTime,
        ticket: TicketId,
        max_expected_wait: Duration,
        commands: &mut Vec<QueueCommand>,
    ) {
        if let Some(run) = take_run(&mut self.batch_running, ticket) {
            self.record_engine_full(now);
            self.batch_shares.refund(run.request.key, run.request.cost);
            if self.is_draining {
                commands.push(QueueCommand::Evict(ticket));
            } else {
                self.enqueue_batch(run.request);
            }
        } else if let Some(run) = take_run(&mut self.online_running, ticket) {
            self.record_engine_full(now);
            let key = run.request.key;
            self.online_shares.refund(key, run.request.cost);
            if self.is_draining || self.expected_wait_of(now, key) > max_expected_wait {
                commands.push(QueueCommand::Evict(ticket));
            } else {
                self.online_waiting.insert(0, run.request);
            }
        }
    }

    /// Records that the engine has refused a request which this queue no longer counts as running.
    fn record_engine_full(&mut self, now: MonotonicTime) {
        let own = self.online_running.len() + self.batch_running.len();
        self.occupied_by_others = self.slots.saturating_sub(own as u32);
        self.next_probe = now + PROBE_INTERVAL;
    }

    /// Returns the number of slots that this queue can use.
    fn usable_slots(&self) -> usize {
        self.slots.saturating_sub(self.occupied_by_others) as usize
    }

    /// Records the complete response to a running request and fills free slots.
    pub fn finish(
        &mut self,
        now: MonotonicTime,
        ticket: TicketId,
        commands: &mut Vec<QueueCommand>,
    ) {
        if let Some(run) = take_run(&mut self.online_running, ticket) {
            let lasted = now.since(run.started).as_secs_f64();
            self.mean_run_seconds += SAMPLE_WEIGHT * (lasted - self.mean_run_seconds);
        }
        take_run(&mut self.batch_running, ticket);
        self.remove(now, ticket, commands);
    }

    /// Removes a running or waiting request that ended early and fills free slots.
    ///
    /// Its time on the engine says nothing about how long complete runs last. Its customer gets back
    /// the cost of the time that it has not used, all of it for a slot that was kept in vain.
    pub fn remove(
        &mut self,
        now: MonotonicTime,
        ticket: TicketId,
        commands: &mut Vec<QueueCommand>,
    ) {
        self.online_waiting.retain(|request| request.ticket != ticket);
        self.batch_waiting.retain(|request| request.ticket != ticket);
        if let Some(run) = take_run(&mut self.batch_running, ticket) {
            let lasted = now.since(run.started).as_secs_f64();
            self.batch_shares.refund(run.request.key, run.request.cost - lasted);
        }
        if let Some(run) = take_run(&mut self.online_running, ticket) {
            let lasted = now.since(run.started).as_secs_f64();
            let used = lasted / self.mean_run_seconds.max(f64::EPSILON);
            self.online_shares.refund(run.request.key, run.request.cost - used);
        }
        self.fill_slots(now, commands);
    }

    /// Evicts online requests whose queue timeout has passed, tries occupied slots again and fills
    /// free ones.
    pub fn tick(&mut self, now: MonotonicTime, commands: &mut Vec<QueueCommand>) {
        if self.occupied_by_others > 0 && self.next_probe <= now {
            self.occupied_by_others -= 1;
            self.next_probe = now + PROBE_INTERVAL;
        }
        self.online_waiting.retain(|request| {
            let keeps_waiting = request.deadline > now;
            if !keeps_waiting {
                commands.push(QueueCommand::Evict(request.ticket));
            }
            keeps_waiting
        });
        self.fill_slots(now, commands);
    }

    /// Returns the time at which [`Self::tick`] is due, if no other call comes first.
    #[must_use]
    pub fn next_tick(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let timeout = self.online_waiting.iter().map(|request| request.deadline).min();
        let probe = (self.occupied_by_others > 0).then_some(self.next_probe);
        let start = self.next_start(now);
        timeout.into_iter().chain(probe).chain(start).min()
    }

    /// Returns when the next waiting request can start if no other slot becomes free. A time in the
    /// past is returned, too: the queue may be asked only after it.
    fn next_start(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let running = self.online_running.len() + self.batch_running.len();
        if !self.online_waiting.is_empty() && self.online_running.len() < self.usable_slots() {
            Some(self.next_tokens(now, 1.0))
        } else if !self.batch_waiting.is_empty() && running < self.usable_slots() {
            let refill = self.preempted_at.map_or(now, |time| time + REFILL_DELAY);
            Some(refill.max(self.next_tokens(now, BATCH_TOKENS)))
        } else {
            None
        }
    }

    /// Returns when the engine takes `count` requests at once, or zero if it does so now.
    fn next_tokens(&self, now: MonotonicTime, count: f64) -> MonotonicTime {
        let wait = self.request_bucket.wait_for(now, count);
        if wait.is_zero() {
            return MonotonicTime::ZERO;
        }
        // Rounded up, so that the tokens are there when the tick comes.
        now + wait + Duration::from_millis(1)
    }

    /// Returns whether the engine takes no further request at the moment, however many slots are
    /// free.
    #[must_use]
    pub fn is_rate_limited(&self, now: MonotonicTime) -> bool {
        self.request_bucket.available(now) < 1.0
    }

    /// Returns the request counts; runs of others count as online ones, which keep their slots.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            batch_running: self.batch_running.len() as u32,
            batch_waiting: self.batch_waiting.len() as u32,
            online_running: self.online_running.len() as u32 + self.occupied_by_others,
            online_waiting: self.online_waiting.len() as u32,
            slots: self.slots,
        }
    }

    /// Estimates how long an online request that arrived now would wait behind all others that can
    /// still meet their latency objective.
    #[must_use]
    pub fn expected_wait(&self, now: MonotonicTime) -> Duration {
        // Requests that have missed their objective let it pass.
        let ahead =
            self.online_waiting.iter().filter(|request| request.meets_objective_until >= now);
        self.wait_behind(now, ahead.map(|request| request.share).sum())
    }

    /// Estimates how long an online request of a customer that arrived now would wait, if it can
    /// still meet its latency objective.
    ///
    /// The requests of a customer beyond its share do not lengthen the wait of the others.
    #[must_use]
    pub fn expected_wait_of(&self, now: MonotonicTime, key: ShareKey) -> Duration {
        let order = WaitingOrder { now, shares: &self.online_shares };
        self.wait_behind(now, order.count_ahead(&self.online_waiting, key))
    }

    /// Estimates how long an online request waits with a number of waiting ones before it.
    fn wait_behind(&self, now: MonotonicTime, waiting: f64) -> Duration {
        let token_wait = self.request_bucket.wait_for(now, waiting + 1.0);
        if self.online_running.len() + self.online_waiting.len() < self.usable_slots() {
            return token_wait;
        }
        let ahead = self.online_running.len() as f64 + waiting;
        let ends_needed = (ahead + 1.0 - self.usable_slots() as f64).max(0.0);
        let run_seconds = ends_needed * self.mean_run_seconds / f64::from(self.slots);
        Duration::from_secs_f64(run_seconds).max(token_wait)
    }

    /// Starts, queues or refuses an online request.
    fn admit_online(
        &mut self,
        now: MonotonicTime,
        ticket: TicketId,
        options: &AdmissionOptions,
        commands: &mut Vec<QueueCommand>,
    ) -> AdmissionDecision {
        let share = 1.0 / f64::from(options.queues.max(1));
        self.online_shares.record_offer(options.share, share);
        let wait = self.expected_wait_of(now, options.share);
        if wait > options.max_expected_wait {
            return AdmissionDecision::Refuse(wait);
        }
        let deadline = now + options.queue_timeout;
        let request = WaitingRequest {
            cost: 1.0,
            has_begun: false,
            key: options.share,
            latest_start: deadline,
            deadline,
            meets_objective_until: now + options.objective_left,
            share,
            ticket,
        };
        if !wait.is_zero() || !self.request_bucket.take(now) {
            self.online_waiting.push(request);
            return AdmissionDecision::Wait;
        }
        self.start_online(now, request);
        self.preempt_batch(now, commands);
        AdmissionDecision::Start
    }

    /// Starts, queues or refuses a batch request.
    fn admit_batch(
        &mut self,
        now: MonotonicTime,
        ticket: TicketId,
        options: &AdmissionOptions,
    ) -> AdmissionDecision {
        self.batch_shares.record_offer(options.share, 1.0);
        if WaitingOrder::is_batch_full(&self.batch_waiting, options.share) {
            return AdmissionDecision::Refuse(REFILL_DELAY);
        }
        let latest_start = BatchOrder.latest_start(options.due, options.expected_run);
        let has_begun = options.has_begun;
        let deadline = options.due;
        let request = WaitingRequest {
            cost: options.expected_run.as_secs_f64().max(MIN_BATCH_COST),
            has_begun,
            key: options.share,
            latest_start,
            deadline,
            meets_objective_until: deadline,
            share: 1.0,
            ticket,
        };
        if self.batch_waiting.is_empty() && self.may_start_batch(now) {
            self.request_bucket.take(now);
            self.start_batch(now, request);
            return AdmissionDecision::Start;
        }
        self.enqueue_batch(request);
        AdmissionDecision::Wait
    }

    /// Inserts a waiting batch request in order of due time.
    fn enqueue_batch(&mut self, request: WaitingRequest) {
        let position =
            self.batch_waiting.partition_point(|other| other.deadline <= request.deadline);
        self.batch_waiting.insert(position, request);
    }

    /// Records an online request as running.
    fn start_online(&mut self, now: MonotonicTime, request: WaitingRequest) {
        let in_time = self.online_waiting.iter().filter(|other| other.meets_objective_until >= now);
        let waiting = in_time.map(|other| other.key);
        self.online_shares.record_start(request.key, request.cost, waiting);
        self.online_running.push(RunningRequest { request, started: now });
    }

    /// Records a batch request as running.
    fn start_batch(&mut self, now: MonotonicTime, request: WaitingRequest) {
        let in_time = self.batch_waiting.iter().filter(|other| other.latest_start >= now);
        let waiting = in_time.map(|other| other.key);
        self.batch_shares.record_start(request.key, request.cost, waiting);
        self.batch_running.push(RunningRequest { request, started: now });
    }

    /// Starts waiting requests in free slots, online requests first.
    fn fill_slots(&mut self, now: MonotonicTime, commands: &mut Vec<QueueCommand>) {
        while self.online_running.len() < self.usable_slots()
            && !self.online_waiting.is_empty()
            && self.request_bucket.take(now)
        {
            let order = WaitingOrder { now, shares: &self.online_shares };
            let next = order.next_online(&self.online_waiting).unwrap_or(0);
            let request = self.online_waiting.remove(next);
            self.start_online(now, request);
            commands.push(QueueCommand::Start(request.ticket));
        }
        self.preempt_batch(now, commands);
        while self.may_start_batch(now) {
            let order = WaitingOrder { now, shares: &self.batch_shares };
            let Some(next) = order.next_batch(&self.batch_waiting) else {
                return;
            };
            let request = self.batch_waiting.remove(next);
            self.request_bucket.take(now);
            self.start_batch(now, request);
            commands.push(QueueCommand::Start(request.ticket));
        }
    }

    /// Preempts batch runs while more requests run than there are slots: first those of the worst
    /// rank, of these the ones that are already late and then those due last.
    fn preempt_batch(&mut self, now: MonotonicTime, commands: &mut Vec<QueueCommand>) {
        while self.online_running.len() + self.batch_running.len() > self.usable_slots() {
            let runs = self.batch_running.iter().enumerate();
            let victim = runs.max_by_key(|(_, run)| {
                let request = &run.request;
                (request.key.rank, request.deadline < now, request.deadline)
            });
            let Some((position, _)) = victim else {
                return;
            };
            let RunningRequest { request, started } = self.batch_running.swap_remove(position);
            self.preempted_at = Some(now);
            let ran = now.since(started);
            let cost = (request.cost - ran.as_secs_f64()).max(MIN_BATCH_COST);
            self.batch_shares.refund(request.key, cost);
            if self.is_draining {
                commands.push(QueueCommand::Evict(request.ticket));
            } else {
                // It counts as waiting from now on, although its run may not have stopped yet.
                let latest_start = BatchOrder.latest_start_after(request.latest_start, ran);
                commands.push(QueueCommand::Preempt(request.ticket));
                self.enqueue_batch(WaitingRequest {
                    cost,
                    has_begun: true,
                    latest_start,
                    ..request
                });
            }
        }
    }

    /// Returns whether a batch request may start now.
    fn may_start_batch(&self, now: MonotonicTime) -> bool {
        let running = self.online_running.len() + self.batch_running.len();
        let is_refill_due = self.preempted_at.is_none_or(|time| now.since(time) >= REFILL_DELAY);
        let has_tokens = self.request_bucket.available(now) >= BATCH_TOKENS;
        running < self.usable_slots() && is_refill_due && has_tokens
    }
}

/// Removes and returns the run of a ticket.
fn take_run(runs: &mut Vec<RunningRequest>, ticket: TicketId) -> Option<RunningRequest> {
    let position = runs.iter().position(|run| run.request.ticket == ticket)?;
    Some(runs.swap_remove(position))
}
