//! Quarantine of requests and parts of prompts that end the engines that they run on.

use std::ops::Range;
use std::time::Duration;

use cv_policy::MonotonicTime;

use crate::EngineLoss;
use crate::QuarantineRecord;
use crate::QuarantineSubject;
use crate::quarantine_row::QuarantineRow;
use crate::quarantine_subject::SubjectKind;

/// Time after its last change for which a row without evidence is kept, so that peers learn of it.
const ROW_LIFETIME: Duration = Duration::from_secs(30);

/// Time for which news of a subject is repeated to other processes.
const NEWS_LIFETIME: Duration = Duration::from_secs(2);

/// Most parts with evidence that are kept, of online requests and of items each.
const MAX_PARTS: usize = 128;

/// Most requests with evidence that are kept.
const MAX_REQUESTS: usize = 512;

/// Most parts, and most requests, that are told to other processes at once.
const MAX_RECORDS: usize = 48;

/// Most parts of which the last service is remembered.
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

/// Subjects that came into quarantine or left it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuarantineChanges {
    /// Subjects that left quarantine.
    pub lifted: Vec<QuarantineSubject>,
    /// Subjects that came into quarantine.
    pub quarantined: Vec<QuarantineSubject>,
}

/// Decides which subjects end engines, from the losses of engines and the runs that each took
/// with it.
///
/// An engine that ends takes innocent runs with it. A subject is convicted by several losses without a
/// single response in between that an engine survived. Requests share subjects, so the subject with most
/// losses is convicted first, and its losses are no evidence against others.
///
/// Online requests and items are judged apart, so that neither is refused for what the other does. Items
/// are owed: those with a part in quarantine run one at a time and never wait for longer than one trial.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    /// Subjects with evidence, sorted, so that those of a kind follow each other.
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

    /// Records that no engine began to run a request with these subjects, which was a trial.
    pub fn withdraw_trial(&mut self, subjects: &[QuarantineSubject], now: MonotonicTime) {
        for subject in subjects {
            if let Ok(position) = self.position(*subject) {
                self.rows[position].withdraw_trial(now);
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
        let mut is_new = false;
        for record in records {
            let row = self.row_mut(record.subject, now);
            let was_in_quarantine = row.is_in_quarantine();
            is_new |= row.merge(record, sent_at, now);
            match (was_in_quarantine, row.is_in_quarantine()) {
                (true, false) => changes.lifted.push(record.subject),
                (false, true) => changes.quarantined.push(record.subject),
                _ => {}
            }
        }
        if is_new {
            changes.quarantined.extend(self.convict(now));
            self.limit_rows();
        }
        changes
    }

    /// Returns what other processes should know: news and, if `is_full`, quarantines, in turn if
    /// there are many.
    #[must_use]
    pub fn records(&self, now: MonotonicTime, is_full: bool) -> Vec<QuarantineRecord> {
        // What requests explain is known before the losses of their parts.
        let kinds = [SubjectKind::Request, SubjectKind::Part, SubjectKind::ItemPart];
        let told = kinds.into_iter().flat_map(|kind| told_rows(self.rows(kind), now, is_full));
        told.map(|row| row.record(now)).collect()
    }

    /// Removes evidence and quarantines that have expired; returns the subjects that left quarantine.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<QuarantineSubject> {
        let lifted =
            self.rows.iter_mut().filter_map(|row| row.expire(now).then_some(row.subject)).collect();
        self.rows.retain(|row| row.has_evidence() || now.since(row.changed_at) < ROW_LIFETIME);
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

    /// Returns whether there is evidence against a subject, or has been recently.
    #[must_use]
    pub fn is_suspect(&self, subject: QuarantineSubject) -> bool {
        self.position(subject).is_ok()
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
        let mut convicted = self.convict_requests(now);
        self.convict_parts(SubjectKind::Part, now, &mut convicted);
        // Last, since what ends engines in online requests explains their losses under items.
        self.convict_parts(SubjectKind::ItemPart, now, &mut convicted);
        convicted
    }

    /// Puts parts of a kind into quarantine as long as the evidence suffices for one, and adds them to
    /// `convicted`.
    fn convict_parts(
        &mut self,
        kind: SubjectKind,
        now: MonotonicTime,
        convicted: &mut Vec<QuarantineSubject>,
    ) {
        let range = self.range(kind);
        loop {
            let candidates = self.rows.iter().enumerate().skip(range.start).take(range.len());
            let candidates = candidates.filter(|(_, row)| !row.is_in_quarantine());
            let counted = candidates.map(|(index, row)| {
                (self.count_unexplained(row), !row.was_served(), row.position, index)
            });
            let guilty =
                counted.filter(|(losses, _, _, index)| self.rows[*index].is_convicted_by(*losses));
            let Some((_, _, _, index)) = guilty.max() else {
                return;
            };
            self.rows[index].quarantine(now);
            convicted.push(self.rows[index].subject);
        }
    }

    /// Puts each request into quarantine against which the evidence suffices. Nothing else explains
    /// its losses: a mistake costs the one request, and one too few an engine with each repetition.
    fn convict_requests(&mut self, now: MonotonicTime) -> Vec<QuarantineSubject> {
        let mut convicted = Vec::new();
        let range = self.range(SubjectKind::Request);
        for row in self.rows[range].iter_mut().filter(|row| !row.is_in_quarantine()) {
            if row.is_convicted_by(row.count_losses(|_| false)) {
                row.quarantine(now);
                convicted.push(row.subject);
            }
        }
        convicted
    }

    /// Counts the losses of a part that no quarantine accounts for.
    ///
    /// A request in quarantine accounts for its losses. But if the part has all losses of that
    /// request and more, the request may be one of several with the part, and accounts for none. Items
    /// account for no loss of an online request, and whatever is in quarantine accounts for theirs.
    fn count_unexplained(&self, row: &QuarantineRow) -> usize {
        if row.subject.is_item_part() {
            let is_cause = |cause: &QuarantineRow, loss: &EngineLoss| {
                cause.is_in_quarantine() && cause.has_loss(loss)
            };
            return row.count_losses(|loss| self.rows.iter().any(|cause| is_cause(cause, loss)));
        }
        let (inside, outside): (Vec<&QuarantineRow>, Vec<&QuarantineRow>) = self
            .rows(SubjectKind::Request)
            .iter()
            .filter(|request| request.is_in_quarantine())
            .partition(|request| request.losses().iter().all(|loss| row.has_loss(loss)));
        let parts = self.rows(SubjectKind::Part).iter().filter(|part| part.is_in_quarantine());
        let causes: Vec<&QuarantineRow> = parts.chain(outside).collect();
        let is_explained = |loss: &EngineLoss| causes.iter().any(|cause| cause.has_loss(loss));
        let left: Vec<&EngineLoss> =
            row.losses().iter().filter(|loss| !is_explained(loss)).collect();
        if inside.iter().any(|request| request.has_losses(&left)) {
            return 0;
        }
        row.count_losses(is_explained)
    }

    /// Returns the indices of the rows of a kind.
    fn range(&self, kind: SubjectKind) -> Range<usize> {
        let begin = self.rows.partition_point(|row| row.subject.kind() < kind);
        begin..self.rows.partition_point(|row| row.subject.kind() <= kind)
    }

    /// Returns the rows of a kind.
    fn rows(&self, kind: SubjectKind) -> &[QuarantineRow] {
        &self.rows[self.range(kind)]
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

    /// Removes the rows with the least evidence beyond [`MAX_PARTS`] and [`MAX_REQUESTS`].
    fn limit_rows(&mut self) {
        let limits = [
            (SubjectKind::Part, MAX_PARTS),
            (SubjectKind::Request, MAX_REQUESTS),
            (SubjectKind::ItemPart, MAX_PARTS),
        ];
        for (kind, maximum) in limits {
            for _ in maximum..self.range(kind).len() {
                self.remove_least(kind);
            }
        }
    }

    /// Removes the row of a kind with the least evidence.
    fn remove_least(&mut self, kind: SubjectKind) {
        let range = self.range(kind);
        let rows = self.rows.iter().enumerate().skip(range.start).take(range.len());
        if let Some((position, _)) = rows.min_by_key(|(_, row)| row.retention()) {
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

/// Returns those rows of which other processes are told, news first.
fn told_rows(
    rows: &[QuarantineRow],
    now: MonotonicTime,
    is_full: bool,
) -> impl Iterator<Item = &QuarantineRow> {
    let is_news = move |row: &&QuarantineRow| now.since(row.changed_at) < NEWS_LIFETIME;
    let mut news: Vec<&QuarantineRow> = rows.iter().filter(is_news).collect();
    news.sort_by_key(|row| {
        (!row.is_in_quarantine(), std::cmp::Reverse(row.count_losses(|_| false)))
    });
    let is_rest = |row: &&QuarantineRow| is_full && row.is_in_quarantine() && !is_news(row);
    let mut rest: Vec<&QuarantineRow> = rows.iter().filter(is_rest).collect();
    let turn = (now.as_micros() / 1_000_000) as usize * MAX_RECORDS / 2;
    let begin = turn.checked_rem(rest.len()).unwrap_or(0);
    rest.rotate_left(begin);
    // A process that missed the news of a response would count the losses before it.
    let is_cleared =
        move |row: &&QuarantineRow| is_full && row.was_served() && !row.is_in_quarantine();
    let cleared = rows.iter().filter(is_cleared).filter(move |row| !is_news(row));
    news.into_iter().chain(rest).chain(cleared).take(MAX_RECORDS)
}
