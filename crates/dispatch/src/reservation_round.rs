//! The reservations of one request in the queues of a few targets.

use std::time::Duration;

use cv_policy::MonotonicTime;

use crate::ReservationReply;

/// Time between two renewals of the reservations; several fit into their time to live.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(60);

/// Time without a reply after which a sidecar counts as silent; two messages to it were lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(130);

/// What a request that has placed reservations does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoundDecision {
    /// It is sent to the target with this index, which keeps a slot free for it.
    Send(usize),
    /// It waits until the given time at most, then decides again.
    Wait(MonotonicTime),
    /// No target will have a slot for it in time.
    GiveUp,
}

/// State of the reservation at one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReservationState {
    /// No reply has arrived.
    Sent,
    /// It waits in the target's queue.
    Waiting,
    /// A slot is free.
    Granted,
    /// It has been denied, or its slot is lost.
    Ended,
}

/// The reservations of one request, by the index of the target.
///
/// Answers load peaks at which the targets with the least reported load turn out to be full. The
/// number of messages depends on the number of reservations and not on the size of the fleet.
#[derive(Clone, Debug)]
pub struct ReservationRound {
    /// When the request stops waiting.
    deadline: MonotonicTime,
    next_renewal: MonotonicTime,
    placed_at: MonotonicTime,
    states: Vec<ReservationState>,
}

impl ReservationRound {
    /// Creates the state of reservations that are placed at `count` targets now.
    #[must_use]
    pub fn new(now: MonotonicTime, count: usize, deadline: MonotonicTime) -> Self {
        Self {
            deadline,
            next_renewal: now + RENEWAL_INTERVAL,
            placed_at: now,
            states: vec![ReservationState::Sent; count],
        }
    }

    /// Records a target's reply; a denial is final, so a reply that was overtaken changes nothing.
    pub fn record_reply(&mut self, target: usize, reply: ReservationReply) {
        let Some(state) = self.states.get_mut(target) else {
            return;
        };
        *state = match (*state, reply) {
            (ReservationState::Ended, _) | (_, ReservationReply::Denied) => ReservationState::Ended,
            (_, ReservationReply::Granted) | (ReservationState::Granted, _) => {
                ReservationState::Granted
            }
            (_, ReservationReply::Waiting) => ReservationState::Waiting,
        };
    }

    /// Records that the request no longer needs a reservation.
    pub fn end(&mut self, target: usize) {
        if let Some(state) = self.states.get_mut(target) {
            *state = ReservationState::Ended;
        }
    }

    /// Returns the targets whose reservations are due for renewal now.
    pub fn take_renewals(&mut self, now: MonotonicTime) -> Vec<usize> {
        if now < self.next_renewal {
            return Vec::new();
        }
        self.next_renewal = now + RENEWAL_INTERVAL;
        self.open_targets()
    }

    /// Returns the targets at which a reservation may still be open.
    #[must_use]
    pub fn open_targets(&self) -> Vec<usize> {
        let open = |index: &usize| self.states[*index] != ReservationState::Ended;
        (0..self.states.len()).filter(open).collect()
    }

    /// Decides what the request does next.
    #[must_use]
    pub fn decide(&self, now: MonotonicTime) -> RoundDecision {
        let states = &self.states;
        if let Some(target) = states.iter().position(|state| *state == ReservationState::Granted) {
            return RoundDecision::Send(target);
        }
        let is_silent = now.since(self.placed_at) >= REPLY_TIMEOUT;
        let may_wait = states.iter().any(|state| match state {
            ReservationState::Waiting => true,
            ReservationState::Sent => !is_silent,
            ReservationState::Granted | ReservationState::Ended => false,
        });
        if !may_wait || now >= self.deadline {
            return RoundDecision::GiveUp;
        }
        let reply_due = self.placed_at + REPLY_TIMEOUT;
        let next = if is_silent { self.next_renewal } else { self.next_renewal.min(reply_due) };
        RoundDecision::Wait(next.min(self.deadline))
    }
}
