//! Watches all keys of the store that share a prefix.

use std::time::Duration;

use cv_policy::SeededRandom;

use crate::CoordinationStore;
use crate::StoreChange;
use crate::StoreFault;
use crate::StoreHealth;
use crate::StoredItem;
use crate::WatchedPrefix;

/// Longest time for which one watch call waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// Time between two cheap reads that detect a stalled watch.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(900);

/// Time within which a change that a cheap read has shown must reach the watch.
const WATCH_DELAY: Duration = Duration::from_millis(150);

/// Longest delay of a read after the store's return.
const RETURN_JITTER: Duration = Duration::from_millis(200);

/// Backoff after the first failed call; doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Longest backoff after a failed call, before jitter.
const MAX_BACKOFF: Duration = Duration::from_millis(700);

/// An update of the watched keys.
#[derive(Clone, Debug)]
pub enum StoreUpdate {
    /// All keys that exist.
    Snapshot(Vec<StoredItem>),
    /// Changes since the last update.
    Changes(Vec<StoreChange>),
}

/// Watches all keys with one prefix and reports their changes.
pub struct PrefixWatcher<'a, S> {
    /// Shortest time between two watch calls; changes in between arrive as one update.
    pub interval: Duration,
    /// Records whether the store responds.
    pub store_health: &'a StoreHealth,
    /// The watched keys.
    pub keys: WatchedPrefix<'a>,
    /// Adds jitter to the backoffs of many processes.
    pub random: SeededRandom,
    /// The store.
    pub store: &'a S,
}

impl<S: CoordinationStore> PrefixWatcher<'_, S> {
    /// Reports all updates to `apply` for as long as the process runs.
    pub async fn run(mut self, mut apply: impl FnMut(StoreUpdate)) {
        let mut backoff = MIN_BACKOFF;
        loop {
            match self.store_health.observe(self.store.range(self.keys.prefix).await) {
                Ok(snapshot) => {
                    apply(StoreUpdate::Snapshot(snapshot.items));
                    if self.watch_from(snapshot.revision, &mut apply).await {
                        backoff = MIN_BACKOFF;
                    } else {
                        self.back_off(&mut backoff).await;
                    }
                }
                Err(_) => self.back_off(&mut backoff).await,
            }
        }
    }

    /// Watches until a change may have been missed; returns whether the last call
    /// got a response.
    ///
    /// When the store discards its history, it ends watches and may let them resume without the
    /// changes in between. A watch that has ended is therefore never resumed: all keys are read
    /// again. So they are once the store is back: the connection of a watch may outlast changes that
    /// were lost on it.
    async fn watch_from(&mut self, mut revision: u64, apply: &mut impl FnMut(StoreUpdate)) -> bool {
        let returns = self.store_health.returns();
        loop {
            let watched = monoio::select! {
                watched = self.store.watch(self.keys.prefix, revision, WATCH_TIMEOUT) => watched,
                () = self.watch_stalled(revision) => return true,
                () = self.store_health.wait_for_return(returns) => {
                    // All processes see the store's return at about the same time.
                    monoio::time::sleep(RETURN_JITTER.mul_f64(self.random.fraction())).await;
                    return true;
                }
            };
            match self.store_health.observe(watched) {
                // A watch that is about to lose its history may end without reporting changes, so
                // it is only safe to continue from the revision of a change that was received.
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

    /// Resolves when a change has been in the store for so long that the watch should have
    /// reported it.
    async fn watch_stalled(&self, revision: u64) {
        loop {
            monoio::time::sleep(STALL_CHECK_INTERVAL).await;
            // A failure of the store also ends the watch itself, so it is ignored here.
            let recent = self.store.recent_revision(self.keys.marker).await;
            let newest = self.store_health.observe(recent).unwrap_or(0);
            if newest > revision {
                monoio::time::sleep(WATCH_DELAY).await;
                log::warn!(
                    "watch of {} stalled at revision {revision}, reading all keys again: the store \
                     is at {newest}",
                    self.keys.prefix
                );
                return;
            }
        }
    }

    /// Waits before the next attempt, with jitter, and doubles the backoff.
    async fn back_off(&mut self, backoff: &mut Duration) {
        let jitter = 0.5 + self.random.fraction();
        monoio::time::sleep(backoff.mul_f64(jitter)).await;
        *backoff = (*backoff * 2).min(MAX_BACKOFF);
    }
}
