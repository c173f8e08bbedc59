//! The evidence against one subject of a quarantine.

use std::time::Duration;

use cv_policy::MonotonicTime;

use crate::EngineLoss;
use crate::QuarantineRecord;
use crate::QuarantineSubject;

/// Losses of several engines within this time have a common cause other than their prompts, for
/// example the power supply, and count once.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(50);

/// Losses that put a subject into quarantine of which no response is known that an engine survived.
const MAX_LOSSES: usize = 4;

/// Losses that put a subject into quarantine that has been served before.
const MAX_LOSSES_IF_SERVED: usize = 6;

/// Losses that put a request into quarantine.
const MAX_REQUEST_LOSSES: usize = 3;

/// Losses that put a request into quarantine that has been there before.
const MAX_LOSSES_IF_RELAPSED: usize = 1;

/// Time for which engines have to survive a request after its quarantine until the next loss is no
/// relapse: engines ended under it for another reason.
const RELAPSE_TIME: Duration = Duration::from_mins(1);

/// Trials of a request in all. Its callers repeat it for as long as it is not served.
const MAX_REQUEST_TRIALS: u8 = 1;

/// Most trials of a request that may be withdrawn.
const MAX_WITHDRAWN_TRIALS: u8 = 100;

/// Time after the last event after which the quarantine of a part ends.
const PART_LIFETIME: Duration = Duration::from_mins(15);

/// Time after the last event after which the quarantine of a request ends.
const REQUEST_LIFETIME: Duration = Duration::from_hours(12);

/// Time after which a loss is no evidence any more against a part that is not in quarantine.
/// Requests that come rarely are identified by losses long ago.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(30);

/// Most losses that are kept for one subject.
const KEPT_LOSSES: usize = 12;

/// Time from the start of a quarantine to the first trial.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(5);

/// Factor by which the delay grows with each trial that ended its engine.
const TRIAL_DELAY_GROWTH: u32 = 4;

/// Time after which a trial without a verdict counts as unanswered, and the next may begin. An
/// engine that survives no trial ends within the first tokens of its response.
const VERDICT_TIME: Duration = Duration::from_secs(3);

/// Most by which the times of a trial and of the loss that it caused differ between processes.
const TIME_ERROR: Duration = Duration::from_secs(1);

/// Most by which the estimates of two processes of the same event differ. One that moved on with each
/// process that tells it would overtake the losses after it.
const ESTIMATE_ERROR: Duration = Duration::from_millis(50);

/// Longest delay between two trials. Each failed trial costs an engine with all of its runs.
const MAX_TRIAL_DELAY: Duration = Duration::from_mins(2);

/// The evidence against one subject. Rows of two processes merge in any order and any number
/// of times to the same state.
#[derive(Clone, Debug)]
pub(crate) struct QuarantineRow {
    /// When this process last learned something new about the subject.
    pub changed_at: MonotonicTime,
    /// Losses since the subject was last served, in order of time.
    losses: Vec<EngineLoss>,
    /// First response that an engine survived since the subject was last in quarantine.
    sound_since: Option<MonotonicTime>,
    pub subject: QuarantineSubject,
    /// Number of subjects before it in the prompt.
    pub position: u8,
    quarantined_at: Option<MonotonicTime>,
    served_at: Option<MonotonicTime>,
    trials: u8,
    tried_at: Option<MonotonicTime>,
    /// Whether the subject is or was in quarantine, as far as this process knows.
    was_quarantined: bool,
    /// Trials that no engine began to run.
    withdrawn: u8,
}

impl QuarantineRow {
    /// Creates the row of a subject without evidence; `served_at` is when it was last served.
    pub fn new(
        subject: QuarantineSubject,
        served_at: Option<MonotonicTime>,
        now: MonotonicTime,
    ) -> Self {
        Self {
            changed_at: now,
            losses: Vec::new(),
            sound_since: None,
            subject,
            position: 0,
            quarantined_at: None,
            served_at,
            trials: 0,
            tried_at: None,
            was_quarantined: false,
            withdrawn: 0,
        }
    }

    /// Returns whether requests with the subject are refused.
    pub fn is_in_quarantine(&self) -> bool {
        self.quarantined_at.is_some()
    }

    /// Returns since when requests with the subject are refused; `None` if they are not.
    pub fn quarantined_at(&self) -> Option<MonotonicTime> {
        self.quarantined_at
    }

    /// Returns the losses since the subject was last served.
    pub fn losses(&self) -> &[EngineLoss] {
        &self.losses
    }

    /// Returns whether the subject is known to have been served.
    pub fn was_served(&self) -> bool {
        self.served_at.is_some()
    }

