//! Obtains credit for the requests of customers with a quota.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::Credit;
use cv_dispatch::CreditAsk;
use cv_dispatch::CreditBalance;
use cv_dispatch::CreditStep;
use cv_dispatch::CreditTerms;
use cv_dispatch::CustomerId;
use cv_dispatch::CustomerRule;
use cv_dispatch::QuotaShards;
use cv_policy::MonotonicTime;
use cv_policy::SeededRandom;
use cv_timer::ProcessClock;
use cv_timer::TimerService;
use monoio::net::udp::UdpSocket;
use monoio::time::timeout;
use prometheus::IntCounter;
use tokio::sync::Notify;

use crate::FleetView;
use crate::credit_message::CreditReply;
use crate::credit_message::CreditRequest;

/// Longest wait for a reply, which takes a round trip of at most a few milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(25);

/// Delay of a time-out from which on this process itself did not run: a reply may have come that it
/// has not read yet.
const LATE_TIMEOUT: Duration = Duration::from_millis(5);

/// Time between two questions to keepers while none replies.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Customer of these questions, whose credit nobody uses.
const PROBE_CUSTOMER: CustomerId = CustomerId(0);

/// Asks keepers for the credit of one entry.
pub(crate) struct QuotaClient {
    /// Credit that the entry holds.
    balance: RefCell<CreditBalance>,
    clock: ProcessClock,
    next_id: Cell<u64>,
    /// Requests without a reply, sorted by id.
    pending: RefCell<Vec<(u64, Rc<PendingAsk>)>>,
    random: RefCell<SeededRandom>,
    /// Counts the requests for credit.
    requests: IntCounter,
    socket: Rc<UdpSocket>,
}

/// Whether a request is within the quota of its customer.
pub(crate) enum QuotaDecision {
    /// The request may be sent; its credit is used up unless it is given back.
    Granted(QuotaCredit),
    /// The customer is over its limit; holds the time until there is credit again.
    OverLimit(Duration),
    /// The request may be sent without credit, since no keeper of the customer replies.
    Uncredited,
    /// No keeper of the customer replies.
    Unknown,
}

/// The credit of a request of a customer with a quota.
pub(crate) struct QuotaCredit {
    client: Rc<QuotaClient>,
    credit: Credit,
}

/// A request for credit without a reply.
#[derive(Debug, Default)]
struct PendingAsk {
    replied: Notify,
    reply: Cell<Option<CreditReply>>,
}

impl QuotaCredit {
    /// Gives the credit back, since the request has not run and never will.
    pub fn give_back(self) {
        let client = self.client;
        let (now, customer) = (client.clock.now(), self.credit.customer);
        let ask = client.balance.borrow_mut().give_back(now, self.credit);
        if let Some(ask) = ask {
            client.send_return(customer, ask);
        }
    }
}

impl QuotaClient {
    /// Creates a client that sends from a socket and counts its messages in `requests`; `seed` has to
    /// differ between entries.
    pub fn new(
        clock: ProcessClock,
        socket: Rc<UdpSocket>,
        seed: u64,
        requests: IntCounter,
    ) -> Rc<Self> {
        Rc::new(Self {
            balance: RefCell::default(),
            clock,
            next_id: Cell::new(seed),
            pending: RefCell::default(),
            random: RefCell::new(SeededRandom::new(seed)),
            requests,
            socket,
        })
    }

    /// Decides on one request of a customer with a quota, by a configuration of the given version and
    /// the addresses of the known keepers.
    pub async fn admit(
        self: &Rc<Self>,
        customer: &CustomerRule,
        config_version: u64,
        keepers: &[SocketAddr],
    ) -> QuotaDecision {
        let id = CustomerId::of(&customer.name);
        let random = self.random.borrow_mut().number();
        let mut asked = Vec::new();
        let now = self.clock.now();
        let steady = self.balance.borrow_mut().record_keepers(now, keepers);
        let shards = QuotaShards::new(customer, config_version, keepers, steady);
        self.balance.borrow_mut().record_request(now, id);
        loop {
            let Some(ask) = self.balance.borrow_mut().next_return(now, id) else {
                break;
            };
            self.send_return(id, ask);
        }
        loop {
            let now = self.clock.now();
            let step = self.balance.borrow_mut().next_step(now, id, &shards, &asked, random);
            let credit = match step {
                CreditStep::Ask(ask) => {
                    asked.push(ask.keeper);
                    self.ask(id, ask).await
                }
                CreditStep::OverLimit(wait) => return QuotaDecision::OverLimit(wait),
                CreditStep::Take(credit) => Some(credit),
                CreditStep::Unknown => {
                    let passes = self.balance.borrow_mut().passes_without_credit(now, id);
                    return if passes { QuotaDecision::Uncredited } else { QuotaDecision::Unknown };
                }
            };
            if let Some(credit) = credit {
                return QuotaDecision::Granted(QuotaCredit { client: Rc::clone(self), credit });
            }
        }
    }

