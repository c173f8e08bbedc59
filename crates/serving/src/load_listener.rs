//! Subscribes to the load reports of the sidecars, and notifies them when their targets drain.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::EngineCondition;
use cv_dispatch::LoadReport;
use cv_dispatch::SidecarSubscriptions;
use cv_dispatch::TargetState;
use cv_http::TurnBudget;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;
use cv_timer::TimerService;
use monoio::net::udp::UdpSocket;

use crate::FleetView;
use crate::NodeIdentity;
use crate::decode_target_report;
use crate::internal_headers::TARGET_DRAINING;
use crate::internal_headers::TARGET_READY;
use crate::quarantine_exchange::DATAGRAMS_PER_TURN;
use crate::quarantine_exchange::DirectoryPeers;
use crate::quarantine_exchange::MAX_DATAGRAM_BYTES;
use crate::quarantine_exchange::QuarantineExchange;

/// Time between two renewals of the subscriptions.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_millis(500);

/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Starts the tasks that subscribe to all sidecars and apply their load reports to the view; other
/// datagrams are passed to `handle_other`.
pub(crate) fn start_load_listener(
    view: &Rc<FleetView>,
    identity: &Rc<NodeIdentity>,
    socket: Rc<UdpSocket>,
    timers: &TimerService,
    handle_other: impl Fn(SocketAddr, &[u8]) + 'static,
) {
    let (report_view, report_socket) = (Rc::clone(view), Rc::clone(&socket));
    let (peer_view, peer_identity) = (Rc::clone(view), Rc::clone(identity));
    let desk = Rc::clone(&view.quarantine);
    let exchange =
        QuarantineExchange::start(view.clock, desk, Rc::clone(&socket), timers, move || {
            directory_peers(&peer_view, &peer_identity)
        });
    monoio::spawn(async move {
        let mut turns = TurnBudget::with_steps(DATAGRAMS_PER_TURN);
        loop {
            turns.take_step().await;
            let buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
            let (received, buffer) = turns.track(report_socket.recv_from(buffer)).await;
            match received {
                Ok((_, address)) => {
                    if let Some((report, condition)) = decode_target_report(&buffer) {
                        apply_load_report(&report_view, address, &report, condition);
                    } else if !exchange.handle(address, &buffer).await {
                        handle_other(address, &buffer);
                    }
                }
                Err(_) => monoio::time::sleep(RECEIVE_RETRY_DELAY).await,
            }
        }
    });
    let (view, identity) = (Rc::clone(view), Rc::clone(identity));
    let ticks = timers.subscribe(SUBSCRIBE_INTERVAL);
    monoio::spawn(async move {
        let mut subscriptions = SidecarSubscriptions::default();
        loop {
            let now = ticks.next().await;
            subscriptions.update(now, listed_sidecars(&view, &identity));
            // A sidecar drops the items of a keeper that it no longer hears, so those that have some
            // are notified even after their target's registration has vanished.
            let mut busy_sidecars = view.busy_sidecars();
            busy_sidecars.retain(|address| !subscriptions.contains(*address));
            for address in busy_sidecars {
                let _ = socket.send_to(TARGET_READY.to_vec(), address).await;
            }
            for (address, target_state) in subscriptions.notices() {
                let state = match target_state {
                    TargetState::Ready => TARGET_READY,
                    TargetState::Draining => TARGET_DRAINING,
                };
                // A lost datagram needs no retry: the next one replaces it.
                let _ = socket.send_to(state.to_vec(), address).await;
            }
        }
    });
}

/// Returns the sidecars and the other keepers.
pub(crate) fn directory_peers(view: &FleetView, identity: &NodeIdentity) -> DirectoryPeers {
    let sidecars = listed_sidecars(view, identity);
    let keepers = view.keepers();
    let keepers = keepers.keepers().iter().map(|keeper| keeper.address);
    let own_address = identity.internal_address();
    DirectoryPeers {
        keepers: keepers.filter(|address| *address != own_address).collect(),
        sidecars: sidecars.into_iter().map(|(address, _)| address).collect(),
    }
}

/// Applies a load report of the sidecar at `address`.
fn apply_load_report(
    view: &FleetView,
    address: SocketAddr,
    report: &LoadReport,
    condition: Option<EngineCondition>,
) {
    let (now, ip) = (view.clock.now(), address.ip());
    let zone_changes = view.with_targets(|targets| {
        targets.record_report_from(ip, report, now);
        if let Some(condition) = condition {
            targets.record_condition_from(ip, condition, now);
        }
        targets.take_zone_changes()
    });
    for (service, share) in zone_changes {
        view.log.record(LinePriority::Essential, EventKind::TargetChanged, &service, || {
            format!("leaves_zone={} share={share:.2}", share > 0.0)
        });
    }
}

/// Returns the sidecars of all listed model targets, each with the state of its target.
fn listed_sidecars(view: &FleetView, identity: &NodeIdentity) -> Vec<(SocketAddr, TargetState)> {
    let Some(routes) = view.routes() else {
        return Vec::new();
    };
    view.with_targets(|targets| {
        let models = targets.rows().iter().filter(|row| {
            routes.service(&row.record.service).is_some_and(|service| service.is_model)
        });
        models.map(|row| (identity.sidecar_address(row.record.address), row.record.state)).collect()
    })
}
