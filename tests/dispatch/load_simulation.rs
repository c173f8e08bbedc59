//! Plays the load of heavy days against the decisions and checks what callers get.
//!
//! Entries with readings that are a tenth of a second old place online requests, keepers place
//! items, and each engine has its queue. The load alternates between a valley and a peak as that of
//! the users does.

use std::time::Duration;

use cv_dispatch::AdmissionDecision;
use cv_dispatch::AdmissionOptions;
use cv_dispatch::BatchOrder;
use cv_dispatch::PlacementPolicy;
use cv_dispatch::PlacementRequest;
use cv_dispatch::QueueCommand;
use cv_dispatch::RetryAdvice;
use cv_dispatch::RunId;
use cv_dispatch::RunSchedule;
use cv_dispatch::SlotQueue;
use cv_dispatch::TargetRecord;
use cv_dispatch::TargetState;
use cv_dispatch::TargetTable;
use cv_dispatch::WaitPolicy;
use cv_policy::MonotonicTime;
use cv_policy::SeededRandom;
use cv_policy::TicketId;
use cv_policy::WorkClass;

/// One step of the play, in milliseconds.
const STEP_MS: u64 = 5;

/// Age of the readings that placements go by, in milliseconds.
const READING_MS: u64 = 100;

/// Times of the mean at which online requests come in a valley and at a peak.
const VALLEY_AND_PEAK: [f64; 2] = [0.377, 1.84];

/// Length of a valley and of a peak, in milliseconds.
const VALLEY_AND_PEAK_MS: [u64; 2] = [3_800, 2_800];

/// Time from the start of a run to the first event, in milliseconds.
const FIRST_EVENT_MS: u64 = 60;

/// Objective of online requests until their first event, in milliseconds.
const OBJECTIVE_MS: u64 = 300;

/// Time that an online caller waits in all, in milliseconds.
const DEADLINE_MS: u64 = 5_000;

/// Time after its arrival at which an item is due, in milliseconds.
const DUE_MS: u64 = 18_000;

/// Targets that may turn a request away before its caller is.
const TRIES: usize = 6;

/// A deployment and its load.
struct PlayLoad {
    engines: usize,
    entries: usize,
    /// Items a second.
    items_per_s: f64,
    /// Time that an item runs, in milliseconds.
    item_ms: u64,
    /// Online requests a second, on the mean.
    online_per_s: f64,
    /// Time that an online request runs, in milliseconds.
    online_ms: u64,
    slots: u32,
}

/// What callers got.
#[derive(Debug, Default)]
struct PlayOutcome {
    items: u32,
    items_in_time: u32,
    late: u32,
    online: u32,
    on_time: u32,
    /// Served in time on the return after a refusal.
    on_time_after_return: u32,
    refused: u32,
    /// Refusals although more than half of all slots were free of online requests.
    refused_needlessly: u32,
}

/// A request on its way through the play.
#[derive(Clone, Copy, Debug)]
struct PlayRequest {
    class: WorkClass,
    arrived_ms: u64,
    due_ms: u64,
    engine: usize,
    /// Time that it still has to run, in milliseconds.
    left_ms: u64,
    returned: bool,
    run: Option<RunId>,
    running: bool,
    started_ms: u64,
}

/// The state of a play.
struct LoadPlay {
    advice: RetryAdvice,
    entries: Vec<TargetTable>,
    load: PlayLoad,
    now_ms: u64,
    outcome: PlayOutcome,
    /// Items that no target has room for.
    pending: Vec<PlayRequest>,
    queues: Vec<SlotQueue>,
    random: SeededRandom,
    requests: Vec<(TicketId, PlayRequest)>,
    returning: Vec<(u64, PlayRequest)>,
    schedule: RunSchedule,
    tickets: u64,
}

impl LoadPlay {
    /// Creates a play without any request.
    fn new(load: PlayLoad) -> Self {
        let mut roster = TargetTable::default();
        for engine in 0..load.engines {
            roster.upsert(
                TargetRecord {
                    address: format!("10.0.{}.{}:80", engine / 250, engine % 250 + 1)
                        .parse()
                        .expect("an address"),
                    id: engine_id(engine),
                    service: "llm".to_owned(),
                    slots: load.slots,
                    state: TargetState::Ready,
                    zone: format!("zone-{}", engine % 3),
                },
                MonotonicTime::ZERO,
            );
        }
        Self {
            advice: RetryAdvice::default(),
            entries: vec![roster; load.entries + 1],
            now_ms: 0,
            outcome: PlayOutcome::default(),
            pending: Vec::new(),
            queues: vec![SlotQueue::new(load.slots); load.engines],
            load,
            random: SeededRandom::new(11),
            requests: Vec::new(),
            returning: Vec::new(),
            schedule: RunSchedule::default(),
            tickets: 0,
        }
    }

