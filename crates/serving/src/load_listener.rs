//! Hears from the sidecars how loaded their engines are.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_timer::TimerService;
use monoio::net::udp::UdpSocket;

use crate::FleetView;
use crate::NodeIdentity;
use crate::decode_reading;

/// Time between two requests for readings.
const ASK_PERIOD: Duration = Duration::from_secs(1);

/// Pause after a failed receive.
const FAULT_PAUSE: Duration = Duration::from_millis(100);

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
        loop {
            ticks.next().await;
            for address in sidecar_addresses(&view, &identity) {
                // A lost datagram is made up for by the next.
                let _ = socket.send_to(vec![0], address).await;
            }
        }
    });
}

/// Takes a datagram of the sidecar at `address`.
fn take_reading(view: &FleetView, address: SocketAddr, datagram: &[u8]) {
    let Some(reading) = decode_reading(datagram) else {
        return;
    };
    let now = view.clock.now();
    view.with_roster(|roster| roster.observe_at(address.ip(), &reading, now));
}

/// Returns where the sidecars of all model targets listen.
fn sidecar_addresses(view: &FleetView, identity: &NodeIdentity) -> Vec<SocketAddr> {
    let Some(routes) = view.routes() else {
        return Vec::new();
    };
    view.with_roster(|roster| {
        let models = roster.rows().iter().filter(|row| {
            routes.service(&row.record.service).is_some_and(|service| service.is_model)
        });
        models.map(|row| identity.sidecar_of(row.record.address)).collect()
    })
}
