//! The queue in front of one engine.

use std::time::Duration;

use cv_dispatch::AdmissionDecision;
use cv_dispatch::AdmissionOptions;
use cv_dispatch::QueueCommand;
use cv_dispatch::SlotQueue;
use cv_policy::MonotonicTime;
use cv_policy::TicketId;
use cv_policy::WorkClass;

/// Terms of an online request with so many milliseconds of patience.
fn online(patience_ms: u64) -> AdmissionOptions {
    let patience = Duration::from_millis(patience_ms);
    AdmissionOptions {
        has_begun: false,
        class: WorkClass::Online,
        due: MonotonicTime::ZERO,
        max_expected_wait: patience,
        expected_run: Duration::ZERO,
        queue_timeout: patience,
    }
}

/// Terms of a batch request due at a time.
fn batch(due_ms: u64) -> AdmissionOptions {
    let due = MonotonicTime::from_millis(due_ms);
    AdmissionOptions {
        has_begun: false,
        class: WorkClass::Batch,
        due,
        max_expected_wait: Duration::ZERO,
        expected_run: Duration::ZERO,
        queue_timeout: Duration::ZERO,
    }
}

/// A time.
fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// A queue before two slots that runs two batch requests, the first due earlier.
fn filled_with_batch() -> SlotQueue {
    let mut queue = SlotQueue::new(2);
    let mut commands = Vec::new();
    for (ticket, due) in [(1, 5_000), (2, 9_000)] {
        let verdict = queue.admit(at(0), TicketId(ticket), &batch(due), &mut commands);
        assert_eq!(verdict, AdmissionDecision::Start);
    }
    assert!(commands.is_empty());
    queue
}

#[test]
fn online_takes_the_slot_of_the_batch_run_that_is_due_last() {
    let mut queue = filled_with_batch();
    let mut commands = Vec::new();
    let verdict = queue.admit(at(10), TicketId(3), &online(0), &mut commands);
    assert_eq!(verdict, AdmissionDecision::Start);
    assert_eq!(commands, [QueueCommand::Preempt(TicketId(2))]);
}

#[test]
fn preempted_batch_runs_again_when_a_slot_is_free_for_a_while() {
    let mut queue = filled_with_batch();
    let mut commands = Vec::new();
    queue.admit(at(10), TicketId(3), &online(0), &mut commands);
    commands.clear();
    queue.finish(at(20), TicketId(3), &mut commands);
    assert!(commands.is_empty(), "a slot that has just been taken back is not refilled at once");
    let tick = queue.next_tick(at(20)).expect("the refill is due");
    queue.tick(tick, &mut commands);
    assert_eq!(commands, [QueueCommand::Start(TicketId(2))]);
}

#[test]
fn a_preempted_request_waits_although_its_run_has_not_noticed() {
    let mut queue = filled_with_batch();
    let mut commands = Vec::new();
    queue.admit(at(10), TicketId(3), &online(0), &mut commands);
    // Between the command and the end of the run the request must not be in limbo: it may have been
    // started in the same moment, and its task then never sees that it ran.
    let reading = queue.load_report();
    assert_eq!((reading.batch_running, reading.batch_waiting), (1, 1));
}

#[test]
fn a_tick_that_is_past_is_not_asked_for_again() {
    let mut queue = filled_with_batch();
    let mut commands = Vec::new();
    queue.admit(at(10), TicketId(3), &online(0), &mut commands);
    // The slots stay taken for long after the refill was due.
    assert_eq!(queue.next_tick(at(5_000)), None);
}

#[test]
fn online_that_would_wait_too_long_is_refused_at_once() {
    let mut queue = SlotQueue::new(1);
    let mut commands = Vec::new();
    assert_eq!(
        queue.admit(at(0), TicketId(1), &online(0), &mut commands),
        AdmissionDecision::Start
    );
    let verdict = queue.admit(at(1), TicketId(2), &online(100), &mut commands);
    assert!(
        matches!(verdict, AdmissionDecision::Refuse(wait) if wait > Duration::from_millis(100))
    );
    let verdict = queue.admit(at(1), TicketId(3), &online(3_000), &mut commands);
    assert_eq!(verdict, AdmissionDecision::Wait);
}

#[test]
fn patience_that_is_over_expires_the_request() {
    let mut queue = SlotQueue::new(1);
    let mut commands = Vec::new();
    queue.admit(at(0), TicketId(1), &online(0), &mut commands);
    queue.admit(at(0), TicketId(2), &online(2_000), &mut commands);
    assert_eq!(queue.next_tick(at(0)), Some(at(2_000)));
    queue.tick(at(2_000), &mut commands);
    assert_eq!(commands, [QueueCommand::Evict(TicketId(2))]);
}

