//! Answers calls from other entries.

use std::rc::Rc;
use std::time::Duration;

use cv_control::AppendAnswer;
use cv_control::CancelAnswer;
use cv_control::EntryPeer;
use cv_control::EntryStatus;
use cv_control::JournalPage;
use cv_control::PeerStamp;
use cv_policy::config::ConfigDocument;
use monoio::time::timeout;
use tarpc::context::Context;

use crate::entry_state::EntryState;

/// Time for which a question for a newer configuration is held open.
const HOLD: Duration = Duration::from_secs(10);

/// The entry's side of its peers' calls.
#[derive(Clone)]
pub(crate) struct PeerService {
    state: Rc<EntryState>,
}

impl PeerService {
    /// Creates the service.
    pub fn new(state: Rc<EntryState>) -> Self {
        Self { state }
    }
}

impl EntryPeer for PeerService {
    async fn append(
        self,
        _: Context,
        _stamp: PeerStamp,
        _job: String,
        _records: Vec<Vec<u8>>,
    ) -> AppendAnswer {
        AppendAnswer::Failed
    }

    async fn read(
        self,
        _: Context,
        _stamp: PeerStamp,
        _job: String,
        _position: u64,
    ) -> Option<JournalPage> {
        None
    }

    async fn remove(self, _: Context, _stamp: PeerStamp, _job: String) -> bool {
        false
    }

    async fn cancel(self, _: Context, _stamp: PeerStamp, _job: String) -> CancelAnswer {
        CancelAnswer::NotOwner
    }

    async fn wait_config(
        self,
        _: Context,
        stamp: PeerStamp,
        revision: u64,
    ) -> Option<ConfigDocument> {
        if !self.state.accepts(&stamp) {
            return None;
        }
        // The deadline ends the wait; whether a change came is read off the register.
        let _ = timeout(HOLD, newer_config(&self.state, revision)).await;
        let register = self.state.config.borrow();
        register
            .document()
            .filter(|document| document.revision > revision)
            .cloned()
    }

    async fn status(self, _: Context, stamp: PeerStamp) -> Option<EntryStatus> {
        self.state.accepts(&stamp).then(|| EntryStatus {
            config_revision: self.state.config.borrow().revision(),
            jobs: self.state.metrics.jobs_owned.get() as u32,
            name: self.state.settings.name.clone(),
        })
    }
}

/// Resolves when a configuration newer than a revision is in force.
async fn newer_config(state: &EntryState, revision: u64) {
    loop {
        let changed = state.config_changed.notified();
        if state.config.borrow().revision() > revision {
            return;
        }
        changed.await;
    }
}
