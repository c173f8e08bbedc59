//! The queue: online before batch, fair shares, early refusals, bounded retries.

use std::time::Duration;

use cv_policy::MonotonicTime;
use cv_policy::OrganisationId;
use cv_policy::RefusalReason;
use cv_policy::TicketId;
use cv_policy::WorkClass;
use cv_policy::admission::AdmissionCommand;
use cv_policy::admission::AdmissionEvent;
use cv_policy::admission::AdmissionQueue;
use cv_policy::admission::AdmissionSettings;
use cv_policy::admission::RequestArrival;
use cv_policy::routing::RetryBudget;

/// Slots of the target.
const SLOTS: u32 = 4;

/// A queue with its clock and tickets.
struct QueueBench {
    commands: Vec<AdmissionCommand>,
    now: u64,
    queue: AdmissionQueue,
    ticket: u64,
}

impl QueueBench {
    /// Creates an idle queue.
    fn new() -> Self {
        let settings = AdmissionSettings::builder()
            .batch_beside_online(2)
            .batch_start_interval(Duration::ZERO)
            .reserved_slots(0)
            .slots(SLOTS)
            .max_waiting(8)
            .build();
        Self { commands: Vec::new(), now: 10_000, queue: AdmissionQueue::new(settings), ticket: 0 }
    }

    /// Gives the queue an event.
    fn tell(&mut self, event: AdmissionEvent) {
        self.queue.handle(MonotonicTime::from_millis(self.now), event, &mut self.commands);
    }

    /// Lets a request arrive with so many milliseconds left, and returns its ticket.
    fn arrive(&mut self, class: WorkClass, organisation: u32, left_ms: u64) -> TicketId {
        self.ticket += 1;
        let ticket = TicketId(self.ticket);
        let arrival = RequestArrival::builder()
            .class(class)
            .deadline(MonotonicTime::from_millis(self.now + left_ms))
            .organisation(OrganisationId(organisation))
            .preemptible(class == WorkClass::Batch)
            .ticket(ticket)
            .build();
        self.tell(AdmissionEvent::Arrived(arrival));
        ticket
    }

    /// Takes the commands so far.
    fn take(&mut self) -> Vec<AdmissionCommand> {
        std::mem::take(&mut self.commands)
    }

    /// Runs a request of so many milliseconds to its end.
    fn run(&mut self, ticket: TicketId, time_ms: u64) {
        self.now += time_ms;
        self.tell(AdmissionEvent::Responded(ticket));
        self.tell(AdmissionEvent::Finished(ticket));
    }
}

#[test]
fn an_online_request_takes_the_slot_of_the_batch_request_with_the_least_progress() {
    let mut bench = QueueBench::new();
    let batch: Vec<TicketId> =
        (0..SLOTS).map(|_| bench.arrive(WorkClass::Batch, 1, 60_000)).collect();
    for (index, ticket) in batch.iter().enumerate() {
        bench.tell(AdmissionEvent::Progressed(*ticket, 10 - index as u32));
    }
    bench.take();
    let online = bench.arrive(WorkClass::Online, 2, 5_000);
    let commands = bench.take();
    assert_eq!(commands[0], AdmissionCommand::Preempt(batch[3]));
    assert!(commands.contains(&AdmissionCommand::Start(online)), "{commands:?}");
}

#[test]
fn no_batch_request_starts_while_an_online_one_waits() {
    let mut bench = QueueBench::new();
    for _ in 0..=SLOTS {
        bench.arrive(WorkClass::Online, 1, 60_000);
    }
    bench.take();
    let batch = bench.arrive(WorkClass::Batch, 1, 60_000);
    bench.run(TicketId(1), 50);
    assert!(!bench.take().contains(&AdmissionCommand::Start(batch)));
}

#[test]
fn a_flood_of_one_organisation_does_not_hold_up_another() {
    let mut bench = QueueBench::new();
    for _ in 0..10 {
        bench.arrive(WorkClass::Online, 1, 60_000);
    }
    let other = bench.arrive(WorkClass::Online, 2, 60_000);
    bench.take();
    bench.run(TicketId(1), 50);
    assert!(bench.take().contains(&AdmissionCommand::Start(other)));
}

#[test]
fn an_overfull_queue_gives_up_the_flood_and_not_the_other() {
    let mut bench = QueueBench::new();
    let other = bench.arrive(WorkClass::Online, 2, 60_000);
    for _ in 0..30 {
        bench.arrive(WorkClass::Online, 1, 60_000);
    }
    let refused: Vec<AdmissionCommand> = bench
        .take()
        .into_iter()
        .filter(|command| matches!(command, AdmissionCommand::Refuse(..)))
        .collect();
    assert!(!refused.is_empty());
    let of_other = |command: &AdmissionCommand| matches!(command, AdmissionCommand::Refuse(ticket, ..) if *ticket == other);
    assert!(!refused.iter().any(of_other), "{refused:?}");
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut bench = QueueBench::new();
    let first = bench.arrive(WorkClass::Online, 1, 60_000);
    bench.run(first, 500);
    for _ in 0..SLOTS {
        bench.arrive(WorkClass::Online, 1, 60_000);
    }
    bench.take();
    let late = bench.arrive(WorkClass::Online, 1, 300);
    let commands = bench.take();
    let expected = RefusalReason::DeadlineUnreachable;
    let refused = commands.iter().any(|command| {
        matches!(command, AdmissionCommand::Refuse(ticket, reason, Some(_))
            if *ticket == late && *reason == expected)
    });
    assert!(refused, "{commands:?}");
}

#[test]
fn a_draining_queue_refuses_what_comes_and_finishes_what_waits() {
    let mut bench = QueueBench::new();
    for _ in 0..=SLOTS {
        bench.arrive(WorkClass::Online, 1, 60_000);
    }
    bench.tell(AdmissionEvent::DrainStarted);
    bench.take();
    let late = bench.arrive(WorkClass::Online, 1, 60_000);
    assert_eq!(bench.take(), [AdmissionCommand::Refuse(late, RefusalReason::Leaving, None)]);
    bench.run(TicketId(1), 50);
    assert!(bench.take().contains(&AdmissionCommand::Start(TicketId(5))));
}

#[test]
fn retries_are_a_bounded_share_of_successes() {
    let mut budget = RetryBudget::default();
    while budget.try_spend() {}
    for _ in 0..95 {
        budget.record_success();
    }
    let granted = (0..100).filter(|_| budget.try_spend()).count();
    assert!((9..=10).contains(&granted), "{granted} retries for 95 successes");
}
