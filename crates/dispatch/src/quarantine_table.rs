//! Quarantine of subjects that end the engines that they run on.

use std::time::Duration;

use cv_policy::MonotonicTime;

use crate::EngineLoss;
use crate::QuarantineRecord;
use crate::QuarantineSubject;
use crate::quarantine_row::QuarantineRow;

/// Time after which a loss is no evidence any more against a subject that is not in quarantine.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(30);

/// Time after the last loss or trial after which a quarantine ends.
const QUARANTINE_LIFETIME: Duration = Duration::from_mins(15);

/// Time for which news of a subject is repeated to other processes.
const NEWS_LIFETIME: Duration = Duration::from_secs(2);

/// Most subjects with evidence that are kept.
const MAX_ROWS: usize = 128;

/// Most subjects that are told to other processes at once.
const MAX_RECORDS: usize = 48;

/// Most subjects of which the last service is remembered.
const MAX_SERVED: usize = 4_096;

/// What to do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineDecision {
    /// Serve it.
    Admit,
    /// Run it, and no other, to find out whether engines survive this subject by now.
    Try(QuarantineSubject),
    /// Refuse it because of this subject; the next trial is due after the given time.
    Refuse(QuarantineSubject, Duration),
}

/// Parts that came into quarantine or left it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuarantineChanges {
    /// Parts that left quarantine.
    pub lifted: Vec<QuarantineSubject>,
    /// Parts that came into quarantine.
    pub quarantined: Vec<QuarantineSubject>,
}

/// Decides which subjects end engines, from the losses of engines and the runs that each took
/// with it.
///
/// An engine that ends takes innocent runs with it. A subject is convicted by several losses without a
/// single response in between that an engine survived. Requests share subjects, so the subject with most
/// losses is convicted first, and its losses are no evidence against others.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    /// Parts with evidence, sorted by subject.
    rows: Vec<QuarantineRow>,
    /// Last service of subjects, sorted by subject.
    served: Vec<(QuarantineSubject, MonotonicTime)>,
}

impl QuarantineTable {
    /// Decides on a request by its subjects.
    #[must_use]
    pub fn decide(&self, subjects: &[QuarantineSubject], now: MonotonicTime) -> QuarantineDecision {
        let mut decision = QuarantineDecision::Admit;
        for row in subjects.iter().filter_map(|subject| self.get(*subject)) {
            let Some(due) = row.trial_due() else {
                continue;
            };
            let left = now.until(due);
            match decision {
                QuarantineDecision::Refuse(_, longest) if longest >= left => {}
                _ if !left.is_zero() => decision = QuarantineDecision::Refuse(row.subject, left),
                QuarantineDecision::Admit => decision = QuarantineDecision::Try(row.subject),
                _ => {}
            }
        }
        decision
    }

    /// Returns the turn of the targets that run the trials of a subject, see
    /// [`PlacementPolicy::choose_for_trial`](crate::PlacementPolicy::choose_for_trial).
    #[must_use]
    pub fn trial_turn(&self, subject: QuarantineSubject, now: MonotonicTime) -> usize {
        self.get(subject).map_or(0, |row| row.trial_turn(now))
    }

    /// Records that a request with these subjects is run as a trial.
    pub fn begin_trial(&mut self, subjects: &[QuarantineSubject], now: MonotonicTime) {
        for subject in subjects {
            if let Ok(position) = self.position(*subject)
                && self.rows[position].is_in_quarantine()
            {
                self.rows[position].record_trial(now);
            }
        }
    }

