//! The targets of a service that get only trial requests because many of their responses fail.
//!
//! Answers the load of a few targets that fail while the others have room. All entries compute the
//! same targets from the same reports. A sidecar's report about its engine comes from one process,
//! so at most a bounded share of the service is held back, however many reports say that they fail.

use cv_policy::MonotonicTime;

use crate::TargetRow;
use crate::TargetTable;

/// Share of failed responses from which on a target is held back.
const MIN_HELD_SHARE: f64 = 0.3;

/// A service has at most one target held back for this many.
const TARGETS_PER_HELD: usize = 3;

/// The targets of one service that are held back.
#[derive(Clone, Debug, Default)]
pub struct TargetHold<'a> {
    /// Ids of the targets, sorted.
    held: Vec<&'a str>,
}

impl<'a> TargetHold<'a> {
    /// Computes which targets of a service are held back: those with the largest share of failed
    /// responses, together with the ejected ones at most a third of the targets that are ready, and
    /// one at least if there are others.
    #[must_use]
    pub fn new(targets: &'a TargetTable, service: &str, now: MonotonicTime) -> Self {
        let (mut ready, mut ejected) = (0, 0);
        let mut failing: Vec<(f64, &str)> = Vec::new();
        for row in targets.rows().iter().filter(|row| row.is_ready_for(service)) {
            ready += 1;
            let share = row.failure_share(now);
            if !row.is_healthy(now) {
                ejected += 1;
            } else if share >= MIN_HELD_SHARE {
                failing.push((share, &row.record.id));
            }
        }
        let limit = (ready / TARGETS_PER_HELD).max(1).min(ready.max(1) - 1);
        failing.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(right.1)));
        failing.truncate(limit.saturating_sub(ejected));
        let mut held: Vec<&str> = failing.into_iter().map(|(_, id)| id).collect();
        held.sort_unstable();
        Self { held }
    }

    /// Returns whether a target is held back.
    #[must_use]
    pub fn contains(&self, row: &TargetRow) -> bool {
        self.held.binary_search(&row.record.id.as_str()).is_ok()
    }

    /// Returns whether no target is held back.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