    /// Plays so many seconds.
    fn run(mut self, seconds: u64) -> PlayOutcome {
        while self.now_ms < seconds * 1_000 {
            if self.now_ms.is_multiple_of(READING_MS) {
                self.spread_readings();
            }
            self.arrive();
            self.advance_runs();
            self.now_ms += STEP_MS;
        }
        self.outcome
    }

    /// The time as the decisions see it.
    fn now(&self) -> MonotonicTime {
        MonotonicTime::from_millis(self.now_ms + 60_000)
    }

    /// Gives all entries and the keeper readings of all queues.
    fn spread_readings(&mut self) {
        let now = self.now();
        for roster in &mut self.entries {
            for (engine, queue) in self.queues.iter().enumerate() {
                if let Some(row) = roster.get_mut(&engine_id(engine)) {
                    row.record_report(queue.load_report(), now);
                }
            }
        }
    }

    /// Lets online requests, items and refused callers arrive.
    fn arrive(&mut self) {
        let cycle = self.now_ms % VALLEY_AND_PEAK_MS.iter().sum::<u64>();
        let phase = usize::from(cycle >= VALLEY_AND_PEAK_MS[0]);
        let step = STEP_MS as f64 / 1_000.0;
        for _ in 0..self.draw_count(self.load.online_per_s * VALLEY_AND_PEAK[phase] * step) {
            self.outcome.online += 1;
            let request = self.request(WorkClass::Online, self.load.online_ms);
            self.place_online(request);
        }
        for _ in 0..self.draw_count(self.load.items_per_s * step) {
            self.outcome.items += 1;
            let request = self.request(WorkClass::Batch, self.load.item_ms);
            self.place_item(request);
        }
        let (now_ms, mut pending) = (self.now_ms, std::mem::take(&mut self.pending));
        pending.sort_by_key(|request| {
            let (now, due) = (now_ms, request.due_ms);
            let time = MonotonicTime::from_millis;
            BatchOrder.sort_key(time(now), time(due), Duration::from_millis(request.left_ms), false)
        });
        for request in pending {
            self.place_item(request);
        }
        let now = self.now_ms;
        let (due, later) = self.returning.drain(..).partition(|(time, _)| *time <= now);
        self.returning = later;
        let due: Vec<(u64, PlayRequest)> = due;
        for (_, request) in due {
            self.place_online(PlayRequest { returned: true, ..request });
        }
    }

    /// Returns a request that arrives now.
    fn request(&self, class: WorkClass, run_ms: u64) -> PlayRequest {
        PlayRequest {
            class,
            arrived_ms: self.now_ms,
            due_ms: self.now_ms + DUE_MS,
            engine: 0,
            left_ms: run_ms,
            returned: false,
            run: None,
            running: false,
            started_ms: 0,
        }
    }

    /// Draws how many arrivals fall into a step that has so many on the mean.
    fn draw_count(&mut self, mean: f64) -> u32 {
        let whole = mean.floor();
        whole as u32 + u32::from(self.random.fraction() < mean - whole)
    }

    /// Places an online request as an entry does.
    fn place_online(&mut self, request: PlayRequest) {
        let entry = self.random.below(self.load.entries);
        let mut tried = Vec::new();
        let draw = self.random.number();
        let left =
            Duration::from_millis((request.arrived_ms + DEADLINE_MS).saturating_sub(self.now_ms));
        let objective = Duration::from_millis(OBJECTIVE_MS);
        let patience = WaitPolicy.max_expected_wait(objective, left, request.returned);
        let stay = WaitPolicy.queue_timeout(left);
        let (due, run) = (self.now(), Duration::ZERO);
        let terms = AdmissionOptions {
            has_begun: false,
            class: WorkClass::Online,
            due,
            max_expected_wait: patience,
            expected_run: run,
            queue_timeout: stay,
        };
        while tried.len() < TRIES {
            let zone = format!("zone-{}", entry % 3);
            let placement =
                PlacementRequest { seed: draw, service: "llm", tried: &tried, zone: &zone };
            let now = self.now();
            let Some(choice) = PlacementPolicy.choose(&self.entries[entry], now, &placement) else {
                break;
            };
            let engine = engine_index(&choice.id);
            if self.enter(PlayRequest { engine, ..request }, &terms) {
                self.advice.record_admission(now);
                return;
            }
            if let Some(row) = self.entries[entry].get_mut(&choice.id) {
                row.record_full(now);
            }
            tried.push(choice.id);
        }
        self.refuse(request, left);
    }

