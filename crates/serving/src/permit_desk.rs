//! Grants entries permits to send requests to targets with a limit and without a sidecar.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use cv_dispatch::RequestBucket;
use cv_timer::ProcessClock;
use monoio::net::udp::UdpSocket;

use crate::permit_message::PermitReply;
use crate::permit_message::PermitRequest;
use crate::permit_message::PermitTarget;

/// Most targets whose limits are kept.
const MAX_TARGETS: usize = 1_024;

/// The limits of targets, as entries report them.
pub(crate) struct PermitDesk {
    /// Sorted by target.
    buckets: RefCell<Vec<(PermitTarget, RequestBucket)>>,
    clock: ProcessClock,
    socket: Rc<UdpSocket>,
}

impl PermitDesk {
    /// Creates a desk that replies from a socket.
    pub fn new(clock: ProcessClock, socket: Rc<UdpSocket>) -> Rc<Self> {
        Rc::new(Self { buckets: RefCell::default(), clock, socket })
    }

    /// Handles a datagram of the entry at an address; returns whether it asked for a permit.
    pub fn handle(self: &Rc<Self>, entry: SocketAddr, datagram: &[u8]) -> bool {
        let Some(request) = PermitRequest::decode(datagram) else {
            return false;
        };
        let reply = self.decide(&request);
        let desk = Rc::clone(self);
        monoio::spawn(async move {
            // A lost reply is like none: the entry asks another process.
            let _ = desk.socket.send_to(reply.encode(), entry).await;
        });
        true
    }

    /// Decides on a request by the limit that its sender last heard of.
    fn decide(&self, request: &PermitRequest) -> PermitReply {
        let now = self.clock.now();
        let mut buckets = self.buckets.borrow_mut();
        let found = buckets.binary_search_by_key(&request.target, |(target, _)| *target);
        let position = match found {
            Ok(position) => position,
            // Most of so many targets are gone; one that is not gets a burst at most.
            Err(_) if buckets.len() >= MAX_TARGETS => {
                buckets.clear();
                buckets.push((request.target, RequestBucket::default()));
                0
            }
            Err(position) => {
                buckets.insert(position, (request.target, RequestBucket::default()));
                position
            }
        };
        let bucket = &mut buckets[position].1;
        bucket.set_limit(now, Some(request.limit.into()));
        let wait = (!bucket.take(now)).then(|| bucket.wait_for(now, 1.0));
        PermitReply { id: request.id, wait }
    }
}
