//! Implementation of the control calls from entries.

use std::rc::Rc;

use cv_control::CallMetadata;
use cv_control::OrderResponse;
use cv_control::ResolveResponse;
use cv_control::SidecarControl;
use cv_control::TargetOrder;
use cv_control::TargetStatus;
use cv_policy::ExecutionState;
use cv_policy::RequestKey;
use cv_policy::config::ConfigDocument;
use cv_timeline::EventKind;
use tarpc::context::Context;

use crate::sidecar_state::SidecarState;
use crate::target_orders::OrderGate;

/// Serves the control calls of one sidecar.
#[derive(Clone)]
pub(crate) struct ControlService {
    orders: Rc<OrderGate>,
    state: Rc<SidecarState>,
}

impl ControlService {
    /// Creates the service.
    pub fn new(state: Rc<SidecarState>) -> Self {
        Self { orders: Rc::new(OrderGate::new()), state }
    }

    /// Advances the clock past the caller's and returns whether the call carried the shared secret.
    fn authenticate(&self, metadata: &CallMetadata) -> bool {
        self.state.events.observe(metadata.clock);
        metadata.secret == self.state.secret
    }
}

impl SidecarControl for ControlService {
    async fn status(self, _: Context, metadata: CallMetadata) -> Option<TargetStatus> {
        self.authenticate(&metadata).then(|| TargetStatus {
            clock: self.state.events.next_timestamp(),
            config_revision: self.state.config.borrow().revision(),
            incarnation: self.state.incarnation,
            draining: self.state.is_draining(),
            load: self.state.load(),
            target_up: self.state.target_up.get(),
        })
    }

    async fn knows(self, _: Context, metadata: CallMetadata, key: RequestKey) -> Option<bool> {
        self.authenticate(&metadata).then(|| self.state.is_present(key))
    }

    async fn peek(
        self,
        _: Context,
        metadata: CallMetadata,
        key: RequestKey,
    ) -> Option<ExecutionState> {
        if !self.authenticate(&metadata) {
            return None;
        }
        self.state.execution_log.borrow().state_of(key)
    }

    async fn resolve(
        self,
        _: Context,
        metadata: CallMetadata,
        key: RequestKey,
        attempt: u32,
    ) -> Option<ResolveResponse> {
        if !self.authenticate(&metadata) {
            return None;
        }
        let now = self.state.clock.now();
        let state = self.state.execution_log.borrow_mut().resolve(now, key, attempt);
        let detail = format!("state={state:?}");
        self.state.events.record(EventKind::Resolved, &format!("{:032x}", key.0), detail);
        Some(ResolveResponse { incarnation: self.state.incarnation, state })
    }

    async fn order(self, _: Context, metadata: CallMetadata, order: TargetOrder) -> OrderResponse {
        if !self.authenticate(&metadata) {
            return OrderResponse::Refused;
        }
        self.orders.forward(&self.state.section, &order).await
    }

    async fn offer_config(
        self,
        _: Context,
        metadata: CallMetadata,
        document: ConfigDocument,
    ) -> u64 {
        if self.authenticate(&metadata) && self.state.config.borrow_mut().apply_if_newer(document) {
            let detail = format!("revision={}", self.state.config.borrow().revision());
            self.state.events.record(EventKind::ConfigInForce, "", detail);
        }
        self.state.config.borrow().revision()
    }

    async fn drain(self, _: Context, metadata: CallMetadata) -> bool {
        let is_authenticated = self.authenticate(&metadata);
        if is_authenticated {
            self.state.start_drain();
        }
        is_authenticated
    }
}