    /// Tells a caller to come back once.
    fn refuse(&mut self, request: PlayRequest, left: Duration) {
        let online: u32 = self.queues.iter().map(|queue| queue.load_report().online_running).sum();
        let slots = self.load.slots * self.load.engines as u32;
        self.outcome.refused_needlessly += u32::from(online * 2 < slots);
        if request.returned {
            self.outcome.refused += 1;
            return;
        }
        let draw = self.random.fraction();
        let after = self.advice.record_refusal(self.now(), left, draw);
        self.returning.push((self.now_ms + after.as_millis() as u64, request));
    }

    /// Places an item as a keeper does.
    fn place_item(&mut self, request: PlayRequest) {
        let now = self.now();
        let keeper = self.load.entries;
        let Some(choice) = self.schedule.choose_target(&self.entries[keeper], now, "llm", "zone-0")
        else {
            self.pending.push(request);
            return;
        };
        let run = Some(self.schedule.begin_run(&choice.id, request.due_ms, now));
        let engine = engine_index(&choice.id);
        // The play's time begins a minute after the decisions' origin.
        let due = MonotonicTime::from_millis(request.due_ms + 60_000);
        let expected = Duration::from_millis(request.left_ms);
        let (patience, stay) = (Duration::ZERO, Duration::ZERO);
        let class = WorkClass::Batch;
        let terms = AdmissionOptions {
            has_begun: false,
            class,
            due,
            max_expected_wait: patience,
            expected_run: expected,
            queue_timeout: stay,
        };
        assert!(
            self.enter(PlayRequest { engine, run, ..request }, &terms),
            "no queue takes the item"
        );
    }

    /// Hands a request to its engine's queue; tells whether that takes it.
    fn enter(&mut self, mut request: PlayRequest, terms: &AdmissionOptions) -> bool {
        let ticket = TicketId(self.tickets);
        let now = self.now();
        let mut commands = Vec::new();
        let verdict = self.queues[request.engine].admit(now, ticket, terms, &mut commands);
        request.running = match verdict {
            AdmissionDecision::Refuse(_) => return false,
            AdmissionDecision::Start => true,
            AdmissionDecision::Wait => false,
        };
        self.tickets += 1;
        request.started_ms = self.now_ms;
        self.requests.push((ticket, request));
        self.carry_out(&commands);
        true
    }

    /// Lets runs go on and ends those that are whole.
    fn advance_runs(&mut self) {
        let mut ended = Vec::new();
        for (ticket, request) in &mut self.requests {
            if request.running {
                request.left_ms = request.left_ms.saturating_sub(STEP_MS);
                if request.left_ms == 0 {
                    ended.push((*ticket, *request));
                }
            }
        }
        for (ticket, request) in ended {
            self.requests.retain(|(other, _)| *other != ticket);
            self.count(&request);
            let mut commands = Vec::new();
            let now = self.now();
            self.queues[request.engine].finish(now, ticket, &mut commands);
            self.carry_out(&commands);
        }
        for engine in 0..self.queues.len() {
            let mut commands = Vec::new();
            let now = self.now();
            self.queues[engine].tick(now, &mut commands);
            self.carry_out(&commands);
        }
    }

    /// Counts a request that has ended.
    fn count(&mut self, request: &PlayRequest) {
        let outcome = &mut self.outcome;
        if let Some(run) = request.run {
            self.schedule.end(run);
            outcome.items_in_time += u32::from(self.now_ms <= request.due_ms);
            return;
        }
        let first = request.started_ms + FIRST_EVENT_MS - request.arrived_ms;
        match (first <= OBJECTIVE_MS, request.returned) {
            (true, _) => outcome.on_time += 1,
            (false, true) => outcome.on_time_after_return += 1,
            (false, false) => outcome.late += 1,
        }
    }

