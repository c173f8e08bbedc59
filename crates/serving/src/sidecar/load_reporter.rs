//! Reports the engine's load to the processes that send requests to it.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::EngineCondition;
use cv_dispatch::LoadReport;
use cv_dispatch::PeerPresence;
use cv_http::TurnBudget;
use cv_policy::MonotonicTime;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LinePriority;
use cv_timer::ProcessClock;
use cv_timer::TimerService;
use monoio::net::udp::UdpSocket;

use crate::encode_target_report;
use crate::internal_headers::TARGET_DRAINING;
use crate::permit_desk::PermitDesk;
use crate::quarantine_exchange::DATAGRAMS_PER_TURN;
use crate::quarantine_exchange::MAX_DATAGRAM_BYTES;
use crate::quarantine_exchange::QuarantineExchange;
use crate::reservation_message::ReservationMessage;
use crate::sidecar::engine_responses::EngineResponses;
use crate::sidecar::reservation_desk::ReservationDesk;
use crate::sidecar::slot_gate::SlotGate;

/// Time between two checks of the queue.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Checks after which an unchanged report is sent again, as a heartbeat.
const HEARTBEAT_CHECKS: u32 = 3;

/// Time after which a subscription that has not been renewed ends.
const SUBSCRIPTION_TTL: Duration = Duration::from_millis(3_500);

/// Time for which the target counts as draining after one datagram that says so; subscribers
/// repeat it more often than that.
const DRAINING_TTL: Duration = Duration::from_millis(2_500);

/// Sends load reports of a queue to its subscribers.
pub(crate) struct LoadReporter {
    clock: ProcessClock,
    gate: Rc<SlotGate>,
    /// Time until which the engine counts as draining.
    draining_until: Cell<MonotonicTime>,
    /// Receives records of prompt parts, which come to the same socket.
    exchange: Rc<QuarantineExchange>,
    log: LineLog,
    /// Records when the keepers were last heard.
    presence: Rc<RefCell<PeerPresence>>,
    /// Receives requests for permits, which come to the same socket.
    permits: Rc<PermitDesk>,
    /// Receives reservations, which come to the same socket.
    desk: Rc<ReservationDesk>,
    /// The responses of the engine, whose condition is reported.
    responses: Rc<EngineResponses>,
    socket: Rc<UdpSocket>,
    /// Sorted by address, each with the time of its last renewal.
    subscribers: RefCell<Vec<(SocketAddr, MonotonicTime)>>,
}

/// What a reporter is started with.
pub(crate) struct LoadReporterParts {
    /// The process's clock.
    pub clock: ProcessClock,
    /// The queue whose load is reported.
    pub gate: Rc<SlotGate>,
    /// The process's log.
    pub log: LineLog,
    /// Receives records of prompt parts.
    pub exchange: Rc<QuarantineExchange>,
    /// Records when the keepers were last heard.
    pub presence: Rc<RefCell<PeerPresence>>,
    /// The responses of the engine, whose condition is reported.
    pub responses: Rc<EngineResponses>,
    /// The bound socket.
    pub socket: Rc<UdpSocket>,
}

impl LoadReporter {
    /// Starts the tasks that receive reservations and subscriptions and send reports on a bound
    /// socket; returns the reservations.
    pub fn start(parts: LoadReporterParts, timers: &TimerService) -> Rc<ReservationDesk> {
        let LoadReporterParts { clock, gate, log, exchange, presence, responses, socket } = parts;
        let desk = ReservationDesk::start(clock, Rc::clone(&gate), Rc::clone(&socket));
        let reporter = Rc::new(Self {
            clock,
            gate,
            draining_until: Cell::default(),
            exchange,
            log,
            presence,
            permits: PermitDesk::new(clock, Rc::clone(&socket)),
            desk: Rc::clone(&desk),
            responses,
            socket,
            subscribers: RefCell::default(),
        });
        let receiver = Rc::clone(&reporter);
        monoio::spawn(async move { receiver.receive_subscriptions().await });
        let urgent = Rc::clone(&reporter);
        monoio::spawn(async move {
            loop {
                urgent.responses.urgent().await;
                let condition = urgent.responses.take_report();
                let report = urgent.gate.load_report();
                urgent.send_report(urgent.clock.now(), &report, condition).await;
            }
        });
        let ticks = timers.subscribe(REPORT_INTERVAL);
        monoio::spawn(async move {
            let mut unchanged_checks = 0;
            let mut last = None;
            loop {
                let now = ticks.next().await;
                let report = reporter.gate.load_report();
                let condition = reporter.responses.condition();
                let state = (report, condition.failure_percent, condition.slowness_percent);
                unchanged_checks += 1;
                let is_unchanged = last == Some(state);
                if is_unchanged && unchanged_checks < HEARTBEAT_CHECKS {
                    continue;
                }
                unchanged_checks = 0;
                last = Some(state);
                let condition = reporter.responses.take_report();
                reporter.send_report(now, &report, condition).await;
            }
        });
        desk
    }

    /// Receives reservations and subscriptions, of which each renews the one of its sender.
    async fn receive_subscriptions(&self) {
        let mut turns = TurnBudget::with_steps(DATAGRAMS_PER_TURN);
        loop {
            turns.take_step().await;
            let buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
            let (received, datagram) = turns.track(self.socket.recv_from(buffer)).await;
            let Ok((_, address)) = received else {
                monoio::time::sleep(REPORT_INTERVAL).await;
                continue;
            };
            if let Some(message) = ReservationMessage::decode(&datagram) {
                self.desk.handle(message, address).await;
                continue;
            }
            if self.exchange.handle(address, &datagram).await {
                continue;
            }
            if self.permits.handle(address, &datagram) {
                continue;
            }
            self.exchange.note_peer(address).await;
            let now = self.clock.now();
            self.presence.borrow_mut().record(address, now);
            self.apply_target_state(now, &datagram);
            let mut subscribers = self.subscribers.borrow_mut();
            match subscribers.binary_search_by_key(&address, |(other, _)| *other) {
                Ok(position) => subscribers[position].1 = now,
                Err(position) => subscribers.insert(position, (address, now)),
            }
        }
    }

    /// Applies the state of the target in a subscriber's view.
    ///
    /// The views of the subscribers lag differently, so one that sees the target draining is
    /// enough: the target counts as ready again only after no subscriber has said so for a while.
    fn apply_target_state(&self, now: MonotonicTime, datagram: &[u8]) {
        if datagram == TARGET_DRAINING {
            self.draining_until.set(now + DRAINING_TTL);
        }
        let is_draining = self.draining_until.get() > now;
        if self.gate.set_draining(is_draining) {
            self.log.record(LinePriority::Essential, EventKind::TargetChanged, "engine", || {
                format!("leaving={is_draining}")
            });
        }
    }

    /// Ends expired subscriptions and sends a report to all others.
    async fn send_report(
        &self,
        now: MonotonicTime,
        report: &LoadReport,
        condition: EngineCondition,
    ) {
        let is_current = |renewed_at: &MonotonicTime| now.since(*renewed_at) < SUBSCRIPTION_TTL;
        self.subscribers.borrow_mut().retain(|(_, renewed_at)| is_current(renewed_at));
        let addresses: Vec<SocketAddr> =
            self.subscribers.borrow().iter().map(|(address, _)| *address).collect();
        let datagram = encode_target_report(report, condition);
        for address in addresses {
            // A lost datagram needs no retry: the next one replaces it.
            let _ = self.socket.send_to(datagram.clone(), address).await;
        }
    }
}
