//! Tells the processes that place requests how loaded the engine is.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::LoadReport;
use cv_policy::MonotonicTime;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LineWeight;
use cv_timer::ProcessClock;
use cv_timer::TimerService;
use monoio::net::udp::UdpSocket;

use crate::encode_load_report;
use crate::internal_headers::TARGET_LEAVES;
use crate::sidecar::slot_gate::SlotGate;

/// Time between two looks at the queue.
const BEACON_PERIOD: Duration = Duration::from_millis(100);

/// Looks after which an unchanged reading is sent again, as a sign of life.
const QUIET_LOOKS: u32 = 3;

/// Time after which a subscriber that was not heard again gets no more readings.
const SUBSCRIPTION_TIME: Duration = Duration::from_millis(3_500);

/// Time for which one word of the target's leave counts; the word is repeated more often.
const LEAVING_MEMORY: Duration = Duration::from_millis(2_500);

/// Sends readings of a queue to those who asked lately.
pub(crate) struct LoadReporter {
    clock: ProcessClock,
    gate: Rc<SlotGate>,
    /// Time until which the engine counts as leaving.
    leaving_until: Cell<MonotonicTime>,
    log: LineLog,
    socket: UdpSocket,
    /// Sorted by address, each with the time at which it was last heard.
    subscribers: RefCell<Vec<(SocketAddr, MonotonicTime)>>,
}

impl LoadReporter {
    /// Starts the tasks of a beacon on a bound socket.
    pub fn start(
        clock: ProcessClock,
        gate: Rc<SlotGate>,
        log: LineLog,
        socket: UdpSocket,
        timers: &TimerService,
    ) {
        let (leaving_until, subscribers) = (Cell::default(), RefCell::default());
        let beacon = Rc::new(Self { clock, gate, leaving_until, log, socket, subscribers });
        let hearing = Rc::clone(&beacon);
        monoio::spawn(async move { hearing.hear_subscribers().await });
        let ticks = timers.subscribe(BEACON_PERIOD);
        monoio::spawn(async move {
            let mut quiet = 0;
            let mut last = None;
            loop {
                let now = ticks.next().await;
                let reading = beacon.gate.reading();
                quiet += 1;
                if last == Some(reading) && quiet < QUIET_LOOKS {
                    continue;
                }
                quiet = 0;
                last = Some(reading);
                beacon.send_reading(now, &reading).await;
            }
        });
    }

    /// Notes everyone who asks.
    async fn hear_subscribers(&self) {
        loop {
            let (received, word) = self.socket.recv_from(Vec::with_capacity(16)).await;
            let Ok((_, address)) = received else {
                monoio::time::sleep(BEACON_PERIOD).await;
                continue;
            };
            let now = self.clock.now();
            self.hear_word(now, &word);
            let mut subscribers = self.subscribers.borrow_mut();
            match subscribers.binary_search_by_key(&address, |(other, _)| *other) {
                Ok(position) => subscribers[position].1 = now,
                Err(position) => subscribers.insert(position, (address, now)),
            }
        }
    }

    /// Takes what a subscriber knows of the target.
    ///
    /// Directories lag differently: one process that knows of the target's leave is enough, and it
    /// has to be silent for a while before the others' word counts again.
    fn hear_word(&self, now: MonotonicTime, word: &[u8]) {
        if word == TARGET_LEAVES {
            self.leaving_until.set(now + LEAVING_MEMORY);
        }
        let is_leaving = self.leaving_until.get() > now;
        if self.gate.set_leaving(is_leaving) {
            self.log.record(LineWeight::Essential, EventKind::TargetChanged, "engine", || {
                format!("leaving={is_leaving}")
            });
        }
    }

    /// Sends a reading to all who asked lately.
    async fn send_reading(&self, now: MonotonicTime, reading: &LoadReport) {
        let is_current = |heard: &MonotonicTime| now.since(*heard) < SUBSCRIPTION_TIME;
        self.subscribers.borrow_mut().retain(|(_, heard)| is_current(heard));
        let addresses: Vec<SocketAddr> =
            self.subscribers.borrow().iter().map(|(address, _)| *address).collect();
        for address in addresses {
            // A lost datagram is made up for by the next.
            let _ = self.socket.send_to(encode_load_report(reading).to_vec(), address).await;
        }
    }
}
