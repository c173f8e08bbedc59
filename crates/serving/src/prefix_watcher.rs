//! Keeps a local copy of a part of the store up to date.

use std::time::Duration;

use cv_policy::SeededRandom;

use crate::CoordinationStore;
use crate::StoreChange;
use crate::StoreFault;
use crate::StoreHealth;
use crate::StoredItem;

/// Longest time that a watch waits for a change; a watch that waits costs one call.
const WATCH_PATIENCE: Duration = Duration::from_secs(25);

/// Time between two cheap reads that find out whether a watch has gone deaf.
const AUDIT_PERIOD: Duration = Duration::from_millis(900);

/// Time in which a change that a cheap read shows reaches the watch.
const WATCH_DELAY: Duration = Duration::from_millis(150);

/// First pause after a failed call; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_millis(700);

/// News of the followed part.
#[derive(Clone, Debug)]
pub enum StoreUpdate {
    /// All keys as they are now; keys that are not among them do not exist.
    Snapshot(Vec<StoredItem>),
    /// Changes since the last news.
    Changes(Vec<StoreChange>),
}

/// Follows all keys with one beginning.
pub struct PrefixWatcher<'a, S> {
    /// Shortest time between two watches, in which changes are collected.
    pub interval: Duration,
    /// Notes how the store answers.
    pub link: &'a StoreHealth,
    /// Beginning of the keys.
    pub prefix: &'a str,
    /// Spreads the pauses of many processes.
    pub random: SeededRandom,
    /// The store.
    pub store: &'a S,
}

impl<S: CoordinationStore> PrefixWatcher<'_, S> {
    /// Reports all news to `apply` for as long as the process runs.
    pub async fn run(mut self, mut apply: impl FnMut(StoreUpdate)) {
        let mut pause = FIRST_PAUSE;
        loop {
            match self.link.observe(self.store.range(self.prefix).await) {
                Ok(snapshot) => {
                    apply(StoreUpdate::Snapshot(snapshot.items));
                    if self.watch_from(snapshot.revision, &mut apply).await {
                        pause = FIRST_PAUSE;
                    } else {
                        self.rest(&mut pause).await;
                    }
                }
                Err(_) => self.rest(&mut pause).await,
            }
        }
    }

    /// Watches until a change may have been missed; tells whether the store answered to the last.
    ///
    /// Around the loss of its history the store cuts watches and may let them continue without the
    /// changes in between, so a watch that was cut is never continued: all keys are read anew.
    async fn watch_from(&mut self, mut revision: u64, apply: &mut impl FnMut(StoreUpdate)) -> bool {
        loop {
            let watched = monoio::select! {
                watched = self.store.watch(self.prefix, revision, WATCH_PATIENCE) => watched,
                () = self.watch_is_deaf(revision) => return true,
            };
            match self.link.observe(watched) {
                // A watch that is about to lose its history may end without changes that were
                // made: only the revisions of changes that were seen are safe to continue from.
                Ok(batch) if batch.changes.is_empty() => return true,
                Ok(batch) => {
                    revision = revision.max(batch.revision);
                    apply(StoreUpdate::Changes(batch.changes));
                    monoio::time::sleep(self.interval).await;
                }
                Err(StoreFault::Compacted) => return true,
                Err(_) => return false,
            }
        }
    }

    /// Resolves when the store has had a change for so long that the watch ought to have told it.
    async fn watch_is_deaf(&self, revision: u64) {
        loop {
            monoio::time::sleep(AUDIT_PERIOD).await;
            // The store's trouble shows in the watch itself.
            let recent = self.link.observe(self.store.recent_revision(self.prefix).await);
            let newest = recent.unwrap_or(0);
            if newest > revision {
                monoio::time::sleep(WATCH_DELAY).await;
                log::warn!("watch of {} is deaf after {revision}: {newest}", self.prefix);
                return;
            }
        }
    }

    /// Waits before the next try.
    async fn rest(&mut self, pause: &mut Duration) {
        let jitter = 0.5 + self.random.fraction();
        monoio::time::sleep(pause.mul_f64(jitter)).await;
        *pause = (*pause * 2).min(MAX_PAUSE);
    }
}
