//! Implementation of the calls from other entries.

use std::rc::Rc;
use std::time::Duration;

use cv_control::AppendResponse;
use cv_control::CallMetadata;
use cv_control::CancelResponse;
use cv_control::EntryPeer;
use cv_control::EntryStatus;
use cv_control::JournalPage;
use cv_policy::RequestKey;
use cv_policy::config::ConfigDocument;
use monoio::time::timeout;
use tarpc::context::Context;

use crate::batch::BatchCoordinator;
use crate::batch::read_local_page;
use crate::entry_state::EntryState;

/// Maximum time for which a call waits for a newer configuration.
const CONFIG_WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the calls of other entries.
#[derive(Clone)]
pub(crate) struct PeerService {
    coordinator: Rc<BatchCoordinator>,
    state: Rc<EntryState>,
}

impl PeerService {
    /// Creates the service.
    pub fn new(coordinator: Rc<BatchCoordinator>) -> Self {
        let state = Rc::clone(&coordinator.state);
        Self { coordinator, state }
    }
}

impl EntryPeer for PeerService {
    async fn append(
        self,
        _: Context,
        metadata: CallMetadata,
        job: String,
        records: Vec<Vec<u8>>,
    ) -> AppendResponse {
        if !self.state.authenticate(&metadata) {
            return AppendResponse::Failed;
        }
        let Some(store) = self.coordinator.journals.local_store() else {
            return AppendResponse::Failed;
        };
        match store.append(&job, records).await {
            Ok(()) => AppendResponse::Synced,
            Err(fault) => {
                log::warn!("cannot append records to journal {job}: {fault}");
                AppendResponse::Failed
            }
        }
    }

    async fn read(
        self,
        _: Context,
        metadata: CallMetadata,
        job: String,
        position: u64,
    ) -> Option<JournalPage> {
        if !self.state.authenticate(&metadata) {
            return None;
        }
        let store = self.coordinator.journals.local_store()?;
        read_local_page(store, &job, position).await.ok()
    }

    async fn remove(self, _: Context, metadata: CallMetadata, job: String) -> bool {
        match self.coordinator.journals.local_store() {
            Some(store) if self.state.authenticate(&metadata) => store.remove(&job).await,
            _ => false,
        }
    }

    async fn cancel(self, _: Context, metadata: CallMetadata, job: String) -> CancelResponse {
        if !self.state.authenticate(&metadata) {
            return CancelResponse::Refused;
        }
        self.coordinator.stop_cancelled(&job);
        CancelResponse::Stopped
    }

    async fn claim_key(
        self,
        _: Context,
        metadata: CallMetadata,
        key: RequestKey,
        claim_id: u64,
    ) -> bool {
        // An unauthenticated call must not claim keys.
        let now = self.state.clock.now();
        !self.state.authenticate(&metadata)
            || self.state.key_claims.borrow_mut().claim(now, key, claim_id)
    }

    async fn release_key(self, _: Context, metadata: CallMetadata, key: RequestKey, claim_id: u64) {
        if self.state.authenticate(&metadata) {
            self.state.key_claims.borrow_mut().release(key, claim_id);
        }
    }

    async fn wait_config(
        self,
        _: Context,
        metadata: CallMetadata,
        revision: u64,
    ) -> Option<ConfigDocument> {
        if !self.state.authenticate(&metadata) {
            return None;
        }
        // The timeout ends the wait; whether there was a change shows in the active configuration.
        let _ = timeout(CONFIG_WAIT_TIMEOUT, wait_until_newer_config(&self.state, revision)).await;
        let config = self.state.config.borrow();
        config.document().filter(|document| document.revision > revision).cloned()
    }

    async fn status(self, _: Context, metadata: CallMetadata) -> Option<EntryStatus> {
        self.state.authenticate(&metadata).then(|| EntryStatus {
            config_revision: self.state.config.borrow().revision(),
            jobs: self.state.metrics.jobs_owned.get() as u32,
            name: self.state.settings.name.clone(),
        })
    }
}

/// Waits until a configuration newer than a revision is active.
async fn wait_until_newer_config(state: &EntryState, revision: u64) {
    loop {
        let changed = state.config_changed.notified();
        if state.config.borrow().revision() > revision {
            return;
        }
        changed.await;
    }
}