    /// Does what a queue asks for.
    fn carry_out(&mut self, commands: &[QueueCommand]) {
        for command in commands {
            match command {
                QueueCommand::Start(ticket) => {
                    if let Some((_, request)) = self.find(*ticket) {
                        request.running = true;
                    }
                    let now = self.now_ms;
                    if let Some((_, request)) = self.find(*ticket)
                        && request.class == WorkClass::Online
                    {
                        request.started_ms = now;
                    }
                }
                QueueCommand::Preempt(ticket) => {
                    let Some((_, request)) = self.find(*ticket) else {
                        continue;
                    };
                    request.running = false;
                    // What was generated is kept; reading it again costs the time to a first event.
                    request.left_ms += FIRST_EVENT_MS;
                }
                QueueCommand::Evict(ticket) => {
                    self.requests.retain(|(other, _)| other != ticket);
                    self.outcome.refused += 1;
                }
            }
        }
    }

    /// Finds a request.
    fn find(&mut self, ticket: TicketId) -> Option<&mut (TicketId, PlayRequest)> {
        self.requests.iter_mut().find(|(other, _)| *other == ticket)
    }
}

/// The identity of an engine.
fn engine_id(engine: usize) -> String {
    format!("engine-{engine:03}")
}

/// The engine of an identity.
fn engine_index(id: &str) -> usize {
    id.trim_start_matches("engine-").parse().expect("an engine's id")
}

#[test]
fn a_quiet_day_serves_online_in_time_and_batch_when_it_is_due() {
    let load = PlayLoad {
        engines: 12,
        entries: 5,
        items_per_s: 6.0,
        item_ms: 5_000,
        online_per_s: 56.0,
        online_ms: 800,
        slots: 8,
    };
    let outcome = LoadPlay::new(load).run(60);
    let owed_items = outcome.items - 6 * 18;
    assert!(f64::from(outcome.on_time) >= 0.97 * f64::from(outcome.online), "{outcome:?}");
    assert!(f64::from(outcome.items_in_time) >= 0.95 * f64::from(owed_items), "{outcome:?}");
    assert_eq!(outcome.refused_needlessly, 0, "{outcome:?}");
}

#[test]
fn a_large_fleet_does_not_meet_at_one_target() {
    let load = PlayLoad {
        engines: 46,
        entries: 21,
        items_per_s: 10.0,
        item_ms: 3_300,
        online_per_s: 250.0,
        online_ms: 600,
        slots: 7,
    };
    let outcome = LoadPlay::new(load).run(30);
    assert!(f64::from(outcome.on_time) >= 0.95 * f64::from(outcome.online), "{outcome:?}");
    assert_eq!(outcome.refused, 0, "{outcome:?}");
}

#[test]
fn at_a_peak_over_the_capacity_most_are_served_on_their_return() {
    let load = PlayLoad {
        engines: 12,
        entries: 5,
        items_per_s: 4.0,
        item_ms: 5_000,
        online_per_s: 75.0,
        online_ms: 850,
        slots: 8,
    };
    let outcome = LoadPlay::new(load).run(60);
    let served = outcome.on_time + outcome.on_time_after_return + outcome.late;
    assert!(f64::from(served) >= 0.95 * f64::from(outcome.online), "{outcome:?}");
    assert!(f64::from(outcome.on_time) >= 0.7 * f64::from(outcome.online), "{outcome:?}");
    assert!(f64::from(outcome.refused) <= 0.02 * f64::from(outcome.online), "{outcome:?}");
}

#[test]
fn with_more_batch_work_than_slots_most_of_what_fits_is_in_time() {
    let load = PlayLoad {
        engines: 12,
        entries: 5,
        items_per_s: 12.0,
        item_ms: 5_000,
        online_per_s: 56.0,
        online_ms: 850,
        slots: 8,
    };
    let outcome = LoadPlay::new(load).run(90);
    // About 48 slots are free on the mean, and items need 60.
    let fitting = 0.8 * f64::from(outcome.items - 12 * 18);
    assert!(f64::from(outcome.items_in_time) >= 0.75 * fitting, "{outcome:?}");
    assert!(f64::from(outcome.on_time) >= 0.95 * f64::from(outcome.online), "{outcome:?}");
}