    /// Records that an engine has ended. Each suspect is the subjects of one run that may be the
    /// cause, in order.
    pub fn record_loss<'a>(
        &mut self,
        loss: EngineLoss,
        suspects: impl IntoIterator<Item = &'a [QuarantineSubject]>,
    ) -> QuarantineChanges {
        for subjects in suspects {
            for (index, subject) in subjects.iter().enumerate() {
                if subject.is_request() {
                    continue;
                }
                let row = self.row_mut(*subject, loss.at);
                row.position = row.position.max(u8::try_from(index).unwrap_or(u8::MAX));
                if row.record_loss(loss) {
                    row.changed_at = loss.at;
                }
            }
        }
        let quarantined = self.convict(loss.at);
        self.limit_rows();
        QuarantineChanges { lifted: Vec::new(), quarantined }
    }

    /// Records that an engine has survived a whole response to a request with these subjects.
    pub fn record_served(
        &mut self,
        subjects: &[QuarantineSubject],
        at: MonotonicTime,
    ) -> QuarantineChanges {
        let mut changes = QuarantineChanges::default();
        for subject in subjects {
            self.remember_served(*subject, at);
            let Ok(position) = self.position(*subject) else {
                continue;
            };
            let row = &mut self.rows[position];
            if row.has_evidence() {
                row.changed_at = at;
            }
            if row.record_served(at) {
                changes.lifted.push(*subject);
            }
        }
        changes
    }

    /// Remembers that a response to a request with these subjects was complete. That clears no subject,
    /// since its engine may still end of it.
    pub fn record_response(&mut self, subjects: &[QuarantineSubject], at: MonotonicTime) {
        for subject in subjects {
            self.remember_served(*subject, at);
        }
    }

    /// Merges what another process knew when it sent the records.
    pub fn merge(
        &mut self,
        records: &[QuarantineRecord],
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> QuarantineChanges {
        let mut changes = QuarantineChanges::default();
        for record in records {
            let row = self.row_mut(record.subject, now);
            let was_in_quarantine = row.is_in_quarantine();
            row.merge(record, sent_at, now);
            match (was_in_quarantine, row.is_in_quarantine()) {
                (true, false) => changes.lifted.push(record.subject),
                (false, true) => changes.quarantined.push(record.subject),
                _ => {}
            }
        }
        changes.quarantined.extend(self.convict(now));
        self.limit_rows();
        changes
    }

    /// Returns what other processes should know: all quarantines if `is_full`, and news.
    #[must_use]
    pub fn records(&self, now: MonotonicTime, is_full: bool) -> Vec<QuarantineRecord> {
        let is_told = |row: &&QuarantineRow| {
            is_full && row.is_in_quarantine() || now.since(row.changed_at) < NEWS_LIFETIME
        };
        let mut told: Vec<&QuarantineRow> = self.rows.iter().filter(is_told).collect();
        told.sort_by_key(|row| {
            (!row.is_in_quarantine(), std::cmp::Reverse(row.count_losses(|_| false)))
        });
        told.into_iter().take(MAX_RECORDS).map(|row| row.record(now)).collect()
    }

    /// Removes evidence and quarantines that have expired; returns the subjects that left quarantine.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<QuarantineSubject> {
        let mut lifted = Vec::new();
        for row in &mut self.rows {
            if !row.is_in_quarantine() {
                row.forget_losses_before(now.before(EVIDENCE_LIFETIME));
            } else if now.since(row.last_event()) >= QUARANTINE_LIFETIME {
                lifted.push(row.subject);
            }
        }
        self.rows.retain(|row| {
            let is_news = now.since(row.changed_at) < EVIDENCE_LIFETIME;
            !lifted.contains(&row.subject) && (row.has_evidence() || is_news)
        });
        lifted
    }

    /// Puts a subject into quarantine that has been there since before this process started. Processes
    /// that know of a later response to the subject are not told to refuse it.
    pub fn restore(
        &mut self,
        subject: QuarantineSubject,
        since: MonotonicTime,
        now: MonotonicTime,
    ) -> QuarantineChanges {
        let row = self.row_mut(subject, now);
        if row.is_in_quarantine() {
            return QuarantineChanges::default();
        }
        row.restore(since, now);
        QuarantineChanges { lifted: Vec::new(), quarantined: vec![subject] }
    }

    /// Returns the losses that are known of a subject.
    #[must_use]
    pub fn losses(&self, subject: QuarantineSubject) -> &[EngineLoss] {
        self.get(subject).map_or(&[], QuarantineRow::losses)
    }

    /// Returns the subjects in quarantine, sorted, each with the time since when it is there.
    pub fn quarantined(&self) -> impl Iterator<Item = (QuarantineSubject, MonotonicTime)> {
        self.rows.iter().filter_map(|row| Some((row.subject, row.quarantined_at()?)))
    }

    /// Puts subjects into quarantine as long as the evidence suffices for one; returns them.
    fn convict(&mut self, now: MonotonicTime) -> Vec<QuarantineSubject> {
        let mut convicted = Vec::new();
        loop {
            let candidates =
                self.rows.iter().enumerate().filter(|(_, row)| !row.is_in_quarantine());
            let counted = candidates.map(|(index, row)| {
                let losses = row.count_losses(|loss| self.is_explained(loss));
                (losses, !row.was_served(), row.position, index)
            });
            let guilty =
                counted.filter(|(losses, _, _, index)| self.rows[*index].is_convicted_by(*losses));
            let Some((_, _, _, index)) = guilty.max() else {
                return convicted;
            };
            self.rows[index].quarantine(now);
            convicted.push(self.rows[index].subject);
        }
    }

    /// Returns whether a subject in quarantine accounts for a loss.
    fn is_explained(&self, loss: &EngineLoss) -> bool {
        self.rows.iter().any(|row| row.is_in_quarantine() && row.has_loss(loss))
    }

    /// Remembers the last service of a subject, at the cost of those served longest ago.
    fn remember_served(&mut self, subject: QuarantineSubject, at: MonotonicTime) {
        if subject.is_request() {
            return;
        }
        match self.served.binary_search_by_key(&subject, |(subject, _)| *subject) {
            Ok(position) => self.served[position].1 = self.served[position].1.max(at),
            Err(position) => self.served.insert(position, (subject, at)),
        }
        if self.served.len() > MAX_SERVED {
            let mut times: Vec<MonotonicTime> = self.served.iter().map(|(_, at)| *at).collect();
            let (_, median, _) = times.select_nth_unstable(MAX_SERVED / 2);
            let median = *median;
            self.served.retain(|(_, at)| *at > median);
        }
    }

    /// Removes the oldest rows that are not in quarantine beyond [`MAX_ROWS`].
    fn limit_rows(&mut self) {
        while self.rows.len() > MAX_ROWS {
            let rows = self.rows.iter().enumerate();
            let oldest = rows.min_by_key(|(_, row)| (row.is_in_quarantine(), row.last_event()));
            let Some((position, _)) = oldest else {
                return;
            };
            self.rows.remove(position);
        }
    }

    /// Returns the row of a subject.
    fn get(&self, subject: QuarantineSubject) -> Option<&QuarantineRow> {
        self.position(subject).ok().map(|position| &self.rows[position])
    }

    /// Returns the row of a subject, which is added if it is missing.
    fn row_mut(&mut self, subject: QuarantineSubject, now: MonotonicTime) -> &mut QuarantineRow {
        let position = match self.position(subject) {
            Ok(position) => position,
            Err(position) => {
                let served = self.served.binary_search_by_key(&subject, |(subject, _)| *subject);
                let served_at = served.ok().map(|index| self.served[index].1);
                self.rows.insert(position, QuarantineRow::new(subject, served_at, now));
                position
            }
        };
        &mut self.rows[position]
    }

    /// Returns the index of a subject's row, or the index at which to insert it.
    fn position(&self, subject: QuarantineSubject) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&subject, |row| row.subject)
    }
}
