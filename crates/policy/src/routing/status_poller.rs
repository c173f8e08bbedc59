//! Schedules an entry's status polls of its targets.

use std::time::Duration;

use super::TargetRow;
use super::status_polls_per_second;
use crate::TargetId;

/// Maximum number of unready targets polled out of turn in one round.
const MAX_UNREADY_POLLS: usize = 16;

/// Maximum number of targets with an outdated configuration polled out of turn in one round, so
/// that a change reaches all targets within a few rounds.
const MAX_OUTDATED_POLLS: usize = 64;

/// Consecutive failed polls after which a target counts as lost.
const FAILURE_THRESHOLD: u32 = 2;

/// The results of the polls of one target.
#[derive(Clone, Copy, Debug)]
struct PolledTarget {
    /// Consecutive failed polls.
    failures: u32,
    id: TargetId,
    /// Revision of the configuration that is active at the target.
    revision: u64,
}

/// Selects the targets to poll in each round and tracks the results.
#[derive(Clone, Debug, Default)]
pub struct StatusPoller {
    /// Sorted by target.
    polled: Vec<PolledTarget>,
    round: usize,
}

impl StatusPoller {
    /// Starts a round and returns the targets to poll in it.
    ///
    /// `period` is the time between rounds. The more targets there are, the less often each is
    /// polled; the responses to requests carry their load in between. A limited number of targets
    /// that are not ready, or whose configuration is older than `revision`, are polled out of turn.
    pub fn begin_round(
        &mut self,
        rows: &[TargetRow],
        period: Duration,
        revision: u64,
    ) -> Vec<TargetId> {
        self.round += 1;
        self.polled.retain(|polled| rows.binary_search_by_key(&polled.id, |row| row.id).is_ok());
        let polls_per_round = status_polls_per_second(rows.len()) * period.as_secs_f64();
        let rounds = (rows.len() as f64 / polls_per_round).ceil().max(1.0) as usize;
        let in_turn = rows.iter().skip(self.round % rounds).step_by(rounds);
        let mut due: Vec<TargetId> = in_turn.map(|row| row.id).collect();
        let unready = rows.iter().filter(|row| !row.ready).map(|row| row.id);
        due.extend(unready.take(MAX_UNREADY_POLLS));
        let outdated = rows.iter().map(|row| row.id).filter(|id| self.is_outdated(*id, revision));
        due.extend(outdated.take(MAX_OUTDATED_POLLS));
        due.sort_unstable();
        due.dedup();
        due
    }

    /// Records a target's response with the active configuration revision that it reports.
    pub fn record_response(&mut self, target: TargetId, revision: u64) {
        let polled = self.row_mut(target);
        polled.failures = 0;
        polled.revision = revision;
    }

    /// Records a failed poll. Returns whether the target now counts as lost.
    pub fn record_failure(&mut self, target: TargetId) -> bool {
        let polled = self.row_mut(target);
        polled.failures += 1;
        polled.failures >= FAILURE_THRESHOLD
    }

    /// Returns whether a target was never polled, or responded to the last poll with an older
    /// configuration.
    fn is_outdated(&self, target: TargetId, revision: u64) -> bool {
        match self.polled.binary_search_by_key(&target, |polled| polled.id) {
            Ok(position) => {
                self.polled[position].failures == 0 && self.polled[position].revision < revision
            }
            Err(_) => true,
        }
    }

    /// Returns the row of a target, inserting one if it is missing.
    fn row_mut(&mut self, target: TargetId) -> &mut PolledTarget {
        let position = match self.polled.binary_search_by_key(&target, |polled| polled.id) {
            Ok(position) => position,
            Err(position) => {
                self.polled.insert(position, PolledTarget { failures: 0, id: target, revision: 0 });
                position
            }
        };
        &mut self.polled[position]
    }
}
