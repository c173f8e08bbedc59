//! Which targets an entry asks for their status, and when.

use std::time::Duration;

use super::TargetRow;
use super::status_calls_per_second;
use crate::TargetId;

/// Targets that are not ready and are asked out of turn in one round.
const UNREADY_CALLS: usize = 16;

/// Targets with an older configuration that are asked out of turn in one round, so that a change
/// is everywhere within a few rounds.
const BEHIND_CALLS: usize = 64;

/// Questions in a row without an answer after which a target counts as lost.
const FAILURES: u32 = 2;

/// What an entry knows from its questions to one target.
#[derive(Clone, Copy, Debug)]
struct PolledTarget {
    failures: u32,
    id: TargetId,
    /// Revision of the configuration that the target has in force.
    revision: u64,
}

/// The questions of one entry.
#[derive(Clone, Debug, Default)]
pub struct StatusPoller {
    /// Sorted by target.
    asked: Vec<PolledTarget>,
    round: usize,
}

impl StatusPoller {
    /// Begins a round and lists the targets to ask in it.
    ///
    /// With many targets each is asked less often; its answers to requests tell the rest. A few
    /// that are not ready, and those whose configuration is older than `revision`, do not wait for
    /// their turn.
    pub fn begin_round(
        &mut self,
        rows: &[TargetRow],
        period: Duration,
        revision: u64,
    ) -> Vec<TargetId> {
        self.round += 1;
        self.asked.retain(|asked| rows.binary_search_by_key(&asked.id, |row| row.id).is_ok());
        let calls = status_calls_per_second(rows.len()) * period.as_secs_f64();
        let turns = (rows.len() as f64 / calls).ceil().max(1.0) as usize;
        let in_turn = rows.iter().skip(self.round % turns).step_by(turns);
        let mut due: Vec<TargetId> = in_turn.map(|row| row.id).collect();
        let unready = rows.iter().filter(|row| !row.ready).map(|row| row.id);
        due.extend(unready.take(UNREADY_CALLS));
        let behind = rows.iter().map(|row| row.id).filter(|id| self.is_outdated(*id, revision));
        due.extend(behind.take(BEHIND_CALLS));
        due.sort_unstable();
        due.dedup();
        due
    }

    /// Notes a target's answer, with the revision that it has in force.
    pub fn record_response(&mut self, target: TargetId, revision: u64) {
        let asked = self.row_mut(target);
        asked.failures = 0;
        asked.revision = revision;
    }

    /// Notes that a target gave no answer; tells whether it counts as lost.
    pub fn record_failure(&mut self, target: TargetId) -> bool {
        let asked = self.row_mut(target);
        asked.failures += 1;
        asked.failures >= FAILURES
    }

    /// Tells whether a target answers and has an older configuration in force.
    fn is_outdated(&self, target: TargetId, revision: u64) -> bool {
        match self.asked.binary_search_by_key(&target, |asked| asked.id) {
            Ok(position) => {
                self.asked[position].failures == 0 && self.asked[position].revision < revision
            }
            Err(_) => true,
        }
    }

    /// Returns the row of a target, adding it if there is none.
    fn row_mut(&mut self, target: TargetId) -> &mut PolledTarget {
        let position = match self.asked.binary_search_by_key(&target, |asked| asked.id) {
            Ok(position) => position,
            Err(position) => {
                self.asked.insert(position, PolledTarget { failures: 0, id: target, revision: 0 });
                position
            }
        };
        &mut self.asked[position]
    }
}
