//! Grants entries credit of the quotas of which this keeper has a shard.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use cv_dispatch::CreditLedger;
use cv_timer::ProcessClock;
use monoio::net::udp::UdpSocket;
use prometheus::IntCounter;

use crate::credit_message::CreditReply;
use crate::credit_message::CreditRequest;

/// The quotas of which a keeper has a shard, as entries report them.
pub(crate) struct QuotaDesk {
    clock: ProcessClock,
    /// Requests for credit that were denied.
    denied: IntCounter,
    /// Credit that was granted, in requests.
    granted: IntCounter,
    ledger: RefCell<CreditLedger>,
    socket: Rc<UdpSocket>,
}

impl QuotaDesk {
    /// Creates the desk of a process that starts now and replies from a socket.
    pub fn new(
        clock: ProcessClock,
        socket: Rc<UdpSocket>,
        granted: IntCounter,
        denied: IntCounter,
    ) -> Rc<Self> {
        let ledger = RefCell::new(CreditLedger::new(clock.now()));
        Rc::new(Self { clock, denied, granted, ledger, socket })
    }

    /// Handles a datagram of the entry at an address; returns whether it asked for credit.
    pub fn handle(self: &Rc<Self>, entry: SocketAddr, datagram: &[u8]) -> bool {
        let Some(request) = CreditRequest::decode(datagram) else {
            return false;
        };
        let grant = self.ledger.borrow_mut().grant(
            self.clock.now(),
            request.customer,
            request.terms,
            request.wanted,
            request.returned,
        );
        if request.wanted == 0 {
            return true;
        }
        if grant.granted == 0 {
            self.denied.inc();
        } else {
            self.granted.inc_by(grant.granted.into());
        }
        let (desk, reply) = (Rc::clone(self), CreditReply { grant, id: request.id });
        monoio::spawn(async move {
            // A lost reply loses its credit, and the entry asks another keeper.
            let _ = desk.socket.send_to(reply.encode(), entry).await;
        });
        true
    }
}
