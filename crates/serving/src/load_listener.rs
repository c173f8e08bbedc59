//! Hears from the sidecars how loaded their engines are, and tells them when those leave.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::TargetState;
use cv_policy::MonotonicTime;
use cv_timer::TimerService;
use monoio::net::udp::UdpSocket;

use crate::FleetView;
use crate::NodeIdentity;
use crate::decode_load_report;
use crate::internal_headers::TARGET_LEAVES;
use crate::internal_headers::TARGET_READY;

/// Time between two requests for readings.
const ASK_PERIOD: Duration = Duration::from_millis(500);

/// Time for which the sidecar of a target that has left the directory is told so.
const FAREWELL_TIME: Duration = Duration::from_secs(12);

/// Pause after a failed receive.
const FAULT_PAUSE: Duration = Duration::from_millis(100);

/// A sidecar that is asked for readings.
#[derive(Clone, Copy, Debug)]
struct AskedSidecar {
    address: SocketAddr,
    /// When its target last took new requests.
    ready_at: MonotonicTime,
}

/// Starts the tasks that ask all sidecars for readings and take them into the view.
pub(crate) fn start_load_listener(
    view: &Rc<FleetView>,
    identity: &Rc<NodeIdentity>,
    socket: UdpSocket,
    timers: &TimerService,
) {
    let socket = Rc::new(socket);
    let (hearing, heard) = (Rc::clone(view), Rc::clone(&socket));
    monoio::spawn(async move {
        loop {
            let (received, buffer) = heard.recv_from(Vec::with_capacity(16)).await;
            match received {
                Ok((_, address)) => take_reading(&hearing, address, &buffer),
                Err(_) => monoio::time::sleep(FAULT_PAUSE).await,
            }
        }
    });
    let (view, identity) = (Rc::clone(view), Rc::clone(identity));
    let ticks = timers.subscribe(ASK_PERIOD);
    monoio::spawn(async move {
        let mut asked = Vec::new();
        loop {
            let now = ticks.next().await;
            renew_asked(&mut asked, &ready_sidecars(&view, &identity), now);
            for sidecar in &asked {
                let word = if sidecar.ready_at == now { TARGET_READY } else { TARGET_LEAVES };
                // A lost datagram is made up for by the next.
                let _ = socket.send_to(word.to_vec(), sidecar.address).await;
            }
        }
    });
}

/// Takes a datagram of the sidecar at `address`.
fn take_reading(view: &FleetView, address: SocketAddr, datagram: &[u8]) {
    let Some(reading) = decode_load_report(datagram) else {
        return;
    };
    let now = view.clock.now();
    view.with_targets(|roster| roster.observe_at(address.ip(), &reading, now));
}

/// Notes which sidecars' targets are ready now, and forgets those that left long ago.
fn renew_asked(asked: &mut Vec<AskedSidecar>, ready: &[SocketAddr], now: MonotonicTime) {
    for address in ready {
        match asked.binary_search_by_key(address, |sidecar| sidecar.address) {
            Ok(position) => asked[position].ready_at = now,
            Err(position) => {
                asked.insert(position, AskedSidecar { address: *address, ready_at: now });
            }
        }
    }
    asked.retain(|sidecar| now.since(sidecar.ready_at) < FAREWELL_TIME);
}

/// Returns where the sidecars of the model targets listen that take new requests.
fn ready_sidecars(view: &FleetView, identity: &NodeIdentity) -> Vec<SocketAddr> {
    let Some(routes) = view.routes() else {
        return Vec::new();
    };
    view.with_targets(|roster| {
        let models = roster.rows().iter().filter(|row| {
            let rule = routes.service(&row.record.service);
            row.record.state == TargetState::Ready && rule.is_some_and(|service| service.is_model)
        });
        models.map(|row| identity.sidecar_address(row.record.address)).collect()
    })
}
