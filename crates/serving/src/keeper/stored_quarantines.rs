//! Keeps quarantines of subjects in the store, in case all processes end at once.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::QuarantineSubject;

use crate::CoordinationStore;
use crate::FleetView;
use crate::PlatformAdapter;
use crate::StoreCommit;
use crate::StoredItem;
use crate::keeper::keeper_state::KeeperState;
use crate::keeper::stored_keys::QUARANTINE_PREFIX;
use crate::keeper::stored_keys::WorkKey;
use crate::keeper::stored_keys::quarantine_key;
use crate::keeper::stored_keys::with_work_marker;

/// Time for which a write is repeated; afterwards the next review makes it again.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The subjects in quarantine according to the store.
#[derive(Debug, Default)]
pub(crate) struct StoredQuarantines {
    /// Whether the subjects have been read since the process started.
    is_loaded: Cell<bool>,
    /// Whether a write is in progress.
    is_writing: Cell<bool>,
    /// Sorted.
    subjects: RefCell<Vec<QuarantineSubject>>,
}

impl StoredQuarantines {
    /// Adds a subject that has been written.
    pub fn add(&self, subject: QuarantineSubject) {
        let mut subjects = self.subjects.borrow_mut();
        if let Err(position) = subjects.binary_search(&subject) {
            subjects.insert(position, subject);
        }
    }

    /// Removes a subject that has been deleted.
    pub fn remove(&self, subject: QuarantineSubject) {
        self.subjects.borrow_mut().retain(|other| *other != subject);
    }

    /// Returns whether a subject has been written.
    fn contains(&self, subject: QuarantineSubject) -> bool {
        self.subjects.borrow().binary_search(&subject).is_ok()
    }
}

/// Reads the subjects in quarantine from the store and puts them into this process's, which has just
/// started; retries until that succeeds.
pub(crate) async fn load_quarantines<S: CoordinationStore>(view: &FleetView, store: &S) {
    loop {
        match view.store_health.observe(store.range(QUARANTINE_PREFIX).await) {
            Ok(snapshot) => {
                snapshot.items.iter().for_each(|item| restore_quarantine(view, item));
                return view.quarantine.finish_restore();
            }
            Err(_) => monoio::time::sleep(READ_RETRY_DELAY).await,
        }
    }
}

/// Puts the subject of a stored item into this process's quarantine, if the item is one of a subject.
///
/// The value is when the quarantine began, so that one whose removal from the store is late does not
/// undo what other processes have learned since.
fn restore_quarantine(view: &FleetView, item: &StoredItem) {
    let Some(WorkKey::Quarantine(subject)) = WorkKey::parse(&item.key) else {
        return;
    };
    let began_ms = std::str::from_utf8(&item.value).ok().and_then(|text| text.parse::<u64>().ok());
    match began_ms {
        Some(began_ms) => {
            let age = view.clock.wall_millis().saturating_sub(began_ms);
            view.quarantine.restore(subject, Duration::from_millis(age));
        }
        None => log::error!("ignoring quarantine {}: its value is not a time", item.key),
    }
}

/// Replaces the stored subjects by those of a snapshot. The first one after the start of the process
/// also puts them into quarantine.
pub(crate) fn restore_quarantines<P: PlatformAdapter>(
    state: &KeeperState<P>,
    snapshot: &[StoredItem],
) {
    let stored = &state.stored_quarantines;
    stored.subjects.borrow_mut().clear();
    let is_first = !stored.is_loaded.replace(true);
    for item in snapshot {
        if let Some(WorkKey::Quarantine(subject)) = WorkKey::parse(&item.key) {
            stored.add(subject);
            if is_first {
                restore_quarantine(&state.view, item);
            }
        }
    }
}

/// Writes the subjects that have come into quarantine and deletes those that have left it, if this
/// keeper is responsible for them.
pub(crate) fn review_quarantines<P: PlatformAdapter>(state: &Rc<KeeperState<P>>) {
    let stored = &state.stored_quarantines;
    if !stored.is_loaded.get() || stored.is_writing.get() || !state.view.store_health.is_up() {
        return;
    }
    let is_responsible = |subject: &QuarantineSubject| state.is_owner(&quarantine_key(*subject));
    let mut quarantined = state.view.quarantine.quarantined();
    // Those of items are so short that nothing is gained by one that outlasts all processes.
    quarantined.retain(|(subject, _)| !subject.is_item_part());
    let is_quarantined = |subject: &QuarantineSubject| {
        quarantined.binary_search_by_key(subject, |(subject, _)| *subject).is_ok()
    };
    let added = quarantined
        .iter()
        .find(|(subject, _)| !stored.contains(*subject) && is_responsible(subject));
    let subjects = stored.subjects.borrow();
    let removed =
        subjects.iter().find(|subject| !is_quarantined(subject) && is_responsible(subject));
    let (subject, commit) = match (added, removed) {
        (Some((subject, age)), _) => {
            let age_ms = age.as_millis() as u64;
            let began_ms = state.view.clock.wall_millis().saturating_sub(age_ms);
            let value = began_ms.to_string().into_bytes();
            (*subject, StoreCommit::put(&quarantine_key(*subject), value, 0))
        }
        (None, Some(subject)) => (*subject, StoreCommit::remove(&[quarantine_key(*subject)])),
        (None, None) => return,
    };
    let (is_added, commit) = (added.is_some(), with_work_marker(commit));
    drop(subjects);
    stored.is_writing.set(true);
    let state = Rc::clone(state);
    monoio::spawn(async move {
        match state.commit_with_retry(&commit, WRITE_TIMEOUT).await {
            Ok(_) if is_added => state.stored_quarantines.add(subject),
            Ok(_) => state.stored_quarantines.remove(subject),
            Err(fault) => log::warn!("cannot store the quarantine of subject {subject}: {fault}"),
        }
        state.stored_quarantines.is_writing.set(false);
    });
}