    /// Returns whether no keeper has replied for a while.
    pub fn is_cut_off(&self) -> bool {
        self.balance.borrow().is_cut_off(self.clock.now())
    }

    /// Starts the task that asks a random keeper now and then while none replies, since an entry that
    /// is not ready gets no requests for which it would ask.
    pub fn start_probes(self: &Rc<Self>, view: &Rc<FleetView>, timers: &TimerService) {
        let (client, view) = (Rc::clone(self), Rc::clone(view));
        let ticks = timers.subscribe(PROBE_INTERVAL);
        monoio::spawn(async move {
            loop {
                ticks.next().await;
                if !client.is_cut_off() {
                    continue;
                }
                let keepers = view.keepers();
                let index = (view.random_fraction() * keepers.keepers().len() as f64) as usize;
                if let Some(keeper) = keepers.keepers().get(index) {
                    let terms =
                        CreditTerms { burst: 1.0, rate_per_s: 1.0, ..CreditTerms::default() };
                    let ask = CreditAsk { keeper: keeper.address, returned: 0, terms, wanted: 1 };
                    let _ = client.ask(PROBE_CUSTOMER, ask).await;
                }
            }
        });
    }

    /// Handles a datagram if it is a reply.
    pub fn handle_reply(&self, datagram: &[u8]) {
        let Some(reply) = CreditReply::decode(datagram) else {
            return;
        };
        let pending = self.pending.borrow();
        if let Ok(position) = pending.binary_search_by_key(&reply.id, |(id, _)| *id) {
            pending[position].1.reply.set(Some(reply));
            pending[position].1.replied.notify_one();
        }
    }

    /// Returns credit to a keeper, which does not reply.
    fn send_return(self: &Rc<Self>, customer: CustomerId, ask: CreditAsk) {
        self.requests.inc();
        let (client, request) = (Rc::clone(self), self.next_request(customer, &ask));
        monoio::spawn(async move {
            // If the datagram is lost, so is the credit.
            let _ = client.socket.send_to(request.encode(), ask.keeper).await;
        });
    }

    /// Creates the message of a request for credit, with an id of its own.
    fn next_request(&self, customer: CustomerId, ask: &CreditAsk) -> CreditRequest {
        let CreditAsk { returned, terms, wanted, .. } = *ask;
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        CreditRequest { customer, id, returned, terms, wanted }
    }

    /// Asks one keeper; returns the credit for one request, if the keeper grants some.
    async fn ask(&self, customer: CustomerId, ask: CreditAsk) -> Option<Credit> {
        let request = self.next_request(customer, &ask);
        let guard = AskGuard::begin(self, &request);
        let asked_at = self.clock.now();
        self.requests.inc();
        // A lost datagram has no reply.
        let _ = self.socket.send_to(request.encode(), ask.keeper).await;
        let reply = guard.wait_for_reply(asked_at).await;
        let now = self.clock.now();
        let mut balance = self.balance.borrow_mut();
        let Some(reply) = reply else {
            balance.record_silence(now, ask.keeper);
            return None;
        };
        balance.record_reply(now, asked_at, customer, &ask, reply.grant)
    }
}

/// Removes a pending request when its task ends.
struct AskGuard<'a> {
    ask: Rc<PendingAsk>,
    client: &'a QuotaClient,
    customer: CustomerId,
    id: u64,
    wanted: u32,
}

impl<'a> AskGuard<'a> {
    /// Adds a pending request.
    fn begin(client: &'a QuotaClient, request: &CreditRequest) -> Self {
        let CreditRequest { customer, id, wanted, .. } = *request;
        let ask = Rc::new(PendingAsk::default());
        let mut pending = client.pending.borrow_mut();
        let position = pending.partition_point(|(other, _)| *other < id);
        pending.insert(position, (id, Rc::clone(&ask)));
        Self { ask, client, customer, id, wanted }
    }

    /// Waits for the reply to a request that was sent at `asked_at`; returns `None` if there is none
    /// in time.
    async fn wait_for_reply(&self, asked_at: MonotonicTime) -> Option<CreditReply> {
        if timeout(REPLY_TIMEOUT, self.ask.replied.notified()).await.is_err() {
            let waited = self.client.clock.now().since(asked_at);
            if waited >= REPLY_TIMEOUT + LATE_TIMEOUT {
                let _ = timeout(REPLY_TIMEOUT, self.ask.replied.notified()).await;
            }
        }
        self.ask.reply.get()
    }
}

impl Drop for AskGuard<'_> {
    fn drop(&mut self) {
        self.client.pending.borrow_mut().retain(|(id, _)| *id != self.id);
        self.client.balance.borrow_mut().end_ask(self.customer, self.wanted);
    }
}
