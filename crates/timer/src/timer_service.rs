//! One ticking task and its subscribers.

use std::cell::RefCell;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use cv_policy::MonotonicTime;
use tokio::sync::Notify;

use crate::ProcessClock;

/// Shortest pause between two looks at the subscribers; the runtime's timers are no finer.
const MIN_PAUSE: Duration = Duration::from_millis(1);

/// Longest pause, after which a service without subscribers ends.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Wakes subscribers periodically; clones share one ticking task.
#[derive(Clone, Debug)]
pub struct TimerService {
    clock: ProcessClock,
    /// Wakes the ticking task when a subscriber may be due earlier than it thinks.
    joined: Rc<Notify>,
    rows: Rc<RefCell<Vec<Weak<TimerRow>>>>,
}

/// One subscriber.
#[derive(Debug)]
struct TimerRow {
    due: std::cell::Cell<MonotonicTime>,
    period: Duration,
    wake: Notify,
}

impl TimerService {
    /// Starts the ticking task on the current runtime.
    #[must_use]
    pub fn start(clock: ProcessClock) -> Self {
        let service = Self { clock, joined: Rc::default(), rows: Rc::default() };
        let ticking = service.clone();
        monoio::spawn(async move { ticking.run().await });
        service
    }

    /// Returns the clock that the service runs by.
    #[must_use]
    pub fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// Subscribes to a wake-up once a period.
    #[must_use]
    pub fn subscribe(&self, period: Duration) -> TimerSubscription {
        let due = std::cell::Cell::new(self.clock.now() + period);
        let row = Rc::new(TimerRow { due, period, wake: Notify::new() });
        self.rows.borrow_mut().push(Rc::downgrade(&row));
        self.joined.notify_one();
        TimerSubscription { clock: self.clock, row }
    }

    /// Wakes due subscribers for as long as the service has an owner besides this task.
    async fn run(self) {
        while Rc::strong_count(&self.rows) > 1 || !self.rows.borrow().is_empty() {
            monoio::select! {
                () = monoio::time::sleep(self.next_pause()) => {}
                () = self.joined.notified() => {}
            }
            self.wake_due();
        }
    }

    /// Returns the time until the next subscriber is due.
    fn next_pause(&self) -> Duration {
        let now = self.clock.now();
        let rows = self.rows.borrow();
        let dues = rows.iter().filter_map(Weak::upgrade).map(|row| row.due.get());
        let pause = dues.min().map_or(MAX_PAUSE, |due| now.until(due));
        pause.clamp(MIN_PAUSE, MAX_PAUSE)
    }

    /// Wakes the subscribers that are due and forgets those that have gone.
    fn wake_due(&self) {
        let now = self.clock.now();
        self.rows.borrow_mut().retain(|row| {
            let Some(row) = row.upgrade() else {
                return false;
            };
            if row.due.get() <= now {
                // A late tick is not made up for: the next one is a whole period away.
                row.due.set(now + row.period);
                row.wake.notify_one();
            }
            true
        });
    }
}

/// A subscriber's end; dropping it ends the subscription.
#[derive(Debug)]
pub struct TimerSubscription {
    clock: ProcessClock,
    row: Rc<TimerRow>,
}

impl TimerSubscription {
    /// Waits for the next tick and returns its time.
    pub async fn next(&self) -> MonotonicTime {
        self.row.wake.notified().await;
        self.clock.now()
    }
}