    /// Returns when the next request with the subject may be tried: soon after a trial that brought no
    /// verdict, and ever later after those that ended their engines. Items are tried again as soon as the
    /// last trial must have had its verdict.
    pub fn trial_due(&self) -> Option<MonotonicTime> {
        let since = self.quarantined_at?;
        // An accepted item is owed, however many engines have ended under it.
        if self.subject.is_item_part() {
            return Some(self.tried_at.max(Some(since))? + VERDICT_TIME);
        }
        if self.subject.is_request() && self.trials - self.withdrawn >= MAX_REQUEST_TRIALS {
            return Some(self.last_event() + REQUEST_LIFETIME);
        }
        if let Some(tried_at) = self.tried_at
            && !self.has_loss_since(tried_at.before(TIME_ERROR))
        {
            return Some(tried_at.max(since) + VERDICT_TIME);
        }
        let growth = TRIAL_DELAY_GROWTH.saturating_pow(self.failed_trials());
        let delay = FIRST_TRIAL_DELAY.saturating_mul(growth).min(MAX_TRIAL_DELAY);
        Some(self.tried_at.max(Some(since))? + delay)
    }

    /// Returns how often the trials have moved on to another target: with each that was begun, and
    /// whenever one is due that no target begins.
    pub fn trial_turn(&self, now: MonotonicTime) -> usize {
        let overdue = self.trial_due().map_or(Duration::ZERO, |due| now.since(due));
        usize::from(self.trials) + (overdue.as_secs() / VERDICT_TIME.as_secs()) as usize
    }

    /// Returns the number of trials that ended their engines.
    fn failed_trials(&self) -> u32 {
        let first = self.quarantined_at.map(|since| (since + FIRST_TRIAL_DELAY).before(TIME_ERROR));
        let losses = self.losses.iter().filter(|loss| first.is_some_and(|first| loss.at >= first));
        // After a restart the losses are unknown.
        let restored = usize::from(self.trials > 0 && self.tried_at.is_none());
        losses.count().max(restored).min(self.trials.into()) as u32
    }

    /// Returns whether a loss is among the evidence that came at a time or later.
    fn has_loss_since(&self, time: MonotonicTime) -> bool {
        self.losses.last().is_some_and(|loss| loss.at >= time)
    }

    /// Returns whether a loss is among the evidence.
    pub fn has_loss(&self, loss: &EngineLoss) -> bool {
        self.losses.iter().any(|known| known.is_same(loss))
    }

    /// Returns the time of the last event that concerns the subject.
    pub fn last_event(&self) -> MonotonicTime {
        let last_loss = self.losses.last().map(|loss| loss.at);
        let latest = last_loss.max(self.quarantined_at).max(self.tried_at).max(self.served_at);
        latest.unwrap_or(MonotonicTime::ZERO)
    }

    /// Counts the losses that `is_explained` does not attribute to another subject. A request runs at
    /// one engine at a time for each caller, so its losses have no common cause.
    pub fn count_losses(&self, is_explained: impl Fn(&EngineLoss) -> bool) -> usize {
        if self.subject.is_request() {
            return self.losses.iter().filter(|loss| !is_explained(loss)).count();
        }
        let mut count = 0;
        let mut last: Option<MonotonicTime> = None;
        for loss in self.losses.iter().filter(|loss| !is_explained(loss)) {
            if last.is_none_or(|last| loss.at.since(last) >= COMMON_CAUSE_TIME) {
                count += 1;
                last = Some(loss.at);
            }
        }
        count
    }

    /// Returns whether that many losses are enough for a quarantine.
    pub fn is_convicted_by(&self, losses: usize) -> bool {
        let limit = match (self.subject, self.was_quarantined, self.was_served()) {
            (QuarantineSubject::Request(_), true, _) => MAX_LOSSES_IF_RELAPSED,
            (QuarantineSubject::Request(_), false, _) => MAX_REQUEST_LOSSES,
            (QuarantineSubject::Part(_) | QuarantineSubject::ItemPart(_), _, true) => {
                MAX_LOSSES_IF_SERVED
            }
            (QuarantineSubject::Part(_) | QuarantineSubject::ItemPart(_), _, false) => MAX_LOSSES,
        };
        losses >= limit
    }

    /// Adds a loss; returns whether it was not known.
    pub fn record_loss(&mut self, loss: EngineLoss) -> bool {
        if self.served_at.is_some_and(|served| loss.at <= served) || self.has_loss(&loss) {
            return false;
        }
        let position = self.losses.partition_point(|known| known.at <= loss.at);
        self.losses.insert(position, loss);
        if self.losses.len() > KEPT_LOSSES {
            self.losses.remove(0);
        }
        true
    }

    /// Puts the subject into quarantine.
    pub fn quarantine(&mut self, now: MonotonicTime) {
        let is_relapse = self.was_quarantined && self.subject.is_request();
        (self.quarantined_at, self.was_quarantined) = (Some(now), true);
        (self.trials, self.tried_at) = (if is_relapse { MAX_REQUEST_TRIALS } else { 0 }, None);
        (self.withdrawn, self.sound_since) = (0, None);
        self.changed_at = now;
    }

    /// Puts the subject into quarantine after a restart, as after one failed trial.
    pub fn restore(&mut self, since: MonotonicTime, now: MonotonicTime) {
        self.quarantine(since);
        self.changed_at = now;
        self.trials = 1;
    }

