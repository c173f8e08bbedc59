//! Answers calls from entries.

use std::rc::Rc;

use cv_control::OrderAnswer;
use cv_control::PeerStamp;
use cv_control::ResolveAnswer;
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

/// The sidecar's side of its control calls.
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

    /// Takes the caller's clock; tells whether the caller belongs to the system.
    fn accepts(&self, stamp: &PeerStamp) -> bool {
        self.state.events.observe(stamp.clock);
        stamp.secret == self.state.secret
    }
}

impl SidecarControl for ControlService {
    async fn status(self, _: Context, stamp: PeerStamp) -> Option<TargetStatus> {
        self.accepts(&stamp).then(|| TargetStatus {
            clock: self.state.events.stamp(),
            config_revision: self.state.config.borrow().revision(),
            incarnation: self.state.incarnation,
            leaving: self.state.is_leaving(),
            reading: self.state.reading(),
            target_up: self.state.target_up.get(),
        })
    }

    async fn knows(self, _: Context, stamp: PeerStamp, key: RequestKey) -> Option<bool> {
        self.accepts(&stamp).then(|| self.state.is_present(key))
    }

    async fn peek(self, _: Context, stamp: PeerStamp, key: RequestKey) -> Option<ExecutionState> {
        if !self.accepts(&stamp) {
            return None;
        }
        self.state.log.borrow().state_of(key)
    }

    async fn resolve(
        self,
        _: Context,
        stamp: PeerStamp,
        key: RequestKey,
        attempt: u32,
    ) -> Option<ResolveAnswer> {
        if !self.accepts(&stamp) {
            return None;
        }
        let now = self.state.clock.now();
        let state = self.state.log.borrow_mut().resolve(now, key, attempt);
        let detail = format!("state={state:?}");
        self.state.events.record(EventKind::Resolved, &format!("{:032x}", key.0), detail);
        Some(ResolveAnswer { incarnation: self.state.incarnation, state })
    }

    async fn order(self, _: Context, stamp: PeerStamp, order: TargetOrder) -> OrderAnswer {
        if !self.accepts(&stamp) {
            return OrderAnswer::Refused;
        }
        self.orders.pass(&self.state.section, &order).await
    }

    async fn offer_config(self, _: Context, stamp: PeerStamp, document: ConfigDocument) -> u64 {
        if self.accepts(&stamp) && self.state.config.borrow_mut().apply_if_newer(document) {
            let detail = format!("revision={}", self.state.config.borrow().revision());
            self.state.events.record(EventKind::ConfigInForce, "", detail);
        }
        self.state.config.borrow().revision()
    }

    async fn drain(self, _: Context, stamp: PeerStamp) -> bool {
        let accepted = self.accepts(&stamp);
        if accepted {
            self.state.start_drain();
        }
        accepted
    }
}