#[test]
fn waiting_online_goes_before_waiting_batch() {
    let mut queue = SlotQueue::new(1);
    let mut commands = Vec::new();
    queue.admit(at(0), TicketId(1), &online(0), &mut commands);
    queue.admit(at(0), TicketId(2), &batch(100), &mut commands);
    queue.admit(at(0), TicketId(3), &online(5_000), &mut commands);
    queue.finish(at(500), TicketId(1), &mut commands);
    assert_eq!(commands, [QueueCommand::Start(TicketId(3))]);
}

#[test]
fn a_leaving_engine_starts_nothing_and_sends_away_what_waits() {
    let mut queue = filled_with_batch();
    let mut commands = Vec::new();
    queue.admit(at(0), TicketId(3), &batch(1_000), &mut commands);
    queue.set_draining(true, &mut commands);
    assert_eq!(commands, [QueueCommand::Evict(TicketId(3))]);
    commands.clear();
    // A run that is preempted now must not start again at the leaving engine.
    queue.requeue(TicketId(2), &mut commands);
    assert_eq!(commands, [QueueCommand::Evict(TicketId(2))]);
    commands.clear();
    queue.finish(at(100), TicketId(1), &mut commands);
    queue.tick(at(1_000), &mut commands);
    assert!(commands.is_empty());
    let verdict = queue.admit(at(1_000), TicketId(4), &online(5_000), &mut commands);
    assert!(matches!(verdict, AdmissionDecision::Refuse(_)));
}

#[test]
fn a_batch_request_that_will_be_late_lets_others_go_first() {
    let mut queue = SlotQueue::new(1);
    let mut commands = Vec::new();
    queue.admit(at(0), TicketId(1), &online(0), &mut commands);
    for (ticket, due) in [(2, 4_000), (3, 9_000)] {
        let terms = AdmissionOptions { expected_run: Duration::from_secs(2), ..batch(due) };
        queue.admit(at(0), TicketId(ticket), &terms, &mut commands);
    }
    // With two and a half seconds left, a run of two will probably be broken into.
    queue.finish(at(1_500), TicketId(1), &mut commands);
    assert_eq!(commands, [QueueCommand::Start(TicketId(3))]);
    commands.clear();
    queue.finish(at(3_000), TicketId(3), &mut commands);
    assert_eq!(commands, [QueueCommand::Start(TicketId(2))], "better late than never");
}

#[test]
fn a_batch_run_that_is_late_already_is_preempted_first() {
    let mut queue = filled_with_batch();
    let mut commands = Vec::new();
    queue.admit(at(6_000), TicketId(3), &online(0), &mut commands);
    assert_eq!(commands, [QueueCommand::Preempt(TicketId(1))]);
}

#[test]
fn what_a_preempted_run_has_done_counts() {
    let mut queue = SlotQueue::new(1);
    let mut commands = Vec::new();
    for (ticket, due) in [(1, 8_000), (2, 9_000)] {
        let terms = AdmissionOptions { expected_run: Duration::from_secs(3), ..batch(due) };
        queue.admit(at(0), TicketId(ticket), &terms, &mut commands);
    }
    queue.admit(at(2_500), TicketId(3), &online(0), &mut commands);
    commands.clear();
    // Four seconds are left to the first, which needs half of one.
    queue.finish(at(4_000), TicketId(3), &mut commands);
    assert_eq!(commands, [QueueCommand::Start(TicketId(1))]);
}

#[test]
fn a_leaving_process_turns_batch_away_and_serves_online() {
    let mut queue = SlotQueue::new(1);
    let mut commands = Vec::new();
    queue.admit(at(0), TicketId(1), &batch(8_000), &mut commands);
    queue.admit(at(0), TicketId(2), &batch(9_000), &mut commands);
    commands.clear();
    queue.evict_batch(&mut commands);
    assert_eq!(commands, [TicketId(1), TicketId(2)].map(QueueCommand::Evict));
    let verdict = queue.admit(at(10), TicketId(3), &batch(9_000), &mut commands);
    assert!(matches!(verdict, AdmissionDecision::Refuse(_)));
    let verdict = queue.admit(at(10), TicketId(4), &online(0), &mut commands);
    assert_eq!(verdict, AdmissionDecision::Start);
}

#[test]
fn of_those_in_time_the_begun_go_first_and_then_the_newest() {
    let mut queue = SlotQueue::new(1);
    let mut commands = Vec::new();
    queue.admit(at(0), TicketId(1), &online(0), &mut commands);
    for (ticket, due, has_begun) in [(2, 8_000, false), (3, 9_000, true), (4, 10_000, false)] {
        let terms =
            AdmissionOptions { has_begun, expected_run: Duration::from_secs(2), ..batch(due) };
        queue.admit(at(0), TicketId(ticket), &terms, &mut commands);
    }
    for (ended, next) in [(1, 3), (3, 4), (4, 2)] {
        commands.clear();
        queue.finish(at(100), TicketId(ended), &mut commands);
        assert_eq!(commands, [QueueCommand::Start(TicketId(next))]);
    }
}