    /// Records that a trial begins.
    pub fn record_trial(&mut self, now: MonotonicTime) {
        self.trials = self.trials.saturating_add(1);
        self.tried_at = Some(now);
        self.changed_at = now;
    }

    /// Records that no engine began to run the last trial, which tells nothing of a request.
    pub fn withdraw_trial(&mut self, now: MonotonicTime) {
        if self.subject.is_request() && self.withdrawn < self.trials.min(MAX_WITHDRAWN_TRIALS) {
            self.withdrawn += 1;
            self.changed_at = now;
        }
    }

    /// Records that the subject was served, which clears it of what was seen before; returns whether
    /// that ends its quarantine.
    pub fn record_served(&mut self, at: MonotonicTime) -> bool {
        self.served_at = self.served_at.max(Some(at));
        self.losses.retain(|loss| loss.at > at);
        let is_lifted = self.quarantined_at.is_some_and(|since| since < at);
        if is_lifted {
            (self.quarantined_at, self.trials, self.tried_at) = (None, 0, None);
            self.withdrawn = 0;
        }
        if self.was_quarantined && !self.is_in_quarantine() {
            let since = *self.sound_since.get_or_insert(at);
            self.was_quarantined = at.since(since) < RELAPSE_TIME;
        }
        is_lifted
    }

    /// Forgets what has expired; returns whether that ends the quarantine.
    pub fn expire(&mut self, now: MonotonicTime) -> bool {
        let is_request = self.subject.is_request();
        if !self.is_in_quarantine() {
            if !is_request {
                self.losses.retain(|loss| loss.at >= now.before(EVIDENCE_LIFETIME));
            }
            return false;
        }
        let lifetime = if is_request { REQUEST_LIFETIME } else { PART_LIFETIME };
        let is_lifted = now.since(self.last_event()) >= lifetime;
        if is_lifted {
            (self.quarantined_at, self.trials, self.tried_at) = (None, 0, None);
            self.withdrawn = 0;
            self.losses.clear();
        }
        is_lifted
    }

    /// Returns whether the row has to be kept.
    pub fn has_evidence(&self) -> bool {
        let may_relapse = self.subject.is_request() && self.was_quarantined;
        self.is_in_quarantine() || !self.losses.is_empty() || may_relapse
    }

    /// Returns whether all of the losses are among the evidence.
    pub fn has_losses(&self, losses: &[&EngineLoss]) -> bool {
        losses.iter().all(|loss| self.has_loss(loss))
    }

    /// Returns how long the row is kept if there are too many; those with the least go first.
    pub fn retention(&self) -> impl Ord {
        let losses = if self.subject.is_request() { self.losses.len() } else { 0 };
        let may_relapse = self.subject.is_request() && self.was_quarantined;
        (self.is_in_quarantine(), may_relapse, losses, self.last_event())
    }

    /// Returns what other processes should hear of at once when it changes.
    fn state(&self) -> impl Eq + use<> {
        let trials = (self.trials, self.withdrawn);
        (self.is_in_quarantine(), trials, self.losses.len(), self.was_served())
    }

    /// Merges what another process knew at `sent_at`; returns whether it is new here.
    pub fn merge(
        &mut self,
        record: &QuarantineRecord,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        let before = self.state();
        let time = |age: u32| sent_at.before(Duration::from_millis(age.into()));
        self.position = self.position.max(record.position);
        for (engine, age) in &record.losses {
            self.record_loss(EngineLoss { at: time(*age), engine: *engine });
        }
        if let Some(age) = record.quarantined {
            let since = time(age);
            if self.quarantined_at.is_none() && self.served_at.is_none_or(|served| served < since) {
                (self.quarantined_at, self.was_quarantined) = (Some(since), true);
            }
            if self.quarantined_at.is_some() && record.trials >= self.trials {
                let is_later = record.trials > self.trials;
                let known = if is_later { 0 } else { self.withdrawn };
                self.withdrawn = record.withdrawn.min(record.trials).max(known);
                self.trials = record.trials;
                self.tried_at = self.tried_at.max(record.tried.map(time));
            }
        }
        if let Some(served_at) = record.served.map(time)
            && self.served_at.is_none_or(|known| served_at > known + ESTIMATE_ERROR)
        {
            self.record_served(served_at);
        }
        let after = self.state();
        // The other process is told what it does not know.
        let differs = record.quarantined.is_some() != self.is_in_quarantine();
        if before != after || differs {
            self.changed_at = now;
        }
        before != after
    }

    /// Returns this process's knowledge.
    pub fn record(&self, now: MonotonicTime) -> QuarantineRecord {
        let age =
            |time: MonotonicTime| u32::try_from(now.since(time).as_millis()).unwrap_or(u32::MAX);
        QuarantineRecord {
            losses: self.losses.iter().map(|loss| (loss.engine, age(loss.at))).collect(),
            subject: self.subject,
            position: self.position,
            quarantined: self.quarantined_at.map(age),
            served: self.served_at.map(age),
            tried: self.tried_at.map(age),
            trials: self.trials,
            withdrawn: self.withdrawn,
        }
    }
}
