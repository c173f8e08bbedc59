//! Asks keepers for permits to send requests to targets with a limit and without a sidecar.
//!
//! A limit is for all entries together, and without a sidecar no process sees all requests. The same
//! keeper grants the permits for a target to all entries.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::KeeperSet;
use cv_dispatch::RequestBucket;
use cv_policy::stable_hash;
use cv_timer::ProcessClock;
use monoio::net::udp::UdpSocket;
use monoio::time::timeout;
use tokio::sync::Notify;

use crate::permit_message::PermitReply;
use crate::permit_message::PermitRequest;
use crate::permit_message::PermitTarget;

/// Longest wait for a keeper's reply, which takes a round trip.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);

/// Keepers that are asked for one permit before the entry decides by itself.
const MAX_KEEPERS: usize = 2;

/// Share of a limit that an entry uses while it reaches no keeper.
const LONE_SHARE: f64 = 0.25;

/// Asks for the permits of one entry.
pub(crate) struct PermitClient {
    clock: ProcessClock,
    /// Limits of targets that this entry uses alone, sorted by target.
    lone_buckets: RefCell<Vec<(PermitTarget, RequestBucket)>>,
    next_id: Cell<u64>,
    /// Requests without a reply, sorted by id.
    pending: RefCell<Vec<(u64, Rc<PendingPermit>)>>,
    socket: Rc<UdpSocket>,
}

/// A request without a reply.
#[derive(Debug, Default)]
struct PendingPermit {
    replied: Notify,
    reply: Cell<Option<PermitReply>>,
}

impl PermitClient {
    /// Creates a client that sends from a socket; `first_id` has to differ between entries.
    pub fn new(clock: ProcessClock, socket: Rc<UdpSocket>, first_id: u64) -> Rc<Self> {
        Rc::new(Self {
            clock,
            lone_buckets: RefCell::default(),
            next_id: Cell::new(first_id),
            pending: RefCell::default(),
            socket,
        })
    }

    /// Asks whether a request may be sent to a target with a limit, in requests a second.
    ///
    /// # Errors
    /// The time until the next request may be sent.
    pub async fn request(
        &self,
        address: SocketAddr,
        limit: f64,
        keepers: &KeeperSet,
    ) -> Result<(), Duration> {
        let target = PermitTarget::at(address);
        let mut ranked: Vec<(u64, SocketAddr)> = keepers
            .keepers()
            .iter()
            .map(|keeper| (stable_hash(&[&address.to_string(), &keeper.name]), keeper.address))
            .collect();
        ranked.sort_unstable();
        for (_, keeper) in ranked.into_iter().take(MAX_KEEPERS) {
            if let Some(reply) = self.ask(keeper, target, limit).await {
                return reply.wait.map_or(Ok(()), Err);
            }
        }
        self.decide_alone(target, limit)
    }

    /// Handles a datagram if it is a keeper's reply.
    pub fn handle_reply(&self, datagram: &[u8]) {
        let Some(reply) = PermitReply::decode(datagram) else {
            return;
        };
        let pending = self.pending.borrow();
        if let Ok(position) = pending.binary_search_by_key(&reply.id, |(id, _)| *id) {
            pending[position].1.reply.set(Some(reply));
            pending[position].1.replied.notify_one();
        }
    }

    /// Asks one keeper; returns `None` if it does not reply in time.
    async fn ask(
        &self,
        keeper: SocketAddr,
        target: PermitTarget,
        limit: f64,
    ) -> Option<PermitReply> {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        let guard = PendingGuard::begin(self, id);
        let request = PermitRequest { id, limit: limit as f32, target };
        // A lost datagram has no reply.
        let _ = self.socket.send_to(request.encode(), keeper).await;
        timeout(REPLY_TIMEOUT, guard.permit.replied.notified()).await.ok()?;
        guard.permit.reply.get()
    }

    /// Decides on a request while no keeper replies.
    fn decide_alone(&self, target: PermitTarget, limit: f64) -> Result<(), Duration> {
        let now = self.clock.now();
        let mut buckets = self.lone_buckets.borrow_mut();
        let position = match buckets.binary_search_by_key(&target, |(target, _)| *target) {
            Ok(position) => position,
            Err(position) => {
                buckets.insert(position, (target, RequestBucket::default()));
                position
            }
        };
        let bucket = &mut buckets[position].1;
        bucket.set_limit(now, Some(limit * LONE_SHARE));
        if bucket.take(now) { Ok(()) } else { Err(bucket.wait_for(now, 1.0)) }
    }
}

/// Removes a pending request when its task ends.
struct PendingGuard<'a> {
    client: &'a PermitClient,
    id: u64,
    permit: Rc<PendingPermit>,
}

impl<'a> PendingGuard<'a> {
    /// Adds a pending request.
    fn begin(client: &'a PermitClient, id: u64) -> Self {
        let permit = Rc::new(PendingPermit::default());
        let mut pending = client.pending.borrow_mut();
        let position = pending.partition_point(|(other, _)| *other < id);
        pending.insert(position, (id, Rc::clone(&permit)));
        Self { client, id, permit }
    }
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.client.pending.borrow_mut().retain(|(id, _)| *id != self.id);
    }
}
