//! Subscribes to the load reports of the sidecars, and notifies them when their targets drain.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::LoadReport;
use cv_dispatch::TargetState;
use cv_policy::MonotonicTime;
use cv_timer::TimerService;
use monoio::net::udp::UdpSocket;

use crate::FleetView;
use crate::NodeIdentity;
use crate::decode_load_report;
use crate::internal_headers::TARGET_DRAINING;
use crate::internal_headers::TARGET_READY;

/// Time between two renewals of the subscriptions.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which the sidecar of a target that no longer accepts new requests is notified of that.
const DEPARTURE_NOTICE_TIME: Duration = Duration::from_secs(12);

/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A subscription to the load reports of one sidecar.
#[derive(Clone, Copy, Debug)]
struct SidecarSubscription {
    address: SocketAddr,
    /// Last time at which its target was ready for new requests.
    ready_at: MonotonicTime,
}

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
    monoio::spawn(async move {
        loop {
            let (received, buffer) = report_socket.recv_from(Vec::with_capacity(16)).await;
            match received {
                Ok((_, address)) => match decode_load_report(&buffer) {
                    Some(report) => apply_load_report(&report_view, address, &report),
                    None => handle_other(address, &buffer),
                },
                Err(_) => monoio::time::sleep(RECEIVE_RETRY_DELAY).await,
            }
        }
    });
    let (view, identity) = (Rc::clone(view), Rc::clone(identity));
    let ticks = timers.subscribe(SUBSCRIBE_INTERVAL);
    monoio::spawn(async move {
        let mut subscriptions = Vec::new();
        loop {
            let now = ticks.next().await;
            renew_subscriptions(&mut subscriptions, &ready_sidecars(&view, &identity), now);
            for subscription in &subscriptions {
                let state =
                    if subscription.ready_at == now { TARGET_READY } else { TARGET_DRAINING };
                // A lost datagram needs no retry: the next one replaces it.
                let _ = socket.send_to(state.to_vec(), subscription.address).await;
            }
        }
    });
}

/// Applies a load report of the sidecar at `address`.
fn apply_load_report(view: &FleetView, address: SocketAddr, report: &LoadReport) {
    let now = view.clock.now();
    view.with_targets(|targets| targets.record_report_from(address.ip(), report, now));
}

/// Renews the subscriptions to the sidecars of ready targets, and ends those whose target has not
/// been ready for a long time.
fn renew_subscriptions(
    subscriptions: &mut Vec<SidecarSubscription>,
    ready: &[SocketAddr],
    now: MonotonicTime,
) {
    for address in ready {
        match subscriptions.binary_search_by_key(address, |subscription| subscription.address) {
            Ok(position) => subscriptions[position].ready_at = now,
            Err(position) => {
                subscriptions
                    .insert(position, SidecarSubscription { address: *address, ready_at: now });
            }
        }
    }
    subscriptions.retain(|subscription| now.since(subscription.ready_at) < DEPARTURE_NOTICE_TIME);
}

/// Returns the addresses of the sidecars of all model targets that are ready for new requests.
fn ready_sidecars(view: &FleetView, identity: &NodeIdentity) -> Vec<SocketAddr> {
    let Some(routes) = view.routes() else {
        return Vec::new();
    };
    view.with_targets(|targets| {
        let models = targets.rows().iter().filter(|row| {
            let rule = routes.service(&row.record.service);
            row.record.state == TargetState::Ready && rule.is_some_and(|service| service.is_model)
        });
        models.map(|row| identity.sidecar_address(row.record.address)).collect()
    })
}
