//! The admission queue: priority of online requests, fair sharing, early refusals and the retry
//! budget.

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

/// An admission queue with a manual clock and a ticket counter.
struct QueueHarness {
    commands: Vec<AdmissionCommand>,
    /// Current time in milliseconds.
    now: u64,
    queue: AdmissionQueue,
    ticket: u64,
}

impl QueueHarness {
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

    /// Passes an event to the queue and collects its commands.
    fn handle(&mut self, event: AdmissionEvent) {
        self.queue.handle(MonotonicTime::from_millis(self.now), event, &mut self.commands);
    }

    /// Adds an arriving request whose deadline is in `deadline_ms`, and returns its ticket.
    fn arrive(&mut self, class: WorkClass, organisation: u32, deadline_ms: u64) -> TicketId {
        self.ticket += 1;
        let ticket = TicketId(self.ticket);
        let arrival = RequestArrival::builder()
            .class(class)
            .deadline(MonotonicTime::from_millis(self.now + deadline_ms))
            .organisation(OrganisationId(organisation))
            .preemptible(class == WorkClass::Batch)
            .ticket(ticket)
            .build();
        self.handle(AdmissionEvent::Arrived(arrival));
        ticket
    }

    /// Removes and returns the commands collected so far.
    fn take_commands(&mut self) -> Vec<AdmissionCommand> {
        std::mem::take(&mut self.commands)
    }

    /// Completes a running request after `duration_ms`.
    fn complete(&mut self, ticket: TicketId, duration_ms: u64) {
        self.now += duration_ms;
        self.handle(AdmissionEvent::Responded(ticket));
        self.handle(AdmissionEvent::Finished(ticket));
    }
}

#[test]
fn an_online_request_preempts_the_batch_request_with_the_least_progress() {
    let mut harness = QueueHarness::new();
    let batch: Vec<TicketId> =
        (0..SLOTS).map(|_| harness.arrive(WorkClass::Batch, 1, 60_000)).collect();
    for (index, ticket) in batch.iter().enumerate() {
        harness.handle(AdmissionEvent::Progressed(*ticket, 10 - index as u32));
    }
    harness.take_commands();
    let online = harness.arrive(WorkClass::Online, 2, 5_000);
    let commands = harness.take_commands();
    assert_eq!(commands[0], AdmissionCommand::Preempt(batch[3]));
    assert!(commands.contains(&AdmissionCommand::Start(online)), "{commands:?}");
}

#[test]
fn no_batch_request_starts_while_an_online_one_waits() {
    let mut harness = QueueHarness::new();
    for _ in 0..=SLOTS {
        harness.arrive(WorkClass::Online, 1, 60_000);
    }
    harness.take_commands();
    let batch = harness.arrive(WorkClass::Batch, 1, 60_000);
    harness.complete(TicketId(1), 50);
    assert!(!harness.take_commands().contains(&AdmissionCommand::Start(batch)));
}

#[test]
fn many_requests_of_one_organisation_do_not_delay_another() {
    let mut harness = QueueHarness::new();
    for _ in 0..10 {
        harness.arrive(WorkClass::Online, 1, 60_000);
    }
    let other = harness.arrive(WorkClass::Online, 2, 60_000);
    harness.take_commands();
    harness.complete(TicketId(1), 50);
    assert!(harness.take_commands().contains(&AdmissionCommand::Start(other)));
}

#[test]
fn a_full_queue_refuses_the_organisation_with_the_most_requests() {
    let mut harness = QueueHarness::new();
    let other = harness.arrive(WorkClass::Online, 2, 60_000);
    for _ in 0..30 {
        harness.arrive(WorkClass::Online, 1, 60_000);
    }
    let refused: Vec<AdmissionCommand> = harness
        .take_commands()
        .into_iter()
        .filter(|command| matches!(command, AdmissionCommand::Refuse(..)))
        .collect();
    assert!(!refused.is_empty());
    let of_other = |command: &AdmissionCommand| matches!(command, AdmissionCommand::Refuse(ticket, ..) if *ticket == other);
    assert!(!refused.iter().any(of_other), "{refused:?}");
}

#[test]
fn a_request_whose_deadline_cannot_be_met_is_refused_on_arrival() {
    let mut harness = QueueHarness::new();
    let first = harness.arrive(WorkClass::Online, 1, 60_000);
    harness.complete(first, 500);
    for _ in 0..SLOTS {
        harness.arrive(WorkClass::Online, 1, 60_000);
    }
    harness.take_commands();
    let late = harness.arrive(WorkClass::Online, 1, 300);
    let commands = harness.take_commands();
    let expected = RefusalReason::DeadlineUnreachable;
    let refused = commands.iter().any(|command| {
        matches!(command, AdmissionCommand::Refuse(ticket, reason, Some(_))
            if *ticket == late && *reason == expected)
    });
    assert!(refused, "{commands:?}");
}

#[test]
fn a_draining_queue_refuses_new_requests_and_runs_waiting_ones() {
    let mut harness = QueueHarness::new();
    for _ in 0..=SLOTS {
        harness.arrive(WorkClass::Online, 1, 60_000);
    }
    harness.handle(AdmissionEvent::DrainStarted);
    harness.take_commands();
    let late = harness.arrive(WorkClass::Online, 1, 60_000);
    assert_eq!(
        harness.take_commands(),
        [AdmissionCommand::Refuse(late, RefusalReason::Leaving, None)]
    );
    harness.complete(TicketId(1), 50);
    assert!(harness.take_commands().contains(&AdmissionCommand::Start(TicketId(5))));
}

#[test]
fn retries_are_limited_to_a_share_of_successes() {
    let mut budget = RetryBudget::default();
    while budget.try_spend() {}
    for _ in 0..95 {
        budget.record_success();
    }
    let granted = (0..100).filter(|_| budget.try_spend()).count();
    assert!((9..=10).contains(&granted), "{granted} retries for 95 successes");
}
