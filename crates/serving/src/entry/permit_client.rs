//! Asks other processes for permits to send requests to targets with a limit and without a sidecar.
//!
//! A limit is for all entries together, and without a sidecar no process sees all requests. The same
//! keeper grants the permits for a target to all entries, or the same sidecar of another target while
//! the keepers are silent.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::RequestBucket;
use cv_policy::MonotonicTime;
use cv_timer::ProcessClock;
use monoio::net::udp::UdpSocket;
use monoio::time::timeout;
use tokio::sync::Notify;

use crate::permit_message::PermitReply;
use crate::permit_message::PermitRequest;
use crate::permit_message::PermitTarget;

/// Longest wait for a reply, which takes a round trip.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);

/// Keepers, and then sidecars, that are asked for one permit before the entry decides by itself.
const MAX_GRANTERS: usize = 2;

/// Time for which a process that has not replied is not asked again.
const SILENCE_TIME: Duration = Duration::from_secs(1);

/// Share of a limit that an entry uses while no other process replies, most likely because this one
/// is cut off.
const LONE_SHARE: f64 = 0.25;

/// Asks for the permits of one entry.
pub(crate) struct PermitClient {
    clock: ProcessClock,
    /// Limits of targets that this entry uses alone, sorted by target.
    lone_buckets: RefCell<Vec<(PermitTarget, RequestBucket)>>,
    next_id: Cell<u64>,
    /// Requests without a reply, sorted by id.
    pending: RefCell<Vec<(u64, Rc<PendingPermit>)>>,
    /// Processes that have not replied, with the time until which they are not asked.
    silent_until: RefCell<Vec<(SocketAddr, MonotonicTime)>>,
    socket: Rc<UdpSocket>,
}

/// The processes that may grant permits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitGranters<'a> {
    /// Addresses of the keepers.
    pub keepers: &'a [SocketAddr],
    /// Addresses of the sidecars.
    pub sidecars: &'a [SocketAddr],
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
            silent_until: RefCell::default(),
            socket,
        })
    }

    /// Asks whether a request may be sent to a target with a limit, in requests a second. All entries
    /// ask the same of the keepers, or of the sidecars if no keeper replies.
    ///
    /// # Errors
    /// The time until the next request may be sent.
    pub async fn request(
        &self,
        address: SocketAddr,
        limit: f64,
        granters: PermitGranters<'_>,
    ) -> Result<(), Duration> {
        let target = PermitTarget::at(address);
        for group in [granters.keepers, granters.sidecars] {
            for granter in target.rank(group).into_iter().take(MAX_GRANTERS) {
                if self.is_silent(granter) {
                    continue;
                }
                match self.ask(granter, target, limit).await {
                    Some(reply) => return reply.wait.map_or(Ok(()), Err),
                    None => self.record_silence(granter),
                }
            }
        }
        self.decide_alone(target, limit)
    }

    /// Returns whether a process has not replied recently.
    fn is_silent(&self, granter: SocketAddr) -> bool {
        let now = self.clock.now();
        let silent = self.silent_until.borrow();
        silent.iter().any(|(address, until)| *address == granter && *until > now)
    }

    /// Records that a process has not replied, and forgets those that may reply again.
    fn record_silence(&self, granter: SocketAddr) {
        let now = self.clock.now();
        let mut silent = self.silent_until.borrow_mut();
        silent.retain(|(address, until)| *address != granter && *until > now);
        silent.push((granter, now + SILENCE_TIME));
    }

    /// Handles a datagram if it is a reply.
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

    /// Asks one process; returns `None` if it does not reply in time.
    async fn ask(
        &self,
        granter: SocketAddr,
        target: PermitTarget,
        limit: f64,
    ) -> Option<PermitReply> {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        let guard = PendingGuard::begin(self, id);
        let request = PermitRequest { id, limit: limit as f32, target };
        // A lost datagram has no reply.
        let _ = self.socket.send_to(request.encode(), granter).await;
        timeout(REPLY_TIMEOUT, guard.permit.replied.notified()).await.ok()?;
        guard.permit.reply.get()
    }

    /// Decides on a request while no other process replies.
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
